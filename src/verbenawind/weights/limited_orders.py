"""Counts orders to engines and calls for their reports as requests to limited servers."""

from verbenawind.clock import Clock
from verbenawind.errors import LimitReached
from verbenawind.gateway import Instance, LimitedBackends, ServerLimits
from verbenawind.weights.load_scheduler import EngineReport, OrderPort
from verbenawind.weights.rolling import LoadOrder, OrderAnswer, OrderReply

__all__ = ["LimitedOrders"]

# How long an order may wait for its turn; its holder's lease covers that.
_ORDER_WAIT_S = 0.2
# How long a call for a report may wait for its turn. What an order did is known from it alone.
_REPORT_WAIT_S = 5.0


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

    __slots__ = ("_awaiting_report", "_backends", "_clock", "_limits", "_port")

    def __init__(
        self, port: OrderPort, backends: LimitedBackends, limits: ServerLimits, clock: Clock
    ) -> None:
        self._port = port
        self._backends = backends
        self._limits = limits
        self._clock = clock
        # Engines for whose reports a call waits for its turn.
        self._awaiting_report: set[str] = set()

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
        """Return an engine's report, or None if it gave none.

        One call at a time waits for its turn at a limited engine; others return None at once.
        """
        if instance.instance_id in self._awaiting_report:
            return None
        self._awaiting_report.add(instance.instance_id)
        try:
            if not await self._may_send(instance, "report", _REPORT_WAIT_S):
                return None
        finally:
            self._awaiting_report.discard(instance.instance_id)
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
