"""Ports between the folders, and everything outside a daemon in one place."""

from collections.abc import AsyncGenerator, Callable, Sequence
from random import Random
from typing import Protocol

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, ServiceSpec, TrainerSpec
from verbenawind.kernel.backend_ports import (
    BackendClients,
    EngineClient,
    ScoringClient,
    ServiceClient,
)
from verbenawind.kernel.messages import (
    EngineEvent,
    GenerateRequest,
    ServiceRequest,
    ServiceResponse,
)
from verbenawind.kernel.peer_ports import Peer, PeerBus, PeerChannel, PeerTransport, SpreadItem
from verbenawind.kernel.platform_ports import (
    HostList,
    ObjectStore,
    Row,
    TableStore,
    Transaction,
    WeightStore,
    Write,
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
        self, name: str, duration_s: float, *, zone_only: bool = False, guarded: bool = False
    ) -> Lease | None:
        """Return the lease, or None while another holder has it.

        With ``zone_only`` only daemons of this zone contend for it. With ``guarded`` every action
        under it is conditional on its guard row, and a holder that peers have found gone is
        replaced as soon as a renewal is missing. The lease is renewed in the background until
        released or lost. The guard row (``Lease.row_key``) changes its version
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
