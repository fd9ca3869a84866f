"""Decides which requests a host still accepts after it was told to stop."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager

from verbenawind.clock import Clock
from verbenawind.errors import Draining
from verbenawind.gateway.types import Route, RouteKind

__all__ = ["Drain", "RequestDurations"]

# Durations are remembered for one to two windows.
_WINDOW_S = 30.0
# A request may take this much longer than the longest recent one of its route.
_SLACK_FACTOR = 1.25
# A plain request of a route without recent ones may take so many times its target latency.
_UNSEEN_TARGETS = 2.0
# An estimate is good enough for a stream while the load balancer may not have noticed the stop.
# Later ones arrive over kept connections, and their callers reach another host at once.
_STREAM_ESTIMATE_S = 2.0
# Time that the answers to bounded requests have before those in flight are ended.
_ANSWER_S = 0.1
# Another host can take the request immediately.
_RETRY_S = 0.1


class RequestDurations:
    """How long the requests of each route have taken lately, those in flight included.

    Args:
        clock: Time source.
    """

    __slots__ = ("_clock", "_former", "_in_flight", "_longest", "_numbers", "_window_ends_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._longest: dict[str, float] = {}
        self._former: dict[str, float] = {}
        # The start of each request, oldest first.
        self._in_flight: dict[str, dict[int, float]] = {}
        self._numbers = itertools.count()
        self._window_ends_s = clock.monotonic_s() + _WINDOW_S

    @contextmanager
    def measured(self, route: Route) -> Iterator[None]:
        """Measure a request of a route; one that fails has no duration."""
        started_s = self._clock.monotonic_s()
        number = next(self._numbers)
        self._in_flight.setdefault(route.name, {})[number] = started_s
        try:
            yield
            self._observe(route.name, self._clock.monotonic_s() - started_s)
        finally:
            requests = self._in_flight[route.name]
            del requests[number]
            if not requests:
                del self._in_flight[route.name]

    def longest_s(self, route: Route) -> float | None:
        """Return the longest recent duration of a route's requests, None if there were none."""
        self._rotate()
        durations_s = [
            window[route.name] for window in (self._longest, self._former) if route.name in window
        ]
        if not durations_s:
            return None
        now_s = self._clock.monotonic_s()
        starts_s = self._in_flight.get(route.name, {}).values()
        return max(durations_s + [now_s - start_s for start_s in itertools.islice(starts_s, 1)])

    def _observe(self, name: str, took_s: float) -> None:
        self._rotate()
        self._longest[name] = max(took_s, self._longest.get(name, 0.0))

    def _rotate(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._window_ends_s:
            return
        is_recent = now_s < self._window_ends_s + _WINDOW_S
        self._former = self._longest if is_recent else {}
        self._longest = {}
        self._window_ends_s = now_s + _WINDOW_S


class Drain:
    """Admits requests to a host that stops only if they can end before it does.

    A request that would be cut off is refused, not run, so that its caller turns to another host.

    Args:
        durations: How long requests have taken lately.
        clock: Time source.
    """

    __slots__ = ("_began_s", "_clock", "_durations", "_ends_s")

    def __init__(self, durations: RequestDurations, clock: Clock) -> None:
        self._durations = durations
        self._clock = clock
        self._began_s: float | None = None
        self._ends_s = float("inf")

    @property
    def active(self) -> bool:
        """Whether the host stops."""
        return self._began_s is not None

    @property
    def remaining_s(self) -> float:
        """Time until the requests in flight are ended, at least 0."""
        return max(0.0, self._ends_s - self._clock.monotonic_s())

    def begin(self, duration_s: float) -> None:
        """Start draining; the requests in flight are ended after *duration_s*."""
        self._began_s = self._clock.monotonic_s()
        self._ends_s = self._began_s + duration_s

    def bound_s(self, deadline_s: float) -> float:
        """Return a deadline that leaves time for an answer before the end of the host."""
        return min(deadline_s, self._ends_s - _ANSWER_S)

    def check(self, route: Route, deadline_s: float) -> None:
        """Check that a request may be passed on to a server now.

        Args:
            route: The request's route.
            deadline_s: Monotonic time at which it ends in any case.

        Raises:
            Draining: It may still run when the host ends.
        """
        if self._began_s is None or deadline_s <= self._ends_s:
            return
        expected_s = self._expected_s(route)
        if expected_s is not None and expected_s <= self.remaining_s:
            return
        raise Draining(
            f"this host stops in {self.remaining_s:.1f} s, and a request of route {route.name} "
            f"may take {'longer' if expected_s is None else f'{expected_s:.1f} s'}",
            retry_after_s=_RETRY_S,
        )

    def _expected_s(self, route: Route) -> float | None:
        """Return how long a request may take, None if only its deadline tells."""
        assert self._began_s is not None
        longest_s = self._durations.longest_s(route)
        if route.kind is RouteKind.STREAMING:
            draining_s = self._clock.monotonic_s() - self._began_s
            if longest_s is None or draining_s > _STREAM_ESTIMATE_S:
                return None
        if longest_s is None:
            return _UNSEEN_TARGETS * route.target_latency_s
        return _SLACK_FACTOR * longest_s
