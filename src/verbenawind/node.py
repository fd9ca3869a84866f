"""What one host runs over a row store and registered backend servers: gateway, batches, orders.

This is the composition root of these parts; it speaks no HTTP. ``platform/`` puts it behind the
platform's protocols, tests and the fault soak behind stand-ins.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

import msgspec
import structlog

from verbenawind.batches import (
    JOBS_TABLE,
    BatchJobs,
    BatchRunner,
    JobRegistry,
    JobState,
    JobStore,
    JobSweeper,
    JobTakeover,
    OwnerMonitor,
    PeerProbe,
    StoredJob,
)
from verbenawind.clock import Clock
from verbenawind.gateway import (
    BackendPort,
    Directory,
    Forwarder,
    GatewayConfiguration,
    Instance,
    RouteTable,
    StreamForwarder,
)
from verbenawind.ids import new_id
from verbenawind.kernel.messages import Location, Value
from verbenawind.kernel.rendezvous import top
from verbenawind.kernel.row_ports import RowId, RowStore, StoredRow
from verbenawind.state.heartbeats import HOSTS_TABLE, HostHeartbeat, HostHeartbeats
from verbenawind.state.row_lease import RowLease
from verbenawind.state.table_follower import FEED_PAUSE_S, FEED_WAIT_S, TableFollower
from verbenawind.supervision import supervise
from verbenawind.timings import Timings
from verbenawind.weights.load_scheduler import LoadScheduler, OrderPort

__all__ = ["NamedVersion", "Node", "NodeSettings", "RegistryFormat"]

_LEASE_KEY = "lease/orders"
# Hosts beyond this rank all wait equally long before they contend for the lease.
_RANKED_HOSTS = 8
_HAND_OVER_S = 1.5
# Jobs change rarely, and a new one should begin soon.
_JOBS_PAUSE_S = 0.05
# Only jobs that are younger tell how far behind the newest version a trainer is when it asks;
# versions that are named later make older jobs look further behind.
_NEW_JOB_S = 1.0
# A silent host is noticed by a feed that answers often.
_HOSTS_WAIT_S = 0.5


class NamedVersion(Value, frozen=True, kw_only=True):
    """The newest weights of a model, as its trainer names them."""

    model: str
    version: int


class RegistryFormat(Protocol):
    """Decodes the rows that operators, trainers and backend servers write."""

    operator_table: str
    servers_table: str

    def operator_row(self, key: str, value: bytes) -> GatewayConfiguration | NamedVersion | None:
        """Return what a row says, None where it is of no concern.

        Raises:
            msgspec.MsgspecError: The row cannot be read.
        """

    def instance(self, instance_id: str, value: bytes) -> Instance | None:
        """Return a backend server's entry, None where it names none that can be used."""


class NodeSettings(Value, frozen=True, kw_only=True):
    """What the parts need to know of this host.

    ``order_gap_s`` is how far apart orders of two holders must be; ``job_status_s`` for how long
    a job may be read after its submission.
    """

    host: str
    location: Location
    peer_address: str
    max_row_bytes: int
    order_gap_s: float
    job_status_s: float


class Node:
    """Wires the parts of one host.

    Args:
        settings: This host.
        store: The row store, and its clock.
        store_ms: The store's clock in milliseconds.
        backends: Sends requests to backend servers.
        orders: Gives orders to engines.
        registry: Decodes rows of other writers.
        probe: Asks other hosts whether their daemon is there.
        clock: Time source.
        boot_s: Time that also passes while the host is suspended.
        rng: Jitter.
        timings: Takes in measured durations.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        store: RowStore,
        store_ms: Callable[[], int],
        backends: BackendPort,
        orders: OrderPort,
        registry: RegistryFormat,
        probe: PeerProbe,
        clock: Clock,
        boot_s: Callable[[], float],
        rng: Random,
        timings: Timings,
    ) -> None:
        self._settings = settings
        self._store = store
        self._store_ms = store_ms
        self._registry = registry
        self._clock = clock
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self._log = structlog.get_logger("node")
        self.routes: RouteTable | None = None
        self.newest: dict[str, int] = {}

        self.operator_feed = self._follower(registry.operator_table, self._take_operator_row)
        self.servers_feed = self._follower(registry.servers_table, self._take_server_row)
        self.hosts_feed = self._follower(HOSTS_TABLE, self._take_host_row, wait_s=_HOSTS_WAIT_S)
        self.jobs_feed = self._follower(
            JOBS_TABLE, self._take_job_row, partitioned=True, pause_s=_JOBS_PAUSE_S
        )

        self.directory = Directory(clock)
        self.servers_feed.on_response(self.directory.feed_recovered)
        beat = HostHeartbeat(
            host=settings.host,
            incarnation=new_id("run").removeprefix("run-"),
            address=settings.peer_address,
            location=settings.location,
            number=0,
        )
        self.job_registry = JobRegistry(clock)
        job_store = JobStore(store, settings.max_row_bytes)
        self.runner = BatchRunner(
            owner=beat.owner_id,
            job_store=job_store,
            job_registry=self.job_registry,
            directory=self.directory,
            port=backends,
            routes=lambda: self.routes,
            newest_version=lambda model: self.newest.get(model, 1),
            current_engines=lambda model, service: self.load_scheduler.assigned_engines(
                model, service
            ),
            loads_soon=lambda model, instance_id: self.load_scheduler.loads_soon(
                model, instance_id
            ),
            store_ms=store_ms,
            timings=timings,
            clock=clock,
        )
        self.beats = HostHeartbeats(
            store,
            beat,
            clock=clock,
            rng=rng,
            busy=lambda: self.runner.busy,
            view_age_s=self.hosts_feed.age_s,
        )
        self.hosts_feed.on_response(self.beats.on_feed_response)
        owner_monitor = OwnerMonitor(self.beats, probe, clock)
        self.job_takeover = JobTakeover(
            self.job_registry, job_store, self.runner, self.beats, owner_monitor, clock
        )
        self.sweeper = JobSweeper(
            self.job_registry,
            job_store,
            is_assigned=self._sweeps,
            store_ms=store_ms,
            retention_s=settings.job_status_s,
            clock=clock,
        )
        self.jobs = BatchJobs(
            job_store, self.job_registry, self.runner, self.beats, store_ms, clock
        )
        self.lease = RowLease(
            store,
            RowId(table=HOSTS_TABLE, key=_LEASE_KEY),
            beat.owner_id,
            act_gap_s=settings.order_gap_s,
            clock=clock,
            boot_s=boot_s,
            store_ms=store_ms,
            view_age_s=self.hosts_feed.age_s,
            rank=self._lease_rank,
            rng=rng,
        )
        self.load_scheduler = LoadScheduler(
            self.directory,
            orders,
            self.lease,
            configuration=lambda: self.routes.configuration if self.routes else None,
            newest=self.newest,
            needed=self._needed_version,
            timings=timings,
            clock=clock,
        )
        self.job_registry.on_change(self._job_changed)
        self.forwarder = Forwarder(self.directory, backends, settings.location, clock)
        self.streams = StreamForwarder(self.directory, backends, settings.location, clock)

    @property
    def informed(self) -> bool:
        """Whether routes and backend servers have been read."""
        return self.routes is not None and self.servers_feed.informed

    @property
    def ready(self) -> bool:
        """Whether this host should be given new callers."""
        return not self._stopping and self.informed and self.jobs_feed.informed

    def start(self) -> None:
        """Begin to work; the node is ready once it knows the configuration."""
        for name, work in (
            ("operator_feed", self.operator_feed.run),
            ("servers_feed", self.servers_feed.run),
            ("hosts_feed", self.hosts_feed.run),
            ("jobs_feed", self.jobs_feed.run),
            ("beats", self.beats.run),
            ("runner", self.runner.run),
            ("keeper", self.job_takeover.run),
            ("sweeper", self.sweeper.run),
            ("lease", self.lease.run),
            ("desk", self.load_scheduler.run),
        ):
            supervised = supervise(name, work, self._clock)
            self._tasks.append(asyncio.get_running_loop().create_task(supervised))

    async def hand_over(self) -> None:
        """Give jobs and the lease up at once; requests go on being served."""
        self._stopping = True
        self.job_takeover.paused = True
        await asyncio.gather(
            self.lease.release(),
            self.runner.hand_over(_HAND_OVER_S),
            self.beats.beat(leaving=True),
        )

    def kill(self) -> None:
        """Stop at once, as a process that dies does."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        self.runner.abandon()

    def peer_addresses(self) -> Sequence[str]:
        """Return where other hosts relay store calls."""
        return [beat.address for beat in self.beats.others()]

    # Rows of the store.

    def _follower(
        self,
        table: str,
        listener: Callable[[StoredRow], None],
        *,
        partitioned: bool = False,
        pause_s: float = FEED_PAUSE_S,
        wait_s: float = FEED_WAIT_S,
    ) -> TableFollower:
        return TableFollower(
            self._store,
            table,
            listener,
            clock=self._clock,
            rng=self._rng,
            partitioned=partitioned,
            pause_s=pause_s,
            wait_s=wait_s,
        )

    def _take_operator_row(self, row: StoredRow) -> None:
        if row.value is None:
            return
        try:
            said = self._registry.operator_row(row.row_id.key, row.value)
        except msgspec.MsgspecError as error:
            self._log.error("operator_row_unreadable", key=row.row_id.key, error=str(error))
            return
        if isinstance(said, GatewayConfiguration):
            self._configure(said)
        elif said is not None and said.version > self.newest.get(said.model, 1):
            self.newest[said.model] = said.version
            self._log.info("version_named", model=said.model, version=said.version)
            self.load_scheduler.wake()

    def _configure(self, configuration: GatewayConfiguration) -> None:
        known = self.routes.configuration.version if self.routes is not None else None
        if known is not None and configuration.version <= known:
            return
        self.routes = RouteTable(configuration)
        self._log.info(
            "configuration_in_force",
            version=configuration.version,
            former_version=known,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )

    def _take_server_row(self, row: StoredRow) -> None:
        instance_id = row.row_id.key
        if row.value is None:
            self.directory.remove(instance_id)
            return
        instance = self._registry.instance(instance_id, row.value)
        if instance is None:
            self._log.info("server_entry_unusable", server=instance_id, version=row.version)
            return
        self.directory.put(instance)
        self.load_scheduler.wake()

    def _take_host_row(self, row: StoredRow) -> None:
        if row.row_id.key == _LEASE_KEY:
            self.lease.apply_row(row)
        else:
            self.beats.apply_row(row)

    def _take_job_row(self, row: StoredRow) -> None:
        self.job_registry.apply_row(row)

    def _job_changed(self, job: StoredJob) -> None:
        record = job.record
        is_new = record.age_s(self._store_ms()) < _NEW_JOB_S
        if record.model and record.state is JobState.OPEN and is_new:
            self.load_scheduler.record_lag(record.model, record.min_version)
        self.load_scheduler.wake()

    # Questions of the parts.

    def _sweeps(self, job_id: str) -> bool:
        return top(job_id, self.beats.claimants([]), 1) == [self._settings.host]

    def _lease_rank(self) -> int:
        order = top(_LEASE_KEY, self.beats.claimants([]), _RANKED_HOSTS)
        host = self._settings.host
        return order.index(host) if host in order else _RANKED_HOSTS

    def _needed_version(self, model: str) -> int:
        needed = [
            known.record.min_version
            for known in self.job_registry.open_jobs()
            if known.record.model == model
        ]
        return max(needed, default=0)
