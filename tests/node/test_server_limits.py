"""Tests of servers that name how many requests a second they take from all hosts together.

The failure: no host read the limit, so a server in need got whatever load balancing, hedges and
retries sent it. The bound is the users' rule LIMIT: from the contact time after a server first
named its limit, at most one and a half times the limit and five more in any four seconds.
"""

import asyncio

import pytest

from node.limits import Load, check_limit
from node.test_crashing_requests import Desk, run_desk
from verbenawind.gateway import RouteKind


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
