"""Tests of plain requests under slow, dark, full and failing servers, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

from node.fleet import Fleet, run_fleet
from verbenawind.errors import Outcome, VerbenawindError
from verbenawind.gateway import CallerRequest, Forwarder, Reply, Route, RouteKind, ServiceShare
from verbenawind.kernel.messages import Location
from verbenawind.standins.opaque_engines import OpaqueEngine

SERVICE = "engines"
TARGET_S = 0.24


class Desk:
    """A forwarder over some servers, and requests to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.directory = next(iter(fleet.members.values())).node.directory
        location = Location(zone="a", region="a")
        self.forwarder = Forwarder(self.directory, fleet.engines, location, fleet.clock)

    def engine(self, index: int) -> OpaqueEngine:
        """Return a server."""
        return self.fleet.engines.engines[f"engine-{index}"]

    def starts(self) -> int:
        """Return how many runs there were."""
        return sum(len(engine.started) for engine in self.fleet.engines.engines.values())

    async def ask(
        self, number: int = 0, kind: RouteKind = RouteKind.IDEMPOTENT, patience_s: float = 3.0
    ) -> Reply | VerbenawindError:
        """Send one request and return its reply, or what is known of its failure."""
        now_s = self.fleet.clock.monotonic_s()
        request = CallerRequest(
            request_id=f"r{number}",
            method="POST",
            host="h",
            target="/x",
            headers=(),
            body=b"7",
            arrived_s=now_s,
            deadline_s=now_s + patience_s,
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

    async def times(self, count: int, gap_s: float) -> list[float]:
        """Return how long requests at a steady rate took; a failure counts as endless."""

        async def one(number: int) -> float:
            began_s = self.fleet.clock.monotonic_s()
            reply = await self.ask(number)
            took_s = self.fleet.clock.monotonic_s() - began_s
            return took_s if isinstance(reply, Reply) else float("inf")

        tasks = []
        for number in range(count):
            tasks.append(asyncio.ensure_future(one(number)))
            await self.fleet.clock.sleep(gap_s)
        return list(await asyncio.gather(*tasks))


def run_desk(work: Callable[[Desk], Awaitable[None]], *, engines: int = 3) -> None:
    """Run *work* over servers that take 40 ms for a request."""

    async def whole(fleet: Fleet) -> None:
        await fleet.start(hosts=1, engines=engines)
        for engine in fleet.engines.engines.values():
            engine.pace_s = 0.04
        await work(Desk(fleet))

    run_fleet(whole)


class TestLoads:
    def test_one_dark_server_costs_few_their_target(self) -> None:
        """Pattern: one of three servers falls silent. All are answered, nearly all in time."""

        async def work(desk: Desk) -> None:
            desk.engine(0).dark = True
            times = await desk.times(100, 0.05)
            assert max(times) < 1.0
            assert sum(took_s <= TARGET_S for took_s in times) >= 97

        run_desk(work)

    def test_one_slow_server_gets_little(self) -> None:
        """Pattern: one of three servers turns ten times slower. Most go elsewhere."""

        async def work(desk: Desk) -> None:
            desk.engine(0).pace_s = 0.4
            times = await desk.times(100, 0.05)
            assert max(times) < 1.0
            assert len(desk.engine(0).started) < 20
            assert sum(took_s <= TARGET_S for took_s in times) >= 95

        run_desk(work)

    def test_all_servers_slow_adds_few_runs(self) -> None:
        """Pattern: the whole service is slow. Second sends stay rare and do not double the load."""

        async def work(desk: Desk) -> None:
            for index in range(3):
                desk.engine(index).pace_s = 0.3
            times = await desk.times(100, 0.1)
            assert max(times) < 2.0
            assert desk.starts() <= 100 * 1.35

        run_desk(work)

    def test_burst_spreads_evenly(self) -> None:
        """Pattern: a burst at once. Every server gets its part."""

        async def work(desk: Desk) -> None:
            await desk.times(24, 0.0)
            assert [len(desk.engine(index).started) for index in range(3)] == [8, 8, 8]

        run_desk(work)


class TestOutcomes:
    def test_once_only_request_is_not_repeated(self) -> None:
        """A request that may run once is given up when its answer is lost, as perhaps run."""

        async def work(desk: Desk) -> None:
            for index in range(3):
                desk.engine(index).dark = True
            reply = await desk.ask(kind=RouteKind.NON_IDEMPOTENT, patience_s=0.5)
            assert isinstance(reply, VerbenawindError)
            assert reply.outcome is Outcome.MAY_HAVE_RUN

        run_desk(work)

    def test_nothing_is_claimed_not_run_that_was_sent(self) -> None:
        """With one server dark and the others down, the answer does not promise anything."""

        async def work(desk: Desk) -> None:
            desk.engine(0).dark = True
            desk.engine(1).down = desk.engine(2).down = True
            reply = await desk.ask(patience_s=0.6)
            assert isinstance(reply, VerbenawindError)
            assert reply.outcome is Outcome.MAY_HAVE_RUN

        run_desk(work)

    def test_servers_that_are_down_cost_nothing(self) -> None:
        """A request that reached nobody is refused at once as not run, with a time to return."""

        async def work(desk: Desk) -> None:
            for index in range(3):
                desk.engine(index).down = True
            began_s = desk.fleet.clock.monotonic_s()
            reply = await desk.ask()
            assert isinstance(reply, VerbenawindError)
            assert reply.outcome is Outcome.NOT_RUN and reply.retry_after_s
            assert desk.fleet.clock.monotonic_s() - began_s < 0.05

        run_desk(work)

    def test_caller_that_leaves_ends_the_run(self) -> None:
        """A forward that is cancelled leaves nothing running."""

        async def work(desk: Desk) -> None:
            for index in range(3):
                desk.engine(index).pace_s = 5.0
            task = asyncio.ensure_future(desk.ask())
            await desk.fleet.clock.sleep(0.1)
            task.cancel()
            await desk.fleet.clock.sleep(0.1)
            assert all(desk.engine(index).running == 0 for index in range(3))

        run_desk(work)
