"""A row store in memory, with the faults of the real one."""

import asyncio
from collections.abc import Sequence
from random import Random

from verbenawind.errors import HistoryLost, RowConflict, StoreUnavailable
from verbenawind.kernel.row_ports import (
    Changes,
    RowId,
    RowPage,
    RowTransaction,
    StoredRow,
)

__all__ = ["MemoryRowStore", "RowStoreFaults", "StoreView"]

# Shorter waits are over already.
_LEAST_WAIT_S = 0.001


class RowStoreFaults:
    """What goes wrong; the fields may change at any time.

    ``lost_answers`` is the share of calls that take effect without an answer, ``late_writes`` the
    share of transactions that are carried out ``late_s`` after their caller has given up.
    """

    __slots__ = ("down", "late_s", "late_writes", "lost_answers", "slow_s")

    def __init__(self) -> None:
        self.down = False
        self.lost_answers = 0.0
        self.late_writes = 0.0
        self.late_s = 2.0
        self.slow_s = 0.0


class MemoryRowStore:
    """The store itself; hosts call it through views.

    Args:
        rng: Decides which calls a fault hits.
        answer_s: How long an answer takes.
    """

    def __init__(self, rng: Random, answer_s: float = 0.004) -> None:
        self._rng = rng
        self._answer_s = answer_s
        self._rows: dict[RowId, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._forgotten = 0
        self._objects: dict[str, bytes] = {}
        self._changed = asyncio.Event()
        self._late: set[asyncio.Task[None]] = set()
        self.version = 0
        self.faults = RowStoreFaults()
        self.commits = 0

    def view(self, host: str = "") -> "StoreView":
        """Return the store as one host reaches it."""
        return StoreView(self, host)

    def store_ms(self) -> int:
        """Return the store's clock."""
        return int(asyncio.get_running_loop().time() * 1000)

    def forget_history(self) -> None:
        """Make every feed start anew."""
        self._history.clear()
        self._forgotten = self.version

    def put(self, row_id: RowId, value: bytes | None) -> None:
        """Write a row as the operator or an engine does, whatever the faults."""
        self.version += 1
        row = StoredRow(row_id=row_id, value=value, version=self.version)
        if value is None:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = row
        self._history.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    def row(self, row_id: RowId) -> StoredRow | None:
        """Return a row as it stands."""
        return self._rows.get(row_id)

    def apply(self, transaction: RowTransaction) -> int:
        """Carry out a transaction; raises RowConflict."""
        versions = {
            check.row_id: row.version if (row := self._rows.get(check.row_id)) else 0
            for check in transaction.checks
        }
        if any(versions[check.row_id] != check.version for check in transaction.checks):
            named = {row_id.key: version for row_id, version in versions.items()}
            raise RowConflict(f"rows have other versions: {named}", named)
        for write in transaction.writes:
            self.put(write.row_id, write.value)
        self.commits += 1
        return self.version

    def applied_version(self, transaction: RowTransaction) -> int:
        """Return the version of the rows that hold just what was to be written, else 0."""
        rows = [self._rows.get(write.row_id) for write in transaction.writes]
        for row, write in zip(rows, transaction.writes, strict=True):
            if row is None or row.value != write.value:
                return 0
        return max(row.version for row in rows if row is not None)

    def page(self, table: str, part: str, first: str, limit: int) -> RowPage:
        """Return rows of a partition."""
        found = sorted(
            (
                row
                for row_id, row in self._rows.items()
                if row_id.table == table and row_id.part == part and row_id.key >= first
            ),
            key=lambda row: row.row_id.key,
        )
        return RowPage(
            rows=tuple(found[:limit]),
            version=self.version,
            store_ms=self.store_ms(),
            has_more=len(found) > limit,
        )

    def table_parts(self, table: str) -> Sequence[str]:
        """Return the partitions of a table."""
        return sorted({row_id.part for row_id in self._rows if row_id.table == table})

    async def wait_for_changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return changes of a table, waiting for a first one."""
        ends_at_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._forgotten:
                raise HistoryLost(f"what came after {after} is dropped")
            rows = [
                row for row in self._history if row.version > after and row.row_id.table == table
            ]
            left_s = ends_at_s - asyncio.get_running_loop().time()
            if rows or left_s <= _LEAST_WAIT_S:
                return Changes(rows=tuple(rows), version=self.version, store_ms=self.store_ms())
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def objects(self) -> dict[str, bytes]:
        """Return the stored objects."""
        return self._objects

    def hit(self, share: float) -> bool:
        """Return whether a fault with this share hits a call."""
        return share > 0 and self._rng.random() < share

    async def answer_time(self, timeout_s: float) -> None:
        """Wait as long as an answer takes; raises StoreUnavailable after the time-out."""
        needed_s = self._answer_s + self.faults.slow_s
        if needed_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable("no answer in time", effect_possible=True)
        await asyncio.sleep(needed_s)

    def apply_late(self, transaction: RowTransaction) -> None:
        """Carry a transaction out later, if its conditions still hold."""

        async def later() -> None:
            await asyncio.sleep(self.faults.late_s)
            try:
                self.apply(transaction)
            except RowConflict:
                return

        task = asyncio.get_running_loop().create_task(later())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class StoreView:
    """The store as one host reaches it; implements the RowStore port.

    Args:
        store: The store.
        host: The host's name.
    """

    def __init__(self, store: MemoryRowStore, host: str) -> None:
        self._store = store
        self.host = host
        self.cut = False

    async def commit(
        self, transaction: RowTransaction, timeout_s: float, *, repeated: bool = False
    ) -> int:
        """Apply a transaction, once more after an answer that was lost."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        unsure = repeated
        while True:
            left_s = ends_at_s - loop.time()
            if left_s <= _LEAST_WAIT_S:
                raise StoreUnavailable("no answer in time", effect_possible=unsure)
            try:
                await self._reach(left_s)
            except StoreUnavailable:
                await asyncio.sleep(min(0.1, max(0.0, ends_at_s - loop.time())))
                continue
            if self._store.hit(self._store.faults.late_writes):
                self._store.apply_late(transaction)
                unsure = True
                await asyncio.sleep(min(0.3, left_s))
                continue
            try:
                version = self._store.apply(transaction)
            except RowConflict:
                if unsure and (version := self._store.applied_version(transaction)):
                    return version
                raise
            if self._store.hit(self._store.faults.lost_answers):
                unsure = True
                await asyncio.sleep(min(0.3, left_s))
                continue
            return version

    async def rows(
        self, table: str, part: str, timeout_s: float, *, first: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows of a partition."""
        await self._reach(timeout_s)
        return self._store.page(table, part, first, limit)

    async def parts(self, table: str, timeout_s: float) -> Sequence[str]:
        """Return the partitions of a table."""
        await self._reach(timeout_s)
        return self._store.table_parts(table)

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what has changed in a table."""
        await self._reach(wait_s + 1.0)
        changes = await self._store.wait_for_changes(table, after, wait_s)
        await self._reach(wait_s + 1.0)
        return changes

    async def put_object(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object that is absent."""
        await self._reach(timeout_s)
        self._store.objects().setdefault(name, data)

    async def drop_object(self, name: str, timeout_s: float) -> None:
        """Remove an object."""
        await self._reach(timeout_s)
        self._store.objects().pop(name, None)

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object."""
        await self._reach(timeout_s)
        return self._store.objects().get(name)

    async def _reach(self, timeout_s: float) -> None:
        if self.cut or self._store.faults.down:
            await asyncio.sleep(min(0.05, timeout_s))
            raise StoreUnavailable("the store is out of reach", effect_possible=False)
        await self._store.answer_time(timeout_s)
