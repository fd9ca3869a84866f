"""The daemon on the platform: its composition root and its life."""

import asyncio
import contextlib
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, MutableMapping
from random import Random
from typing import Any

import structlog
from absl import app as absl_app
from absl import flags

from verbenawind.clock import Clock, SystemClock, boot_time_s
from verbenawind.errors import SettingsInvalid
from verbenawind.gateway import ServerState
from verbenawind.http_server import HttpServer
from verbenawind.logs import LogCounts, configure_logs
from verbenawind.metrics import Metrics
from verbenawind.node import Node, NodeSettings
from verbenawind.platform.backends import HttpBackends
from verbenawind.platform.caller_app import CallerApp
from verbenawind.platform.configuration import PlatformRegistry
from verbenawind.platform.settings import HostSettings, load_host_settings
from verbenawind.platform.store import PlatformStore
from verbenawind.plugins.http1_client import Http1Client
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.plugins.tcp_probe import TcpProbe
from verbenawind.state.relay import RelayClient, RelayServer

__all__ = ["PlatformDaemon", "run"]

_EXIT_SETTINGS_INVALID = 2
# A direct store call that takes longer is tried through a peer.
_DIRECT_TIMEOUT_S = 0.7
_STORE_CONNECT_TIMEOUT_S = 0.4
_BACKEND_CONNECT_TIMEOUT_S = 0.4
# A refusal comes within a round trip.
_PROBE_TIMEOUT_S = 0.3
# The balancer sends new connections until it has missed two answers, a second apart each.
_UNREADY_S = 3.2
# What is left of the platform's grace for the exit itself.
_EXIT_MARGIN_S = 0.8
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
        self._log_counts = log_counts
        self._log = structlog.get_logger("daemon")
        self.metrics = Metrics()
        self.store = PlatformStore(
            settings.store_address,
            Http1Client(clock, _STORE_CONNECT_TIMEOUT_S),
            clock,
            _DIRECT_TIMEOUT_S,
            self.metrics,
        )
        self._transport = WebSocketPeerTransport()
        self._relay_server = RelayServer(self.store.direct)
        self._backend_client = Http1Client(clock, _BACKEND_CONNECT_TIMEOUT_S)
        backends = HttpBackends(self._backend_client, clock, settings.host_name)
        self.node = Node(
            NodeSettings(
                host=settings.host_name,
                location=settings.location,
                peer_address=settings.peer_address,
                max_row_bytes=settings.max_row_bytes,
                order_gap_s=settings.order_gap_s,
                job_status_s=settings.job_status_s,
            ),
            store=self.store,
            store_ms=self.store.store_ms,
            backends=backends,
            orders=backends,
            registry=PlatformRegistry(settings.region_of_zone),
            probe=TcpProbe(_PROBE_TIMEOUT_S),
            clock=clock,
            boot_s=boot_time_s,
            rng=rng,
            timings=self.metrics,
        )
        self.store.relay_client = RelayClient(self._transport, self.node.peer_addresses, clock, rng)
        self.caller_app = CallerApp(
            routes=lambda: self.node.routes,
            informed=lambda: self.node.informed,
            forwarder=self.node.forwarder,
            streams=self.node.streams,
            jobs=self.node.jobs,
            metrics=self.metrics,
            clock=clock,
        )
        self._servers = [
            self._server(
                settings.callers_address,
                self.caller_app,
                keep_alive_s=lambda: self.caller_app.limits.idle_timeout_s,
            ),
            self._server(settings.ready_address, self._answer_ready),
            self._server(settings.metrics_address, self._answer_metrics),
        ]
        self.metrics.on_render(self._collect)

    async def start(self) -> None:
        """Serve, then learn; the daemon is ready once it knows the configuration."""
        await self._transport.listen(self.settings.peer_address, self._relay_server.serve)
        for server in self._servers:
            await server.start()
        self.node.start()
        self._log.info(
            "started",
            owner=self.node.runner.owner,
            callers_address=self.settings.callers_address,
            zone=self.settings.location.zone,
            store_address=self.settings.store_address,
        )

    async def stop(self) -> None:
        """Give up jobs and the lease at once, serve on until callers are gone, then end."""
        started_s = self._clock.monotonic_s()
        self.caller_app.draining = True
        self._log.info("stopping", grace_s=self.settings.stop_grace_s)
        await self.node.hand_over()
        left_s = _UNREADY_S - (self._clock.monotonic_s() - started_s)
        await self._clock.sleep(max(0.0, left_s))
        left_s = self.settings.stop_grace_s - _EXIT_MARGIN_S
        left_s -= self._clock.monotonic_s() - started_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.1, left_s)):
                await self._servers[0].stop()
        self.node.kill()
        self._log.info("stopped", took_s=round(self._clock.monotonic_s() - started_s, 2))

    async def kill(self) -> None:
        """Die at once, as a crash would."""
        self.node.kill()
        for server in self._servers:
            await server.kill()
        await self._transport.aclose()

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
        await _answer(send, 200 if self.node.ready else 503, b"", "text/plain")

    async def _answer_metrics(self, _scope: Scope, _receive: Receive, send: Send) -> None:
        body, content_type = self.metrics.render(())
        await _answer(send, 200, body, content_type)

    def _collect(self) -> None:
        """Take in what the parts counted by themselves."""
        put = self.metrics.set_value
        for name, count in self.store.calls.items():
            call, _, outcome = name.partition(" ")
            put("store_calls", "Calls of the store.", count, call=call, outcome=outcome)
        for end, count in self.node.runner.counts.runs.items():
            put("item_runs", "Runs of batch items, by how they ended.", count, end=end.value)
        for answer, count in self.node.load_scheduler.counts.answers.items():
            put("orders", "Orders to engines, by their answer.", count, answer=answer)
        for feed in ("operator", "servers", "hosts", "jobs"):
            age_s = getattr(self.node, f"{feed}_feed").age_s()
            put("feed_age_seconds", "Time since a feed was heard.", age_s, feed=feed)
        self._collect_servers()
        put("jobs_owned", "Open jobs that are run here.", len(self.node.runner.jobs))
        put("results_listed", "Results listed here.", self.node.runner.results_listed)
        put(
            "job_takeovers", "Jobs taken over from other daemons.", self.node.job_takeover.takeovers
        )
        put("relayed_calls", "Store calls made for peers.", self._relay_server.relayed)
        put(
            "backend_connections_opened",
            "Connections to backend servers.",
            self._backend_client.opened,
        )
        put(
            "lease_held", "Whether this daemon may order engines.", float(self.node.lease.epoch > 0)
        )
        put(
            "configuration_version",
            "The configuration in force.",
            self.node.routes.configuration.version if self.node.routes else 0,
        )
        if self._log_counts is not None:
            put("log_lines_dropped", "Log lines without a reader.", self._log_counts.dropped)
            for event, count in self._log_counts.omitted.items():
                put("log_lines_omitted", "Log lines beyond their rate.", count, event=event)

    def _collect_servers(self) -> None:
        """Count the servers by what is believed of them, and how old that is."""
        put = self.metrics.set_value
        servers = list(self.node.directory.all())
        beliefs = Counter((server.instance.service, server.belief) for server in servers)
        for service in {server.instance.service for server in servers}:
            for belief in ServerState:
                count = beliefs[service, belief]
                help_text = "Registered servers, by what this daemon believes of them."
                put("servers", help_text, count, service=service, belief=belief.value)
            put(
                "server_belief_age_seconds",
                "The longest time for which nothing was heard of a server of the service.",
                max(s.last_contact_age_s for s in servers if s.instance.service == service),
                service=service,
            )
        for model, newest in self.node.newest.items():
            held = [server.versions[model] for server in servers if model in server.versions]
            put("version_named", "The newest named weights.", newest, model=model)
            put(
                "server_versions_behind",
                "Versions by which the servers of a model are behind, all together.",
                sum(max(0, newest - version) for version in held),
                model=model,
            )


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
