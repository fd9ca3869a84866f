"""The daemon on the platform: its composition root and its life."""

import asyncio
import contextlib
import signal
import sys
from collections.abc import Awaitable, Callable, MutableMapping
from random import Random
from typing import Any

import msgspec
import structlog
from absl import app as absl_app
from absl import flags

from verbenawind.batches import JOBS_TABLE, BatchJobs, BatchRunner, JobBook, JobJournal, JobKeeper
from verbenawind.batches.journal import StoredJob
from verbenawind.clock import Clock, SystemClock, boot_time_s
from verbenawind.errors import SettingsInvalid
from verbenawind.gateway import Directory, Forwarder, RouteTable, StreamForwarder
from verbenawind.http_server import HttpServer
from verbenawind.ids import new_id
from verbenawind.kernel.rendezvous import top
from verbenawind.kernel.row_ports import RowId, StoredRow
from verbenawind.logs import LogCounts, configure_logs
from verbenawind.metrics import Metrics
from verbenawind.platform.backends import HttpBackends
from verbenawind.platform.configuration import (
    CONFIGURATION_KEY,
    VERSION_KEY_PREFIX,
    decode_configuration,
    decode_instance,
    decode_named_version,
)
from verbenawind.platform.front import Front
from verbenawind.platform.names import OPERATOR_TABLE, SERVERS_TABLE
from verbenawind.platform.settings import HostSettings, load_host_settings
from verbenawind.platform.store import PlatformStore
from verbenawind.plugins.http1_client import Http1Client
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.state.beats import HOSTS_TABLE, Beat, HostBeats
from verbenawind.state.following import TableFollower
from verbenawind.state.relay import RelayClient, RelayServer
from verbenawind.state.row_lease import RowLease
from verbenawind.supervision import supervise
from verbenawind.weights.desk import OrderDesk

__all__ = ["PlatformDaemon", "run"]

_EXIT_SETTINGS_INVALID = 2
# A direct store call that takes longer is tried through a peer.
_DIRECT_TIMEOUT_S = 0.7
_STORE_CONNECT_TIMEOUT_S = 0.4
_BACKEND_CONNECT_TIMEOUT_S = 0.4
# The balancer sends new connections until it has missed two answers, a second apart each.
_UNREADY_S = 3.2
_HAND_OVER_S = 1.5
# What is left of the platform's grace for the exit itself.
_EXIT_MARGIN_S = 0.8
_RANKED_HOSTS = 8
_LEASE_KEY = "lease/orders"
_HEAD_BYTES = 256 * 1024
_WRITE_TIMEOUT_S = 20.0

_SETTINGS = flags.DEFINE_string(
    "host_settings", None, "Path of the settings file; the environment names it otherwise."
)
_LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "info", ["debug", "info", "warning", "error"], "The least level that is written."
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class PlatformDaemon:
    """Wires every part; each host runs one.

    Args:
        settings: This host's settings.
        clock: Time source.
        rng: Jitter.
        log_counts: Log lines that were not written.
    """

    def __init__(
        self, settings: HostSettings, clock: Clock, rng: Random, log_counts: LogCounts | None = None
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._rng = rng
        self._log_counts = log_counts
        self._log = structlog.get_logger("daemon")
        self._routes: RouteTable | None = None
        self._newest: dict[str, int] = {}
        self._draining = False
        self._tasks: list[asyncio.Task[None]] = []
        self.metrics = Metrics()

        incarnation = new_id("run")[4:16]
        beat = Beat(
            host=settings.host_name,
            incarnation=incarnation,
            address=settings.peer_address,
            location=settings.location,
            number=0,
        )
        owner = beat.owner_id
        self._store_client = Http1Client(clock, _STORE_CONNECT_TIMEOUT_S)
        self.store = PlatformStore(
            settings.store_address, self._store_client, clock, _DIRECT_TIMEOUT_S
        )
        self._transport = WebSocketPeerTransport()
        self._relay_server = RelayServer(self.store.direct)
        self.store.via = RelayClient(self._transport, self._peer_addresses, clock, rng)

        self._operator_feed = self._follower(OPERATOR_TABLE, self._take_operator_row)
        self._servers_feed = self._follower(SERVERS_TABLE, self._take_server_row)
        self._hosts_feed = self._follower(HOSTS_TABLE, self._take_host_row)
        self._jobs_feed = self._follower(JOBS_TABLE, self._take_job_row, partitioned=True)

        self.directory = Directory(clock)
        self._servers_feed.on_return(self.directory.feed_returned)
        self._backend_client = Http1Client(clock, _BACKEND_CONNECT_TIMEOUT_S)
        backends = HttpBackends(self._backend_client, clock, settings.host_name)

        self.book = JobBook(clock)
        journal = JobJournal(self.store, settings.max_row_bytes)
        self.runner = BatchRunner(
            owner=owner,
            journal=journal,
            book=self.book,
            directory=self.directory,
            port=backends,
            routes=lambda: self._routes,
            newest_version=lambda model: self._newest.get(model, 1),
            store_ms=self.store.store_ms,
            clock=clock,
        )
        self.beats = HostBeats(
            self.store,
            beat,
            clock=clock,
            rng=rng,
            busy=lambda: self.runner.busy,
            view_age_s=self._hosts_feed.age_s,
        )
        self._hosts_feed.on_return(self.beats.view_returned)
        self.keeper = JobKeeper(self.book, journal, self.runner, self.beats, clock)
        jobs = BatchJobs(journal, self.book, self.runner, self.store.store_ms, clock)

        self.lease = RowLease(
            self.store,
            RowId(table=HOSTS_TABLE, key=_LEASE_KEY),
            owner,
            act_gap_s=settings.order_gap_s,
            clock=clock,
            boot_s=boot_time_s,
            store_ms=self.store.store_ms,
            view_age_s=self._hosts_feed.age_s,
            rank=self._lease_rank,
            rng=rng,
        )
        self.desk = OrderDesk(
            self.directory,
            backends,
            self.lease,
            configuration=lambda: self._routes.configuration if self._routes else None,
            newest=self._newest,
            needed=self._needed_version,
            clock=clock,
        )
        self.book.on_change(self._job_changed)
        self.front = Front(
            routes=lambda: self._routes,
            forwarder=Forwarder(self.directory, backends, settings.location, clock),
            streams=StreamForwarder(self.directory, backends, settings.location, clock),
            jobs=jobs,
            metrics=self.metrics,
            clock=clock,
        )
        self._servers = [
            self._server(
                settings.callers_address,
                self.front,
                keep_alive_s=lambda: self.front.limits.idle_timeout_s,
            ),
            self._server(settings.ready_address, self._answer_ready),
            self._server(settings.metrics_address, self._answer_metrics),
        ]
        self.metrics.on_render(self._collect)

    @property
    def ready(self) -> bool:
        """Whether this daemon should be given new callers."""
        return (
            not self._draining
            and self._routes is not None
            and self._servers_feed.informed
            and self._jobs_feed.informed
        )

    async def start(self) -> None:
        """Serve, then learn; the daemon is ready once it knows the configuration."""
        await self._transport.listen(self.settings.peer_address, self._relay_server.serve)
        for server in self._servers:
            await server.start()
        for name, work in (
            ("operator_feed", self._operator_feed.run),
            ("servers_feed", self._servers_feed.run),
            ("hosts_feed", self._hosts_feed.run),
            ("jobs_feed", self._jobs_feed.run),
            ("beats", self.beats.run),
            ("runner", self.runner.run),
            ("keeper", self.keeper.run),
            ("lease", self.lease.run),
            ("desk", self.desk.run),
        ):
            supervised = supervise(name, work, self._clock)
            self._tasks.append(asyncio.get_running_loop().create_task(supervised))
        self._log.info(
            "started",
            owner=self.runner.owner,
            callers_address=self.settings.callers_address,
            zone=self.settings.location.zone,
            store_address=self.settings.store_address,
        )

    async def stop(self) -> None:
        """Give up jobs and the lease at once, serve on until callers are gone, then end."""
        started_s = self._clock.monotonic_s()
        self._draining = self.front.draining = True
        self.keeper.paused = True
        self._log.info("stopping", grace_s=self.settings.stop_grace_s)
        await asyncio.gather(
            self.lease.release(),
            self.runner.hand_over(_HAND_OVER_S),
            self.beats.beat(leaving=True),
        )
        left_s = _UNREADY_S - (self._clock.monotonic_s() - started_s)
        await self._clock.sleep(max(0.0, left_s))
        left_s = self.settings.stop_grace_s - _EXIT_MARGIN_S
        left_s -= self._clock.monotonic_s() - started_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.1, left_s)):
                await self._servers[0].stop()
        for task in self._tasks:
            task.cancel()
        self._log.info("stopped", took_s=round(self._clock.monotonic_s() - started_s, 2))

    # Rows of the store.

    def _follower(
        self, table: str, listener: Callable[[StoredRow], None], *, partitioned: bool = False
    ) -> TableFollower:
        return TableFollower(
            self.store,
            table,
            listener,
            clock=self._clock,
            rng=self._rng,
            partitioned=partitioned,
        )

    def _take_operator_row(self, row: StoredRow) -> None:
        if row.value is None:
            return
        key = row.row_id.key
        try:
            if key == CONFIGURATION_KEY:
                self._configure(row.value)
            elif key.startswith(VERSION_KEY_PREFIX):
                model, version = decode_named_version(row.value)
                if version > self._newest.get(model, 1):
                    self._newest[model] = version
                    self._log.info("version_named", model=model, version=version)
                    self.desk.wake()
        except msgspec.MsgspecError as error:
            self._log.error("operator_row_unreadable", key=key, error=str(error))

    def _configure(self, value: bytes) -> None:
        configuration = decode_configuration(value)
        if self._routes is not None and (
            configuration.version <= self._routes.configuration.version
        ):
            return
        self._routes = RouteTable(configuration)
        self._log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )

    def _take_server_row(self, row: StoredRow) -> None:
        instance_id = row.row_id.key
        if row.value is None:
            self.directory.remove(instance_id)
            return
        instance = decode_instance(instance_id, row.value, self.settings.region_of_zone)
        if instance is None:
            self._log.info("server_entry_unusable", server=instance_id, version=row.version)
            return
        self.directory.put(instance)
        self.desk.wake()

    def _take_host_row(self, row: StoredRow) -> None:
        if row.row_id.key == _LEASE_KEY:
            self.lease.take(row)
        else:
            self.beats.take(row)

    def _take_job_row(self, row: StoredRow) -> None:
        self.book.take_row(row)

    def _job_changed(self, job: StoredJob) -> None:
        if job.record.model and job.record.epoch == 1:
            self.desk.learn_lag(job.record.model, job.record.min_version)
        self.desk.wake()

    # Questions of the parts.

    def _peer_addresses(self) -> list[str]:
        return [beat.address for beat in self.beats.others()]

    def _lease_rank(self) -> int:
        host = self.settings.host_name
        order = top(_LEASE_KEY, self.beats.claimants([]), _RANKED_HOSTS)
        return order.index(host) if host in order else _RANKED_HOSTS

    def _needed_version(self, model: str) -> int:
        needed = [
            known.record.min_version
            for known in self.book.open_jobs()
            if known.record.model == model
        ]
        return max(needed, default=0)

    # HTTP besides the callers'.

    def _server(
        self,
        address: str,
        app: Any,
        *,
        keep_alive_s: Callable[[], float] | None = None,
    ) -> HttpServer:
        host, _, port = address.rpartition(":")
        return HttpServer(
            app,
            host,
            int(port),
            write_timeout_s=_WRITE_TIMEOUT_S,
            keep_alive_s=keep_alive_s,
            max_head_bytes=_HEAD_BYTES,
        )

    async def _answer_ready(self, _scope: Scope, _receive: Receive, send: Send) -> None:
        await _answer(send, 200 if self.ready else 503, b"", "text/plain")

    async def _answer_metrics(self, _scope: Scope, _receive: Receive, send: Send) -> None:
        body, content_type = self.metrics.render(())
        await _answer(send, 200, body, content_type)

    def _collect(self) -> None:
        """Take in what the parts counted by themselves."""
        put = self.metrics.set_value
        for name, count in self.store.calls.items():
            call, _, outcome = name.partition(" ")
            put("store_calls", "Calls of the store.", count, call=call, outcome=outcome)
        for end, count in self.runner.counts.runs.items():
            put("item_runs", "Runs of batch items, by how they ended.", count, end=end)
        for answer, count in self.desk.counts.answers.items():
            put("orders", "Orders to engines, by their answer.", count, answer=answer)
        for feed in ("operator", "servers", "hosts", "jobs"):
            age_s = getattr(self, f"_{feed}_feed").age_s()
            put("feed_age_seconds", "Time since a feed was heard.", age_s, feed=feed)
        put("jobs_owned", "Open jobs that are run here.", len(self.runner.jobs))
        put("results_listed", "Results listed here.", self.runner.counts.listed)
        put("job_takeovers", "Jobs taken over from other daemons.", self.keeper.takeovers)
        put("relayed_calls", "Store calls made for peers.", self._relay_server.relayed)
        put(
            "backend_connections_opened",
            "Connections to backend servers.",
            self._backend_client.opened,
        )
        put("lease_held", "Whether this daemon may order engines.", float(self.lease.epoch > 0))
        put(
            "configuration_version",
            "The configuration in force.",
            self._routes.configuration.version if self._routes else 0,
        )
        if self._log_counts is not None:
            put("log_lines_dropped", "Log lines without a reader.", self._log_counts.dropped)
            for event, count in self._log_counts.omitted.items():
                put("log_lines_omitted", "Log lines beyond their rate.", count, event=event)


async def _answer(send: Send, status: int, body: bytes, content_type: str) -> None:
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def serve(settings: HostSettings, log_counts: LogCounts) -> None:
    """Run a daemon until SIGTERM or SIGINT asks for a graceful stop."""
    daemon = PlatformDaemon(settings, SystemClock(), Random(), log_counts)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings)
    await daemon.start()
    await stopping.wait()
    await daemon.stop()


def _reload(settings: HostSettings) -> None:
    """Read the settings again and say what a restart would change; nothing else is open to it."""
    log = structlog.get_logger("daemon")
    try:
        read = load_host_settings(_SETTINGS.value)
    except SettingsInvalid as error:
        log.error("settings_not_reloaded", reason=error.message)
        return
    changed = [
        name
        for name in settings.__struct_fields__
        if getattr(read, name) != getattr(settings, name)
    ]
    log.info("settings_reloaded", changed_until_restart=changed)


def _main(_: list[str]) -> None:
    try:
        settings = load_host_settings(_SETTINGS.value)
    except SettingsInvalid as error:
        print(f"verbenawind.platform: {error.message}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS_INVALID)
    log_counts = configure_logs(_LOG_LEVEL.value, host=settings.host_name)
    asyncio.run(serve(settings, log_counts))
    log_counts.drain()


def run() -> None:
    """Run the program ``verbenawind-platformd``."""
    absl_app.run(_main)
