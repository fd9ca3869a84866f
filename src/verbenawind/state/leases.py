"""Leases in the table service, timed by their holder's monotonic clock."""

import asyncio
from collections.abc import Sequence
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, LeaseLost, StoreUnavailable
from verbenawind.ids import new_id
from verbenawind.kernel.ports import Lease, PeerBus, Row, TableStore, Transaction, Write
from verbenawind.state.contention import Contention

__all__ = ["HeldLease", "LeaseManager"]

_CLOCK_DRIFT_FRACTION = 0.1
_RENEWALS_PER_DURATION = 3
_MIN_RENEWAL_SLEEP_S = 0.1
_MAX_RENEWAL_SLEEP_S = 0.5
_RENEWAL_BATCH_WINDOW_S = 1.0


class _GuardRecord(msgspec.Struct, frozen=True):
    """The guard row's value; it is written only when the lease is acquired or released."""

    owner: str
    fencing_number: int
    released: bool = False
    session: str = ""


class _HeartbeatRecord(msgspec.Struct, frozen=True):
    """The heartbeat row's value; ``beat`` increases with each renewal."""

    fencing_number: int
    beat: int
    duration_s: float


class HeldLease:
    """A held lease; implements the Lease port."""

    __slots__ = (
        "_clock",
        "_ends_at_s",
        "_fencing_number",
        "_manager",
        "_name",
        "_row_version",
        "beat",
        "duration_s",
        "renew_at_s",
    )

    def __init__(
        self,
        manager: "LeaseManager",
        clock: Clock,
        name: str,
        fencing_number: int,
        row_version: int,
        requested_at_s: float,
        duration_s: float,
    ) -> None:
        self._manager = manager
        self._clock = clock
        self._name = name
        self._fencing_number = fencing_number
        self._row_version = row_version
        self.beat = 0
        self.duration_s = duration_s
        self.extend(requested_at_s)

    @property
    def name(self) -> str:
        """The lease's name."""
        return self._name

    @property
    def fencing_number(self) -> int:
        """The fencing number, which increases with every new holder."""
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
        """Return for how many more seconds the lease is certainly held."""
        return self._ends_at_s - self._clock.monotonic_s()

    def check(self, needed_s: float = 0.0) -> None:
        """Raise LeaseLost unless the lease is certainly held for *needed_s* more seconds."""
        if self.remaining_s() <= needed_s:
            raise LeaseLost(f"lease {self._name!r} lapsed ({self.remaining_s():.3f} s left)")

    async def release(self) -> None:
        """Release the lease."""
        await self._manager.release(self)

    def extend(self, requested_at_s: float) -> None:
        """Extend the lease after an acquisition or renewal requested at a monotonic time.

        Contenders wait the whole duration after they first read the new heartbeat, which is later
        than the request. The margin covers clock rates that differ by up to a tenth.
        """
        self._ends_at_s = requested_at_s + self.duration_s * (1 - _CLOCK_DRIFT_FRACTION)
        self.renew_at_s = requested_at_s + self.duration_s / _RENEWALS_PER_DURATION

    def mark_lost(self) -> None:
        """Mark the lease as no longer held."""
        self._ends_at_s = float("-inf")


class LeaseManager:
    """Acquires and renews leases; implements the Leases port.

    A contender takes a lease over with the next fencing number once the heartbeat row has been
    unchanged for the whole duration by the contender's own monotonic clock. All leases that are
    due are renewed in one transaction.

    Args:
        table: The table service's client.
        clock: Time source.
        owner: This daemon's identifier.
        rng: Random source for jitter.
        peers: The peer bus; its notifications save contenders most reads.
        zone: This daemon's availability zone.
        expects_peers: Whether the settings name other daemons.
    """

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        owner: str,
        *,
        rng: Random,
        peers: PeerBus,
        zone: str,
        expects_peers: bool = False,
    ) -> None:
        self._clock = clock
        self._owner = owner
        self._session = new_id("session")
        self._table = table
        self._contention = Contention(clock, rng, peers, zone, expects_peers=expects_peers)
        self._held: dict[str, HeldLease] = {}
        self._acquiring: set[str] = set()
        self._renewal_task: asyncio.Task[None] | None = None
        self._log = structlog.get_logger("state")

    async def acquire(
        self, name: str, duration_s: float, *, zone_only: bool = False, guarded: bool = False
    ) -> Lease | None:
        """Return the lease, or None while it is held elsewhere or the table is unavailable.

        Frequent polling is cheap: the table is read only when the result may have changed. With
        ``zone_only`` only daemons of this zone contend for the lease. With ``guarded`` every
        operation under the lease is conditional on its guard row, so a holder that is no longer a
        live peer is replaced after one missed renewal.
        """
        held = self._held.get(name)
        if name in self._acquiring or (held is not None and held.remaining_s() > 0):
            return None
        if not self._contention.may_read(name):
            return None
        self._acquiring.add(name)
        try:
            return await self._try_acquire(name, duration_s, zone_only, guarded)
        except (ConditionFailed, StoreUnavailable) as error:
            self._contention.read_or_commit_failed(name)
            self._log.info("lease_not_acquired", lease=name, reason=error.message)
            return None
        finally:
            self._acquiring.discard(name)

    async def release(self, lease: HeldLease) -> None:
        """Stop renewing the lease and mark its guard row as released."""
        if self._held.get(lease.name) is not lease:
            return
        del self._held[lease.name]
        lease.mark_lost()
        holder = _GuardRecord(self._owner, lease.fencing_number, True, self._session)
        write = Write(
            key=lease.row_key,
            value=msgspec.json.encode(holder),
            expect_version=lease.row_version,
        )
        try:
            await self._commit(write)
        except (ConditionFailed, StoreUnavailable) as error:
            self._log.warning("lease_not_released", lease=lease.name, reason=error.message)
        self._contention.announce(lease.name, lease.fencing_number, held=False)

    async def stop(self) -> None:
        """Release every held lease."""
        await asyncio.gather(*(self.release(lease) for lease in list(self._held.values())))
        self._stop_renewing()

    def abandon(self) -> None:
        """Stop all renewals without releasing the leases, as a crash would."""
        self._stop_renewing()

    async def _try_acquire(
        self, name: str, duration_s: float, zone_only: bool, guarded: bool
    ) -> Lease | None:
        requested_at_s = self._clock.monotonic_s()
        rows = await self._table.read([_guard_key(name), _heartbeat_key(name)])
        guard, beat = rows.get(_guard_key(name)), rows.get(_heartbeat_key(name))
        if not self._can_acquire(
            name, guard, beat, duration_s, zone_only=zone_only, guarded=guarded
        ):
            return None
        fencing_number = (_decode_holder(guard).fencing_number if guard else 0) + 1
        await self._commit(
            Write(
                key=_guard_key(name),
                value=msgspec.json.encode(
                    _GuardRecord(self._owner, fencing_number, session=self._session)
                ),
                expect_version=guard.version if guard else 0,
            ),
            _heartbeat_write(name, _HeartbeatRecord(fencing_number, 0, duration_s)),
        )
        row_version = (guard.version if guard else 0) + 1
        lease = HeldLease(
            self, self._clock, name, fencing_number, row_version, requested_at_s, duration_s
        )
        self._held[name] = lease
        self._contention.acquired(name)
        self._contention.announce(name, fencing_number, held=True)
        self._log.info("lease_acquired", lease=name, fencing_number=fencing_number)
        self._ensure_renewing()
        return lease

    def _can_acquire(
        self,
        name: str,
        guard: Row | None,
        beat: Row | None,
        duration_s: float,
        *,
        zone_only: bool,
        guarded: bool,
    ) -> bool:
        if guard is None:
            return True
        holder = _decode_holder(guard)
        if holder.released or holder.session == self._session:
            # Either released, or acquired by this process with the response lost. Nothing runs
            # under it, and a late write of it fails on the next fencing number.
            return True
        if beat is not None:
            duration_s = msgspec.json.decode(beat.value, type=_HeartbeatRecord).duration_s
        version = beat.version if beat else 0
        return self._contention.lapsed(
            name,
            (guard.version, version),
            duration_s,
            holder.owner,
            zone_only=zone_only,
            guarded=guarded,
        )

    def _ensure_renewing(self) -> None:
        if self._renewal_task is None or self._renewal_task.done():
            self._renewal_task = asyncio.get_running_loop().create_task(self._renew())

    def _stop_renewing(self) -> None:
        for lease in self._held.values():
            lease.mark_lost()
        self._held.clear()
        if self._renewal_task is not None:
            self._renewal_task.cancel()

    async def _renew(self) -> None:
        while self._held:
            now_s = self._clock.monotonic_s()
            earliest_renewal_s = min(lease.renew_at_s for lease in self._held.values())
            sleep_s = min(
                _MAX_RENEWAL_SLEEP_S, max(_MIN_RENEWAL_SLEEP_S, earliest_renewal_s - now_s)
            )
            await self._clock.sleep(sleep_s)
            now_s = self._clock.monotonic_s()
            if not any(lease.renew_at_s <= now_s for lease in self._held.values()):
                continue
            due = [
                lease
                for lease in self._held.values()
                if lease.renew_at_s <= now_s + _RENEWAL_BATCH_WINDOW_S
            ]
            self._drop_lapsed(due)
            held = [lease for lease in due if self._held.get(lease.name) is lease]
            if held:
                await self._renew_batch(held)

    async def _renew_batch(self, leases: Sequence[HeldLease]) -> None:
        requested_at_s = self._clock.monotonic_s()
        writes: list[Write] = []
        for lease in leases:
            lease.beat += 1
            writes += [
                Write(key=lease.row_key, expect_version=lease.row_version, check_only=True),
                _heartbeat_write(
                    lease.name, _HeartbeatRecord(lease.fencing_number, lease.beat, lease.duration_s)
                ),
            ]
        try:
            await self._commit(*writes)
        except ConditionFailed as error:
            self._drop(leases, set(error.keys), "another daemon holds it")
        except StoreUnavailable:
            self._drop_lapsed(leases)
        else:
            for lease in leases:
                if lease.remaining_s() > 0:
                    lease.extend(requested_at_s)

    def _drop_lapsed(self, leases: Sequence[HeldLease]) -> None:
        lapsed = {lease.row_key for lease in leases if lease.remaining_s() <= 0}
        self._drop(leases, lapsed, "it could not be renewed in time")

    def _drop(self, leases: Sequence[HeldLease], row_keys: set[str], reason: str) -> None:
        for lease in leases:
            if lease.row_key not in row_keys or self._held.get(lease.name) is not lease:
                continue
            del self._held[lease.name]
            lease.mark_lost()
            self._log.warning("lease_lost", lease=lease.name, reason=reason)
            self._contention.announce(lease.name, lease.fencing_number, held=False)

    async def _commit(self, *writes: Write) -> None:
        await self._table.commit(Transaction(operation_id=new_id("op"), writes=writes))


def _heartbeat_write(name: str, beat: _HeartbeatRecord) -> Write:
    return Write(key=_heartbeat_key(name), value=msgspec.json.encode(beat))


def _guard_key(name: str) -> str:
    return f"lease/{name}/guard"


def _heartbeat_key(name: str) -> str:
    return f"lease/{name}/beat"


def _decode_holder(row: Row) -> _GuardRecord:
    return msgspec.json.decode(row.value, type=_GuardRecord)
