"""The daemon: its composition root, start and shutdown, and the program ``verbenawindd``."""

import asyncio
import signal
import sys
from functools import partial
from random import Random

import structlog
from absl import app as absl_app
from absl import flags

from verbenawind.api import EXPLAIN_CALL, ApiServices, answer_explain_call, build_app
from verbenawind.clock import SystemClock
from verbenawind.decisions import DecisionRecord, record_decisions_in
from verbenawind.errors import SettingsInvalid, StoreUnavailable
from verbenawind.http_server import HttpServer
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import Location
from verbenawind.kernel.ports import ExternalDependencies
from verbenawind.logs import configure_logs
from verbenawind.membership import FleetWatcher, GossipBus
from verbenawind.metrics import Metrics
from verbenawind.plugins.backend_clients import PluginBackendClients
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.plugins.platform_http import (
    HttpHostList,
    HttpObjectStore,
    HttpTableStore,
    HttpWeightStore,
)
from verbenawind.rollout import Rollouts
from verbenawind.routing import Dispatcher, RoutingPolicy
from verbenawind.settings import DaemonSettings, load_settings
from verbenawind.state import ConfigurationStore, LeaseManager, ObjectClient, TableClient
from verbenawind.supervision import supervise
from verbenawind.traces import LiveRecording
from verbenawind.weights import WeightsController

__all__ = ["Core", "Daemon", "connect_dependencies", "run"]

_EXIT_SETTINGS_INVALID = 2
_INITIAL_VIEW_TIMEOUT_S = 3.0
_SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file.")


class Core:
    """The composition root: all components of a daemon except its HTTP server.

    Args:
        settings: The daemon's settings.
        dependencies: Adapters to external systems.
    """

    def __init__(self, settings: DaemonSettings, dependencies: ExternalDependencies) -> None:
        clock, rng = dependencies.clock, dependencies.rng
        self.settings = settings
        self.dependencies = dependencies
        self.metrics = Metrics()
        self.decisions = DecisionRecord(settings.limits.max_explained_requests)
        self.fleet = Fleet(clock, Location(zone=settings.zone, region=settings.region))
        self.table = TableClient(dependencies.table, clock, rng)
        self.objects = ObjectClient(dependencies.objects, clock, rng)
        self.peers = GossipBus(
            peer_id=settings.daemon_id,
            location=self.fleet.location,
            listen=settings.peer_listen,
            key=settings.peer_key.encode(),
            seeds=settings.peer_seeds,
            transport=dependencies.transport,
            clock=clock,
            rng=rng,
        )
        self.leases = LeaseManager(
            self.table,
            clock,
            settings.daemon_id,
            rng=rng,
            peers=self.peers,
            zone=settings.zone,
            expects_peers=bool(settings.peer_seeds),
        )
        self.configuration = ConfigurationStore(self.table, clock, rng=rng, peers=self.peers)
        self.dispatcher = Dispatcher(
            fleet=self.fleet,
            clients=dependencies.clients,
            clock=clock,
            rng=rng,
            configuration=self.configuration,
            table=self.table,
            objects=self.objects,
            peers=self.peers,
            metrics=self.metrics,
            policy=RoutingPolicy(max_queued=settings.limits.max_queued_requests),
        )
        self.watcher = FleetWatcher(
            fleet=self.fleet,
            hosts=dependencies.hosts,
            clients=dependencies.clients,
            peers=self.peers,
            clock=clock,
            rng=rng,
        )
        self.rollouts = Rollouts(
            table=self.table,
            objects=self.objects,
            leases=self.leases,
            generator=self.dispatcher,
            peers=self.peers,
            fleet=self.fleet,
            clients=dependencies.clients,
            clock=clock,
            rng=rng,
            metrics=self.metrics,
        )
        self.weights = WeightsController(
            fleet=self.fleet,
            clients=dependencies.clients,
            table=self.table,
            store=dependencies.weights,
            leases=self.leases,
            peers=self.peers,
            configuration=self.configuration,
            clock=clock,
            rng=rng,
        )
        self.metrics.on_render(self._update_gauges)
        self._ready = False
        self._tasks: list[asyncio.Task[None]] = []
        self._log = structlog.get_logger("daemon")

    @property
    def ready(self) -> bool:
        """Whether the daemon accepts new work."""
        return self._ready and self.configuration.informed and not self.peers.superseded

    @ready.setter
    def ready(self, ready: bool) -> None:
        self._ready = ready

    async def start(self) -> None:
        """Start the background tasks; the daemon is ready once it has read the configuration."""
        self.configuration.subscribe(self.rollouts.apply)
        await self.peers.start()
        await self._read_initial_view()
        for name, work in (
            ("watcher", self.watcher.run),
            ("weights", self.weights.run),
            ("configuration", self.configuration.run),
        ):
            supervised = supervise(name, work, self.dependencies.clock)
            self._tasks.append(asyncio.get_running_loop().create_task(supervised))
        self.ready = True

    async def _read_initial_view(self) -> None:
        """Read the configuration and the servers, waiting for a limited time.

        A slow platform does not delay the start further, since peers may have the configuration.
        """
        loop = asyncio.get_running_loop()
        reads = [
            loop.create_task(self._refresh_configuration()),
            loop.create_task(self.watcher.refresh()),
        ]
        self._tasks += reads
        await asyncio.wait(reads, timeout=_INITIAL_VIEW_TIMEOUT_S)

    async def stop(self) -> None:
        """Stop all work and release the leases."""
        self.ready = False
        await self.rollouts.stop()
        await self._cancel_tasks()
        await self.weights.stop()
        await self.leases.stop()
        await self.peers.stop()

    async def kill(self) -> None:
        """Stop immediately without releasing leases or notifying peers, as in a crash."""
        self.ready = False
        self.leases.abandon()
        self.weights.abandon()
        await self.peers.kill()
        await self.rollouts.kill()
        await self._cancel_tasks()

    def _update_gauges(self) -> None:
        """Update the gauges from the dispatcher's counts."""
        stats = self.dispatcher.stats
        for name, value, help_text in (
            ("engine_choices", stats.choices, "Engine choices."),
            (
                "engine_choices_by_prefix",
                stats.first_preference_choices,
                "Engine choices that followed the prefix preference.",
            ),
            ("attempt_retries", stats.retries, "Retried attempts."),
        ):
            self.metrics.set_value(name, help_text, value)

    async def _cancel_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _refresh_configuration(self) -> None:
        try:
            await self.configuration.refresh()
        except StoreUnavailable as error:
            self._log.warning("configuration_unavailable", error=error.message)


class Daemon:
    """A core and its HTTP server.

    Args:
        settings: The daemon's settings.
        dependencies: Adapters to external systems.
    """

    def __init__(self, settings: DaemonSettings, dependencies: ExternalDependencies) -> None:
        self.core = Core(settings, dependencies)
        if isinstance(dependencies.clients, PluginBackendClients):
            self.core.configuration.subscribe(dependencies.clients.apply)
        self._recording = _recording(self.core, settings.trace_file)
        recorder = self._recording.recorder if self._recording else None
        services = ApiServices(
            settings=settings,
            configuration=self.core.configuration,
            generator=recorder or self.core.dispatcher,
            service_caller=recorder or self.core.dispatcher,
            rollouts=recorder or self.core.rollouts,
            fleet=self.core.fleet,
            peers=self.core.peers,
            decisions=self.core.decisions,
            metrics=self.core.metrics,
            clock=dependencies.clock,
            ready=lambda: self.core.ready,
        )
        self.core.peers.on_call(EXPLAIN_CALL, partial(answer_explain_call, services))
        host, _, port = settings.listen.rpartition(":")
        self._guard = build_app(services)
        self._server = HttpServer(
            self._guard,
            host,
            int(port),
            max_connections=settings.limits.max_connections,
            header_timeout_s=settings.limits.header_timeout_s,
            write_timeout_s=settings.limits.write_timeout_s,
        )

    @property
    def address(self) -> str:
        """The bound address of the HTTP interface as ``IP:port``."""
        return self._server.address

    async def start(self) -> None:
        """Start the core, then the HTTP server."""
        record_decisions_in(self.core.decisions)
        await self.core.start()
        if self._recording is not None:
            self._recording.begin()
        await self._server.start()

    async def stop(self) -> None:
        """Become unready, let requests in flight finish, then stop."""
        self.core.ready = False
        await self.core.dependencies.clock.sleep(self.core.settings.unready_grace_s)
        self._guard.draining = True
        await asyncio.gather(self._server.stop(), self.core.rollouts.stop())
        await self.core.dispatcher.drain()
        await self.core.stop()
        if self._recording is not None:
            self._recording.close()

    async def kill(self) -> None:
        """Stop immediately, as in a crash."""
        await self.core.kill()
        await self._server.kill()


def _recording(core: Core, path: str) -> LiveRecording | None:
    if not path:
        return None
    return LiveRecording(
        path,
        core.dependencies.clock,
        fleet=core.fleet,
        peers=core.peers,
        configuration=core.configuration,
        generator=core.dispatcher,
        services=core.dispatcher,
        rollouts=core.rollouts,
    )


def connect_dependencies(settings: DaemonSettings) -> ExternalDependencies:
    """Create the adapters to the external systems named in the settings."""
    url = settings.platform_url
    return ExternalDependencies(
        clock=SystemClock(),
        rng=Random(),
        table=HttpTableStore(url),
        objects=HttpObjectStore(url),
        hosts=HttpHostList(url),
        weights=HttpWeightStore(url),
        clients=PluginBackendClients(),
        transport=WebSocketPeerTransport(),
    )


async def serve(settings: DaemonSettings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully."""
    daemon = Daemon(settings, connect_dependencies(settings))
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopping.set)
    await daemon.start()
    structlog.get_logger("daemon").info("serving", address=daemon.address)
    await stopping.wait()
    await daemon.stop()


def _main(_: list[str]) -> None:
    try:
        settings = load_settings(_SETTINGS.value)
    except SettingsInvalid as error:
        print(f"verbenawindd: {error.message}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS_INVALID)
    configure_logs(settings.log_level, daemon_id=settings.daemon_id)
    asyncio.run(serve(settings))


def run() -> None:
    """Entry point of ``verbenawindd``."""
    flags.mark_flag_as_required("settings")
    absl_app.run(_main)


if __name__ == "__main__":
    run()
