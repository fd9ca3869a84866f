"""Runs one attempt of a generation on one engine and diagnoses failures."""

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
from verbenawind.routing.generation_cache import Generation

__all__ = ["CrashDetector", "FailureCause", "attempt_of", "check_event", "stream"]

_PROBE_TIMEOUT_S = 1.0


class FailureCause(StrEnum):
    """Why an attempt failed."""

    CRASH = "crash"
    CONNECTION_LOST = "cut"


def attempt_of(request: GenerateRequest, generation: Generation) -> GenerationAttempt:
    """Return an attempt that continues after the tokens already generated."""
    return GenerationAttempt(
        attempt_id=new_id("att"),
        request_id=request.request_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        temperature=request.temperature,
        held_token_ids=tuple(generation.token_ids),
    )


async def stream(
    clients: BackendClients,
    view: ServerView,
    request: GenerateRequest,
    generation: Generation,
    clock: Clock,
) -> AsyncGenerator[EngineEvent, None]:
    """Stream the validated events of one attempt; closing the generator cancels the attempt.

    Raises:
        DeadlineExceeded: The request's deadline passed.
        BackendServerFailed: The engine failed, or its stream was truncated or inconsistent.
    """
    attempt = attempt_of(request, generation)
    events = clients.engine(view.server).generate(attempt)
    ended = False
    try:
        while not ended:
            try:
                async with asyncio.timeout(max(0.0, request.deadline_s - clock.monotonic_s())):
                    event = await anext(events, None)
            except TimeoutError as error:
                raise DeadlineExceeded(
                    f"request {request.request_id} exceeded its deadline while generating",
                    outcome=Outcome.RAN if generation.token_ids else Outcome.MAY_HAVE_RUN,
                ) from error
            if event is None:
                raise StreamTruncated(
                    f"stream of attempt {attempt.attempt_id} ended without an end marker"
                )
            check_event(attempt, event, len(generation.token_ids), request.kind)
            ended = isinstance(event, GenerationEnded)
            generation.add(event)
            yield event
    finally:
        await events.aclose()


def check_event(
    attempt: GenerationAttempt, event: EngineEvent, position: int, kind: WorkKind
) -> None:
    """Raise BackendServerFailed unless *event* continues the attempt at token *position*."""
    if event.attempt_id != attempt.attempt_id:
        raise BackendServerFailed(
            f"received an event of attempt {event.attempt_id} in the stream of another attempt"
        )
    if isinstance(event, GenerationEnded):
        if event.token_count != position:
            raise StreamTruncated(
                f"attempt {attempt.attempt_id} reported {event.token_count} tokens, "
                f"received {position}"
            )
        return
    if event.start != position:
        raise BackendServerFailed(
            f"attempt {attempt.attempt_id} expected token {position}, received {event.start}"
        )
    if event.version is None and kind is WorkKind.ROLLOUT:
        raise BackendServerFailed(
            f"attempt {attempt.attempt_id} sent tokens without a weight version"
        )


class CrashDetector:
    """Distinguishes an engine crash from a lost connection.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the engines.
    """

    __slots__ = ("_clients", "_fleet", "_probes")

    def __init__(self, fleet: Fleet, clients: BackendClients) -> None:
        self._fleet = fleet
        self._clients = clients
        self._probes: dict[tuple[str, int], asyncio.Task[FailureCause]] = {}

    async def diagnose(self, view: ServerView) -> FailureCause:
        """Return why a stream of the engine broke; concurrent failures share one probe."""
        key = (view.server.server_id, view.server.incarnation)
        probe = self._probes.get(key)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(self._diagnose(view))
            self._probes[key] = probe
            probe.add_done_callback(lambda _: self._probes.pop(key, None))
        return await asyncio.shield(probe)

    async def _diagnose(self, view: ServerView) -> FailureCause:
        incarnation = await self._probe_incarnation(view)
        if incarnation is not None:
            return (
                FailureCause.CRASH
                if incarnation > view.server.incarnation
                else FailureCause.CONNECTION_LOST
            )
        if view.server.location.zone == self._fleet.location.zone:
            return FailureCause.CRASH
        other_engine = self._other_engine_in_zone(view)
        if other_engine is None or await self._probe_incarnation(other_engine) is not None:
            return FailureCause.CRASH
        return FailureCause.CONNECTION_LOST

    async def _probe_incarnation(self, view: ServerView) -> int | None:
        """Return the incarnation that the engine reports, None if it does not respond."""
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                status = await self._clients.engine(view.server).status()
        except (BackendServerUnreachable, BackendServerFailed, TimeoutError):
            return None
        except VerbenawindError:
            return view.server.incarnation
        self._fleet.observe(status)
        return status.incarnation

    def _other_engine_in_zone(self, view: ServerView) -> ServerView | None:
        """Return another engine in the same zone.

        If the zone is partitioned from this daemon, that engine does not respond either.
        """
        for other in self._fleet.group(BackendKind.ENGINE, view.server.group):
            same_zone = other.server.location.zone == view.server.location.zone
            if same_zone and other is not view:
                return other
        return None
