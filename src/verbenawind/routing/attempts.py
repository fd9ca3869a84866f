"""One attempt of a generation on one engine, and what its failure means."""

import asyncio
from collections.abc import AsyncGenerator
from enum import StrEnum

from verbenawind.clock import Clock
from verbenawind.errors import (
    BackendServerFailed,
    BackendServerUnreachable,
    DeadlineExceeded,
    Outcome,
    StreamTruncated,
    VerbenawindError,
)
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import (
    BackendKind,
    EngineEvent,
    GenerateRequest,
    GenerationAttempt,
    GenerationEnded,
    WorkKind,
)
from verbenawind.kernel.ports import BackendClients
from verbenawind.routing.generation_cache import Answer

__all__ = ["CrashDetector", "Failure", "attempt_of", "check_event", "stream"]

_PROBE_TIMEOUT_S = 1.0


class Failure(StrEnum):
    """What ended an attempt."""

    CRASH = "crash"
    CUT = "cut"


def attempt_of(request: GenerateRequest, answer: Answer) -> GenerationAttempt:
    """Return an attempt that continues from the tokens already held."""
    return GenerationAttempt(
        attempt_id=new_id("att"),
        request_id=request.request_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        temperature=request.temperature,
        held_token_ids=tuple(answer.token_ids),
    )


async def stream(
    clients: BackendClients,
    view: ServerView,
    request: GenerateRequest,
    answer: Answer,
    clock: Clock,
) -> AsyncGenerator[EngineEvent, None]:
    """Stream one attempt's checked events; closing the generator cancels it.

    Raises:
        DeadlineExceeded: The request's deadline passed.
        BackendServerFailed: The engine failed, or its stream is not whole.
    """
    attempt = attempt_of(request, answer)
    events = clients.engine(view.server).generate(attempt)
    ended = False
    try:
        while not ended:
            try:
                async with asyncio.timeout(max(0.0, request.deadline_s - clock.monotonic_s())):
                    event = await anext(events, None)
            except TimeoutError as error:
                raise DeadlineExceeded(
                    f"request {request.request_id} passed its deadline while generating",
                    outcome=Outcome.RAN if answer.token_ids else Outcome.MAY_HAVE_RUN,
                ) from error
            if event is None:
                raise StreamTruncated(f"attempt {attempt.attempt_id} ended without its end mark")
            check_event(attempt, event, len(answer.token_ids), request.kind)
            ended = isinstance(event, GenerationEnded)
            answer.add(event)
            yield event
    finally:
        await events.aclose()


def check_event(
    attempt: GenerationAttempt, event: EngineEvent, position: int, kind: WorkKind
) -> None:
    """Raise BackendServerFailed unless *event* continues the attempt at token *position*."""
    if event.attempt_id != attempt.attempt_id:
        raise BackendServerFailed(f"event of attempt {event.attempt_id} in another's stream")
    if isinstance(event, GenerationEnded):
        if event.token_count != position:
            raise StreamTruncated(
                f"attempt {attempt.attempt_id} ended at {event.token_count} tokens, got {position}"
            )
        return
    if event.start != position:
        raise BackendServerFailed(
            f"attempt {attempt.attempt_id} went from token {position} to {event.start}"
        )
    if event.version is None and kind is WorkKind.ROLLOUT:
        raise BackendServerFailed(f"attempt {attempt.attempt_id} has tokens without a version")


class CrashDetector:
    """Tells a crash of an engine from a cut connection.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the engines.
    """

    __slots__ = ("_clients", "_fleet", "_probes")

    def __init__(self, fleet: Fleet, clients: BackendClients) -> None:
        self._fleet = fleet
        self._clients = clients
        self._probes: dict[tuple[str, int], asyncio.Task[Failure]] = {}

    async def diagnose(self, view: ServerView) -> Failure:
        """Return why a stream of the engine broke; failures at the same time share one probe."""
        key = (view.server.server_id, view.server.incarnation)
        probe = self._probes.get(key)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._diagnose(view))
            self._probes[key] = probe
            probe.add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(probe)

    async def _diagnose(self, view: ServerView) -> Failure:
        incarnation = await self._incarnation(view)
        if incarnation is not None:
            return Failure.CRASH if incarnation > view.server.incarnation else Failure.CUT
        if view.server.location.zone == self._fleet.location.zone:
            return Failure.CRASH
        sibling = self._sibling(view)
        if sibling is None or await self._incarnation(sibling) is not None:
            return Failure.CRASH
        return Failure.CUT

    async def _incarnation(self, view: ServerView) -> int | None:
        """Return the incarnation that an engine reports, None when it gives no answer."""
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                status = await self._clients.engine(view.server).status()
        except (BackendServerUnreachable, BackendServerFailed, TimeoutError):
            return None
        except VerbenawindError:
            return view.server.incarnation
        self._fleet.observe(status)
        return status.incarnation

    def _sibling(self, view: ServerView) -> ServerView | None:
        """Return another engine of the same zone: a cut off zone answers through none."""
        for other in self._fleet.group(BackendKind.ENGINE, view.server.group):
            same_zone = other.server.location.zone == view.server.location.zone
            if same_zone and other is not view:
                return other
        return None
