"""The platform daemon: its composition root, start and shutdown."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable, MutableMapping
from random import Random
from typing import Any

import structlog
from absl import app as absl_app
from absl import flags

from verbenawind.clock import Clock, SystemClock, boot_time_s
from verbenawind.errors import SettingsInvalid
from verbenawind.gateway import Drain, RequestDurations
from verbenawind.http_server import HttpServer
from verbenawind.logs import LogCounts, configure_logs
from verbenawind.metrics import Metrics
from verbenawind.node import Node, NodeSettings
from verbenawind.platform.backends import HttpBackends
from verbenawind.platform.caller_app import CallerApp
from verbenawind.platform.configuration import PlatformRegistry
from verbenawind.platform.gauges import DaemonGauges
from verbenawind.platform.job_calls import JobCalls
from verbenawind.platform.settings import HostSettings, load_host_settings
from verbenawind.platform.store import PlatformStore
from verbenawind.plugins.http1_client import Http1Client
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.plugins.tcp_probe import TcpProbe
from verbenawind.state.relay import RelayClient, RelayServer

__all__ = ["PlatformDaemon", "run"]

_EXIT_SETTINGS_INVALID = 2
# Timeout of a direct store call, after which the call is relayed by a peer.
_DIRECT_TIMEOUT_S = 0.7
_STORE_CONNECT_TIMEOUT_S = 0.4
_BACKEND_CONNECT_TIMEOUT_S = 0.4
# A refused connection is reported within one round trip.
_PROBE_TIMEOUT_S = 0.3
# The load balancer sends new connections until two readiness checks, one second apart, have failed.
_UNREADY_NOTICE_S = 3.2
# The part of the platform's grace period that is reserved for the exit of the process.
_EXIT_MARGIN_S = 0.8
_MIN_DRAIN_S = 0.1
# With a short grace period, requests in flight have at least half of it after the notice.
_MAX_NOTICE_FRACTION = 0.5
# How long callers have to read the answers to requests that are ended.
_LAST_ANSWERS_S = 0.3
_MAX_HEAD_BYTES = 256 * 1024
_WRITE_TIMEOUT_S = 20.0

_SETTINGS = flags.DEFINE_string(
    "host_settings", None, "Path of the settings file; default is $VERBENAWIND_SETTINGS."
)
_LOG_LEVEL = flags.DEFINE_enum(
    "log_level", "info", ["debug", "info", "warning", "error"], "Minimum level of log lines."
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class PlatformDaemon:
    """Creates and connects the components of the daemon; each host runs one.

    Args:
        settings: This host's settings.
        clock: Time source.
        rng: Random number generator for jitter.
        log_counts: Counts of log lines that were not written, for the metrics.
    """

    def __init__(
        self, settings: HostSettings, clock: Clock, rng: Random, log_counts: LogCounts | None = None
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._log = structlog.get_logger("daemon")
        self.metrics = Metrics()
        self.store = PlatformStore(
            settings.store_address,
            Http1Client(clock, _STORE_CONNECT_TIMEOUT_S),
            clock,
            _DIRECT_TIMEOUT_S,
            self.metrics,
            max_object_bytes=settings.max_object_bytes,
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
        durations = RequestDurations(clock)
        self.drain = Drain(durations, clock)
        self.caller_app = CallerApp(
            routes=lambda: self.node.routes,
            informed=lambda: self.node.informed,
            forwarder=self.node.forwarder,
            streams=self.node.streams,
            job_calls=JobCalls(self.node.jobs, self.drain, clock),
            drain=self.drain,
            durations=durations,
            metrics=self.metrics,
            clock=clock,
        )
        self._servers = [
            self._create_server(
                settings.callers_address,
                self.caller_app,
                keep_alive_s=lambda: self.caller_app.limits.idle_timeout_s,
            ),
            self._create_server(settings.ready_address, self._serve_readiness),
            self._create_server(settings.metrics_address, self._serve_metrics),
        ]
        gauges = DaemonGauges(
            self.metrics,
            self.node,
            self.store,
            self._relay_server,
            self._backend_client,
            log_counts,
        )
        self.metrics.on_render(gauges.update)

    async def start(self) -> None:
        """Start serving, then read the store.

        The daemon is ready once it has read the configuration, the servers and the batch jobs.
        """
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
        """Release jobs and the lease, serve what can end in time, then stop.

        Connections are accepted until the load balancer has noticed that the daemon is not ready.
        What is still in flight shortly before the platform's grace period ends gets an answer, or
        is cut off if its answer has begun.
        """
        started_s = self._clock.monotonic_s()
        drain_s = max(_MIN_DRAIN_S, self.settings.stop_grace_s - _EXIT_MARGIN_S)
        self.drain.begin(drain_s)
        self._log.info("stopping", grace_s=self.settings.stop_grace_s)
        hand_over = asyncio.get_running_loop().create_task(self.node.hand_over())
        await self._clock.sleep(min(_UNREADY_NOTICE_S, drain_s * _MAX_NOTICE_FRACTION))
        closed = asyncio.get_running_loop().create_task(self._servers[0].stop())
        await asyncio.wait({hand_over, closed}, timeout=self.drain.remaining_s)
        if hand_over.done() and (error := hand_over.exception()) is not None:
            # Other hosts take over what was not released.
            self._log.error("hand_over_failed", exc_info=error)
        if not closed.done():
            self.caller_app.end_requests()
            await asyncio.wait({closed}, timeout=_LAST_ANSWERS_S)
        self.node.kill()
        self._log.info("stopped", took_s=round(self._clock.monotonic_s() - started_s, 2))

    async def kill(self) -> None:
        """Stop immediately, as in a crash."""
        self.node.kill()
        for server in self._servers:
            await server.kill()
        await self._transport.aclose()

    # HTTP servers, readiness and metrics.

    def _create_server(
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
            max_head_bytes=_MAX_HEAD_BYTES,
        )

    async def _serve_readiness(self, _scope: Scope, _receive: Receive, send: Send) -> None:
        await _send_response(send, 200 if self.node.ready else 503, b"", "text/plain")

    async def _serve_metrics(self, _scope: Scope, _receive: Receive, send: Send) -> None:
        body, content_type = self.metrics.render(())
        await _send_response(send, 200, body, content_type)


async def _send_response(send: Send, status: int, body: bytes, content_type: str) -> None:
    headers = [
        (b"content-type", content_type.encode()),
        (b"content-length", str(len(body)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def serve(settings: HostSettings, log_counts: LogCounts) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully.

    SIGHUP reads the settings file again and logs the differences.
    """
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
    """Read the settings file again and log which settings a restart would change.

    Settings are only applied at the start.
    """
    log = structlog.get_logger("daemon")
    try:
        reread = load_host_settings(_SETTINGS.value)
    except SettingsInvalid as error:
        log.error("settings_not_reloaded", reason=error.message)
        return
    changed = [
        name
        for name in settings.__struct_fields__
        if getattr(reread, name) != getattr(settings, name)
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
    """Entry point of ``verbenawind-platformd``."""
    absl_app.run(_main)
