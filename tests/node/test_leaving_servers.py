"""Tests of servers that announce in their answers that they leave.

The failure: the announcement was read from the registry only, so a host that was cut off from the
store went on sending to a server until that had gone. The bound is the users' rule DRAIN: from the
host that passed such an answer on, nothing reaches the server later than the drain time, whether
the host is in touch or not.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from node.fleet import MODEL, Fleet, check_complete, job, run_fleet
from node.test_crashing_requests import Desk, run_desk
from verbenawind.errors import NoBackendServer, Outcome
from verbenawind.gateway import Reply, RouteKind
from verbenawind.standins.opaque_engines import OpaqueEngine

DRAIN_S = 2.5


async def cut_off(desk: Desk) -> None:
    """Cut the first host off from the store."""
    desk.fleet.members["host-0"].view.cut = True
    await desk.fleet.clock.sleep(0.1)


async def ask_until_announced(desk: Desk, leaving: OpaqueEngine) -> None:
    """Ask until the host has passed on an answer of the leaving server."""
    for number in range(200):
        if leaving.started:
            return
        assert isinstance(await desk.ask(0, f"own {number}".encode()), Reply)
    raise AssertionError("the leaving server got no request")


def later_starts(server: OpaqueEngine, since_s: float) -> list[str]:
    """Return the requests that a server began to run later than the drain time."""
    return [name for at_s, name, _ in server.started if at_s > since_s + DRAIN_S]


class TestCallersRequests:
    def test_host_without_the_store_stops_sending(self) -> None:
        """After the first answer with the announcement no request is sent there."""

        async def work(desk: Desk) -> None:
            await cut_off(desk)
            leaving = desk.server(0)
            leaving.leaving = True
            await ask_until_announced(desk, leaving)
            announced_s = desk.fleet.clock.monotonic_s()
            for number in range(100):
                assert isinstance(await desk.ask(0, f"later {number}".encode()), Reply)
                await desk.fleet.clock.sleep(0.05)
            assert not later_starts(leaving, announced_s)

        run_desk(work, hosts=1, servers=3)

    @pytest.mark.parametrize("answer", ["refusal", "error", "stream", "another kind of request"])
    def test_every_kind_of_answer_announces(self, answer: str) -> None:
        """The announcement counts in refusals, errors, heads of streams and for other routes."""

        async def work(desk: Desk) -> None:
            await cut_off(desk)
            leaving = desk.server(0)
            leaving.leaving = True
            match answer:
                case "refusal":
                    leaving.loading = True
                case "error":
                    leaving.failures_left = 1
            kind = {
                "stream": RouteKind.STREAMING,
                "another kind of request": RouteKind.NON_IDEMPOTENT,
            }.get(answer, RouteKind.IDEMPOTENT)
            directory = desk.fleet.members["host-0"].node.directory
            for _ in range(20):
                await asyncio.gather(*(desk.ask(0, b"3", kind=kind) for _ in range(3)))
            leaving.loading = False
            backend = directory.get("desk-0")
            assert backend is not None and backend.announced_leaving
            announced_s = desk.fleet.clock.monotonic_s()
            await desk.fleet.clock.sleep(DRAIN_S)
            for number in range(40):
                await desk.ask(0, f"later {number}".encode())
            assert not later_starts(leaving, announced_s)

        run_desk(work, hosts=1, servers=3)

    def test_answer_is_delivered_and_work_under_way_ends(self) -> None:
        """Requests that already run on the leaving server get their answers from it."""

        async def work(desk: Desk) -> None:
            for index in range(3):
                desk.server(index).pace_s = 0.2
            asks = [asyncio.ensure_future(desk.ask(0, f"own {n}".encode())) for n in range(9)]
            await desk.fleet.clock.sleep(0.05)
            desk.server(0).leaving = True
            answers = await asyncio.gather(*asks)
            assert all(isinstance(answer, Reply) for answer in answers)
            assert desk.server(0).signatures

        run_desk(work, hosts=1, servers=3)

    def test_request_without_another_server_is_refused_as_not_run(self) -> None:
        """All servers leave: the refusal is immediate and true."""

        async def work(desk: Desk) -> None:
            for index in range(3):
                desk.server(index).leaving = True
            for number in range(30):
                await desk.ask(0, f"own {number}".encode())
            before = sum(len(desk.server(index).started) for index in range(3))
            started_s = desk.fleet.clock.monotonic_s()
            answer = await desk.ask(0, b"last")
            assert isinstance(answer, NoBackendServer) and answer.outcome is Outcome.NOT_RUN
            assert desk.fleet.clock.monotonic_s() == started_s
            assert sum(len(desk.server(index).started) for index in range(3)) == before

        run_desk(work, hosts=1, servers=3)


class TestWhatUndoesIt:
    def test_registry_that_says_otherwise_undoes_nothing(self) -> None:
        """The entry is written again as ready, expires, and returns for the same process."""

        async def work(desk: Desk) -> None:
            fleet = desk.fleet
            leaving = desk.server(0)
            leaving.leaving = True
            await ask_until_announced(desk, leaving)
            announced_s = fleet.clock.monotonic_s()
            fleet.register(msgspec.structs.replace(leaving.instance, versions={"other": 1}))
            await fleet.clock.sleep(1.0)
            fleet.unregister("desk-0")
            await fleet.clock.sleep(3.0)
            fleet.register(leaving.instance)
            await fleet.clock.sleep(1.0)
            for number in range(30):
                await desk.ask(0, f"later {number}".encode())
            assert not later_starts(leaving, announced_s)

        run_desk(work, hosts=1, servers=3)

    def test_new_process_starts_fresh(self) -> None:
        """A server that starts again under its id gets requests."""

        async def work(desk: Desk) -> None:
            fleet = desk.fleet
            server = desk.server(0)
            server.leaving = True
            await ask_until_announced(desk, server)
            server.leaving = False
            server.restart(msgspec.structs.replace(server.instance, started_ms=2))
            fleet.register(server.instance)
            await fleet.clock.sleep(1.0)
            before = len(server.started)
            for number in range(30):
                await desk.ask(0, f"later {number}".encode())
            assert len(server.started) > before

        run_desk(work, hosts=1, servers=3)

    def test_request_chosen_before_the_announcement_is_sent_elsewhere(self) -> None:
        """The port checks again just before it sends; the request runs on another server."""

        async def work(desk: Desk) -> None:
            node = desk.fleet.members["host-0"].node
            asks = [asyncio.ensure_future(desk.ask(0, f"own {n}".encode())) for n in range(6)]
            await asyncio.sleep(0)
            # The requests have chosen their servers, and nothing was sent yet.
            node.directory.mark_leaving("desk-0")
            assert all(isinstance(answer, Reply) for answer in await asyncio.gather(*asks))
            assert not desk.server(0).started

        run_desk(work, hosts=1, servers=3)


class TestBatches:
    def run(self, work: Callable[[Fleet], Awaitable[None]]) -> None:
        async def run(fleet: Fleet) -> None:
            await fleet.start(hosts=1, engines=3)
            await work(fleet)

        run_fleet(run)

    def test_items_go_to_other_engines(self) -> None:
        """Items that run on the leaving engine end there; the next ones start elsewhere."""

        async def work(fleet: Fleet) -> None:
            host = fleet.members["host-0"]
            leaving = fleet.engines.engines["engine-0"]
            leaving.leaving = True
            for number in range(4):
                submission = job(f"job-{number}", groups=2, size=4, events=20)
                await fleet.submit(host, submission)
                check_complete(submission, await fleet.collect(host, submission))
                if number == 0:
                    announced_s = fleet.clock.monotonic_s()
                    assert leaving.started
                    host.view.cut = False
                await fleet.clock.sleep(1.0)
            assert not later_starts(leaving, announced_s)

        self.run(work)

    def test_scoring_calls_go_to_other_servers(self) -> None:
        """A scoring server's answer announces it, and later calls go elsewhere."""

        async def work(fleet: Fleet) -> None:
            host = fleet.members["host-0"]
            servers = [fleet.add_scoring_server(f"scorer-{index}") for index in range(2)]
            await fleet.until(lambda: len(host.node.directory.backends("scorers")) == 2)
            servers[0].leaving = True
            announced_s = 0.0
            for number in range(4):
                submission = job(f"job-{number}", groups=2, size=4, scored=True)
                await fleet.submit(host, submission)
                await fleet.collect(host, submission)
                if not announced_s and servers[0].started:
                    announced_s = fleet.clock.monotonic_s()
                await fleet.clock.sleep(DRAIN_S)
            assert announced_s and not later_starts(servers[0], announced_s)

        self.run(work)

    def test_answers_to_orders_and_reports_announce(self) -> None:
        """An engine that gets no items is found to leave by the answer to a load order."""

        async def work(fleet: Fleet) -> None:
            host = fleet.members["host-0"]
            leaving = fleet.engines.engines["engine-0"]
            leaving.leaving = True
            fleet.name_version(2)
            submission = job("job-1", min_version=2)
            await fleet.submit(host, submission)
            check_complete(submission, await fleet.collect(host, submission))
            backend = host.node.directory.get("engine-0")
            assert backend is not None and backend.announced_leaving
            orders = len(leaving.orders)
            fleet.name_version(3)
            other = job("job-2", min_version=3)
            await fleet.submit(host, other)
            check_complete(other, await fleet.collect(host, other))
            assert len(leaving.orders) == orders
            assert leaving.versions[MODEL] < 3

        self.run(work)
