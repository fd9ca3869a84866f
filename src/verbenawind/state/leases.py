"""Leases in the table service, judged on the monotonic clock of their holder."""

import asyncio
import contextlib

import msgspec

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, LeaseLost, StoreUnavailable
from verbenawind.ids import new_id
from verbenawind.kernel.ports import Lease, Row, TableStore, Transaction, Write

__all__ = ["HeldLease", "LeaseManager"]

_DRIFT_FRACTION = 0.1
_RENEWALS_PER_DURATION = 3


class _Holder(msgspec.Struct, frozen=True):
    """The guard row's value; it changes only when the holder does."""

    owner: str
    fencing_number: int
    released: bool = False


class _Beat(msgspec.Struct, frozen=True):
    """The heartbeat row's value; ``beat`` rises with each renewal."""

    fencing_number: int
    beat: int
    duration_s: float


class HeldLease:
    """A held lease; implements the Lease port."""

    __slots__ = ("_clock", "_ends_at_s", "_fencing_number", "_manager", "_name", "_row_version")

    def __init__(
        self,
        manager: "LeaseManager",
        clock: Clock,
        name: str,
        fencing_number: int,
        row_version: int,
        ends_at_s: float,
    ) -> None:
        self._manager = manager
        self._clock = clock
        self._name = name
        self._fencing_number = fencing_number
        self._row_version = row_version
        self._ends_at_s = ends_at_s

    @property
    def name(self) -> str:
        """The lease's name."""
        return self._name

    @property
    def fencing_number(self) -> int:
        """A number that rises with every new holder."""
        return self._fencing_number

    @property
    def row_version(self) -> int:
        """The guard row's version."""
        return self._row_version

    @property
    def row_key(self) -> str:
        """The guard row's key."""
        return _guard_key(self._name)

    def remaining_s(self) -> float:
        """Return for how long the lease is surely held, in seconds."""
        return self._ends_at_s - self._clock.monotonic_s()

    def check(self, needed_s: float = 0.0) -> None:
        """Raise LeaseLost unless the lease is surely held for *needed_s* more seconds."""
        if self.remaining_s() <= needed_s:
            raise LeaseLost(f"lease {self._name!r} lapsed ({self.remaining_s():.3f} s left)")

    async def release(self) -> None:
        """Give the lease back."""
        await self._manager.release(self)

    def extend(self, ends_at_s: float) -> None:
        """Record a renewal."""
        self._ends_at_s = ends_at_s

    def lose(self) -> None:
        """Record that the lease is gone."""
        self._ends_at_s = float("-inf")


class LeaseManager:
    """Acquires and renews leases; implements the Leases port.

    A contender that has watched the heartbeat row unchanged for the whole duration, by its own
    monotonic clock, takes the lease over with the next fencing number.

    Args:
        table: The table service's client.
        clock: Time source.
        owner: This daemon's identifier.
    """

    __slots__ = ("_clock", "_owner", "_renewals", "_table", "_watched")

    def __init__(self, table: TableStore, clock: Clock, owner: str) -> None:
        self._table = table
        self._clock = clock
        self._owner = owner
        self._watched: dict[str, tuple[Row | None, float]] = {}
        self._renewals: dict[HeldLease, asyncio.Task[None]] = {}

    async def acquire(self, name: str, duration_s: float) -> Lease | None:
        """Return the lease, or None while another holder has it or the table is away."""
        asked_at_s = self._clock.monotonic_s()
        try:
            rows = await self._table.read([_guard_key(name), _beat_key(name)])
            guard, beat = rows.get(_guard_key(name)), rows.get(_beat_key(name))
            if not self._free(name, guard, beat):
                return None
            fencing_number = (_holder(guard).fencing_number if guard else 0) + 1
            await self._write_holder(name, fencing_number, guard, duration_s)
        except (ConditionFailed, StoreUnavailable):
            return None
        lease = HeldLease(
            self,
            self._clock,
            name,
            fencing_number,
            (guard.version if guard else 0) + 1,
            asked_at_s + duration_s * (1 - _DRIFT_FRACTION),
        )
        task = asyncio.get_running_loop().create_task(self._renew(lease, duration_s))
        self._renewals[lease] = task
        return lease

    async def release(self, lease: HeldLease) -> None:
        """Stop renewing and mark the guard row as released."""
        self._stop_renewing(lease)
        lease.lose()
        holder = _Holder(self._owner, lease.fencing_number, released=True)
        write = Write(
            key=lease.row_key,
            value=msgspec.json.encode(holder),
            expect_version=lease.row_version,
        )
        with contextlib.suppress(ConditionFailed, StoreUnavailable):
            await self._table.commit(Transaction(operation_id=new_id("op"), writes=(write,)))

    async def stop(self) -> None:
        """Release every held lease."""
        for lease in list(self._renewals):
            await self.release(lease)

    def abandon(self) -> None:
        """Stop every renewal without releasing, as a dying process would."""
        for lease in list(self._renewals):
            self._stop_renewing(lease)

    def _free(self, name: str, guard: Row | None, beat: Row | None) -> bool:
        if guard is None or _holder(guard).released:
            return True
        now_s = self._clock.monotonic_s()
        seen, since_s = self._watched.get(name, (None, now_s))
        if beat is None or seen is None or seen.version != beat.version:
            self._watched[name] = (beat, now_s)
            return False
        duration_s = msgspec.json.decode(beat.value, type=_Beat).duration_s
        return now_s - since_s >= duration_s

    async def _write_holder(
        self, name: str, fencing_number: int, guard: Row | None, duration_s: float
    ) -> None:
        holder = _Holder(self._owner, fencing_number)
        beat = _Beat(fencing_number, 0, duration_s)
        writes = (
            Write(
                key=_guard_key(name),
                value=msgspec.json.encode(holder),
                expect_version=guard.version if guard else 0,
            ),
            Write(key=_beat_key(name), value=msgspec.json.encode(beat)),
        )
        await self._table.commit(Transaction(operation_id=new_id("op"), writes=writes))

    async def _renew(self, lease: HeldLease, duration_s: float) -> None:
        number = 0
        while lease.remaining_s() > 0:
            await self._clock.sleep(duration_s / _RENEWALS_PER_DURATION)
            asked_at_s = self._clock.monotonic_s()
            number += 1
            writes = (
                Write(key=lease.row_key, expect_version=lease.row_version, check_only=True),
                Write(
                    key=_beat_key(lease.name),
                    value=msgspec.json.encode(_Beat(lease.fencing_number, number, duration_s)),
                ),
            )
            try:
                lease.check()
                await self._table.commit(Transaction(operation_id=new_id("op"), writes=writes))
                lease.extend(asked_at_s + duration_s * (1 - _DRIFT_FRACTION))
            except (ConditionFailed, LeaseLost):
                lease.lose()
            except StoreUnavailable:
                continue
        self._renewals.pop(lease, None)

    def _stop_renewing(self, lease: HeldLease) -> None:
        task = self._renewals.pop(lease, None)
        if task is not None:
            task.cancel()


def _guard_key(name: str) -> str:
    return f"lease/{name}/guard"


def _beat_key(name: str) -> str:
    return f"lease/{name}/beat"


def _holder(row: Row) -> _Holder:
    return msgspec.json.decode(row.value, type=_Holder)
