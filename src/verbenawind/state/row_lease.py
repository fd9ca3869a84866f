"""A lease stored in one row, for operations of successive holders that must never overlap.

All candidates follow the row. The holder stops well before its lease can lapse, by a clock that
also advances while the host is suspended. After the lapse, a new holder additionally waits until
the last operation of the previous holder is the minimum gap in the past.
"""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable, Undecodable
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.messages import Value
from verbenawind.kernel.row_ports import RowId, RowStore, StoredRow, replacement_transaction
from verbenawind.kernel.wire_types import Count, Int64
from verbenawind.state.heartbeats import host_of

__all__ = ["RowLease"]

_DURATION_S = 1.5
_RENEWAL_S = 0.5
# Fraction of the duration reserved for differences in clock rate.
_CLOCK_DRIFT_FRACTION = 0.1
_WRITE_TIMEOUT_S = 1.0
_POLL_S = 0.1
# Additional delay per position in the order of candidates.
_RANK_DELAY_S = 0.3
# Maximum error of a reading of the store's clock.
_CLOCK_MARGIN_S = 0.3
# Operations start and finish within this time after their announcement.
_ANNOUNCEMENT_S = 1.2


class _LeaseRecord(Value, frozen=True, kw_only=True):
    """The row's value.

    ``acted_ms`` is the latest time, by the store's clock, at which the owner may have run an
    operation.
    """

    owner: str
    epoch: Count
    beat: Count = 0
    released: bool = False
    acted_ms: Int64 = 0


class RowLease:
    """Acquires, renews and releases one lease.

    Args:
        store: The row store.
        row_id: The lease's row.
        owner: This daemon's incarnation, ``host#incarnation``.
        act_gap_s: Minimum gap between operations of two holders.
        clock: Time source.
        boot_s: Clock that also advances while the host is suspended.
        store_ms: The store's clock.
        view_age_s: Returns the seconds since the feed of the lease's table last responded.
        rank: Returns this host's position among the candidates, 0 for the first.
        rng: Random source for jitter.
    """

    __slots__ = (
        "_act_from_s",
        "_act_gap_s",
        "_acted_ms",
        "_boot_s",
        "_clock",
        "_ends_boot_s",
        "_ends_s",
        "_held",
        "_log",
        "_observed",
        "_observed_at_s",
        "_owner",
        "_rank",
        "_renewal_lock",
        "_renewed_at_s",
        "_rng",
        "_row_id",
        "_store",
        "_store_ms",
        "_version",
        "_view_age_s",
        "paused",
    )

    def __init__(
        self,
        store: RowStore,
        row_id: RowId,
        owner: str,
        *,
        act_gap_s: float,
        clock: Clock,
        boot_s: Callable[[], float],
        store_ms: Callable[[], int],
        view_age_s: Callable[[], float],
        rank: Callable[[], int],
        rng: Random,
    ) -> None:
        self._store = store
        self._row_id = row_id
        self._owner = owner
        self._act_gap_s = act_gap_s
        self._clock = clock
        self._boot_s = boot_s
        self._store_ms = store_ms
        self._view_age_s = view_age_s
        self._rank = rank
        self._rng = rng
        self._version = 0
        self._observed: _LeaseRecord | None = None
        self._observed_at_s = clock.monotonic_s()
        self._held: _LeaseRecord | None = None
        self._renewed_at_s = 0.0
        self._ends_s = self._ends_boot_s = float("-inf")
        self._act_from_s = 0.0
        self._acted_ms = 0
        self._renewal_lock = asyncio.Lock()
        self._log = structlog.get_logger("lease")
        self.paused = False

    @property
    def epoch(self) -> int:
        """The lease's epoch, which increases with each holder; 0 while not held here."""
        return self._held.epoch if self._held is not None else 0

    def remaining_s(self) -> float:
        """Return for how many more seconds this daemon certainly holds the lease."""
        left_s = self._ends_s - self._clock.monotonic_s()
        return min(left_s, self._ends_boot_s - self._boot_s())

    def may_act(self, act_s: float) -> bool:
        """Return whether an operation of up to *act_s* seconds may be announced now."""
        return (
            self._held is not None
            and not self.paused
            and self.remaining_s() > act_s
            and self._clock.monotonic_s() >= self._act_from_s
        )

    async def announce(self, act_s: float) -> bool:
        """Record that operations follow, and return whether they may start now.

        The row tells the next holder when the last operation may have run, so that it does not wait
        if that was long ago.
        """
        if not self.may_act(act_s):
            return False
        announced_s = self._clock.monotonic_s()
        self._acted_ms = self._store_ms() + int(_ANNOUNCEMENT_S * 1000)
        await self._renew(immediately=True)
        within_announcement = self._clock.monotonic_s() - announced_s + act_s <= _ANNOUNCEMENT_S
        written = self._held is not None and self._held.acted_ms >= self._acted_ms
        return written and within_announcement and self.may_act(act_s)

    def apply_row(self, row: StoredRow) -> None:
        """Apply the lease's row from the change feed."""
        if row.value is None or row.version <= self._version:
            return
        self._version = row.version
        self._observed_at_s = self._clock.monotonic_s()
        try:
            self._observed = decode_json(row.value, _LeaseRecord)
        except Undecodable as error:
            self._log.warning("lease_row_unreadable", key=row.row_id.key, error=error.message)
            self._observed = self._unknown_holder(row.version)
        if self._held is not None and self._observed.owner != self._owner:
            self._mark_lost("another host acquired it")

    def _unknown_holder(self, row_version: int) -> _LeaseRecord:
        """Return the record of a holder of whom nothing is known, who may have acted just now.

        No epoch exceeds a version of the store, which grows with each transaction.
        """
        return _LeaseRecord(owner="", epoch=row_version, acted_ms=self._store_ms())

    async def run(self) -> None:
        """Acquire the lease whenever it is free and renew it, until cancelled."""
        while True:
            if self._held is not None:
                await self._renew()
            elif not self.paused and self._is_free():
                await self._acquire()
            await self._clock.sleep(_POLL_S)

    async def release(self) -> None:
        """Release the lease, recording the time of the last operation for the next holder."""
        self.paused = True
        held = self._held
        if held is None:
            return
        self._mark_lost("released")
        try:
            await self._write(msgspec.structs.replace(held, released=True, acted_ms=self._acted_ms))
        except (RowConflict, StoreUnavailable) as error:
            self._log.warning("lease_not_released", reason=error.message)

    def _is_free(self) -> bool:
        observed = self._observed
        unchanged_s = self._clock.monotonic_s() - self._observed_at_s
        delay_s = self._rank() * _RANK_DELAY_S * self._rng.uniform(0.8, 1.2)
        if self._view_age_s() > _DURATION_S:
            return False
        if observed is None or observed.released:
            return unchanged_s >= delay_s
        if host_of(observed.owner) == host_of(self._owner):
            # An earlier process of this host counts as the same holder.
            return True
        return unchanged_s >= _DURATION_S + delay_s

    async def _acquire(self) -> None:
        observed = self._observed
        held = _LeaseRecord(owner=self._owner, epoch=(observed.epoch if observed else 0) + 1)
        requested_s, requested_boot_s = self._clock.monotonic_s(), self._boot_s()
        try:
            await self._write(held)
        except RowConflict as conflict:
            # The feed will deliver the conflicting row.
            self._log.info("lease_not_acquired", reason=conflict.message)
            self._observed_at_s = self._clock.monotonic_s()
            return
        except StoreUnavailable as error:
            self._log.info("lease_not_acquired", reason=error.message)
            return
        self._held = self._observed = held
        self._extend(requested_s, requested_boot_s)
        self._act_from_s = self._clock.monotonic_s() + self._first_act_delay_s(observed)
        self._log.info(
            "lease_acquired",
            epoch=held.epoch,
            former=observed.owner if observed else "",
            acts_in_s=round(self._act_from_s - self._clock.monotonic_s(), 2),
        )

    def _first_act_delay_s(self, previous: _LeaseRecord | None) -> float:
        """Return the seconds to wait after acquisition before the first operation."""
        if (
            previous is None
            or host_of(previous.owner) == host_of(self._owner)
            or not previous.acted_ms
        ):
            return 0.0
        elapsed_s = (self._store_ms() - previous.acted_ms) / 1000
        return max(0.0, self._act_gap_s + _CLOCK_MARGIN_S - elapsed_s)

    async def _renew(self, *, immediately: bool = False) -> None:
        async with self._renewal_lock:
            await self._renew_once(immediately)

    async def _renew_once(self, immediately: bool) -> None:
        held = self._held
        if held is None:
            return
        if self.remaining_s() <= 0:
            self._mark_lost("not renewed in time")
            return
        requested_s, requested_boot_s = self._clock.monotonic_s(), self._boot_s()
        if requested_s - self._renewed_at_s < _RENEWAL_S and not immediately:
            return
        renewed = msgspec.structs.replace(held, beat=held.beat + 1, acted_ms=self._acted_ms)
        try:
            await self._write(renewed)
        except RowConflict:
            self._mark_lost("another host acquired it")
        except StoreUnavailable as error:
            self._log.info("lease_not_renewed", reason=error.message)
        else:
            if self._held is held and self.remaining_s() > 0:
                self._held = renewed
                self._extend(requested_s, requested_boot_s)

    async def _write(self, record: _LeaseRecord) -> None:
        version = await self._store.commit(
            replacement_transaction(self._row_id, self._version, msgspec.json.encode(record)),
            _WRITE_TIMEOUT_S,
        )
        self._version = max(self._version, version)
        self._observed = record
        self._observed_at_s = self._clock.monotonic_s()

    def _extend(self, requested_s: float, requested_boot_s: float) -> None:
        held_s = _DURATION_S * (1 - _CLOCK_DRIFT_FRACTION)
        self._renewed_at_s = requested_s
        self._ends_s = requested_s + held_s
        self._ends_boot_s = requested_boot_s + held_s

    def _mark_lost(self, reason: str) -> None:
        epoch = self.epoch
        self._held = None
        self._ends_s = self._ends_boot_s = float("-inf")
        self._log.warning("lease_lost", epoch=epoch, reason=reason)
