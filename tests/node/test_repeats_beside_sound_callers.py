"""Tests of a crashing request beside other callers that send the same path and body soundly.

The failure: an answer to the sound caller cleared the crashing one of all ends, so that it reached
servers without bound, and the sound caller was refused with it. The bound is the users' rule
BUDGET: at most three sends later than the contact time after the third server has ended.
"""

import asyncio
from random import Random

import pytest

from node.test_crashing_requests import MAX_LATE_SENDS, Desk, run_desk
from verbenawind.errors import RequestConvicted, VerbenawindError
from verbenawind.gateway import Reply, RouteKind

CARD = b"card 7"
CRASHING = "10.0.0.1"
SOUND = "10.0.0.2"


class Callers:
    """A caller under whose requests servers end, and others with the same requests."""

    def __init__(self, desk: Desk, *, back_after_s: float = 2.0) -> None:
        self.desk = desk
        self.sound: list[Reply | VerbenawindError | None] = []
        for server in desk.servers:
            server.crash_callers.add(CRASHING)
            desk.fleet.restart_after_crashes(server, back_after_s)

    async def ask_soundly(
        self, hosts: int, *, kind: RouteKind, callers: int = 1, period_s: float = 1.0
    ) -> None:
        """Ask at random hosts until cancelled, as one or several callers."""
        rng = Random(1)
        while True:
            caller = f"{SOUND}{rng.randrange(callers)}"
            host = rng.randrange(hosts)
            self.sound.append(await self.desk.ask(host, CARD, kind=kind, caller=caller))
            await self.desk.fleet.clock.sleep(period_s)

    @property
    def refused(self) -> int:
        """Number of sound requests that were refused as crashing ones."""
        return sum(isinstance(reply, RequestConvicted) for reply in self.sound)


class TestBesideASoundCaller:
    @pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
    @pytest.mark.parametrize("hosts, servers", [(3, 6), (12, 3)])
    def test_repeats_are_bounded_and_the_sound_caller_is_served(
        self, kind: RouteKind, hosts: int, servers: int
    ) -> None:
        """One caller's request ends each server; another sends the same each second."""

        async def work(desk: Desk) -> None:
            callers = Callers(desk)
            sound = asyncio.ensure_future(callers.ask_soundly(hosts, kind=kind))
            for attempt in range(16):
                await desk.ask(attempt % hosts, CARD, kind=kind, caller=CRASHING)
                await desk.fleet.clock.sleep(5.0)
            sound.cancel()
            assert len(desk.sends_at_s()) >= 3
            assert desk.late_sends() <= MAX_LATE_SENDS
            assert not callers.refused
            assert sum(isinstance(reply, Reply) for reply in callers.sound) >= 0.85 * len(
                callers.sound
            )

        run_desk(work, hosts=hosts, servers=servers)

    def test_many_sound_callers(self) -> None:
        """A popular request that one caller of many makes crash."""

        async def work(desk: Desk) -> None:
            callers = Callers(desk)
            kind = RouteKind.IDEMPOTENT
            sound = asyncio.ensure_future(
                callers.ask_soundly(6, kind=kind, callers=20, period_s=0.1)
            )
            for attempt in range(16):
                await desk.ask(attempt % 6, CARD, kind=kind, caller=CRASHING)
                await desk.fleet.clock.sleep(5.0)
            sound.cancel()
            assert desk.late_sends() <= MAX_LATE_SENDS
            assert not callers.refused

        run_desk(work, hosts=6, servers=6)


class TestCallersThatCannotBeTold:
    def test_crashing_caller_with_changing_addresses(self) -> None:
        """Its attempts come from another address each time; the request itself is refused."""

        async def work(desk: Desk) -> None:
            desk.fleet.poison(CARD)
            for attempt in range(16):
                await desk.ask(attempt % 3, CARD, caller=f"10.1.0.{attempt}")
                await desk.fleet.clock.sleep(5.0)
            assert desk.late_sends() <= MAX_LATE_SENDS

        run_desk(work)

    def test_once_only_request_with_changing_addresses(self) -> None:
        """The same for a request that is sent to one server in each attempt."""

        async def work(desk: Desk) -> None:
            desk.fleet.poison(CARD)
            for attempt in range(16):
                await desk.ask(
                    attempt % 3, CARD, kind=RouteKind.NON_IDEMPOTENT, caller=f"10.1.0.{attempt}"
                )
                await desk.fleet.clock.sleep(5.0)
            assert desk.late_sends() <= MAX_LATE_SENDS

        run_desk(work)

    def test_popular_request_of_many_callers_on_failing_servers(self) -> None:
        """Servers end by themselves under a request that many callers send: nobody is refused."""

        async def work(desk: Desk) -> None:
            fleet = desk.fleet
            for server in desk.servers:
                fleet.restart_after_crashes(server, 0.4)
                server.pace_s = 0.15
            replies: list[Reply | VerbenawindError | None] = []

            async def call(number: int) -> None:
                caller = f"10.2.0.{number % 7}"
                replies.append(await desk.ask(number % 3, CARD, caller=caller))

            calls = []
            for number in range(300):
                if number % 16 == 0:
                    for index in fleet.rng.sample(range(6), 2):
                        if not desk.server(index).down:
                            desk.server(index).crash()
                calls.append(asyncio.ensure_future(call(number)))
                await fleet.clock.sleep(0.025)
            await asyncio.gather(*calls)
            assert not [reply for reply in replies if isinstance(reply, RequestConvicted)]

        run_desk(work)
