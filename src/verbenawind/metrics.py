"""The daemon's metrics, with one typed method for each measured quantity."""

from collections.abc import Callable, Mapping, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from verbenawind.timings import Timing

__all__ = ["Metrics"]

# Latency targets of requests lie between 0.1 and 0.5 s, those of batch jobs at about 10 s.
_LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0]
_LONG_BUCKETS_S = [0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.5, 9.0, 12.0, 30.0]
_SHORT_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]
_RATIO_BUCKETS = [0.25, 0.5, 0.75, 0.9, 1.0, 1.1, 1.5, 2.0]
_TIMINGS: Mapping[Timing, tuple[str, list[float]]] = {
    Timing.ITEM_WAIT: (
        "Time from a job's submission to the first start of an item.",
        _LONG_BUCKETS_S,
    ),
    Timing.ITEM_SCORE: (
        "Time from an item's complete text to its score.",
        _SHORT_BUCKETS_S,
    ),
    Timing.RESULT_LISTING: (
        "Time from the first finished result of a transaction to its commit.",
        _SHORT_BUCKETS_S,
    ),
    Timing.GROUP_COMPLETION: (
        "Time from a job's submission until all results of a group are listed.",
        _LONG_BUCKETS_S,
    ),
    Timing.GROUP_DEADLINE: (
        "Group completion time divided by the route's deadline for results.",
        _RATIO_BUCKETS,
    ),
    Timing.ENGINE_LOAD: (
        "Time from a load order until the engine has the version.",
        _LONG_BUCKETS_S,
    ),
    Timing.STORE_CALL: ("Time of a store call, including its retries.", _SHORT_BUCKETS_S),
}
_AGE_BUCKETS_S = [1.0, 5.0, 15.0, 60.0, 180.0, 600.0]


class Metrics:
    """The metrics registry of a daemon, rendered at ``/metrics``.

    The label ``environment`` has the form ``name/stage``.
    """

    __slots__ = (
        "_collectors",
        "_cross_region_bytes",
        "_error_answers",
        "_gauges",
        "_group_staleness_s",
        "_queue_wait",
        "_registry",
        "_request_time",
        "_requests",
        "_samples",
        "_timings",
        "_trainer_idle_s",
    )

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: list[Callable[[], None]] = []
        self._gauges: dict[str, Gauge] = {}
        self._trainer_idle_s = self._counter(
            "trainer_idle_seconds_total", "Time that trainers spent waiting in polls."
        )
        self._samples = self._counter(
            "samples_sent_total", "Samples sent to trainers, by staleness in versions."
        )
        self._group_staleness_s = self._histogram(
            "group_staleness_seconds",
            "Time since the oldest version in a delivered group was superseded, at delivery.",
            _AGE_BUCKETS_S,
        )
        self._queue_wait = self._histogram(
            "queue_wait_seconds", "Time between arrival and dispatch.", _LATENCY_BUCKETS_S
        )
        self._error_answers = self._counter("error_answers_total", "Error responses, by code.")
        self._cross_region_bytes = self._counter(
            "cross_region_bytes_total", "Bytes exchanged with backend servers of another region."
        )
        self._requests = self._counter("requests_total", "Requests, by operation and outcome.")
        self._request_time = self._histogram(
            "request_seconds", "Time from arrival to the end of the response.", _LATENCY_BUCKETS_S
        )

        self._timings: dict[Timing, Histogram] = {}

    def on_render(self, collector: Callable[[], None]) -> None:
        """Register *collector*, which is called before each rendering to update gauges."""
        self._collectors.append(collector)

    def add_trainer_idle(self, environment: str, trainer: str, idle_s: float) -> None:
        """Add the time that a trainer waited for samples."""
        self._trainer_idle_s.add({"environment": environment, "trainer": trainer}, max(0.0, idle_s))

    def add_samples(
        self, environment: str, trainer: str, count_by_staleness: Mapping[int, int]
    ) -> None:
        """Count delivered samples by their staleness in versions."""
        for versions, count in count_by_staleness.items():
            labels = {
                "environment": environment,
                "trainer": trainer,
                "staleness_versions": str(versions),
            }
            self._samples.add(labels, count)

    def observe_group_age(self, environment: str, trainer: str, age_s: float) -> None:
        """Record how long the oldest version in a delivered group had been superseded."""
        labels = {"environment": environment, "trainer": trainer}
        self._group_staleness_s.add(labels, max(0.0, age_s))

    def observe_queue_wait(self, environment: str, kind: str, wait_s: float) -> None:
        """Record how long a request waited for dispatch."""
        self._queue_wait.add({"environment": environment, "kind": kind}, max(0.0, wait_s))

    def observe(self, timing: Timing, value: float) -> None:
        """Record a duration or ratio; implements the Timings port."""
        histogram = self._timings.get(timing)
        if histogram is None:
            histogram = self._timings[timing] = self._histogram(timing.value, *_TIMINGS[timing])
        histogram.add({}, value)

    def count_error_answer(self, code: str) -> None:
        """Count an error response."""
        self._error_answers.inc({"code": code})

    def add_cross_region_bytes(self, from_region: str, to_region: str, size_bytes: int) -> None:
        """Count bytes sent between two regions; traffic within a region is ignored."""
        if from_region != to_region:
            self._cross_region_bytes.add({"from": from_region, "to": to_region}, size_bytes)

    def count_request(self, operation: str, outcome: str, duration_s: float) -> None:
        """Count a finished request; the outcome is ``ok`` or tells how it failed."""
        self._requests.inc({"operation": operation, "outcome": outcome})
        self._request_time.add({"operation": operation}, max(0.0, duration_s))

    def set_value(self, name: str, help_text: str, value: float, **labels: str) -> None:
        """Set the gauge *name*, which is created on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(f"verbenawind_{name}", help_text, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, str]:
        """Return the metrics in a format that the Accept headers allow, and its content type."""
        for collector in self._collectors:
            collector()
        content, headers = render(self._registry, list(accepts))
        return content, str(headers["Content-Type"])

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(f"verbenawind_{name}", help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str, buckets: list[float]) -> Histogram:
        return Histogram(f"verbenawind_{name}", help_text, buckets=buckets, registry=self._registry)
