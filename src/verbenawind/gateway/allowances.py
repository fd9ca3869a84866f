"""Gives requests their turns at backend servers that limit the requests that they take.

The turns of a limited server form a schedule in the store, which hosts reserve by comparing the
row's version. So the sum over all hosts keeps to the limit by construction: a host that starts,
freezes or knows an old limit can't take another's turn, and one host may take all of them. Requests
that know from the schedule that they can't get a turn in time are refused without a call.
"""

import math
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.directory import Backend
from verbenawind.gateway.server_limits import Permit, ServerLimits, instance_incarnation
from verbenawind.gateway.turn_pool import TurnPool
from verbenawind.gateway.turn_source import TurnSource
from verbenawind.gateway.types import Instance
from verbenawind.kernel.row_ports import RowStore

__all__ = ["Allowances"]

# A limited server is preferred less than others by this time, unless it has been silent for a while
# and is asked whether its limit still holds.
_LIMITED_PENALTY_S = 0.1
_SILENT_S = 2.0
_MIN_SHARE = 0.01
_MAX_RETRY_S = 30.0


class Allowances:
    """The turns of limited servers, as far as this host needs them.

    Args:
        limits: The limits that servers have named.
        store: Holds the schedules.
        host: This host.
        hosts: Returns the known hosts.
        clock: Time source.
        store_ms: Returns the store's time.
        rng: Random source for jitter.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_listeners",
        "_log",
        "_pools",
        "_returns_at_s",
        "_rng",
        "_source",
        "refusals",
    )

    def __init__(
        self,
        limits: ServerLimits,
        store: RowStore,
        *,
        host: str,
        hosts: Callable[[], Sequence[str]],
        clock: Clock,
        store_ms: Callable[[], int],
        rng: Random,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._rng = rng
        self._source = TurnSource(
            limits,
            store,
            host=host,
            hosts=hosts,
            clock=clock,
            store_ms=store_ms,
            rng=rng,
            on_available=self._notify,
        )
        self._pools: dict[str, TurnPool] = {}
        self._listeners: list[Callable[[], None]] = []
        # By service, when the last refused request was told to return.
        self._returns_at_s: dict[str, float] = {}
        self._log = structlog.get_logger("limits")
        self.refusals = 0

    def on_available(self, listener: Callable[[], None]) -> None:
        """Call *listener* when turns that were requested without waiting have been reserved."""
        self._listeners.append(listener)

    def is_limited(self, instance: Instance) -> bool:
        """Return whether a server limits the requests that it takes."""
        return self._limits.rate_per_s(instance) is not None

    def has_unlimited(self, backends: Iterable[Backend], excluded: Collection[str]) -> bool:
        """Return whether a server that isn't suspected takes any number of requests.

        Args:
            backends: The servers of a service.
            excluded: Servers that don't count.
        """
        return any(
            not backend.suspected
            and backend.instance.instance_id not in excluded
            and not self.is_limited(backend.instance)
            for backend in backends
        )

    def share(self, instance: Instance) -> float:
        """Return the part of a limited server's turns that this host has used lately."""
        pool = self._pools.get(instance_incarnation(instance))
        return pool.share if pool is not None else 0.0

    def delay_s(self, instance: Instance) -> float:
        """Return by how much a server's limit delays a request, 0 for an unlimited server.

        The schedule only moves on, so what this host knows of it is never too late.
        """
        if not self.is_limited(instance):
            return 0.0
        penalty_s = 0.0 if self._limits.quiet_s(instance) > _SILENT_S else _LIMITED_PENALTY_S
        return penalty_s + self._wait_s(instance)

    async def acquire(
        self,
        instance: Instance,
        until_s: float,
        *,
        urgent: bool,
        prompt_until_s: float | None = None,
    ) -> Permit | None:
        """Wait for a turn of a server; return None at once for an unlimited one.

        Urgent requests reserve turns ahead of time; others take those that are due, and so come
        after the urgent ones of all hosts.

        Args:
            instance: The server.
            until_s: The latest monotonic time at which the request may be sent.
            urgent: Whether a caller waits for the request.
            prompt_until_s: The latest time at which the answer would be in time for its target. A
                burst of requests is queued as long as ``until_s`` allows; where the queue stands,
                its end would only make all answers late.

        Raises:
            LimitReached: There is no turn in time; nothing was sent.
        """
        if not self.is_limited(instance):
            return None
        return await self._pool(instance).acquire(
            until_s, urgent=urgent, prompt_until_s=prompt_until_s
        )

    def available(self, instance: Instance) -> bool:
        """Return whether a request may be sent to a server right now."""
        if not self.is_limited(instance):
            return True
        pool = self._pools.get(instance_incarnation(instance))
        return pool is not None and pool.has_turn(self._clock.monotonic_s())

    def take(self, instance: Instance) -> Permit | None:
        """Return a reserved turn; None for an unlimited server or if there is none."""
        if not self.is_limited(instance):
            return None
        return self._pool(instance).pop_turn(self._clock.monotonic_s())

    def request(self, instance: Instance, wanted: int) -> None:
        """Reserve turns of a limited server for requests that are sent when there is one."""
        self._pool(instance).request(wanted)

    def refused(self, instances: Collection[Instance], request_id: str) -> float:
        """Return after which time a request that got no turn should return, in seconds.

        The returns of one host are spread over the turns that it may expect.
        """
        limited = [instance for instance in instances if self.is_limited(instance)]
        if not limited:
            return 0.0
        service = limited[0].service
        rates = [self._limits.rate_per_s(instance) or math.inf for instance in limited]
        shares = [max(_MIN_SHARE, self.share(instance)) for instance in limited]
        expected_per_s = sum(rate * share for rate, share in zip(rates, shares, strict=True))
        now_s = self._clock.monotonic_s()
        free_at_s = now_s + min(self._wait_s(instance) for instance in limited)
        return_at_s = max(free_at_s, self._returns_at_s.get(service, 0.0))
        spacing_s = 1 / expected_per_s
        if return_at_s + spacing_s > now_s + _MAX_RETRY_S:
            # All turns of this time are promised; the rest spread over it as well.
            return_at_s = self._rng.uniform(free_at_s, max(free_at_s, now_s + _MAX_RETRY_S))
        else:
            self._returns_at_s[service] = return_at_s + spacing_s
        retry_after_s = return_at_s - now_s + spacing_s * self._rng.uniform(0.5, 1.0)
        self.refusals += 1
        self._log.info(
            "limit_refused",
            request_id=request_id,
            service=service,
            servers=len(limited),
            limit_per_s=round(sum(rates), 3),
            share=round(sum(shares) / len(shares), 3),
            free_in_s=round(free_at_s - now_s, 3),
            retry_after_s=round(retry_after_s, 3),
        )
        return retry_after_s

    def forget(self, incarnation: str) -> None:
        """Drop the turns of an incarnation that is gone."""
        pool = self._pools.pop(incarnation, None)
        if pool is not None:
            pool.close()

    def _pool(self, instance: Instance) -> TurnPool:
        incarnation = instance_incarnation(instance)
        pool = self._pools.get(incarnation)
        if pool is None:
            pool = self._pools[incarnation] = TurnPool(instance, self._source)
        return pool

    def _wait_s(self, instance: Instance) -> float:
        """Return the least time until a turn of a server that is still free."""
        pool = self._pools.get(instance_incarnation(instance))
        return pool.wait_s if pool is not None else 0.0

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
