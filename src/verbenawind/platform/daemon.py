"""The platform daemon: its composition root, start and shutdown."""

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
from verbenawind.state.table_follower import TableFollower

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
        self._log_counts = log_counts
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
            self._create_server(
                settings.callers_address,
                self.caller_app,
                keep_alive_s=lambda: self.caller_app.limits.idle_timeout_s,
            ),
            self._create_server(settings.ready_address, self._serve_readiness),
            self._create_server(settings.metrics_address, self._serve_metrics),
        ]
        self.metrics.on_render(self._update_gauges)

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
        """Release jobs and the lease, keep serving until callers have disconnected, then stop.

        Requests are served for at least the time in which the load balancer notices that the daemon
        is not ready, and at most until shortly before the platform's grace period ends.
        """
        started_s = self._clock.monotonic_s()
        self.caller_app.draining = True
        self._log.info("stopping", grace_s=self.settings.stop_grace_s)
        await self.node.hand_over()
        remaining_s = _UNREADY_NOTICE_S - (self._clock.monotonic_s() - started_s)
        await self._clock.sleep(max(0.0, remaining_s))
        remaining_s = self.settings.stop_grace_s - _EXIT_MARGIN_S
        remaining_s -= self._clock.monotonic_s() - started_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.1, remaining_s)):
                await self._servers[0].stop()
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

    def _update_limit_gauges(self) -> None:
        """Update the gauges of the servers that limit the requests that they take."""
        limits, allowances = self.node.limits, self.node.allowances
        set_gauge = self.metrics.set_value
        for backend in self.node.directory.all():
            instance = backend.instance
            rate_per_s = limits.rate_per_s(instance)
            if rate_per_s is None and not limits.recent_sends(instance):
                continue
            server = instance.instance_id
            set_gauge(
                "server_limit_per_second",
                "Requests a second that a server takes from all hosts; -1 for any number.",
                -1.0 if rate_per_s is None else rate_per_s,
                server=server,
            )
            set_gauge(
                "server_limit_share",
                "Part of a limited server's turns that this host has had lately.",
                allowances.share(instance),
                server=server,
            )
            set_gauge(
                "server_limit_sends",
                "Requests that this host sent a limited server in the last 4 s.",
                limits.recent_sends(instance),
                server=server,
            )
        set_gauge(
            "limit_refusals",
            "Requests refused since their servers take no more in time.",
            allowances.refusals,
        )

    def _update_gauges(self) -> None:
        """Update the gauges from the components' own counts."""
        set_gauge = self.metrics.set_value
        for name, count in self.store.calls.items():
            call, _, outcome = name.partition(" ")
            set_gauge(
                "store_calls",
                "Store calls, by call and outcome.",
                count,
                call=call,
                outcome=outcome,
            )
        for end, count in self.node.runner.counts.runs.items():
            set_gauge("item_runs", "Runs of batch items, by outcome.", count, end=end.value)
        for score_end, count in self.node.runner.scoring.counts.items():
            set_gauge("scoring_calls", "Scoring calls, by outcome.", count, end=score_end.value)
        for evidence, count in self.node.server_ends.counts.items():
            set_gauge(
                "server_ends",
                "Decisions whether a server that left a request unanswered had ended, by evidence.",
                count,
                evidence=evidence.name.lower(),
            )
        set_gauge(
            "servers_left_by_answer",
            "Servers that announced in an answer, before the registry, that they leave.",
            self.node.directory.left_by_answer,
        )
        self._update_limit_gauges()
        guard = self.node.guard
        set_gauge(
            "requests_suspected",
            "Distinct requests under which servers ended, as reported by all hosts.",
            len(guard.history.fingerprints()),
        )
        set_gauge(
            "requests_convicted",
            "Distinct requests that are refused because servers ended under them.",
            len(guard.convicted),
        )
        set_gauge(
            "convicted_refusals",
            "Refusals of requests under which servers ended.",
            guard.refusals,
        )
        set_gauge("convicted_trials", "Trials of convicted requests by this host.", guard.trials)
        for answer, count in self.node.load_scheduler.counts.answers.items():
            set_gauge("orders", "Load orders to engines, by answer.", count, answer=answer)
        for feed in ("operator", "servers", "hosts", "jobs"):
            follower: TableFollower = getattr(self.node, f"{feed}_feed")
            set_gauge(
                "feed_age_seconds",
                "Time since the last response of a feed.",
                follower.age_s(),
                feed=feed,
            )
            set_gauge(
                "feed_rows_failed",
                "Rows of a feed that could not be applied and were skipped.",
                follower.rows_failed,
                feed=feed,
            )
        set_gauge(
            "server_entries_unusable",
            "Registry entries that name no server to use.",
            len(self.node.unusable_servers),
        )
        self._update_server_gauges()
        set_gauge("jobs_owned", "Open batch jobs owned by this daemon.", len(self.node.runner.jobs))
        set_gauge(
            "results_listed",
            "Batch results listed by this daemon.",
            self.node.runner.results_listed,
        )
        set_gauge(
            "job_takeovers",
            "Batch jobs taken over from other daemons.",
            self.node.job_takeover.takeovers,
        )
        set_gauge("relayed_calls", "Store calls relayed for peers.", self._relay_server.relayed)
        set_gauge(
            "backend_connections_opened",
            "Connections opened to backend servers.",
            self._backend_client.connections_opened,
        )
        set_gauge(
            "lease_held",
            "Whether this daemon holds the lease for load orders.",
            float(self.node.lease.epoch > 0),
        )
        set_gauge(
            "configuration_version",
            "Version of the configuration in force, 0 if there is none.",
            self.node.routes.configuration.version if self.node.routes else 0,
        )
        if self._log_counts is not None:
            set_gauge(
                "log_lines_dropped",
                "Log lines dropped because the output was blocked or closed.",
                self._log_counts.dropped,
            )
            for event, count in self._log_counts.omitted.items():
                set_gauge(
                    "log_lines_omitted",
                    "Log lines omitted by the rate limit, by event.",
                    count,
                    event=event,
                )

    def _update_server_gauges(self) -> None:
        """Update the gauges of servers by state, contact age and weight versions."""
        set_gauge = self.metrics.set_value
        servers = list(self.node.directory.all())
        beliefs = Counter((server.instance.service, server.belief) for server in servers)
        for service in {server.instance.service for server in servers}:
            for belief in ServerState:
                count = beliefs[service, belief]
                help_text = "Registered servers, by the state that this daemon has recorded."
                set_gauge("servers", help_text, count, service=service, belief=belief.value)
            set_gauge(
                "server_belief_age_seconds",
                "Longest time since the last contact with a server of the service.",
                max(s.last_contact_age_s for s in servers if s.instance.service == service),
                service=service,
            )
        for model, newest in self.node.newest_versions.items():
            loaded = [server.versions[model] for server in servers if model in server.versions]
            set_gauge("version_named", "Newest published weight version.", newest, model=model)
            set_gauge(
                "server_versions_behind",
                "Versions by which servers are behind the newest, summed over a model's servers.",
                sum(max(0, newest - version) for version in loaded),
                model=model,
            )


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
