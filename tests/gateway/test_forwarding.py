"""Tests of forwarding to slow, silent, busy and failing servers, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from node.fleet import Fleet, run_fleet
from verbenawind.errors import Outcome, VerbenawindError
from verbenawind.gateway import CallerRequest, Forwarder, Reply, Route, RouteKind, ServiceShare
from verbenawind.kernel.messages import Location
from verbenawind.standins.opaque_engines import OpaqueEngine

SERVICE = "engines"
TARGET_S = 0.24


class Harness:
    """A forwarder with simulated servers, and requests to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        node = next(iter(fleet.members.values())).node
        self.directory = node.directory
        location = Location(zone="a", region="a")
        self.forwarder = Forwarder(
            self.directory, fleet.engines, location, fleet.clock, node.guard, node.allowances
        )

    def engine(self, index: int) -> OpaqueEngine:
        """Return a server by its index."""
        return self.fleet.engines.engines[f"engine-{index}"]

    def run_count(self) -> int:
        """Return the number of requests that the servers ran."""
        return sum(len(engine.started) for engine in self.fleet.engines.engines.values())

    async def ask(
        self, number: int = 0, kind: RouteKind = RouteKind.IDEMPOTENT, timeout_s: float = 3.0
    ) -> Reply | VerbenawindError:
        """Send a request and return the reply or the error."""
        now_s = self.fleet.clock.monotonic_s()
        request = CallerRequest(
            request_id=f"r{number}",
            method="POST",
            host="h",
            target="/x",
            headers=(),
            body=b"7",
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )
        route = Route(
            name="plain",
            host="h",
            path_prefix="/",
            kind=kind,
            timeout_s=3.0,
            target_latency_s=TARGET_S,
            max_attempts=2,
            priority=0,
            services=(ServiceShare(service=SERVICE, weight=1.0),),
        )
        try:
            return await self.forwarder.forward(request, route, SERVICE)
        except VerbenawindError as error:
            return error

    async def response_times(self, count: int, gap_s: float) -> list[float]:
        """Send requests at a steady rate and return their response times, infinite for errors."""

        async def one(number: int) -> float:
            started_s = self.fleet.clock.monotonic_s()
            reply = await self.ask(number)
            took_s = self.fleet.clock.monotonic_s() - started_s
            return took_s if isinstance(reply, Reply) else float("inf")

        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(one(number)))
            await self.fleet.clock.sleep(gap_s)
        return list(await asyncio.gather(*tasks))


def run_harness(work: Callable[[Harness], Awaitable[None]], *, engines: int = 3) -> None:
    """Run *work* with servers that take 40 ms per request."""

    async def run(fleet: Fleet) -> None:
        await fleet.start(hosts=1, engines=engines)
        for engine in fleet.engines.engines.values():
            engine.pace_s = 0.04
        await work(Harness(fleet))

    run_fleet(run)


class TestLoads:
    def test_one_silent_server_delays_few_requests(self) -> None:
        """If one of three servers stops answering, all requests succeed, nearly all in time."""

        async def work(harness: Harness) -> None:
            harness.engine(0).unresponsive = True
            times = await harness.response_times(100, 0.05)
            assert max(times) < 1.0
            assert sum(took_s <= TARGET_S for took_s in times) >= 97

        run_harness(work)

    def test_one_slow_server_gets_few_requests(self) -> None:
        """If one of three servers is ten times slower, most requests go to the others."""

        async def work(harness: Harness) -> None:
            harness.engine(0).pace_s = 0.4
            times = await harness.response_times(100, 0.05)
            assert max(times) < 1.0
            assert len(harness.engine(0).started) < 20
            assert sum(took_s <= TARGET_S for took_s in times) >= 95

        run_harness(work)

    def test_slow_service_adds_few_hedges(self) -> None:
        """If all servers are slow, hedges remain rare and do not double the load."""

        async def work(harness: Harness) -> None:
            for index in range(3):
                harness.engine(index).pace_s = 0.3
            times = await harness.response_times(100, 0.1)
            assert max(times) < 2.0
            assert harness.run_count() <= 100 * 1.35

        run_harness(work)

    def test_burst_is_spread_evenly(self) -> None:
        """Simultaneous requests are distributed evenly over the servers."""

        async def work(harness: Harness) -> None:
            await harness.response_times(24, 0.0)
            assert [len(harness.engine(index).started) for index in range(3)] == [8, 8, 8]

        run_harness(work)


class TestOutcomes:
    def test_non_idempotent_request_is_not_repeated(self) -> None:
        """A non-idempotent request whose answer is lost fails with the outcome may_have_run."""

        async def work(harness: Harness) -> None:
            for index in range(3):
                harness.engine(index).unresponsive = True
            reply = await harness.ask(kind=RouteKind.NON_IDEMPOTENT, timeout_s=0.5)
            assert isinstance(reply, VerbenawindError)
            assert reply.outcome is Outcome.MAY_HAVE_RUN

        run_harness(work)

    def test_sent_request_is_not_reported_as_not_run(self) -> None:
        """If one server is silent and the others are down, the outcome is may_have_run."""

        async def work(harness: Harness) -> None:
            harness.engine(0).unresponsive = True
            harness.engine(1).down = harness.engine(2).down = True
            reply = await harness.ask(timeout_s=0.6)
            assert isinstance(reply, VerbenawindError)
            assert reply.outcome is Outcome.MAY_HAVE_RUN

        run_harness(work)

    def test_unreachable_servers_fail_fast(self) -> None:
        """A request that reached no server fails at once as not_run, with a retry time."""

        async def work(harness: Harness) -> None:
            for index in range(3):
                harness.engine(index).down = True
            started_s = harness.fleet.clock.monotonic_s()
            reply = await harness.ask()
            assert isinstance(reply, VerbenawindError)
            assert reply.outcome is Outcome.NOT_RUN and reply.retry_after_s
            assert harness.fleet.clock.monotonic_s() - started_s < 0.05

        run_harness(work)

    def test_cancelled_request_stops_the_servers(self) -> None:
        """Cancelling a forwarded request ends its runs on all servers."""

        async def work(harness: Harness) -> None:
            for index in range(3):
                harness.engine(index).pace_s = 5.0
            task = asyncio.ensure_future(harness.ask())
            await harness.fleet.clock.sleep(0.1)
            task.cancel()
            await harness.fleet.clock.sleep(0.1)
            assert all(harness.engine(index).running == 0 for index in range(3))

        run_harness(work)
