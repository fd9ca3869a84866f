"""Simulates network partitions for a daemon that uses real sockets."""

from collections.abc import AsyncGenerator, Awaitable, Callable

from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.messages import (
    BackendServer,
    EngineEvent,
    GenerationAttempt,
    Location,
    TokensGenerated,
)
from verbenawind.kernel.ports import (
    EngineClient,
    ExternalDependencies,
    PeerChannel,
    PeerTransport,
    ScoringClient,
    ServiceClient,
)
from verbenawind.plugins.backend_clients import PluginBackendClients
from verbenawind.standins.network import (
    PLATFORM,
    NetworkEngine,
    NetworkHosts,
    NetworkObjects,
    NetworkScoring,
    NetworkService,
    NetworkTable,
    NetworkWeights,
    Process,
)

__all__ = ["IsolatedProcess", "TrafficMeter", "isolate"]

_TOKEN_BYTES = 4


class TrafficMeter:
    """Counts the bytes of generated tokens that are sent to another region."""

    __slots__ = ("cross_region_bytes",)

    def __init__(self) -> None:
        self.cross_region_bytes = 0

    def count(self, event: EngineEvent) -> None:
        """Count one event that was sent to another region."""
        if isinstance(event, TokensGenerated):
            self.cross_region_bytes += len(event.text) + _TOKEN_BYTES * len(event.token_ids)


class IsolatedProcess(Process):
    """A daemon process that, when partitioned from the platform, also loses its peer links."""

    @property
    def cut_off(self) -> bool:
        """Whether the process's availability zone is partitioned from the platform."""
        return not self.network.reaches(self.zone, PLATFORM)


def isolate(
    dependencies: ExternalDependencies,
    process: IsolatedProcess,
    location: Location,
    meter: TrafficMeter,
) -> ExternalDependencies:
    """Return *dependencies* with every call routed through the process's simulated network."""
    return ExternalDependencies(
        clock=dependencies.clock,
        rng=dependencies.rng,
        table=NetworkTable(process, dependencies.table),
        objects=NetworkObjects(process, dependencies.objects),
        hosts=NetworkHosts(process, dependencies.hosts),
        weights=NetworkWeights(process, dependencies.weights),
        clients=_IsolatedClients(process, location, meter),
        transport=_IsolatedTransport(process, dependencies.transport),
    )


class _MeteredEngine(NetworkEngine):
    """A client of an engine in another region that counts the bytes of its tokens."""

    def __init__(
        self, process: Process, server: BackendServer, engine: EngineClient, meter: TrafficMeter
    ) -> None:
        super().__init__(process, server, engine)
        self.meter = meter

    async def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream an attempt and count the bytes of its tokens."""
        events = super().generate(attempt)
        try:
            async for event in events:
                self.meter.count(event)
                yield event
        finally:
            await events.aclose()


class _IsolatedClients(PluginBackendClients):
    """Clients over real sockets whose calls are routed through the simulated network."""

    __slots__ = ("_location", "_meter", "_process")

    def __init__(self, process: IsolatedProcess, location: Location, meter: TrafficMeter) -> None:
        super().__init__()
        self._process = process
        self._location = location
        self._meter = meter

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""
        client = super().engine(server)
        if server.location.region == self._location.region:
            return NetworkEngine(self._process, server, client)
        return _MeteredEngine(self._process, server, client, self._meter)

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain-service host."""
        return NetworkService(self._process, server, super().service(server))

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring-service host."""
        return NetworkScoring(self._process, server, super().scoring(server))


class _IsolatedChannel:
    """A link that drops all messages while the process is cut off; implements PeerChannel."""

    __slots__ = ("_channel", "_process")

    def __init__(self, process: IsolatedProcess, channel: PeerChannel) -> None:
        self._process = process
        self._channel = channel

    async def send(self, data: bytes) -> None:
        """Send one message; drop it while the process is cut off."""
        if not self._process.cut_off:
            await self._channel.send(data)

    async def receive(self) -> bytes:
        """Return the next message that is not dropped."""
        while True:
            data = await self._channel.receive()
            if not self._process.cut_off:
                return data

    async def aclose(self) -> None:
        """Close the link."""
        await self._channel.aclose()


class _IsolatedTransport:
    """Real peer links of a process that may be cut off; implements PeerTransport."""

    __slots__ = ("_process", "_transport")

    def __init__(self, process: IsolatedProcess, transport: PeerTransport) -> None:
        self._process = process
        self._transport = transport

    async def listen(self, address: str, accept: Callable[[PeerChannel], Awaitable[None]]) -> str:
        """Serve links at *address* and return the bound address."""

        async def accept_isolated(channel: PeerChannel) -> None:
            await accept(_IsolatedChannel(self._process, channel))

        return await self._transport.listen(address, accept_isolated)

    async def connect(self, address: str) -> PeerChannel:
        """Open a link to the daemon at *address*."""
        if self._process.cut_off:
            raise PeerUnreachable(f"peer {address}: cut off")
        return _IsolatedChannel(self._process, await self._transport.connect(address))

    async def aclose(self) -> None:
        """Stop listening and close every link."""
        await self._transport.aclose()
