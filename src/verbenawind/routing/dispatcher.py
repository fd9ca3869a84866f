"""Entry point of routing: admits requests, queues them, and runs and retries their attempts."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.document import ServiceSpec
from verbenawind.errors import VerbenawindError
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import (
    EngineEvent,
    GenerateRequest,
    ServiceRequest,
    ServiceResponse,
    WorkKind,
)
from verbenawind.kernel.ports import (
    BackendClients,
    Configuration,
    ObjectStore,
    PeerBus,
    TableStore,
)
from verbenawind.metrics import Metrics
from verbenawind.routing.admission import Admission
from verbenawind.routing.engine_pool import EnginePool
from verbenawind.routing.generation_cache import Generation, GenerationCache
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.runs import GenerationRunner, Run
from verbenawind.routing.services import ServiceDispatcher
from verbenawind.routing.stats import RoutingStats

__all__ = ["Dispatcher"]


class Dispatcher:
    """Implements the ``Generator`` and ``ServiceCaller`` ports.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the backend servers.
        clock: Time source.
        rng: Random source for jitter and engine sampling.
        configuration: Provides the current documents.
        table: Client of the table service.
        objects: Client of the object store.
        peers: The other daemons.
        metrics: Records queue waits and cross-region bytes.
        policy: Which mechanisms are enabled.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        clock: Clock,
        rng: Random,
        configuration: Configuration,
        table: TableStore,
        objects: ObjectStore,
        peers: PeerBus,
        metrics: Metrics,
        policy: RoutingPolicy | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._policy = policy or RoutingPolicy()
        self._pools: dict[str, EnginePool] = {}
        self._admission = Admission(configuration, peers, clock)
        self._generation_cache = GenerationCache(clock, peers, fleet)
        self._log = structlog.get_logger("routing")
        self.stats = RoutingStats()
        self._generation_runner = GenerationRunner(
            fleet=fleet,
            clients=clients,
            clock=clock,
            rng=rng,
            peers=peers,
            metrics=metrics,
            stats=self.stats,
        )
        self.services = ServiceDispatcher(
            fleet=fleet,
            clients=clients,
            clock=clock,
            rng=rng,
            table=table,
            objects=objects,
            peers=peers,
            policy=self._policy,
        )
        fleet.on_leaving(self._on_server_leaving)

    # Ports.

    def free_slots(self, pool: str) -> int:
        """Return how many more rollout generations the pool could start immediately."""
        return 0 if self._admission.draining else self._pool(pool).free_slots()

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Stream the complete response, resuming on another engine if one fails."""
        try:
            spec = self._admission.admit(request.environment, request.caller, request.kind)
            try:
                async with aclosing(self._stream_generation(request)) as events:
                    async for event in events:
                        yield event
            finally:
                self._admission.release(request.environment, spec)
        except VerbenawindError as error:
            self._record_failure(request.request_id, error)
            raise

    async def call_service(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Call a service; a non-idempotent request runs at most once."""
        try:
            caller = self._admission.admit(
                request.environment, request.caller, WorkKind.APPLICATION
            )
            try:
                return await self.services.call(request, spec)
            finally:
                self._admission.release(request.environment, caller)
        except VerbenawindError as error:
            self._record_failure(request.request_id, error)
            raise

    async def drain(self) -> None:
        """Refuse new requests and return once every request in flight has ended."""
        await self._admission.drain()
        await self.services.finish()

    async def _stream_generation(
        self, request: GenerateRequest
    ) -> AsyncGenerator[EngineEvent, None]:
        """Stream the retained events of the request, then the newly generated ones."""
        generation = await self._open_generation(request)
        try:
            for tokens in generation.token_events:
                yield tokens
            if generation.ended is not None:
                yield generation.ended
                return
            run, pool = Run(request, generation), self._pool_for(request)
            async with aclosing(self._generation_runner.run(run, pool)) as events:
                async for event in events:
                    yield event
        finally:
            if request.kind is WorkKind.ROLLOUT and generation.ended is not None:
                self._generation_cache.discard(request, generation)
            self._generation_cache.close(request, generation)

    async def _open_generation(self, request: GenerateRequest) -> Generation:
        """Return the generation to continue.

        A rollout sample continues an earlier generation only if it is the same draw.
        """
        if request.kind is WorkKind.ROLLOUT and not request.resumable:
            return Generation("")
        return await self._generation_cache.open(request)

    # Pools and failures.

    def _record_failure(self, request_id: str, error: VerbenawindError) -> None:
        self.stats.refusals[error.code] += 1
        self._log.info(
            "request_failed",
            request_id=request_id,
            code=error.code,
            outcome=error.outcome,
            retry_after_s=error.retry_after_s,
            reason=error.message,
        )

    def _pool(self, name: str) -> EnginePool:
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = EnginePool(
                name,
                fleet=self._fleet,
                peers=self._peers,
                clock=self._clock,
                rng=self._rng,
                policy=self._policy,
            )
        return pool

    def _pool_for(self, request: GenerateRequest) -> EnginePool:
        pool = self._pool(request.pool)
        document = self._admission.document(request.environment)
        if document is not None:
            pool.spec = document.pool(request.pool) or pool.spec
            pool.cross_region_spec = document.cross_region
        return pool

    def _on_server_leaving(self, view: ServerView) -> None:
        pool = self._pools.get(view.server.group)
        if pool is not None:
            pool.request_refresh()
