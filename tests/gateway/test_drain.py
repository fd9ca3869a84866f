"""Tests of which requests a host accepts after it was told to stop."""

from collections.abc import Coroutine
from datetime import UTC, datetime
from typing import Any

import pytest

from verbenawind.clock import LoopClock
from verbenawind.errors import Draining, Outcome
from verbenawind.gateway import Drain, RequestDurations, Route, RouteKind, ServiceShare
from verbenawind.standins.deployment import run_virtual

DRAIN_S = 7.2


def route(kind: RouteKind, name: str = "r") -> Route:
    """Return a route whose requests may last far longer than a host drains."""
    return Route(
        name=name,
        host="h",
        path_prefix="/",
        kind=kind,
        timeout_s=60.0,
        target_latency_s=0.4,
        max_attempts=1,
        priority=0,
        services=(ServiceShare(service="s", weight=1.0),),
    )


STREAM = route(RouteKind.STREAMING)
PLAIN = route(RouteKind.NON_IDEMPOTENT)


class Host:
    """A host's drain, with its clock."""

    def __init__(self) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.durations = RequestDurations(self.clock)
        self.drain = Drain(self.durations, self.clock)

    async def serve(self, served: Route, took_s: float) -> None:
        """Serve a request of a route."""
        with self.durations.measured(served):
            await self.clock.sleep(took_s)

    def accepts(self, asked: Route, limit_s: float = 60.0) -> bool:
        """Return whether a request that ends after *limit_s* in any case is accepted now."""
        try:
            self.drain.check(asked, self.clock.monotonic_s() + limit_s)
        except Draining as refusal:
            assert refusal.outcome is Outcome.NOT_RUN
            assert refusal.retry_after_s
            return False
        return True


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a test on virtual time."""
    run_virtual(work)


class TestStreams:
    def test_stream_that_would_be_cut_is_refused(self) -> None:
        """Streams take 5 s: one that arrives 3 s after the SIGTERM would be cut off at 7.2 s."""

        async def work() -> None:
            host = Host()
            await host.serve(STREAM, 5.0)
            assert host.accepts(STREAM)
            host.drain.begin(DRAIN_S)
            assert host.accepts(STREAM)
            await host.clock.sleep(1.5)
            assert not host.accepts(STREAM)
            await host.clock.sleep(1.6)
            assert not host.accepts(STREAM)

        run(work())

    def test_late_stream_is_accepted_only_if_its_deadline_allows(self) -> None:
        """What streams usually take does not bound the one that arrives: its deadline does."""

        async def work() -> None:
            host = Host()
            await host.serve(STREAM, 0.2)
            host.drain.begin(DRAIN_S)
            await host.clock.sleep(1.0)
            assert host.accepts(STREAM)
            await host.clock.sleep(2.0)
            assert not host.accepts(STREAM)
            assert host.accepts(STREAM, limit_s=4.0)

        run(work())

    @pytest.mark.parametrize("age_s", [0.5, 6.5])
    def test_stream_in_flight_counts_with_its_age(self, age_s: float) -> None:
        """A stream that has already taken longer than those before it is the better estimate."""

        async def work() -> None:
            host = Host()
            await host.serve(STREAM, 0.2)
            with host.durations.measured(STREAM):
                await host.clock.sleep(age_s)
                host.drain.begin(DRAIN_S)
                assert host.accepts(STREAM) is (age_s < 5.0)

        run(work())

    def test_streams_of_unknown_length_are_refused(self) -> None:
        """A host that has just started knows only the deadline."""

        async def work() -> None:
            host = Host()
            host.drain.begin(DRAIN_S)
            assert not host.accepts(STREAM)
            assert host.accepts(STREAM, limit_s=5.0)

        run(work())


class TestPlainRequests:
    def test_short_requests_are_accepted_to_the_end(self) -> None:
        """A request whose route answers soon is served although its timeout is long."""

        async def work() -> None:
            host = Host()
            await host.serve(PLAIN, 0.1)
            host.drain.begin(DRAIN_S)
            await host.clock.sleep(6.5)
            assert host.accepts(PLAIN)
            await host.clock.sleep(0.65)
            assert not host.accepts(PLAIN)

        run(work())

    def test_deadline_leaves_time_for_an_answer(self) -> None:
        """An accepted request ends before the host does, so that its caller gets an answer."""

        async def work() -> None:
            host = Host()
            now_s = host.clock.monotonic_s()
            assert host.drain.bound_s(now_s + 60.0) == now_s + 60.0
            host.drain.begin(DRAIN_S)
            assert host.drain.bound_s(now_s + 1.0) == now_s + 1.0
            assert host.drain.bound_s(now_s + 60.0) < now_s + DRAIN_S

        run(work())


class TestDurations:
    def test_durations_are_forgotten(self) -> None:
        """A slow request counts for half a minute to a minute; a failed one does not count."""

        async def work() -> None:
            host = Host()
            await host.serve(PLAIN, 5.0)
            assert host.durations.longest_s(PLAIN) == pytest.approx(5.0)
            await host.clock.sleep(61.0)
            await host.serve(PLAIN, 0.1)
            assert host.durations.longest_s(PLAIN) == pytest.approx(0.1)
            with pytest.raises(ValueError), host.durations.measured(PLAIN):
                await host.clock.sleep(3.0)
                raise ValueError
            assert host.durations.longest_s(PLAIN) == pytest.approx(0.1)
            assert host.durations.longest_s(route(RouteKind.STREAMING, "other")) is None

        run(work())
