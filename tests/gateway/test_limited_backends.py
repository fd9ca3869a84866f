"""Tests of the gate through which all requests to limited servers pass."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

import pytest

from gateway.guards import create_allowances
from log_lines import capture_log_lines
from verbenawind.clock import LoopClock
from verbenawind.errors import LimitReached
from verbenawind.gateway import (
    Allowances,
    Attempt,
    CallerRequest,
    Instance,
    LimitedBackends,
    Permit,
    ServerLimits,
)
from verbenawind.kernel.messages import Location
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.opaque_engines import OpaqueEngine, OpaqueEngines

INSTANCE = Instance(
    instance_id="desk-0",
    service="desk",
    address="10.0.0.1:80",
    location=Location(zone="a", region="a"),
    slots=6,
    draining=False,
    started_ms=1,
    versions={},
)
INCARNATION = "desk-0.1"


class Gate:
    """A gate before one server."""

    def __init__(self) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.limits = ServerLimits(self.clock, self.store_ms)
        self.allowances: Allowances = create_allowances(self.clock, self.limits)
        engines = OpaqueEngines()
        self.server: OpaqueEngine = engines.add(INSTANCE)
        self.backends = LimitedBackends(
            engines, self.limits, self.allowances, self.clock, self.store_ms
        )

    def store_ms(self) -> int:
        return int(self.clock.monotonic_s() * 1000)

    async def send(self, permit: Permit | None = None) -> None:
        """Send a request and wait for the head of its answer."""
        request = CallerRequest(
            request_id="r",
            method="POST",
            host="h",
            target="/x",
            headers=(),
            body=b"1",
            arrived_s=0.0,
            deadline_s=3.0,
        )
        response = await self.backends.send(
            INSTANCE, Attempt(request=request, remaining_s=3.0, permit=permit)
        )
        response.close()

    async def use_up(self) -> None:
        """Use all turns that are due."""
        with contextlib.suppress(LimitReached):
            while True:
                await self.allowances.acquire(INSTANCE, self.clock.monotonic_s(), urgent=True)

    async def learn(self, limit_per_s: float | None) -> None:
        """Let the server name a limit in an answer."""
        self.server.limit_per_s = limit_per_s
        await self.send()


def run_gate(work: Callable[[Gate], Awaitable[None]]) -> None:
    """Run *work* with a new gate on virtual time."""

    async def run() -> None:
        await asyncio.sleep(10.0)
        await work(Gate())

    run_virtual(run())


class TestPermits:
    def test_request_without_a_permit_takes_a_due_slot_or_fails(self) -> None:
        """A server became limited after it was chosen: what has no turn is not sent."""

        async def work(gate: Gate) -> None:
            await gate.learn(1.0)
            await gate.send()
            await gate.send()
            with pytest.raises(LimitReached):
                await gate.send()
            assert len(gate.server.arrivals_s) == 3

        run_gate(work)

    def test_permit_of_a_host_that_froze_is_replaced(self) -> None:
        """A host that thaws after its turn has passed does not send on the old permit."""

        async def work(gate: Gate) -> None:
            await gate.learn(1.0)
            permit = await gate.allowances.acquire(INSTANCE, 11.0, urgent=True)
            assert permit is not None
            await asyncio.sleep(permit.use_by_s - gate.clock.monotonic_s() + 0.1)
            await gate.use_up()
            with pytest.raises(LimitReached):
                await gate.send(permit)

        run_gate(work)

    def test_permit_of_another_process_does_not_count(self) -> None:
        """A permit for a server's former process is none for its successor."""

        async def work(gate: Gate) -> None:
            await gate.learn(1.0)
            await gate.use_up()
            now_s = gate.clock.monotonic_s()
            other = Permit(incarnation="desk-0.0", usable_at_s=now_s, use_by_s=now_s + 1)
            with pytest.raises(LimitReached):
                await gate.send(other)

        run_gate(work)

    def test_slot_of_a_cancelled_request_is_used_by_the_next(self) -> None:
        """A caller that leaves while it waits for its turn leaves the turn to the next one."""

        async def work(gate: Gate) -> None:
            await gate.learn(1.0)
            for _ in range(2):
                await gate.send()
            until_s = gate.clock.monotonic_s() + 3.0
            waiting = asyncio.ensure_future(gate.allowances.acquire(INSTANCE, until_s, urgent=True))
            await asyncio.sleep(0.1)
            waiting.cancel()
            await asyncio.wait({waiting})
            started_s = gate.clock.monotonic_s()
            assert await gate.allowances.acquire(INSTANCE, until_s, urgent=True)
            assert gate.clock.monotonic_s() - started_s <= 1.0

        run_gate(work)


class TestStatements:
    def test_answer_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        """An answer without a limit counts only if its request was sent after the naming."""

        async def work(gate: Gate) -> None:
            await gate.learn(2.0)
            gate.limits.answered(INSTANCE, None, gate.store_ms() - 50, ends_limit=True)
            assert gate.limits.rate_per_s(INSTANCE) == 2.0
            await asyncio.sleep(0.1)
            gate.limits.answered(INSTANCE, None, gate.store_ms(), ends_limit=True)
            assert gate.limits.rate_per_s(INSTANCE) is None

        run_gate(work)

    @pytest.mark.parametrize("limit", [float("nan"), float("inf"), -1.0])
    def test_unreadable_limit_is_ignored_and_logged(self, limit: float) -> None:
        """A limit that is no non-negative number changes nothing."""

        async def work(gate: Gate) -> None:
            await gate.learn(2.0)
            gate.limits.answered(INSTANCE, limit, gate.store_ms(), ends_limit=True)
            assert gate.limits.rate_per_s(INSTANCE) == 2.0

        with capture_log_lines() as lines:
            run_gate(work)
        assert "server_limit_unreadable" in {line["event"] for line in lines}

    def test_limit_of_zero_is_asked_now_and_then(self) -> None:
        """A server that takes nothing gets a request each ten seconds, to learn when that ends."""

        async def work(gate: Gate) -> None:
            await gate.learn(0.0)
            sent = 0
            for _ in range(60):
                try:
                    await gate.send()
                    sent += 1
                except LimitReached:
                    pass
                await asyncio.sleep(0.5)
            assert 2 <= sent <= 4

        run_gate(work)
