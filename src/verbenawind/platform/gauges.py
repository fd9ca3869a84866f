"""The gauges of the platform daemon, read from its components when metrics are rendered."""

from collections import Counter

from verbenawind.gateway import ServerState
from verbenawind.logs import LogCounts
from verbenawind.metrics import Metrics
from verbenawind.node import Node
from verbenawind.platform.store import PlatformStore
from verbenawind.plugins.http1_client import Http1Client
from verbenawind.state.relay import RelayServer
from verbenawind.state.table_follower import TableFollower

__all__ = ["DaemonGauges"]


class DaemonGauges:
    """Sets the gauges from the components' own counts.

    Args:
        metrics: The gauges.
        node: The host's components.
        store: Counts its calls.
        relay_server: Counts the calls that it relayed for peers.
        backend_client: Counts the connections that it opened to servers.
        log_counts: Counts of log lines that were not written.
    """

    __slots__ = ("_backend_client", "_log_counts", "_metrics", "_node", "_relay_server", "_store")

    def __init__(
        self,
        metrics: Metrics,
        node: Node,
        store: PlatformStore,
        relay_server: RelayServer,
        backend_client: Http1Client,
        log_counts: LogCounts | None,
    ) -> None:
        self._metrics = metrics
        self._node = node
        self._store = store
        self._relay_server = relay_server
        self._backend_client = backend_client
        self._log_counts = log_counts

    def update(self) -> None:
        """Update the gauges."""
        set_gauge = self._metrics.set_value
        for name, count in self._store.calls.items():
            call, _, outcome = name.partition(" ")
            set_gauge(
                "store_calls",
                "Store calls, by call and outcome.",
                count,
                call=call,
                outcome=outcome,
            )
        for end, count in self._node.runner.counts.runs.items():
            set_gauge("item_runs", "Runs of batch items, by outcome.", count, end=end.value)
        for score_end, count in self._node.runner.scoring.counts.items():
            set_gauge("scoring_calls", "Scoring calls, by outcome.", count, end=score_end.value)
        for evidence, count in self._node.server_ends.counts.items():
            set_gauge(
                "server_ends",
                "Decisions whether a server that left a request unanswered had ended, by evidence.",
                count,
                evidence=evidence.name.lower(),
            )
        set_gauge(
            "servers_left_by_answer",
            "Servers that announced in an answer, before the registry, that they leave.",
            self._node.directory.left_by_answer,
        )
        self._update_limit_gauges()
        guard = self._node.guard
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
        for answer, count in self._node.load_scheduler.counts.answers.items():
            set_gauge("orders", "Load orders to engines, by answer.", count, answer=answer)
        for feed in ("operator", "servers", "hosts", "jobs"):
            follower: TableFollower = getattr(self._node, f"{feed}_feed")
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
            len(self._node.unusable_servers),
        )
        self._update_server_gauges()
        set_gauge(
            "jobs_owned", "Open batch jobs owned by this daemon.", len(self._node.runner.jobs)
        )
        set_gauge(
            "results_listed",
            "Batch results listed by this daemon.",
            self._node.runner.results_listed,
        )
        set_gauge(
            "job_takeovers",
            "Batch jobs taken over from other daemons.",
            self._node.job_takeover.takeovers,
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
            float(self._node.lease.epoch > 0),
        )
        set_gauge(
            "configuration_version",
            "Version of the configuration in force, 0 if there is none.",
            self._node.routes.configuration.version if self._node.routes else 0,
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

    def _update_limit_gauges(self) -> None:
        """Update the gauges of the servers that limit the requests that they take."""
        limits, allowances = self._node.limits, self._node.allowances
        set_gauge = self._metrics.set_value
        for backend in self._node.directory.all():
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

    def _update_server_gauges(self) -> None:
        """Update the gauges of servers by state, contact age and weight versions."""
        set_gauge = self._metrics.set_value
        servers = list(self._node.directory.all())
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
        for model, newest in self._node.newest_versions.items():
            loaded = [server.versions[model] for server in servers if model in server.versions]
            set_gauge("version_named", "Newest published weight version.", newest, model=model)
            set_gauge(
                "server_versions_behind",
                "Versions by which servers are behind the newest, summed over a model's servers.",
                sum(max(0, newest - version) for version in loaded),
                model=model,
            )
