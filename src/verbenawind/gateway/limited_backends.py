"""Keeps all requests to backend servers within the limits that these name in their answers.

The turns come from ``allowances.py``; what servers say of their limits is in ``server_limits.py``.
"""

from collections.abc import Callable

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.allowances import Allowances
from verbenawind.gateway.ports import Attempt, BackendPort, BackendResponse
from verbenawind.gateway.server_limits import Permit, ServerLimits, instance_incarnation
from verbenawind.gateway.types import Instance

__all__ = ["LimitedBackends"]

# A wait may end this much early.
_CLOCK_SLACK_S = 0.001


class LimitedBackends:
    """A BackendPort through which a limited server gets only requests that have a permit.

    Every request passes here, whatever it is sent for, so that none is left out of the limit.

    Args:
        port: Sends the requests.
        limits: Records what the answers say.
        allowances: Gives permits.
        clock: Time source.
        store_ms: Returns the store's time.
    """

    __slots__ = ("_allowances", "_clock", "_limits", "_log", "_port", "_store_ms")

    def __init__(
        self,
        port: BackendPort,
        limits: ServerLimits,
        allowances: Allowances,
        clock: Clock,
        store_ms: Callable[[], int],
    ) -> None:
        self._port = port
        self._limits = limits
        self._allowances = allowances
        self._clock = clock
        self._store_ms = store_ms
        self._log = structlog.get_logger("limits")

    async def send(self, instance: Instance, attempt: Attempt) -> BackendResponse:
        """Send an attempt, which needs a permit if the server is limited.

        A request whose server has become limited since it was chosen takes a turn that is due.

        Raises:
            LimitReached: The server takes no more requests now; nothing was sent.
            BackendServerUnreachable: Nothing was sent.
            BackendServerFailed: The request may have run.
        """
        if self._allowances.is_limited(instance):
            await self.permit(instance, attempt.request.request_id, attempt.permit)
        sent_ms = self._store_ms()
        response = await self._port.send(instance, attempt)
        if response.answered_by in ("", instance.instance_id):
            self._limits.answered(
                instance,
                response.limit_per_s,
                sent_ms,
                # Only a server's own answer shows that its limit has ended.
                ends_limit=response.signed or response.refused,
            )
        return response

    async def permit(
        self, instance: Instance, request_id: str, permit: Permit | None, *, wait_s: float = 0.0
    ) -> None:
        """Use a permit of a limited server, or get one, and count the request.

        Args:
            instance: The server.
            request_id: The request, for the log.
            permit: The permit that the request has; one that has expired is replaced.
            wait_s: How long the request may wait for a permit.

        Raises:
            LimitReached: There is none in time.
        """
        now_s = self._clock.monotonic_s()
        if not _is_valid(permit, instance, now_s):
            await self._allowances.acquire(instance, now_s + wait_s, urgent=True)
        self._limits.sent(instance)
        self._log.info(
            "limited_send",
            request_id=request_id,
            server=instance.instance_id,
            limit_per_s=self._limits.rate_per_s(instance),
            age_s=round(self._limits.age_s(instance), 3),
            share=round(self._allowances.share(instance), 3),
            sent_lately=self._limits.recent_sends(instance),
        )


def _is_valid(permit: Permit | None, instance: Instance, now_s: float) -> bool:
    if permit is None or permit.incarnation != instance_incarnation(instance):
        return False
    return permit.usable_at_s <= now_s + _CLOCK_SLACK_S and now_s <= permit.use_by_s
