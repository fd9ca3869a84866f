"""The turns of one limited server, as far as this host needs them.

A pool reserves turns while requests wait for them, and hands them out in order: first to callers'
requests, as far ahead as their time allows, then turns that are due to other work.
"""

import asyncio
import contextlib
import math
from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.errors import LimitReached, RowConflict, StoreUnavailable, Undecodable
from verbenawind.gateway.limit_schedule import LimitSchedule, own_turn_ms, reserve
from verbenawind.gateway.server_limits import Permit, instance_incarnation
from verbenawind.gateway.turn_source import TurnSource
from verbenawind.gateway.types import Instance
from verbenawind.ids import digest_hex, new_id
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.messages import Value
from verbenawind.kernel.row_ports import RowId, replacement_transaction

__all__ = ["LIMITS_TABLE", "TurnPool", "schedule_row_id"]

LIMITS_TABLE = "limits"
_SCHEDULE_KEY = "schedule"
_RESERVE_TIMEOUT_S = 0.4
# The same while the last call has failed: requests wait for it.
_RETRY_TIMEOUT_S = 0.2
# A turn must be used within this time.
_TURN_VALID_S = 0.5
_MIN_PAUSE_S = 0.05
_MAX_PAUSE_S = 0.2
_CONFLICT_PAUSE_S = 0.01
_MAX_CONFLICT_PAUSES = 8
# Requests that come closer together than this share one call to the store.
_CALL_INTERVAL_S = 0.05
# How long a request for turns without a waiting caller stands.
_WANTED_S = 0.2
# More requests than this that wait for longer than a burst lasts are a standing queue. It ends
# once no request has been refused for it for some time.
_QUEUED_REQUESTS = 2
_BURST_S = 1.0
_SHED_S = 2.0
# A request that gets no turn tells the other hosts that callers wait, unless one has lately.
_TELL_CALLERS_MS = 1000
_SHARE_WEIGHT = 0.2


class _ScheduleRow(Value, frozen=True, kw_only=True):
    """The stored schedule. ``reservation_id`` tells equal reservations of two hosts apart."""

    schedule: LimitSchedule
    reservation_id: str


class _Waiter:
    """A request that waits for a turn no later than ``until_ms``."""

    __slots__ = ("permit", "until_ms", "urgent")

    def __init__(self, until_ms: float, *, urgent: bool) -> None:
        self.until_ms = until_ms
        self.urgent = urgent
        self.permit: asyncio.Future[Permit | None] = asyncio.get_running_loop().create_future()


class TurnPool:
    """The waiting requests and reserved turns of one incarnation at this host.

    Attributes:
        share: This host's part of the turns that all hosts have used lately.

    Args:
        instance: The server.
        source: Where turns come from.
    """

    __slots__ = (
        "_instance",
        "_log",
        "_next_call_at_s",
        "_own_turn_ms",
        "_queued_since_s",
        "_schedule",
        "_shed_until_s",
        "_source",
        "_task",
        "_turns",
        "_version",
        "_waiters",
        "_wake",
        "_wanted",
        "_wanted_until_s",
        "share",
    )

    def __init__(self, instance: Instance, source: TurnSource) -> None:
        self._instance = instance
        self._source = source
        self._schedule = LimitSchedule()
        self._version = 0
        self._waiters: list[_Waiter] = []
        self._wanted = 0
        self._wanted_until_s = 0.0
        self._turns: list[Permit] = []
        self._own_turn_ms = 0.0
        self._next_call_at_s = 0.0
        # Since when requests have been waiting for turns, and until when the queue is kept short.
        self._queued_since_s: float | None = None
        self._shed_until_s = float("-inf")
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()
        self._log = structlog.get_logger("limits")
        self.share = 1.0

    @property
    def wait_s(self) -> float:
        """The least time until a turn that is still free.

        The schedule only moves on, so what this host knows of it is never too late.
        """
        if self._turns:
            usable_at_s = min(turn.usable_at_s for turn in self._turns)
            return max(0.0, usable_at_s - self._now_s())
        next_ms = self._schedule.next_ms
        if self._source.is_uncoordinated:
            next_ms = self._next_own_turn_ms(self._rate_per_s() or math.inf)
        return max(0.0, next_ms - self._source.store_ms()) / 1000

    def has_turn(self, by_s: float) -> bool:
        """Return whether a reserved turn may be used by a time; drops those that expired."""
        now_s = self._now_s()
        self._turns = [turn for turn in self._turns if turn.use_by_s >= now_s]
        return any(turn.usable_at_s <= by_s for turn in self._turns)

    def pop_turn(self, by_s: float) -> Permit | None:
        """Take the first reserved turn that may be used by a time."""
        if not self.has_turn(by_s):
            return None
        turn = min(self._turns, key=lambda turn: turn.usable_at_s)
        self._turns.remove(turn)
        return turn

    def request(self, wanted: int) -> None:
        """Reserve turns for requests that are sent when there is one."""
        self._wanted = max(1, wanted)
        self._wanted_until_s = self._now_s() + _WANTED_S
        self._serve()

    async def acquire(
        self, until_s: float, *, urgent: bool, prompt_until_s: float | None
    ) -> Permit | None:
        """Wait for a turn; return None if the limit ends meanwhile.

        See ``Allowances.acquire`` for the arguments.

        Raises:
            LimitReached: There is no turn in time; nothing was sent.
        """
        if (permit := self.pop_turn(until_s)) is not None:
            await self._wait_for(permit)
            return permit
        now_s = self._now_s()
        shortened = prompt_until_s is not None and self._has_standing_queue()
        if prompt_until_s is not None and shortened:
            until_s = min(until_s, max(now_s, prompt_until_s))
        until_ms = self._source.store_ms() + 1000 * (until_s - now_s)
        waiter = _Waiter(until_ms, urgent=urgent)
        self._waiters.append(waiter)
        self._serve(at_once=urgent)
        try:
            permit = await waiter.permit
        except LimitReached:
            if shortened:
                self._shed_until_s = self._now_s() + _SHED_S
            raise
        except asyncio.CancelledError:
            self._return_turn(waiter)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        if permit is not None:
            await self._wait_for(permit)
        return permit

    def close(self) -> None:
        """Stop reserving, and refuse the requests that wait."""
        if self._task is not None:
            self._task.cancel()
        for waiter in self._waiters:
            self._fail(waiter)

    def _now_s(self) -> float:
        return self._source.clock.monotonic_s()

    def _rate_per_s(self) -> float | None:
        return self._source.limits.rate_per_s(self._instance)

    # Turns at hand.

    async def _wait_for(self, permit: Permit) -> None:
        """Wait until a turn may be used; a request that is cancelled leaves it to the next one."""
        try:
            await self._source.clock.sleep(max(0.0, permit.usable_at_s - self._now_s()))
        except asyncio.CancelledError:
            self._turns.append(permit)
            raise

    def _return_turn(self, waiter: _Waiter) -> None:
        """Keep the turn of a request that was cancelled for the next one."""
        if not waiter.permit.done() or waiter.permit.cancelled() or waiter.permit.exception():
            return
        if (turn := waiter.permit.result()) is not None:
            self._turns.append(turn)

    def _permit(self, turn_ms: float) -> Permit:
        usable_at_s = self._now_s() + max(0.0, turn_ms - self._source.store_ms()) / 1000
        return Permit(
            incarnation=instance_incarnation(self._instance),
            usable_at_s=usable_at_s,
            use_by_s=usable_at_s + _TURN_VALID_S,
        )

    def _has_standing_queue(self) -> bool:
        """Return whether requests have been waiting for their turns for longer than a burst.

        It ends when none has been refused for that for a while.
        """
        rate_per_s = self._rate_per_s()
        if rate_per_s is None:
            return False
        now_s = self._now_s()
        if self.wait_s <= _QUEUED_REQUESTS / rate_per_s:
            self._queued_since_s = None
        elif self._queued_since_s is None:
            self._queued_since_s = now_s
        elif now_s - self._queued_since_s > _BURST_S:
            self._shed_until_s = now_s + _SHED_S
        return now_s < self._shed_until_s

    # Reservations.

    def _serve(self, *, at_once: bool = False) -> None:
        """Reserve turns in the background, and *at_once* without the pause between calls."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._reserve_while_needed())
        elif at_once:
            self._wake.set()

    @property
    def _wanted_now(self) -> int:
        return self._wanted if self._now_s() <= self._wanted_until_s else 0

    async def _reserve_while_needed(self) -> None:
        """Reserve turns until no request waits for one."""
        conflicts = 0
        while self._waiters or self._wanted_now:
            rate_per_s = self._rate_per_s()
            if rate_per_s is None:
                self._release_all()
                return
            try:
                granted = await self._reserve(rate_per_s)
                conflicts = 0
            except RowConflict:
                conflicts = min(conflicts + 1, _MAX_CONFLICT_PAUSES)
                pause_s = self._source.rng.uniform(0, _CONFLICT_PAUSE_S * conflicts)
                await self._source.clock.sleep(pause_s)
                continue
            except StoreUnavailable as error:
                self._source.record_failure()
                self._log.warning(
                    "limit_uncoordinated",
                    server=self._instance.instance_id,
                    limit_per_s=rate_per_s,
                    reason=error.message,
                )
                continue
            self._refuse_late(rate_per_s)
            if self._waiters or self._wanted_now:
                await self._pause(granted)

    async def _reserve(self, rate_per_s: float) -> bool:
        """Get the turns that are needed, and hand them out; return whether there were any.

        Raises:
            RowConflict: Another host has reserved turns meanwhile; the schedule is read anew.
            StoreUnavailable: Nothing is known of the reservation, whose turns are not used.
        """
        if self._source.is_uncoordinated:
            return self._use_own_turn(rate_per_s)
        await self._source.clock.sleep(max(0.0, self._next_call_at_s - self._now_s()))
        now_ms = float(self._source.store_ms())
        urgent = [waiter for waiter in self._waiters if waiter.urgent]
        others = [waiter for waiter in self._waiters if not waiter.urgent]
        ahead = reserve(
            self._schedule,
            rate_per_s,
            now_ms,
            wanted=len(urgent),
            until_ms=max((waiter.until_ms for waiter in urgent), default=0.0),
        )
        due = reserve(
            ahead.schedule,
            rate_per_s,
            now_ms,
            wanted=len(others) + self._wanted_now,
            until_ms=ahead.schedule.latest_owed_ms(rate_per_s, now_ms),
        )
        reserved = len(ahead.turns_ms) + len(due.turns_ms)
        callers_told = now_ms - self._schedule.callers_ms < _TELL_CALLERS_MS
        if not reserved and (callers_told or not urgent):
            return False
        callers_ms = now_ms if urgent else due.schedule.callers_ms
        schedule = msgspec.structs.replace(due.schedule, callers_ms=callers_ms)
        await self._commit(schedule, rate_per_s, reserved)
        self._hand_out(ahead.turns_ms, urgent)
        self._hand_out(due.turns_ms, others)
        return reserved > 0

    async def _commit(self, schedule: LimitSchedule, rate_per_s: float, reserved: int) -> None:
        row_id = schedule_row_id(instance_incarnation(self._instance))
        row = _ScheduleRow(schedule=schedule, reservation_id=new_id("turns"))
        transaction = replacement_transaction(row_id, self._version, msgspec.json.encode(row))
        former_ms = self._schedule.next_ms
        timeout_s = _RETRY_TIMEOUT_S if self._source.store_failed else _RESERVE_TIMEOUT_S
        try:
            version = await self._source.store.commit(transaction, timeout_s)
        except RowConflict as conflict:
            self._source.store_failed = False
            self._adopt(conflict, row_id)
            raise
        self._source.store_failed = False
        self._version, self._schedule = version, schedule
        self._next_call_at_s = self._now_s() + _CALL_INTERVAL_S
        if former_ms and reserved:
            used = max(reserved, (schedule.next_ms - former_ms) * rate_per_s / 1000)
            self.share += _SHARE_WEIGHT * (reserved / used - self.share)

    def _adopt(self, conflict: RowConflict, row_id: RowId) -> None:
        """Take over the schedule that another host has written."""
        self._version = conflict.versions.get(row_id.key, 0)
        former_ms = self._schedule.next_ms
        try:
            row = decode_json(conflict.values.get(row_id.key) or b"", _ScheduleRow)
        except Undecodable as error:
            # The row was deleted, or is not a schedule: what this host knows holds.
            self._log.info("limit_row_unreadable", key=row_id.part, error=error.message)
            return
        self._schedule = row.schedule
        if former_ms and row.schedule.next_ms > former_ms:
            self.share -= _SHARE_WEIGHT * self.share

    def _hand_out(self, turns_ms: Sequence[float], waiters: Sequence[_Waiter]) -> None:
        """Give turns to waiting requests in order, and keep the rest for the next ones."""
        waiting = [waiter for waiter in waiters if not waiter.permit.done()]
        for turn_ms in turns_ms:
            permit = self._permit(turn_ms)
            fitting = next((w for w in waiting if w.until_ms >= turn_ms), None)
            if fitting is None:
                self._turns.append(permit)
                self._wanted = max(0, self._wanted - 1)
                continue
            waiting.remove(fitting)
            self._waiters.remove(fitting)
            fitting.permit.set_result(permit)
        if self._turns:
            self._source.on_available()

    def _refuse_late(self, rate_per_s: float) -> None:
        """Refuse the requests that have no turn left in time."""
        next_ms = max(self._schedule.next_ms, float(self._source.store_ms()))
        if self._source.is_uncoordinated:
            next_ms = self._next_own_turn_ms(rate_per_s)
        for waiter in list(self._waiters):
            if waiter.until_ms < next_ms:
                self._waiters.remove(waiter)
                self._fail(waiter)

    def _fail(self, waiter: _Waiter) -> None:
        if not waiter.permit.done():
            waiter.permit.set_exception(
                LimitReached(
                    f"server {self._instance.instance_id} takes no more requests in time "
                    f"(limit {self._rate_per_s()}/s)"
                )
            )

    def _release_all(self) -> None:
        """Let all requests go, since the limit has ended."""
        for waiter in self._waiters:
            if not waiter.permit.done():
                waiter.permit.set_result(None)
        self._waiters.clear()
        self._wanted = 0
        self._source.on_available()

    async def _pause(self, granted: bool) -> None:
        """Wait until there may be turns again, or an urgent request needs one."""
        pause_s = min(max(self.wait_s, _MIN_PAUSE_S), _MAX_PAUSE_S)
        if any(waiter.urgent for waiter in self._waiters) and not granted:
            pause_s = _CONFLICT_PAUSE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s * self._source.rng.uniform(1.0, 1.2)):
                await self._wake.wait()
        self._wake.clear()

    # Without the store.

    def _next_own_turn_ms(self, rate_per_s: float) -> float:
        after_ms = max(self._own_turn_ms, self._source.store_ms() - 1000 * _TURN_VALID_S)
        return own_turn_ms(rate_per_s, self._source.host, self._source.hosts(), after_ms)

    def _use_own_turn(self, rate_per_s: float) -> bool:
        """Hand out this host's next turn if it is due or a caller may wait for it."""
        turn_ms = self._next_own_turn_ms(rate_per_s)
        waiters = [waiter for waiter in self._waiters if waiter.until_ms >= turn_ms]
        urgent = [waiter for waiter in waiters if waiter.urgent]
        if not urgent and turn_ms > self._source.store_ms():
            return False
        self._own_turn_ms = turn_ms
        self._hand_out([turn_ms], urgent or waiters)
        return True


def schedule_row_id(incarnation: str) -> RowId:
    """Return the row that holds the schedule of an incarnation's turns."""
    return RowId(table=LIMITS_TABLE, part=digest_hex(incarnation.encode()), key=_SCHEDULE_KEY)
