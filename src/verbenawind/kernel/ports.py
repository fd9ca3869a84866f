"""Interfaces between the folders, and towards everything outside the process."""

from collections.abc import AsyncGenerator, Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import Protocol

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, ServiceSpec, TrainerSpec
from verbenawind.kernel.messages import (
    BackendServer,
    CacheEvents,
    EngineEvent,
    EngineOrder,
    EngineStatus,
    GenerateRequest,
    GenerationAttempt,
    HostEntry,
    Location,
    ScoringRequest,
    ScoringResponse,
    ServiceRequest,
    ServiceResponse,
    Value,
    WeightManifest,
)
from verbenawind.kernel.rollouts import (
    GradesAccepted,
    GradeSubmission,
    PollRequest,
    PollResponse,
    PublishedVersion,
    StepAccepted,
    StepSubmission,
    VersionAccepted,
)

__all__ = [
    "BackendClients",
    "Configuration",
    "EngineClient",
    "Generator",
    "HostList",
    "Lease",
    "Leases",
    "ObjectStore",
    "Outside",
    "Peer",
    "PeerBus",
    "PeerChannel",
    "PeerTransport",
    "RolloutService",
    "Row",
    "ScoringClient",
    "ServiceCaller",
    "ServiceClient",
    "SpreadItem",
    "TableStore",
    "Transaction",
    "WeightStore",
    "Write",
]


# Towards backend servers.


class EngineClient(Protocol):
    """One model engine.

    Every method raises BackendServerUnreachable when no byte of the call reached the engine,
    and BackendServerFailed when it failed later.
    """

    def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream the tokens that follow the held ones, then one GenerationEnded.

        Closing the generator cancels the generation. Raises AdmissionRefused when the engine
        refused to start it and StreamTruncated when the end mark is missing.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; unknown attempts are ignored."""

    async def status(self) -> EngineStatus:
        """Return what the engine reports of itself."""

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Carry out an order and return the status after it.

        Raises FencingRefused when the engine checks fencing numbers and knows a higher one.
        """

    async def cache_events(self, position: int) -> CacheEvents:
        """Return the prefix-cache events after *position*."""

    async def export_cache(self, attempt_id: str) -> bytes:
        """Return the KV cache of a running attempt."""

    async def import_cache(self, attempt_id: str, cache: bytes) -> None:
        """Load a KV cache that a later attempt called *attempt_id* will use."""

    async def aclose(self) -> None:
        """Close the connections to the engine."""


class ServiceClient(Protocol):
    """One host of a plain service; raises as EngineClient does."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send the request once and return the whole answer."""

    async def aclose(self) -> None:
        """Close the connections to the service."""


class ScoringClient(Protocol):
    """One host of a scoring service; raises as EngineClient does."""

    async def score(self, request: ScoringRequest, timeout_s: float) -> ScoringResponse:
        """Return the grade of one sample."""

    async def aclose(self) -> None:
        """Close the connections to the scoring service."""


class BackendClients(Protocol):
    """Gives the client of a backend server, one for each server and incarnation."""

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain service's host."""

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring service's host."""


# Towards the platform.


class Row(Value, frozen=True, kw_only=True):
    """One row of the table service; ``version`` rises by one with each write of the key."""

    key: str
    value: bytes
    version: int
    operation_id: str


class Write(Value, frozen=True, kw_only=True):
    """One conditional write.

    ``expect_version`` is the row's version before (0: absent; None: any). ``value`` None
    deletes the row, and with ``check_only`` the row is only compared.
    """

    key: str
    value: bytes | None = None
    expect_version: int | None = None
    check_only: bool = False


class Transaction(Value, frozen=True, kw_only=True):
    """Writes that take effect together or not at all; each written row keeps the operation id."""

    operation_id: str
    writes: tuple[Write, ...]


class TableStore(Protocol):
    """The platform's transactional table service.

    Every method raises StoreUnavailable when no answer came; a commit without an answer may
    have taken effect.
    """

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist among *keys*, in one consistent read."""

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows whose key starts with *prefix* and sorts after *after*, in key order."""

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction.

        Raises:
            ConditionFailed: A row did not have its expected version; nothing was written.
        """


class ObjectStore(Protocol):
    """The platform's object store; raises StoreUnavailable when no answer came."""

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*, replacing what was there."""

    async def get(self, key: str) -> bytes | None:
        """Return the object's bytes, or None when there is none."""

    async def delete(self, key: str) -> None:
        """Remove an object; absent ones are ignored."""


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the hosts as the platform sees them."""


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def manifest(self, model: str, version: int) -> WeightManifest | None:
        """Return what the store holds of a version, None when it is absent."""


# Between the processes.


class PeerChannel(Protocol):
    """An ordered, two-way link to another daemon."""

    async def send(self, data: bytes) -> None:
        """Send one message; raises PeerUnreachable when the link is closed."""

    async def receive(self) -> bytes:
        """Return the next message; raises PeerUnreachable when the link is closed."""

    async def aclose(self) -> None:
        """Close the link."""


class PeerTransport(Protocol):
    """Makes links between daemons; knows nothing of their messages."""

    async def listen(self, address: str, accept: Callable[[PeerChannel], Awaitable[None]]) -> str:
        """Serve links at *address* (``IP:port``, port 0 for any) and return the bound address.

        *accept* runs for each link until it returns; then the link is closed.
        """

    async def connect(self, address: str) -> PeerChannel:
        """Open a link to the daemon at *address*; raises PeerUnreachable."""

    async def aclose(self) -> None:
        """Stop listening and close every link."""


class Outside:
    """Everything outside a daemon's decisions; tests put stand-ins here.

    Args:
        clock: Time source.
        rng: Randomness for jitter and choices.
        table: The platform's table service.
        objects: The platform's object store.
        hosts: The platform's host list.
        weights: The platform's weight store.
        clients: Clients of backend servers.
        transport: Links between daemons.
    """

    __slots__ = ("clients", "clock", "hosts", "objects", "rng", "table", "transport", "weights")

    def __init__(
        self,
        *,
        clock: Clock,
        rng: Random,
        table: TableStore,
        objects: ObjectStore,
        hosts: HostList,
        weights: WeightStore,
        clients: BackendClients,
        transport: PeerTransport,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.table = table
        self.objects = objects
        self.hosts = hosts
        self.weights = weights
        self.clients = clients
        self.transport = transport


# Between the folders.


class Configuration(Protocol):
    """The newest known revision of each environment and stage; never goes back."""

    def current(self, environment: str, stage: str) -> EnvironmentRevision | None:
        """Return the revision in force, None when none is known."""

    def environments(self) -> Sequence[EnvironmentRevision]:
        """Return every revision in force."""

    def subscribe(self, listener: Callable[[EnvironmentRevision], None]) -> None:
        """Call *listener* with each revision that comes into force."""


class Lease(Protocol):
    """A held lease."""

    @property
    def name(self) -> str:
        """The lease's name."""

    @property
    def fencing_number(self) -> int:
        """A number that rises with every new holder; it is also the holder's epoch."""

    @property
    def row_version(self) -> int:
        """The lease row's version, to be expected by transactions that the lease guards."""

    @property
    def row_key(self) -> str:
        """The lease row's key."""

    def remaining_s(self) -> float:
        """Return for how long the lease is surely held, in seconds; 0 or less when lost."""

    def check(self, needed_s: float = 0.0) -> None:
        """Raise LeaseLost unless the lease is surely held for *needed_s* more seconds."""

    async def release(self) -> None:
        """Give the lease back."""


class Leases(Protocol):
    """Acquires leases in the table service and renews those that are held."""

    async def acquire(
        self, name: str, duration_s: float, *, zone_only: bool = False
    ) -> Lease | None:
        """Return the lease, or None while another holder has it.

        With ``zone_only`` only daemons of this zone contend for it. It is renewed in the
        background until released or lost. The guard row (``Lease.row_key``) changes its version
        only when the holder changes.
        """


class Generator(Protocol):
    """Runs generations on engines: queue, choice, attempts, retries and resumption."""

    def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Stream the whole answer: TokensGenerated without gap or repeat, then GenerationEnded.

        Raises a VerbenawindError with a true outcome when the answer cannot be completed.
        Closing the generator cancels the generation.
        """

    def free_slots(self, pool: str) -> int:
        """Return how many more rollout generations the pool would start at once."""


class ServiceCaller(Protocol):
    """Routes calls to plain services."""

    async def call_service(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Return the whole answer; a non-idempotent request runs at most once."""


class RolloutService(Protocol):
    """The trainer's side of the service."""

    async def submit_step(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission
    ) -> StepAccepted:
        """Accept a step durably; raises StepConflict when it comes again with other content."""

    async def poll(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, request: PollRequest
    ) -> PollResponse:
        """Return what follows the cursor, waiting up to ``wait_s`` for something."""

    async def publish_version(
        self, revision: EnvironmentRevision, model: ModelSpec, version: PublishedVersion
    ) -> VersionAccepted:
        """Record a new weight version durably; an older one changes nothing."""

    async def submit_grades(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, grades: GradeSubmission
    ) -> GradesAccepted:
        """Record grades durably; raises GradeConflict when a grade changes its value."""


class Peer(Value, frozen=True, kw_only=True):
    """Another daemon that is believed to be alive."""

    peer_id: str
    address: str
    location: Location
    incarnation: int


class SpreadItem(Value, frozen=True, kw_only=True):
    """A piece of mergeable state that daemons spread; of one key the highest rank stays.

    ``expires_at_s`` is a Unix time in seconds, 0 for never.
    """

    kind: str
    key: str
    rank: tuple[int, ...]
    body: bytes
    expires_at_s: float = 0.0


class PeerBus(Protocol):
    """Membership and messages between daemons."""

    @property
    def peer_id(self) -> str:
        """This daemon's own identifier."""

    def peers(self) -> Sequence[Peer]:
        """Return the other daemons that are believed to be alive."""

    def spread(self, item: SpreadItem) -> None:
        """Merge an item here and send it on to the other daemons."""

    def items(self, kind: str) -> Sequence[SpreadItem]:
        """Return the unexpired items of a kind."""

    def on_item(self, kind: str, listener: Callable[[SpreadItem], None]) -> None:
        """Call *listener* with each item of *kind* that is new here."""

    def on_call(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Answer calls of *kind* from peers with *handler*."""

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Call a peer and return its reply; raises PeerUnreachable."""
