"""Tells the other hosts which limits servers name, in rows of a table that all hosts follow."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable, Undecodable
from verbenawind.gateway.allowances import Allowances
from verbenawind.gateway.directory import Directory
from verbenawind.gateway.server_limits import NamedLimit, ServerLimits, instance_incarnation
from verbenawind.gateway.turn_pool import schedule_row_id
from verbenawind.ids import digest_hex
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.messages import Value
from verbenawind.kernel.row_ports import (
    RowCheck,
    RowId,
    RowStore,
    RowTransaction,
    RowWrite,
    StoredRow,
    replacement_transaction,
)

__all__ = ["LIMIT_KEY_PREFIX", "LimitRecords"]

LIMIT_KEY_PREFIX = "limit/"
_WRITE_TIMEOUT_S = 1.0
# Of the hosts that learn of a limit at the same time, the first one that writes tells the others.
_MAX_DELAY_S = 0.2
_RETRY_S = 0.5
_SWEEP_PERIOD_S = 5.0
# Rows of incarnations that are gone are deleted after this time.
_LIFETIME_MS = 60_000


class _LimitRow(Value, frozen=True, kw_only=True):
    incarnation: str
    limit: NamedLimit


class LimitRecords:
    """Writes what this host learns of limits, and applies what the others wrote.

    Args:
        limits: The limits that this host knows.
        allowances: Its turns, which are dropped with the incarnation.
        directory: The registered servers.
        store: The row store.
        table: The table of the rows.
        is_assigned: Returns whether this host deletes an expired row.
        clock: Time source.
        store_ms: Returns the store's time.
        rng: Random source for jitter.
    """

    __slots__ = (
        "_allowances",
        "_clock",
        "_directory",
        "_is_assigned",
        "_limits",
        "_log",
        "_pending",
        "_rng",
        "_rows",
        "_store",
        "_store_ms",
        "_table",
        "_versions",
        "_wake",
    )

    def __init__(
        self,
        limits: ServerLimits,
        allowances: Allowances,
        directory: Directory,
        store: RowStore,
        table: str,
        *,
        is_assigned: Callable[[str], bool],
        clock: Clock,
        store_ms: Callable[[], int],
        rng: Random,
    ) -> None:
        self._limits = limits
        self._allowances = allowances
        self._directory = directory
        self._store = store
        self._table = table
        self._is_assigned = is_assigned
        self._clock = clock
        self._store_ms = store_ms
        self._rng = rng
        # The stored rows by key, as far as the feed has told, and the versions to check.
        self._rows: dict[str, _LimitRow] = {}
        self._versions: dict[str, int] = {}
        self._pending: set[str] = set()
        self._wake = asyncio.Event()
        self._log = structlog.get_logger("limits")
        limits.on_change(self._changed)

    def apply_row(self, row: StoredRow) -> None:
        """Apply a row of the table from the change feed."""
        key = row.row_id.key
        if row.value is None:
            self._rows.pop(key, None)
            self._versions.pop(key, None)
            return
        try:
            stored = decode_json(row.value, _LimitRow)
        except Undecodable as error:
            self._log.warning("limit_row_unreadable", key=key, error=error.message)
            return
        self._versions[key] = max(row.version, self._versions.get(key, 0))
        self._rows[key] = stored
        known = self._limits.known(stored.incarnation)
        if known is None or stored.limit.stated_ms > known.stated_ms:
            self._limits.apply(stored.incarnation, stored.limit)
        elif known.rate_per_s != stored.limit.rate_per_s:
            self._changed(stored.incarnation, known)

    async def run(self) -> None:
        """Write rows until cancelled, and delete those of incarnations that are gone."""
        next_sweep_s = 0.0
        while True:
            try:
                async with asyncio.timeout(_SWEEP_PERIOD_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            await self._clock.sleep(self._rng.uniform(0, _MAX_DELAY_S))
            while self._pending:
                if not await self._write(next(iter(self._pending))):
                    await self._clock.sleep(_RETRY_S * self._rng.uniform(0.5, 1.0))
            if self._clock.monotonic_s() >= next_sweep_s:
                next_sweep_s = self._clock.monotonic_s() + _SWEEP_PERIOD_S
                await self._sweep()

    def _changed(self, incarnation: str, _limit: NamedLimit) -> None:
        self._pending.add(incarnation)
        self._wake.set()

    async def _write(self, incarnation: str) -> bool:
        """Write a row unless another host has; return whether nothing is left to write."""
        limit = self._limits.known(incarnation)
        key = _key(incarnation)
        stored = self._rows.get(key)
        if limit is None or (stored is not None and stored.limit.rate_per_s == limit.rate_per_s):
            self._pending.discard(incarnation)
            return True
        row_id = RowId(table=self._table, key=key)
        value = msgspec.json.encode(_LimitRow(incarnation=incarnation, limit=limit))
        transaction = replacement_transaction(row_id, self._versions.get(key, 0), value)
        try:
            version = await self._store.commit(transaction, _WRITE_TIMEOUT_S)
        except RowConflict as conflict:
            current = conflict.values.get(key)
            if current is not None:
                self.apply_row(
                    StoredRow(row_id=row_id, value=current, version=conflict.versions[key])
                )
            else:
                self._versions.pop(key, None)
            return False
        except StoreUnavailable as error:
            self._log.info("limit_row_not_written", key=key, reason=error.message)
            return False
        self._versions[key] = version
        self._rows[key] = _LimitRow(incarnation=incarnation, limit=limit)
        self._pending.discard(incarnation)
        return True

    async def _sweep(self) -> None:
        """Forget incarnations that are gone, and delete the rows that are this host's to delete."""
        present = {instance_incarnation(server.instance) for server in self._directory.all()}
        earliest_ms = self._store_ms() - _LIFETIME_MS
        for key, row in list(self._rows.items()):
            if row.incarnation in present or row.limit.stated_ms > earliest_ms:
                continue
            self._limits.forget(row.incarnation)
            self._allowances.forget(row.incarnation)
            if not self._is_assigned(key):
                continue
            await self._delete(RowId(table=self._table, key=key), self._versions.get(key, 0))
            await self._delete(schedule_row_id(row.incarnation), 0)

    async def _delete(self, row_id: RowId, version: int) -> None:
        try:
            await self._store.commit(_deletion(row_id, version), _WRITE_TIMEOUT_S)
        except RowConflict as conflict:
            # Hosts don't follow the schedules, so the version becomes known here.
            actual = conflict.versions.get(row_id.key, 0)
            if actual:
                with_version = _deletion(row_id, actual)
                await self._delete_quietly(with_version, row_id)
        except StoreUnavailable as error:
            self._log.info("limit_row_not_written", key=row_id.key, reason=error.message)

    async def _delete_quietly(self, transaction: RowTransaction, row_id: RowId) -> None:
        try:
            await self._store.commit(transaction, _WRITE_TIMEOUT_S)
        except (RowConflict, StoreUnavailable) as error:
            self._log.info("limit_row_not_written", key=row_id.key, reason=error.message)


def _key(incarnation: str) -> str:
    return f"{LIMIT_KEY_PREFIX}{digest_hex(incarnation.encode())}"


def _deletion(row_id: RowId, version: int) -> RowTransaction:
    return RowTransaction(
        checks=(RowCheck(row_id=row_id, version=version),),
        writes=(RowWrite(row_id=row_id, value=None),),
    )
