"""Counts orders to engines and calls for their reports as requests to limited servers."""

from verbenawind.clock import Clock
from verbenawind.errors import LimitReached
from verbenawind.gateway import Instance, LimitedBackends, ServerLimits
from verbenawind.weights.load_scheduler import EngineReport, OrderPort
from verbenawind.weights.rolling import LoadOrder, OrderAnswer, OrderReply

__all__ = ["LimitedOrders"]

# How long an order may wait for its turn; its holder's lease covers that.
_ORDER_WAIT_S = 0.2


class LimitedOrders:
    """An OrderPort that keeps to the limits of engines.

    Their answers may name a limit. Whether they would name one that still holds isn't known, so
    that they end none.

    Args:
        port: Gives the orders.
        backends: Gives permits.
        limits: Records what the answers say.
        clock: Time source.
    """

    __slots__ = ("_backends", "_clock", "_limits", "_port")

    def __init__(
        self, port: OrderPort, backends: LimitedBackends, limits: ServerLimits, clock: Clock
    ) -> None:
        self._port = port
        self._backends = backends
        self._limits = limits
        self._clock = clock

    async def order(self, instance: Instance, order: LoadOrder, timeout_s: float) -> OrderReply:
        """Give an order, unless the engine takes no more requests in time."""
        started_s = self._clock.monotonic_s()
        wait_s = min(_ORDER_WAIT_S, timeout_s)
        if not await self._may_send(instance, f"order {order.model} {order.version}", wait_s):
            return OrderReply(
                answer=OrderAnswer.UNREACHABLE, detail="the engine's limit is used up"
            )
        left_s = timeout_s - (self._clock.monotonic_s() - started_s)
        reply = await self._port.order(instance, order, left_s)
        self._limits.answered(instance, reply.limit_per_s, 0, ends_limit=False)
        return reply

    async def report(self, instance: Instance, timeout_s: float) -> EngineReport | None:
        """Return an engine's report, or None if it gave none or takes no more requests now."""
        if not await self._may_send(instance, "report", 0.0):
            return None
        report = await self._port.report(instance, timeout_s)
        if report is not None:
            self._limits.answered(instance, report.limit_per_s, 0, ends_limit=False)
        return report

    async def _may_send(self, instance: Instance, request_id: str, wait_s: float) -> bool:
        if self._limits.rate_per_s(instance) is None:
            return True
        try:
            await self._backends.permit(instance, request_id, None, wait_s=wait_s)
        except LimitReached:
            return False
        return True
