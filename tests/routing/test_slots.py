"""Tests of the queue for slots on backend servers."""

import asyncio
from datetime import UTC, datetime

from verbenawind.clock import LoopClock
from verbenawind.kernel.messages import WorkKind
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.server_choice import Choice
from verbenawind.routing.slots import SlotQueue, Ticket
from verbenawind.standins.deployment import run_virtual


def ticket(request_id: str) -> Ticket:
    """Return an application ticket with a distant deadline."""
    return Ticket(
        request_id=request_id,
        caller="desk",
        kind=WorkKind.APPLICATION,
        weight=1.0,
        lane=None,
        deadline_s=1000.0,
    )


class TestSlotQueue:
    def test_cancelled_request_leaks_no_slot(self) -> None:
        """A slot released while the next request is being cancelled goes to the one after it."""

        async def scenario() -> int:
            def choose(_: Ticket) -> Choice:
                free = queue.total_in_flight() == 0
                return Choice(server_id="a" if free else None, reason="test", considered=1)

            queue = SlotQueue(
                "pool 'p'", LoopClock(datetime(2026, 1, 1, tzinfo=UTC)), choose, RoutingPolicy()
            )
            first = ticket("first")
            await queue.acquire(first)
            second = asyncio.create_task(queue.acquire(ticket("second")))
            third = asyncio.create_task(queue.acquire(ticket("third")))
            await asyncio.sleep(0.001)
            second.cancel()
            queue.release(first, "a")
            async with asyncio.timeout(5.0):
                await third
            return queue.total_in_flight()

        assert run_virtual(scenario()) == 1
