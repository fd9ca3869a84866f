"""The daemon's metrics, one typed method for each thing that is measured."""

from collections.abc import Callable, Mapping, Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from verbenawind.timings import Timing

__all__ = ["Metrics"]

# Latency objectives lie between 0.1 and 0.5 s, those of batch jobs at some 10 s.
_WAIT_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0]
_LONG_BUCKETS_S = [0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.5, 9.0, 12.0, 30.0]
_SHORT_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0]
_RATIO_BUCKETS = [0.25, 0.5, 0.75, 0.9, 1.0, 1.1, 1.5, 2.0]
_TIMINGS: Mapping[Timing, tuple[str, list[float]]] = {
    Timing.ITEM_WAIT: ("From a job's submission to the first start of an item.", _LONG_BUCKETS_S),
    Timing.RESULT_LISTING: (
        "From the first finished result of a transaction to its commit.",
        _SHORT_BUCKETS_S,
    ),
    Timing.GROUP_COMPLETION: (
        "From a job's submission until a group is listed whole.",
        _LONG_BUCKETS_S,
    ),
    Timing.GROUP_DEADLINE: (
        "The same as a part of the time that the route gives results.",
        _RATIO_BUCKETS,
    ),
    Timing.ENGINE_LOAD: ("From an order until the engine has the version.", _LONG_BUCKETS_S),
    Timing.STORE_CALL: ("Calls of the store, with their repeats.", _SHORT_BUCKETS_S),
}
_AGE_BUCKETS_S = [1.0, 5.0, 15.0, 60.0, 180.0, 600.0]


class Metrics:
    """Counts and times what a daemon does; rendered at ``/metrics``.

    Environments are named ``name/stage`` throughout.
    """

    __slots__ = (
        "_collectors",
        "_cross_region_bytes",
        "_error_answers",
        "_queue_wait",
        "_registry",
        "_request_time",
        "_requests",
        "_samples",
        "_staleness_s",
        "_timings",
        "_trainer_idle",
        "_values",
    )

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: list[Callable[[], None]] = []
        self._values: dict[str, Gauge] = {}
        self._trainer_idle = self._counter(
            "trainer_idle_seconds_total", "Time for which trainers waited in a poll."
        )
        self._samples = self._counter(
            "samples_sent_total", "Samples sent to trainers, by how many versions old they were."
        )
        self._staleness_s = self._histogram(
            "group_staleness_seconds",
            "Time since the oldest version in a delivered group was superseded.",
            _AGE_BUCKETS_S,
        )
        self._queue_wait = self._histogram(
            "queue_wait_seconds", "Wait between arrival and dispatch.", _WAIT_BUCKETS_S
        )
        self._error_answers = self._counter("error_answers_total", "Error answers, by code.")
        self._cross_region_bytes = self._counter(
            "cross_region_bytes_total", "Bytes exchanged with backend servers of another region."
        )
        self._requests = self._counter("requests_total", "Requests by operation and outcome.")
        self._request_time = self._histogram(
            "request_seconds", "Time from arrival to the answer's end.", _WAIT_BUCKETS_S
        )

        self._timings: dict[Timing, Histogram] = {}

    def on_render(self, collector: Callable[[], None]) -> None:
        """Call *collector* before each exposition, to take in what a part counts by itself."""
        self._collectors.append(collector)

    def add_trainer_idle(self, environment: str, trainer: str, idle_s: float) -> None:
        """Add time for which a trainer had to wait for samples."""
        self._trainer_idle.add({"environment": environment, "trainer": trainer}, max(0.0, idle_s))

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
        """Record for how long the oldest version in a delivered group had been superseded."""
        labels = {"environment": environment, "trainer": trainer}
        self._staleness_s.add(labels, max(0.0, age_s))

    def observe_queue_wait(self, environment: str, kind: str, wait_s: float) -> None:
        """Record how long a request of one kind of work waited for dispatch."""
        self._queue_wait.add({"environment": environment, "kind": kind}, max(0.0, wait_s))

    def observe(self, timing: Timing, value: float) -> None:
        """Record a duration that a part has measured."""
        histogram = self._timings.get(timing)
        if histogram is None:
            histogram = self._timings[timing] = self._histogram(timing.value, *_TIMINGS[timing])
        histogram.add({}, value)

    def count_error_answer(self, code: str) -> None:
        """Count a request that was answered with an error code."""
        self._error_answers.inc({"code": code})

    def add_cross_region_bytes(self, from_region: str, to_region: str, size_bytes: int) -> None:
        """Count bytes between two regions; nothing is counted within one."""
        if from_region != to_region:
            self._cross_region_bytes.add({"from": from_region, "to": to_region}, size_bytes)

    def count_request(self, operation: str, outcome: str, duration_s: float) -> None:
        """Count one finished request; the outcome is ``ok`` or what is known of its failure."""
        self._requests.inc({"operation": operation, "outcome": outcome})
        self._request_time.add({"operation": operation}, max(0.0, duration_s))

    def set_value(self, name: str, help_text: str, value: float, **labels: str) -> None:
        """Set a gauge called *name*, which is made on first use."""
        gauge = self._values.get(name)
        if gauge is None:
            gauge = Gauge(f"verbenawind_{name}", help_text, registry=self._registry)
            self._values[name] = gauge
        gauge.set(labels, value)

    def render(self, accepts: Sequence[str]) -> tuple[bytes, str]:
        """Return the exposition for the given Accept headers and its content type."""
        for collector in self._collectors:
            collector()
        content, headers = render(self._registry, list(accepts))
        return content, str(headers["Content-Type"])

    def _counter(self, name: str, help_text: str) -> Counter:
        return Counter(f"verbenawind_{name}", help_text, registry=self._registry)

    def _histogram(self, name: str, help_text: str, buckets: list[float]) -> Histogram:
        return Histogram(f"verbenawind_{name}", help_text, buckets=buckets, registry=self._registry)
