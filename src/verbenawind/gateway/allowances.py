"""Gives requests their turns at backend servers that limit the requests that they take.

The turns of a limited server are slots of a schedule in the store, which hosts reserve by comparing
the row's version. So the sum over all hosts keeps to the limit by construction: a host that starts,
freezes or knows an old limit can't take another's slot, and one host may take all of them. Requests
that know from the schedule that they can't get a slot in time are refused without a call.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import LimitReached, RowConflict, StoreUnavailable
from verbenawind.gateway.directory import Backend
from verbenawind.gateway.limit_schedule import LimitSchedule, own_slot_ms, reserve
from verbenawind.gateway.server_limits import Permit, ServerLimits, instance_incarnation
from verbenawind.gateway.types import Instance
from verbenawind.ids import digest_hex, new_id
from verbenawind.kernel.messages import Value
from verbenawind.kernel.row_ports import RowId, RowStore, replacement_transaction

__all__ = ["LIMITS_TABLE", "Allowances"]

LIMITS_TABLE = "limits"
_SCHEDULE_KEY = "schedule"
_RESERVE_TIMEOUT_S = 0.4
# The same while the last call has failed: requests wait for it.
_RETRY_TIMEOUT_S = 0.2
# A slot must be used within this time.
_SLOT_VALID_S = 0.5
# After a failed call to the store a host uses its own slots for this long.
_UNCOORDINATED_S = 1.0
_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.2
_CONFLICT_PAUSE_S = 0.01
# Requests that come closer together than this share one call to the store.
_CALL_INTERVAL_S = 0.05
# How long a request for slots without a waiting caller stands.
_WANTED_S = 0.2
# A limited server is preferred less than others by this time, unless it has been silent for a while
# and is asked whether its limit still holds.
_LIMITED_PENALTY_S = 0.1
_SILENT_S = 2.0
# More requests than this that wait for longer than a burst lasts are a standing queue. It ends
# once no request has been refused for it for some time.
_QUEUED_REQUESTS = 2
_BURST_S = 1.0
_SHED_S = 2.0
# A request that gets no slot tells the other hosts that callers wait, unless one has lately.
_TELL_CALLERS_MS = 1000
_SHARE_WEIGHT = 0.2
_MIN_SHARE = 0.01
_MAX_RETRY_S = 30.0


class _ScheduleRow(Value, frozen=True, kw_only=True):
    """The stored schedule. ``reservation_id`` tells equal reservations of two hosts apart."""

    schedule: LimitSchedule
    reservation_id: str


class _Waiter:
    """A request that waits for a slot no later than ``until_ms``."""

    __slots__ = ("permit", "until_ms", "urgent")

    def __init__(self, until_ms: float, *, urgent: bool) -> None:
        self.until_ms = until_ms
        self.urgent = urgent
        self.permit: asyncio.Future[Permit | None] = asyncio.get_running_loop().create_future()


class _Pool:
    """The waiting requests and reserved slots of one incarnation at this host."""

    __slots__ = (
        "instance",
        "next_call_at_s",
        "own_slot_ms",
        "queued_since_s",
        "schedule",
        "share",
        "shed_until_s",
        "slots",
        "task",
        "version",
        "waiters",
        "wake",
        "wanted",
        "wanted_until_s",
    )

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.schedule = LimitSchedule()
        self.version = 0
        self.waiters: list[_Waiter] = []
        self.wanted = 0
        self.wanted_until_s = 0.0
        self.slots: list[Permit] = []
        # This host's part of the slots that all hosts have used lately.
        self.share = 1.0
        self.own_slot_ms = 0.0
        self.next_call_at_s = 0.0
        # Since when requests have been waiting for turns, and until when the queue is kept short.
        self.queued_since_s: float | None = None
        self.shed_until_s = float("-inf")
        self.task: asyncio.Task[None] | None = None
        self.wake = asyncio.Event()


class Allowances:
    """The slots of limited servers, as far as this host needs them.

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
        "_host",
        "_hosts",
        "_limits",
        "_listeners",
        "_log",
        "_pools",
        "_returns_at_s",
        "_rng",
        "_store",
        "_store_failed",
        "_store_ms",
        "_uncoordinated_until_s",
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
        self._store = store
        self._host = host
        self._hosts = hosts
        self._clock = clock
        self._store_ms = store_ms
        self._rng = rng
        self._pools: dict[str, _Pool] = {}
        self._listeners: list[Callable[[], None]] = []
        self._returns_at_s: dict[str, float] = {}
        self._store_failed = False
        self._uncoordinated_until_s = float("-inf")
        self._log = structlog.get_logger("limits")
        self.refusals = 0

    def on_available(self, listener: Callable[[], None]) -> None:
        """Call *listener* when slots that were requested without waiting have been reserved."""
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
        """Return the part of a limited server's slots that this host has used lately."""
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
        """Wait for a slot of a server; return None at once for an unlimited one.

        Urgent requests reserve slots ahead of time; others take those that are due, and so come
        after the urgent ones of all hosts.

        Args:
            instance: The server.
            until_s: The latest monotonic time at which the request may be sent.
            urgent: Whether a caller waits for the request.
            prompt_until_s: The latest time at which the answer would be in time for its target. A
                burst of requests is queued as long as ``until_s`` allows; where the queue stands,
                its end would only make all answers late.

        Raises:
            LimitReached: There is no slot in time; nothing was sent.
        """
        if not self.is_limited(instance):
            return None
        pool = self._pool(instance)
        if (permit := self._pop_slot(pool, until_s)) is not None:
            await self._wait_for(pool, permit)
            return permit
        now_s = self._clock.monotonic_s()
        shortened = prompt_until_s is not None and self._has_standing_queue(pool)
        if prompt_until_s is not None and shortened:
            until_s = min(until_s, max(now_s, prompt_until_s))
        until_ms = self._store_ms() + 1000 * (until_s - now_s)
        waiter = _Waiter(until_ms, urgent=urgent)
        pool.waiters.append(waiter)
        self._serve(pool, at_once=urgent)
        try:
            permit = await waiter.permit
        except LimitReached:
            if shortened:
                pool.shed_until_s = self._clock.monotonic_s() + _SHED_S
            raise
        except asyncio.CancelledError:
            if waiter.permit.done() and not waiter.permit.cancelled():
                self._return_slot(pool, waiter.permit)
            raise
        finally:
            if waiter in pool.waiters:
                pool.waiters.remove(waiter)
        if permit is not None:
            await self._wait_for(pool, permit)
        return permit

    def available(self, instance: Instance) -> bool:
        """Return whether a request may be sent to a server right now."""
        if not self.is_limited(instance):
            return True
        pool = self._pools.get(instance_incarnation(instance))
        return pool is not None and self._has_slot(pool, self._clock.monotonic_s())

    def take(self, instance: Instance) -> Permit | None:
        """Return a reserved slot; None for an unlimited server or if there is none."""
        if not self.is_limited(instance):
            return None
        return self._pop_slot(self._pool(instance), self._clock.monotonic_s())

    def request(self, instance: Instance, wanted: int) -> None:
        """Reserve slots of a limited server for requests that are sent when there is one."""
        pool = self._pool(instance)
        pool.wanted = max(1, wanted)
        pool.wanted_until_s = self._clock.monotonic_s() + _WANTED_S
        self._serve(pool)

    def refused(self, instances: Collection[Instance], request_id: str) -> float:
        """Return after which time a request that got no slot should return, in seconds.

        The returns of one host are spread over the slots that it may expect.
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
        """Drop the slots of an incarnation that is gone."""
        pool = self._pools.pop(incarnation, None)
        if pool is not None and pool.task is not None:
            pool.task.cancel()
            for waiter in pool.waiters:
                self._fail(pool, waiter)

    def schedule_row(self, incarnation: str) -> tuple[RowId, int]:
        """Return the row of an incarnation's schedule and its version, 0 if it isn't known."""
        pool = self._pools.get(incarnation)
        return _row_id(incarnation), pool.version if pool is not None else 0

    # Slots at hand.

    def _pool(self, instance: Instance) -> _Pool:
        incarnation = instance_incarnation(instance)
        pool = self._pools.get(incarnation)
        if pool is None:
            pool = self._pools[incarnation] = _Pool(instance)
        return pool

    def _has_slot(self, pool: _Pool, by_s: float) -> bool:
        """Return whether a reserved slot may be used by a time; drops those that expired."""
        now_s = self._clock.monotonic_s()
        pool.slots = [slot for slot in pool.slots if slot.use_by_s >= now_s]
        return any(slot.usable_at_s <= by_s for slot in pool.slots)

    def _pop_slot(self, pool: _Pool, by_s: float) -> Permit | None:
        """Take the first reserved slot that may be used by a time."""
        if not self._has_slot(pool, by_s):
            return None
        slot = min(pool.slots, key=lambda slot: slot.usable_at_s)
        pool.slots.remove(slot)
        return slot

    async def _wait_for(self, pool: _Pool, permit: Permit) -> None:
        """Wait until a slot may be used; a request that is cancelled leaves it to the next one."""
        try:
            await self._clock.sleep(max(0.0, permit.usable_at_s - self._clock.monotonic_s()))
        except asyncio.CancelledError:
            pool.slots.append(permit)
            raise

    def _has_standing_queue(self, pool: _Pool) -> bool:
        """Return whether requests have been waiting for their turns for longer than a burst.

        It ends when none has been refused for that for a while.
        """
        rate_per_s = self._limits.rate_per_s(pool.instance)
        if rate_per_s is None:
            return False
        now_s = self._clock.monotonic_s()
        if self._wait_s(pool.instance) <= _QUEUED_REQUESTS / rate_per_s:
            pool.queued_since_s = None
        elif pool.queued_since_s is None:
            pool.queued_since_s = now_s
        elif now_s - pool.queued_since_s > _BURST_S:
            pool.shed_until_s = now_s + _SHED_S
        return now_s < pool.shed_until_s

    def _return_slot(self, pool: _Pool, permit: asyncio.Future[Permit | None]) -> None:
        """Keep the slot of a request that was cancelled for the next one."""
        if permit.exception() is None and (slot := permit.result()) is not None:
            pool.slots.append(slot)

    def _wait_s(self, instance: Instance) -> float:
        """Return the least time until a slot that is still free."""
        pool = self._pools.get(instance_incarnation(instance))
        if pool is None:
            return 0.0
        if pool.slots:
            usable_at_s = min(slot.usable_at_s for slot in pool.slots)
            return max(0.0, usable_at_s - self._clock.monotonic_s())
        next_ms = pool.schedule.next_ms
        if self._is_uncoordinated():
            next_ms = self._next_own_slot_ms(pool, self._limits.rate_per_s(instance) or math.inf)
        return max(0.0, next_ms - self._store_ms()) / 1000

    def _permit(self, pool: _Pool, slot_ms: float) -> Permit:
        now_s = self._clock.monotonic_s()
        usable_at_s = now_s + max(0.0, slot_ms - self._store_ms()) / 1000
        return Permit(
            incarnation=instance_incarnation(pool.instance),
            usable_at_s=usable_at_s,
            use_by_s=usable_at_s + _SLOT_VALID_S,
        )

    # Reservations.

    def _serve(self, pool: _Pool, *, at_once: bool = False) -> None:
        """Reserve slots in the background, and *at_once* without the pause between calls."""
        if pool.task is None or pool.task.done():
            pool.task = asyncio.get_running_loop().create_task(self._reserve_while_needed(pool))
        elif at_once:
            pool.wake.set()

    def _wanted(self, pool: _Pool) -> int:
        return pool.wanted if self._clock.monotonic_s() <= pool.wanted_until_s else 0

    async def _reserve_while_needed(self, pool: _Pool) -> None:
        """Reserve slots until no request waits for one."""
        conflicts = 0
        while pool.waiters or self._wanted(pool):
            rate_per_s = self._limits.rate_per_s(pool.instance)
            if rate_per_s is None:
                self._release_all(pool)
                return
            if self._is_uncoordinated():
                granted = self._use_own_slot(pool, rate_per_s)
            else:
                await self._clock.sleep(max(0.0, pool.next_call_at_s - self._clock.monotonic_s()))
                try:
                    granted = await self._reserve(pool, rate_per_s)
                    conflicts = 0
                except RowConflict:
                    conflicts += 1
                    await self._clock.sleep(
                        self._rng.uniform(0, _CONFLICT_PAUSE_S * min(8, conflicts))
                    )
                    continue
                except StoreUnavailable as error:
                    self._store_failed = True
                    self._uncoordinated_until_s = self._clock.monotonic_s() + _UNCOORDINATED_S
                    self._log.warning(
                        "limit_uncoordinated",
                        server=pool.instance.instance_id,
                        limit_per_s=rate_per_s,
                        reason=error.message,
                    )
                    continue
            self._refuse_late(pool, rate_per_s)
            if pool.waiters or self._wanted(pool):
                await self._pause(pool, granted)

    async def _reserve(self, pool: _Pool, rate_per_s: float) -> bool:
        """Reserve the slots that are needed, and hand them out; return whether there were any.

        Raises:
            RowConflict: Another host has reserved slots meanwhile; the schedule is read anew.
            StoreUnavailable: Nothing is known of the reservation, whose slots are not used.
        """
        now_ms = float(self._store_ms())
        urgent = [waiter for waiter in pool.waiters if waiter.urgent]
        others = [waiter for waiter in pool.waiters if not waiter.urgent]
        ahead = reserve(
            pool.schedule,
            rate_per_s,
            now_ms,
            wanted=len(urgent),
            until_ms=max((waiter.until_ms for waiter in urgent), default=0.0),
        )
        due = reserve(
            ahead.schedule,
            rate_per_s,
            now_ms,
            wanted=len(others) + self._wanted(pool),
            until_ms=ahead.schedule.until_ms(rate_per_s, now_ms),
        )
        reserved = len(ahead.slots_ms) + len(due.slots_ms)
        callers_told = now_ms - pool.schedule.callers_ms < _TELL_CALLERS_MS
        if not reserved and (callers_told or not urgent):
            return False
        callers_ms = now_ms if urgent else due.schedule.callers_ms
        schedule = msgspec.structs.replace(due.schedule, callers_ms=callers_ms)
        await self._commit(pool, schedule, rate_per_s, reserved)
        self._hand_out(pool, [*ahead.slots_ms], urgent)
        self._hand_out(pool, [*due.slots_ms], others)
        return reserved > 0

    async def _commit(
        self, pool: _Pool, schedule: LimitSchedule, rate_per_s: float, reserved: int
    ) -> None:
        incarnation = instance_incarnation(pool.instance)
        row_id = _row_id(incarnation)
        row = _ScheduleRow(schedule=schedule, reservation_id=new_id("slots"))
        transaction = replacement_transaction(row_id, pool.version, msgspec.json.encode(row))
        former_ms = pool.schedule.next_ms
        try:
            timeout_s = _RETRY_TIMEOUT_S if self._store_failed else _RESERVE_TIMEOUT_S
            version = await self._store.commit(transaction, timeout_s)
        except RowConflict as conflict:
            self._store_failed = False
            self._adopt(pool, conflict, row_id)
            raise
        self._store_failed = False
        pool.version, pool.schedule = version, schedule
        pool.next_call_at_s = self._clock.monotonic_s() + _CALL_INTERVAL_S
        if former_ms and reserved:
            used = max(reserved, (schedule.next_ms - former_ms) * rate_per_s / 1000)
            pool.share += _SHARE_WEIGHT * (reserved / used - pool.share)

    def _adopt(self, pool: _Pool, conflict: RowConflict, row_id: RowId) -> None:
        """Take over the schedule that another host has written."""
        pool.version = conflict.versions.get(row_id.key, 0)
        value = conflict.values.get(row_id.key)
        former_ms = pool.schedule.next_ms
        try:
            row = msgspec.json.decode(value or b"", type=_ScheduleRow)
        except msgspec.MsgspecError as error:
            # The row was deleted, or is not a schedule: what this host knows holds.
            self._log.info("limit_row_unreadable", key=row_id.part, error=str(error))
            return
        pool.schedule = row.schedule
        if former_ms and row.schedule.next_ms > former_ms:
            pool.share += _SHARE_WEIGHT * (0.0 - pool.share)

    def _hand_out(self, pool: _Pool, slots_ms: list[float], waiters: Sequence[_Waiter]) -> None:
        """Give slots to waiting requests in order, and keep the rest for the next ones."""
        waiting = [waiter for waiter in waiters if not waiter.permit.done()]
        for slot_ms in slots_ms:
            permit = self._permit(pool, slot_ms)
            fitting = next((w for w in waiting if w.until_ms >= slot_ms), None)
            if fitting is None:
                pool.slots.append(permit)
                continue
            waiting.remove(fitting)
            pool.waiters.remove(fitting)
            fitting.permit.set_result(permit)
        if pool.slots:
            for listener in self._listeners:
                listener()

    def _refuse_late(self, pool: _Pool, rate_per_s: float) -> None:
        """Refuse the requests that have no slot left in time."""
        next_ms = max(pool.schedule.next_ms, float(self._store_ms()))
        if self._is_uncoordinated():
            next_ms = self._next_own_slot_ms(pool, rate_per_s)
        for waiter in list(pool.waiters):
            if waiter.until_ms < next_ms:
                pool.waiters.remove(waiter)
                self._fail(pool, waiter)

    def _fail(self, pool: _Pool, waiter: _Waiter) -> None:
        if not waiter.permit.done():
            waiter.permit.set_exception(
                LimitReached(
                    f"server {pool.instance.instance_id} takes no more requests in time "
                    f"(limit {self._limits.rate_per_s(pool.instance)}/s)"
                )
            )

    def _release_all(self, pool: _Pool) -> None:
        """Let all requests go, since the limit has ended."""
        for waiter in pool.waiters:
            if not waiter.permit.done():
                waiter.permit.set_result(None)
        pool.waiters.clear()
        pool.wanted = 0
        for listener in self._listeners:
            listener()

    async def _pause(self, pool: _Pool, granted: bool) -> None:
        """Wait until there may be slots again, or an urgent request needs one."""
        pause_s = min(max(self._wait_s(pool.instance), _MIN_PAUSE_S), _MAX_PAUSE_S)
        if any(waiter.urgent for waiter in pool.waiters) and not granted:
            pause_s = _CONFLICT_PAUSE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s * self._rng.uniform(1.0, 1.2)):
                await pool.wake.wait()
        pool.wake.clear()

    # Without the store.

    def _is_uncoordinated(self) -> bool:
        return self._clock.monotonic_s() < self._uncoordinated_until_s

    def _next_own_slot_ms(self, pool: _Pool, rate_per_s: float) -> float:
        after_ms = max(pool.own_slot_ms, self._store_ms() - 1000 * _SLOT_VALID_S)
        return own_slot_ms(rate_per_s, self._host, self._hosts(), after_ms)

    def _use_own_slot(self, pool: _Pool, rate_per_s: float) -> bool:
        """Hand out this host's next slot if it is due or a caller may wait for it."""
        slot_ms = self._next_own_slot_ms(pool, rate_per_s)
        now_ms = self._store_ms()
        waiters = [w for w in pool.waiters if w.until_ms >= slot_ms]
        urgent = [waiter for waiter in waiters if waiter.urgent]
        if not urgent and slot_ms > now_ms:
            return False
        pool.own_slot_ms = slot_ms
        self._hand_out(pool, [slot_ms], urgent or waiters)
        return True


def _row_id(incarnation: str) -> RowId:
    return RowId(table=LIMITS_TABLE, part=digest_hex(incarnation.encode()), key=_SCHEDULE_KEY)
