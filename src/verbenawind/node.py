"""Composition root of one host: gateway, batch jobs and load orders.

A node works on a row store and registered backend servers through ports and contains no HTTP code.
``platform/`` connects it to the platform's protocols; tests and the fault soak connect it to
stand-ins.
"""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

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
    StoredJob,
)
from verbenawind.clock import Clock
from verbenawind.errors import Undecodable
from verbenawind.gateway import (
    CRASH_KEY_PREFIX,
    LIMIT_KEY_PREFIX,
    Allowances,
    BackendPort,
    CrashGuard,
    CrashHistory,
    CrashRecords,
    Directory,
    Forwarder,
    GatewayConfiguration,
    Instance,
    LimitedBackends,
    LimitRecords,
    RouteTable,
    ServerEndMonitor,
    ServerLimits,
    StayingBackends,
    StreamForwarder,
)
from verbenawind.ids import new_id
from verbenawind.kernel.messages import Location, Value
from verbenawind.kernel.probe_ports import AddressProbe
from verbenawind.kernel.rendezvous import top_members
from verbenawind.kernel.row_ports import RowId, RowStore, StoredRow
from verbenawind.state.heartbeats import HOSTS_TABLE, HostHeartbeat, HostHeartbeats
from verbenawind.state.row_lease import RowLease
from verbenawind.state.table_follower import FEED_PAUSE_S, FEED_WAIT_S, TableFollower
from verbenawind.supervision import supervise
from verbenawind.timings import Timings
from verbenawind.weights.limited_orders import LimitedOrders
from verbenawind.weights.load_scheduler import LoadScheduler, OrderPort

__all__ = ["NamedVersion", "Node", "NodeSettings", "RegistryFormat"]

_LEASE_KEY = "lease/orders"
# Hosts beyond this rank all have the same delay before they contend for the lease.
_RANKED_HOSTS = 8
_HAND_OVER_TIMEOUT_S = 1.5
# Short, since jobs change rarely and a new one should start soon.
_JOBS_PAUSE_S = 0.05
# Only jobs younger than this are used to measure how many versions behind a trainer submits jobs:
# versions published after a submission make the job look further behind.
_NEW_JOB_S = 1.0
# Short, since a host that has stopped sending heartbeats is only noticed when the feed responds.
_HOSTS_WAIT_S = 0.5


class NamedVersion(Value, frozen=True, kw_only=True):
    """The newest weight version of a model, as published by its trainer."""

    model: str
    version: int


class RegistryFormat(Protocol):
    """Port that decodes the rows written by operators, trainers and backend servers."""

    operator_table: str
    servers_table: str

    def operator_row(self, key: str, value: bytes) -> GatewayConfiguration | NamedVersion | None:
        """Decode a configuration or a published version; return None for other rows.

        Raises:
            Undecodable: The row is malformed.
        """

    def instance(self, instance_id: str, value: bytes) -> Instance:
        """Decode a backend server's registration.

        Raises:
            Undecodable: The entry is malformed or names no server that could be used.
        """


class NodeSettings(Value, frozen=True, kw_only=True):
    """Settings of this host.

    ``order_gap_s`` is the minimum time between load orders of two lease holders; ``job_status_s``
    is how long after its submission a job can be read.
    """

    host: str
    location: Location
    peer_address: str
    max_row_bytes: int
    order_gap_s: float
    job_status_s: float


class Node:
    """Creates and connects the components of one host.

    Args:
        settings: Settings of this host.
        store: The row store.
        store_ms: Returns the store's clock in milliseconds.
        backends: Sends requests to backend servers.
        orders: Sends load orders to engines.
        registry: Decodes rows of other writers.
        probe: Checks whether the daemon of another host accepts connections.
        clock: Time source.
        boot_s: Returns a monotonic time that includes suspension of the host.
        rng: Random number generator for jitter.
        timings: Records measured durations.
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
        probe: AddressProbe,
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
        self.newest_versions: dict[str, int] = {}
        # Ids whose registry entries name no server to use.
        self.unusable_servers: set[str] = set()

        self.operator_feed = self._create_follower(
            registry.operator_table, self._apply_operator_row
        )
        self.servers_feed = self._create_follower(registry.servers_table, self._apply_server_row)
        self.hosts_feed = self._create_follower(
            HOSTS_TABLE, self._apply_host_row, wait_s=_HOSTS_WAIT_S
        )
        self.jobs_feed = self._create_follower(
            JOBS_TABLE, self._apply_job_row, partitioned=True, pause_s=_JOBS_PAUSE_S
        )

        self.directory = Directory(clock)
        self.servers_feed.on_response(self.directory.feed_recovered)
        heartbeat = HostHeartbeat(
            host=settings.host,
            incarnation=new_id("run").removeprefix("run-"),
            address=settings.peer_address,
            location=settings.location,
            number=0,
        )
        self.limits = ServerLimits(clock, store_ms)
        self.allowances = Allowances(
            self.limits,
            store,
            host=settings.host,
            hosts=lambda: self.heartbeats.claimants([]),
            clock=clock,
            store_ms=store_ms,
            rng=rng,
        )
        self.limit_records = LimitRecords(
            self.limits,
            self.allowances,
            self.directory,
            store,
            HOSTS_TABLE,
            is_assigned=self._is_sweeper_of,
            clock=clock,
            store_ms=store_ms,
            rng=rng,
        )
        limited_backends = LimitedBackends(backends, self.limits, self.allowances, clock, store_ms)
        staying_backends = StayingBackends(limited_backends, self.directory)
        self.server_ends = ServerEndMonitor(
            self.directory, probe, clock, registry_age_s=self.servers_feed.age_s
        )
        crash_history = CrashHistory()
        self.crash_records = CrashRecords(
            crash_history,
            store,
            HOSTS_TABLE,
            heartbeat.owner_id,
            clock=clock,
            store_ms=store_ms,
        )
        self.guard = CrashGuard(
            self.server_ends,
            crash_history,
            self.crash_records,
            is_assigned=self._is_sweeper_of,
            clock=clock,
            store_ms=store_ms,
        )
        self.forwarder = Forwarder(
            self.directory,
            staying_backends,
            settings.location,
            clock,
            self.guard,
            self.allowances,
        )
        self.job_registry = JobRegistry(clock)
        job_store = JobStore(store, settings.max_row_bytes)
        self.runner = BatchRunner(
            owner=heartbeat.owner_id,
            job_store=job_store,
            job_registry=self.job_registry,
            directory=self.directory,
            port=staying_backends,
            forwarder=self.forwarder,
            routes=lambda: self.routes,
            newest_version=lambda model: self.newest_versions.get(model, 1),
            current_engines=lambda model, service: self.load_scheduler.assigned_engines(
                model, service
            ),
            loads_soon=lambda model, instance_id: self.load_scheduler.loads_soon(
                model, instance_id
            ),
            allowances=self.allowances,
            store_ms=store_ms,
            timings=timings,
            clock=clock,
        )
        self.heartbeats = HostHeartbeats(
            store,
            heartbeat,
            clock=clock,
            rng=rng,
            busy=lambda: self.runner.busy,
            view_age_s=self.hosts_feed.age_s,
            store_ms=store_ms,
        )
        self.hosts_feed.on_response(self.heartbeats.on_feed_response)
        owner_monitor = OwnerMonitor(self.heartbeats, probe, clock)
        self.job_takeover = JobTakeover(
            self.job_registry, job_store, self.runner, self.heartbeats, owner_monitor, clock
        )
        self.sweeper = JobSweeper(
            self.job_registry,
            job_store,
            is_assigned=self._is_sweeper_of,
            store_ms=store_ms,
            retention_s=settings.job_status_s,
            clock=clock,
        )
        self.jobs = BatchJobs(
            job_store, self.job_registry, self.runner, self.heartbeats, store_ms, clock
        )
        self.lease = RowLease(
            store,
            RowId(table=HOSTS_TABLE, key=_LEASE_KEY),
            heartbeat.owner_id,
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
            LimitedOrders(orders, limited_backends, self.limits, clock),
            self.lease,
            configuration=lambda: self.routes.configuration if self.routes else None,
            newest=self.newest_versions,
            needed=self._required_version,
            timings=timings,
            clock=clock,
        )
        self.job_registry.on_change(self._on_job_change)
        self.streams = StreamForwarder(
            self.directory,
            staying_backends,
            settings.location,
            clock,
            self.guard,
            self.allowances,
        )

    @property
    def informed(self) -> bool:
        """Whether routes and backend servers have been read."""
        return self.routes is not None and self.servers_feed.informed

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new callers to this host."""
        return not self._stopping and self.informed and self.jobs_feed.informed

    def start(self) -> None:
        """Start the background tasks.

        The node is ready once it has read the configuration, the servers and the batch jobs.
        """
        for name, work in (
            ("operator_feed", self.operator_feed.run),
            ("servers_feed", self.servers_feed.run),
            ("hosts_feed", self.hosts_feed.run),
            ("jobs_feed", self.jobs_feed.run),
            ("beats", self.heartbeats.run),
            ("runner", self.runner.run),
            ("keeper", self.job_takeover.run),
            ("sweeper", self.sweeper.run),
            ("crash_records", self.crash_records.run),
            ("crash_guard", self.guard.run),
            ("limit_records", self.limit_records.run),
            ("lease", self.lease.run),
            ("desk", self.load_scheduler.run),
        ):
            supervised = supervise(name, work, self._clock)
            self._tasks.append(asyncio.get_running_loop().create_task(supervised))

    async def hand_over(self) -> None:
        """Release the lease and hand over the jobs; requests are still served afterwards."""
        self._stopping = True
        self.job_takeover.paused = True
        await asyncio.gather(
            self.lease.release(),
            self.runner.hand_over(_HAND_OVER_TIMEOUT_S),
            self.heartbeats.write(leaving=True),
        )

    def kill(self) -> None:
        """Stop immediately, as in a crash of the process."""
        self._stopping = True
        for task in self._tasks:
            task.cancel()
        self.runner.abandon()

    def peer_addresses(self) -> Sequence[str]:
        """Return the addresses of other hosts, which can relay store calls."""
        return [heartbeat.address for heartbeat in self.heartbeats.others()]

    # Store feeds.

    def _create_follower(
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

    def _apply_operator_row(self, row: StoredRow) -> None:
        if row.value is None:
            return
        try:
            decoded = self._registry.operator_row(row.row_id.key, row.value)
        except Undecodable as error:
            self._log.error("operator_row_unreadable", key=row.row_id.key, error=error.message)
            return
        if isinstance(decoded, GatewayConfiguration):
            self._apply_configuration(decoded)
        elif decoded is not None and decoded.version > self.newest_versions.get(decoded.model, 1):
            self.newest_versions[decoded.model] = decoded.version
            self._log.info("version_named", model=decoded.model, version=decoded.version)
            self.load_scheduler.wake()

    def _apply_configuration(self, configuration: GatewayConfiguration) -> None:
        current_version = self.routes.configuration.version if self.routes is not None else None
        if current_version is not None and configuration.version <= current_version:
            return
        self.routes = RouteTable(configuration)
        self._log.info(
            "configuration_in_force",
            version=configuration.version,
            former_version=current_version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )

    def _apply_server_row(self, row: StoredRow) -> None:
        instance_id = row.row_id.key
        if row.value is None:
            self.unusable_servers.discard(instance_id)
            self.directory.remove(instance_id)
            return
        try:
            instance = self._registry.instance(instance_id, row.value)
        except Undecodable as error:
            # Whatever the entry said before, it names no server to use now.
            self.unusable_servers.add(instance_id)
            self.directory.remove(instance_id)
            self._log.warning(
                "server_entry_unusable",
                server=instance_id,
                version=row.version,
                error=error.message,
            )
            return
        self.unusable_servers.discard(instance_id)
        self.directory.put(instance)
        self.load_scheduler.wake()

    def _apply_host_row(self, row: StoredRow) -> None:
        if row.row_id.key == _LEASE_KEY:
            self.lease.apply_row(row)
        elif row.row_id.key.startswith(CRASH_KEY_PREFIX):
            self.crash_records.apply_row(row)
        elif row.row_id.key.startswith(LIMIT_KEY_PREFIX):
            self.limit_records.apply_row(row)
        else:
            self.heartbeats.apply_row(row)

    def _apply_job_row(self, row: StoredRow) -> None:
        self.job_registry.apply_row(row)

    def _on_job_change(self, job: StoredJob) -> None:
        record = job.record
        is_new = record.age_s(self._store_ms()) < _NEW_JOB_S
        if record.model and record.state is JobState.OPEN and is_new:
            self.load_scheduler.record_lag(record.model, record.min_version)
        self.load_scheduler.wake()

    # Callbacks of the components.

    def _is_sweeper_of(self, key: str) -> bool:
        return top_members(key, self.heartbeats.claimants([]), 1) == [self._settings.host]

    def _lease_rank(self) -> int:
        ranking = top_members(_LEASE_KEY, self.heartbeats.claimants([]), _RANKED_HOSTS)
        host = self._settings.host
        return ranking.index(host) if host in ranking else _RANKED_HOSTS

    def _required_version(self, model: str) -> int:
        required = [
            job.record.min_version
            for job in self.job_registry.open_jobs()
            if job.record.model == model
        ]
        return max(required, default=0)
