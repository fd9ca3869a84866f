"""Runs requests on backend servers: choice, attempts, retries and resumption."""

import asyncio
from collections.abc import AsyncGenerator
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.document import ServiceSpec
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    DeadlineExceeded,
    Outcome,
    StreamTruncated,
)
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import (
    BackendKind,
    EngineEvent,
    GenerateRequest,
    GenerationAttempt,
    GenerationEnded,
    ServiceRequest,
    ServiceResponse,
    TokensGenerated,
    WorkKind,
)
from verbenawind.kernel.ports import BackendClients, ObjectStore, PeerBus, TableStore
from verbenawind.routing.choice import choose_engine
from verbenawind.routing.services import ServiceDispatcher
from verbenawind.routing.slots import WaitPolicy

__all__ = ["Dispatcher"]

_CONCURRENCY_PER_ENGINE = 32
_WAIT_FOR_ENGINE_S = 0.05
_SUSPECT_S = 2.0


class Dispatcher:
    """Implements the Generator and ServiceCaller ports.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the backend servers.
        clock: Time source.
        rng: Jitter and choices.
        table: The table service's client.
        objects: The object store's client.
        peers: The other daemons.
        policy: Bounds on what may wait.
    """

    __slots__ = ("_clients", "_clock", "_fleet", "_in_flight", "_log", "services")

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        clock: Clock,
        rng: Random,
        table: TableStore,
        objects: ObjectStore,
        peers: PeerBus,
        policy: WaitPolicy,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._clock = clock
        self._in_flight: dict[str, int] = {}
        self._log = structlog.get_logger("routing")
        self.services = ServiceDispatcher(
            fleet=fleet,
            clients=clients,
            clock=clock,
            rng=rng,
            table=table,
            objects=objects,
            peers=peers,
            policy=policy,
        )

    def free_slots(self, pool: str) -> int:
        """Return how many more rollout generations the pool would start at once."""
        now_s = self._clock.monotonic_s()
        views = self._fleet.group(BackendKind.ENGINE, pool)
        return sum(
            max(0, _CONCURRENCY_PER_ENGINE - self._in_flight.get(view.server.server_id, 0))
            for view in views
            if view.usable(now_s)
        )

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Stream the whole answer, resuming on another engine when one fails."""
        held: list[int] = []
        excluded: set[str] = set()
        while True:
            view = await self._choose(request, excluded)
            try:
                async for event in self._attempt(request, view, held):
                    yield event
                return
            except (AdmissionRefused, BackendServerUnreachable, BackendServerFailed) as error:
                excluded.add(view.server.server_id)
                self._fleet.suspect(view.server.server_id, _SUSPECT_S)
                self._log.info(
                    "attempt_failed",
                    request_id=request.request_id,
                    server_id=view.server.server_id,
                    error=error.message,
                    held_tokens=len(held),
                )

    async def call_service(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Call a plain service; a non-idempotent request runs at most once."""
        return await self.services.call(request, spec)

    async def _choose(self, request: GenerateRequest, excluded: set[str]) -> ServerView:
        while True:
            now_s = self._clock.monotonic_s()
            if now_s >= request.deadline_s:
                raise DeadlineExceeded(
                    f"request {request.request_id} found no engine before its deadline",
                    retry_after_s=1.0,
                )
            choice = choose_engine(
                self._fleet.group(BackendKind.ENGINE, request.pool),
                model=request.model,
                min_version=request.min_version,
                location=self._fleet.location,
                in_flight=self._in_flight,
                limit=_CONCURRENCY_PER_ENGINE,
                excluded=excluded,
                now_s=now_s,
            )
            view = self._fleet.view(choice.server_id) if choice.server_id else None
            if view is not None:
                self._log.info(
                    "engine_chosen",
                    request_id=request.request_id,
                    server_id=choice.server_id,
                    considered=choice.considered,
                    reason=choice.reason,
                )
                return view
            excluded.clear()
            await self._clock.sleep(_WAIT_FOR_ENGINE_S)

    async def _attempt(
        self, request: GenerateRequest, view: ServerView, held: list[int]
    ) -> AsyncGenerator[EngineEvent, None]:
        server_id = view.server.server_id
        attempt = GenerationAttempt(
            attempt_id=new_id("att"),
            request_id=request.request_id,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            seed=request.seed,
            temperature=request.temperature,
            held_token_ids=tuple(held),
        )
        self._in_flight[server_id] = self._in_flight.get(server_id, 0) + 1
        events = self._clients.engine(view.server).generate(attempt)
        try:
            async with asyncio.timeout(request.deadline_s - self._clock.monotonic_s()):
                async for event in events:
                    self._check(attempt, event, len(held), request)
                    if isinstance(event, TokensGenerated):
                        held.extend(event.token_ids)
                    yield event
        except TimeoutError as error:
            raise DeadlineExceeded(
                f"request {request.request_id} passed its deadline while generating",
                outcome=Outcome.RAN,
            ) from error
        finally:
            self._in_flight[server_id] -= 1
            await events.aclose()

    @staticmethod
    def _check(
        attempt: GenerationAttempt, event: EngineEvent, position: int, request: GenerateRequest
    ) -> None:
        if event.attempt_id != attempt.attempt_id:
            raise BackendServerFailed(f"event of attempt {event.attempt_id} in another's stream")
        if isinstance(event, GenerationEnded) and event.token_count != position:
            raise StreamTruncated(
                f"attempt {attempt.attempt_id} ended at {event.token_count} tokens, got {position}"
            )
        if isinstance(event, TokensGenerated) and event.start != position:
            raise BackendServerFailed(f"attempt {attempt.attempt_id} skipped to {event.start}")
        if (
            isinstance(event, TokensGenerated)
            and event.version is None
            and request.kind is WorkKind.ROLLOUT
        ):
            raise BackendServerFailed(f"attempt {attempt.attempt_id} has tokens without a version")
