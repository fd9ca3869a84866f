"""Tests of servers that name how many requests a second they take from all hosts together.

The failure: no host read the limit, so a server in need got whatever load balancing, hedges and
retries sent it. The bound is the users' rule LIMIT: from the contact time after a server first
named its limit, at most one and a half times the limit and five more in any four seconds.
"""

import asyncio
from random import Random

import msgspec
import pytest

from node.fleet import MODEL, Fleet, check_complete, job, run_fleet
from node.limits import Load, check_limit
from node.test_crashing_requests import Desk, run_desk
from verbenawind.errors import LimitReached, Outcome
from verbenawind.gateway import LIMITS_TABLE, RouteKind
from verbenawind.kernel.row_ports import RowId
from verbenawind.state.heartbeats import HOSTS_TABLE

# The part of the sum of the limits that callers should get.
USED = 0.9


async def ask_evenly(
    desk: Desk, load: Load, *, hosts: list[int], rate_per_s: float, for_s: float, **options: object
) -> None:
    """Send distinct requests at these hosts in turn, at an even rate, and wait for their ends."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(rate_per_s * for_s)):
            host = hosts[number % len(hosts)]
            body = f"card {len(load.replies)} {number}".encode()
            tasks.create_task(load.ask(host, body, **options))
            await desk.fleet.clock.sleep(1 / rate_per_s)


class TestLimitsOfPlainServers:
    @pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
    @pytest.mark.parametrize("limit_per_s", [1.0, 0.3, 5.0])
    def test_all_servers_limited_load_at_all_hosts(
        self, kind: RouteKind, limit_per_s: float
    ) -> None:
        """All servers of a service name a limit, and callers at every host ask for more."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = limit_per_s
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            await ask_evenly(
                desk, load, hosts=list(range(12)), rate_per_s=30.0, for_s=20.0, kind=kind
            )
            for server in desk.servers:
                check_limit(server, limit_per_s, since_s)

        run_desk(work, hosts=12, servers=3)

    def test_load_at_one_host(self) -> None:
        """All callers ask at one host; the limit holds and its allowance stays in use."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 2.0
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            await ask_evenly(desk, load, hosts=[0], rate_per_s=20.0, for_s=20.0)
            for server in desk.servers:
                check_limit(server, 2.0, since_s)

        run_desk(work, hosts=12, servers=3)

    def test_two_of_three_servers_limited(self) -> None:
        """Two of three servers name a limit and are slow, which invites hedges."""

        async def work(desk: Desk) -> None:
            for server in desk.servers[:2]:
                server.limit_per_s = 1.0
                server.pace_s = 0.4
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            await ask_evenly(desk, load, hosts=[0, 1, 2], rate_per_s=40.0, for_s=16.0)
            for server in desk.servers[:2]:
                check_limit(server, 1.0, since_s)

        run_desk(work, hosts=3, servers=3)

    def test_streams_keep_to_the_limit(self) -> None:
        """Streams are opened at servers that name a limit, more than these take."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 1.0
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            async with asyncio.TaskGroup() as tasks:
                for number in range(200):
                    asked = load.ask(number % 6, b"5", kind=RouteKind.STREAMING, timeout_s=1.5)
                    tasks.create_task(asked)
                    await desk.fleet.clock.sleep(0.1)
            for server in desk.servers:
                check_limit(server, 1.0, since_s)
            assert sum(reply is None for reply in load.replies) >= 0.8 * 2 * 20

        run_desk(work, hosts=6, servers=2)


class TestUseOfTheAllowance:
    @pytest.mark.parametrize("hosts", [[0], list(range(12))])
    @pytest.mark.parametrize("limit_per_s", [1.0, 6.0])
    def test_callers_get_what_the_limits_allow(self, hosts: list[int], limit_per_s: float) -> None:
        """Nobody is refused while an allowance lies unused, wherever the load arrives."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = limit_per_s
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1], rate_per_s=30.0, for_s=5.0)
            load = Load(desk)
            await ask_evenly(desk, load, hosts=hosts, rate_per_s=40.0, for_s=20.0)
            assert load.served >= USED * 3 * limit_per_s * 20.0

        run_desk(work, hosts=12, servers=3)

    def test_refusals_are_immediate_and_true(self) -> None:
        """A request that gets no turn in time is refused at once, has not run, and may return."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 2.0
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1, 2, 3], rate_per_s=40.0, for_s=15.0)
            ran = {name for server in desk.servers for _, name, _ in server.started}
            assert load.errors
            for error in load.errors:
                assert isinstance(error, LimitReached)
                assert error.outcome is Outcome.NOT_RUN
                assert error.retry_after_s is not None and error.retry_after_s > 0
            assert max(load.refused_after_s) < 0.3
            assert len(ran) == load.served

        run_desk(work, hosts=4, servers=2)

    def test_returns_are_spread_over_the_turns(self) -> None:
        """Requests that are refused in the same moment are told to return one after the other."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 2.0
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0], rate_per_s=30.0, for_s=5.0)
            burst = Load(desk)
            async with asyncio.TaskGroup() as tasks:
                for number in range(40):
                    tasks.create_task(burst.ask(0, f"burst {number}".encode()))
            returns_s = sorted(error.retry_after_s or 0.0 for error in burst.errors)
            assert len(returns_s) >= 20
            # Four turns a second, at the most one and a half times as many returns.
            assert returns_s[-1] - returns_s[0] >= len(returns_s) / 4.0 / 1.5

        run_desk(work, hosts=2, servers=2)

    def test_servers_without_a_limit_come_first(self) -> None:
        """While another server has room, a limited one gets little more than a question."""

        async def work(desk: Desk) -> None:
            desk.server(0).limit_per_s = 0.5
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1, 2], rate_per_s=20.0, for_s=4.0)
            before = len(desk.server(0).arrivals_s)
            later = Load(desk)
            await ask_evenly(desk, later, hosts=[0, 1, 2], rate_per_s=20.0, for_s=20.0)
            assert not load.errors and not later.errors
            # Nobody waits for a turn while a server without a limit is idle.
            assert max(later.served_after_s) < 0.2
            assert 1 <= len(desk.server(0).arrivals_s) - before <= 40

        run_desk(work, hosts=3, servers=3)

    def test_callers_come_before_owed_work(self) -> None:
        """Work that no caller waits for takes the turns that callers leave."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 3.0
            warm_up = Load(desk)
            await ask_evenly(desk, warm_up, hosts=[0], rate_per_s=20.0, for_s=4.0)
            callers, owed = Load(desk), Load(desk)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(
                    ask_evenly(desk, owed, hosts=[0, 1], rate_per_s=20.0, for_s=10.0, owed=True)
                )
                tasks.create_task(
                    ask_evenly(desk, callers, hosts=[0, 1], rate_per_s=3.0, for_s=10.0)
                )
            assert callers.served >= 0.95 * 30
            assert callers.served + owed.served >= USED * 6.0 * 10.0

        run_desk(work, hosts=2, servers=2)


class TestChangesOfALimit:
    def test_lower_and_higher_limits_are_followed(self) -> None:
        """A server names another limit; all hosts follow it within the contact time."""

        async def work(desk: Desk) -> None:
            load, clock = Load(desk), desk.fleet.clock
            for limit_per_s in (6.0, 1.0, 4.0):
                for server in desk.servers:
                    server.limit_per_s = limit_per_s
                    server.arrivals_s.clear()
                since_s, served = clock.monotonic_s(), load.served
                await ask_evenly(desk, load, hosts=list(range(6)), rate_per_s=30.0, for_s=14.0)
                for server in desk.servers:
                    check_limit(server, limit_per_s, since_s)
                assert load.served - served >= 0.8 * 2 * limit_per_s * 14.0

        run_desk(work, hosts=6, servers=2)

    @pytest.mark.parametrize("asked", [[0], [0, 1, 2]])
    def test_a_limit_that_ended_is_forgotten(self, asked: list[int]) -> None:
        """A server stops naming a limit; hosts that have sent nothing since learn of it too."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 1.0
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1, 2], rate_per_s=20.0, for_s=8.0)
            for server in desk.servers:
                server.limit_per_s = None
            await ask_evenly(desk, load, hosts=asked, rate_per_s=4.0, for_s=4.0)
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1, 2], rate_per_s=40.0, for_s=4.0)
            assert not load.errors

        run_desk(work, hosts=3, servers=2)

    def test_limit_that_ends_while_nobody_sends(self) -> None:
        """No answer tells that the limit has ended; the first requests learn it."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 0.5
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1], rate_per_s=10.0, for_s=6.0)
            for server in desk.servers:
                server.limit_per_s = None
            await desk.fleet.clock.sleep(20.0)
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1], rate_per_s=20.0, for_s=10.0)
            assert not load.errors[:1] or load.served >= 0.9 * 200

        run_desk(work, hosts=2, servers=2)

    def test_next_process_has_no_limit(self) -> None:
        """A server with a limit is started again under its id and names none."""

        async def work(desk: Desk) -> None:
            only = desk.server(0)
            only.limit_per_s = 0.3
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1], rate_per_s=10.0, for_s=6.0)
            only.crash()
            only.limit_per_s = None
            only.restart(msgspec.structs.replace(only.instance, started_ms=2))
            desk.fleet.register(only.instance)
            await desk.fleet.clock.sleep(1.0)
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1], rate_per_s=20.0, for_s=4.0)
            assert not load.errors

        run_desk(work, hosts=2, servers=1)

    def test_limit_that_another_host_was_told_of(self) -> None:
        """A host that gets no answer of a limited server keeps to its limit all the same."""

        async def work(desk: Desk) -> None:
            desk.server(0).limit_per_s = 1.0
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            await ask_evenly(desk, load, hosts=[0], rate_per_s=10.0, for_s=3.0)
            await desk.fleet.clock.sleep(1.0)
            limits = desk.fleet.members["host-1"].node.limits
            assert limits.rate_per_s(desk.server(0).instance) == 1.0
            await ask_evenly(desk, load, hosts=[1], rate_per_s=20.0, for_s=10.0)
            check_limit(desk.server(0), 1.0, since_s)

        run_desk(work, hosts=2, servers=1)

    def test_limit_named_in_refusals_only(self) -> None:
        """A server that turns requests away names its limit in the refusals."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 1.0
                server.loading = True
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            await ask_evenly(desk, load, hosts=[0, 1, 2], rate_per_s=20.0, for_s=12.0)
            for server in desk.servers:
                check_limit(server, 1.0, since_s)

        run_desk(work, hosts=3, servers=2)


class TestHostsAndStore:
    def test_store_away(self) -> None:
        """Without the store the sum over all hosts keeps to the limit, and some are served."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 4.0
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            await ask_evenly(desk, load, hosts=list(range(6)), rate_per_s=30.0, for_s=6.0)
            desk.fleet.store.faults.down = True
            during = Load(desk)
            await ask_evenly(desk, during, hosts=list(range(6)), rate_per_s=30.0, for_s=12.0)
            desk.fleet.store.faults.down = False
            await ask_evenly(desk, load, hosts=list(range(6)), rate_per_s=30.0, for_s=6.0)
            for server in desk.servers:
                check_limit(server, 4.0, since_s)
            assert during.served >= 12.0
            # A quarter of the time that the callers have.
            assert max(during.refused_after_s) < 0.75

        run_desk(work, hosts=6, servers=2)

    def test_hosts_cut_off_from_the_store(self) -> None:
        """Some hosts use their own turns while the others reserve theirs."""

        async def work(desk: Desk) -> None:
            for server in desk.servers:
                server.limit_per_s = 2.0
            load, since_s = Load(desk), desk.fleet.clock.monotonic_s()
            for cut in (False, True, False, True):
                for host in range(3):
                    desk.fleet.members[f"host-{host}"].view.cut = cut
                await ask_evenly(desk, load, hosts=list(range(6)), rate_per_s=30.0, for_s=5.0)
            for server in desk.servers:
                check_limit(server, 2.0, since_s)

        run_desk(work, hosts=6, servers=2)

    @pytest.mark.parametrize("seed", range(4))
    def test_hosts_that_end_and_start_while_the_store_errs(self, seed: int) -> None:
        """Hosts are killed and started, the store loses answers and applies writes late."""

        async def work(desk: Desk) -> None:
            fleet, rng = desk.fleet, Random(seed)
            for server in desk.servers:
                server.limit_per_s = 2.0
            load, since_s = Load(desk), fleet.clock.monotonic_s()
            for _ in range(10):
                fleet.store.faults.lost_answers = rng.choice([0.0, 0.3])
                fleet.store.faults.late_writes = rng.choice([0.0, 0.1])
                fleet.store.faults.slow_s = rng.choice([0.0, 0.0, 0.2])
                name = f"host-{rng.randrange(6)}"
                fleet.kill(name)
                await ask_evenly(
                    desk,
                    load,
                    hosts=[n for n in range(6) if f"host-{n}" in fleet.members],
                    rate_per_s=30.0,
                    for_s=rng.uniform(1.0, 3.0),
                )
                fleet.add_host(name)
                await fleet.until(lambda name=name: fleet.members[name].node.ready)
            for server in desk.servers:
                check_limit(server, 2.0, since_s)

        run_desk(work, hosts=6, servers=3, seed=seed)


class TestRows:
    def test_rows_of_servers_that_are_gone_are_deleted(self) -> None:
        """A server that named a limit leaves; a minute later nothing is kept of it."""

        async def work(desk: Desk) -> None:
            fleet = desk.fleet
            desk.server(0).limit_per_s = 1.0
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1, 2], rate_per_s=10.0, for_s=6.0)

            def rows() -> list[str]:
                parts = [(LIMITS_TABLE, part) for part in fleet.store.table_parts(LIMITS_TABLE)]
                pages = [fleet.store.page(*part, "", 100) for part in [*parts, (HOSTS_TABLE, "")]]
                keys = [row.row_id.key for page in pages for row in page.rows]
                return [key for key in keys if key.startswith(("limit/", "schedule"))]

            assert len(rows()) == 2
            fleet.unregister("desk-0")
            await fleet.clock.sleep(75.0)
            assert not rows()
            assert not fleet.members["host-1"].node.limits.active()

        run_desk(work, hosts=3, servers=1)

    def test_unreadable_rows_are_ignored(self) -> None:
        """Bytes of another writer in the rows of limits change nothing."""

        async def work(desk: Desk) -> None:
            fleet = desk.fleet
            for key in ("limit/other", "limit/empty"):
                value = b"{}" if key.endswith("empty") else b"\xff"
                fleet.store.put(RowId(table=HOSTS_TABLE, key=key), value)
            await fleet.clock.sleep(1.0)
            load = Load(desk)
            await ask_evenly(desk, load, hosts=[0, 1], rate_per_s=10.0, for_s=2.0)
            assert load.served == 20

        run_desk(work, hosts=2, servers=2)


class TestItemsAndOrders:
    def test_items_keep_to_the_limits_of_engines(self) -> None:
        """A job's items, their probes and moves reach limited engines as their limits allow."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=4)
            engines = list(fleet.engines.engines.values())
            for engine in engines[:3]:
                engine.limit_per_s = 3.0
            since_s = fleet.clock.monotonic_s()
            members = list(fleet.members.values())
            jobs = [job(f"job-{n}", groups=6, size=8, events=30) for n in range(3)]
            for member, submission in zip(members, jobs, strict=True):
                await fleet.submit(member, submission)
            for submission in jobs:
                check_complete(submission, await fleet.collect(members[0], submission))
            for engine in engines[:3]:
                check_limit(engine, 3.0, since_s)
                assert len(engine.arrivals_s) >= 8

        run_fleet(work)

    def test_all_engines_limited(self) -> None:
        """A job runs as fast as the limits of its engines allow."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            engines = list(fleet.engines.engines.values())
            for engine in engines:
                engine.limit_per_s = 4.0
            since_s = fleet.clock.monotonic_s()
            first = next(iter(fleet.members.values()))
            submission = job(groups=20, size=8, events=5)
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(first, submission))
            took_s = fleet.clock.monotonic_s() - since_s
            for engine in engines:
                check_limit(engine, 4.0, since_s)
            assert took_s <= 160 / (3 * 4.0) / USED + 2.0

        run_fleet(work)

    def test_orders_and_reports_count(self) -> None:
        """New weights are loaded on limited engines under items; orders count as requests."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            engines = list(fleet.engines.engines.values())
            for engine in engines:
                engine.limit_per_s = 2.0
            since_s = fleet.clock.monotonic_s()
            first = next(iter(fleet.members.values()))
            for version in range(2, 6):
                fleet.name_version(version)
                submission = job(
                    f"job-{version}", groups=3, size=4, min_version=version - 1, step=version
                )
                await fleet.submit(first, submission)
                check_complete(submission, await fleet.collect(first, submission))
            for engine in engines:
                check_limit(engine, 2.0, since_s)
                assert engine.versions[MODEL] >= 4, engine.versions

        run_fleet(work)

    def test_scoring_calls_count(self) -> None:
        """Scoring servers that name a limit get the calls of a job as the limit allows."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2, engines=3)
            scorers = [fleet.add_scoring_server(f"scorer-{n}") for n in range(2)]
            for scorer in scorers:
                scorer.limit_per_s = 3.0
            await fleet.clock.sleep(1.0)
            since_s = fleet.clock.monotonic_s()
            first = next(iter(fleet.members.values()))
            submission = job(groups=8, size=8, scored=True)
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(first, submission))
            for scorer in scorers:
                check_limit(scorer, 3.0, since_s)

        run_fleet(work)
