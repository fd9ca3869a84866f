"""Reads from every answer of a backend server whether it limits the requests that it takes."""

from collections.abc import Callable

import structlog

from verbenawind.gateway.ports import Attempt, BackendPort, BackendResponse
from verbenawind.gateway.server_limits import ServerLimits
from verbenawind.gateway.types import Instance

__all__ = ["LimitedBackends"]


class LimitedBackends:
    """A BackendPort that counts requests to limited servers and reads all answers' limits.

    Args:
        port: Sends the requests.
        limits: Records what the answers say.
        store_ms: Returns the store's time.
    """

    __slots__ = ("_limits", "_log", "_port", "_store_ms")

    def __init__(
        self, port: BackendPort, limits: ServerLimits, store_ms: Callable[[], int]
    ) -> None:
        self._port = port
        self._limits = limits
        self._store_ms = store_ms
        self._log = structlog.get_logger("limits")

    async def send(self, instance: Instance, attempt: Attempt) -> BackendResponse:
        """Send an attempt.

        Raises:
            BackendServerUnreachable: Nothing was sent.
            BackendServerFailed: The request may have run.
        """
        rate_per_s = self._limits.rate_per_s(instance)
        if rate_per_s is not None:
            self._limits.sent(instance)
            self._log.info(
                "limited_send",
                request_id=attempt.request.request_id,
                server=instance.instance_id,
                limit_per_s=rate_per_s,
                age_s=round(self._limits.age_s(instance), 3),
                sent_lately=self._limits.recent_sends(instance),
            )
        sent_ms = self._store_ms()
        response = await self._port.send(instance, attempt)
        self._limits.answered(
            instance,
            response.limit_per_s,
            sent_ms,
            # Only a server's own answer shows that its limit has ended.
            ends_limit=response.signed or response.refused,
        )
        return response
