"""An in-memory row store that simulates the faults of the real one."""

import asyncio
from collections.abc import Sequence
from random import Random

from verbenawind.errors import HistoryLost, RowConflict, StoreUnavailable
from verbenawind.kernel.row_ports import (
    RowChanges,
    RowId,
    RowPage,
    RowTransaction,
    RowWrite,
    StoredRow,
)

__all__ = ["MemoryRowStore", "RowStoreFaults", "StoreView"]

# Remaining times below this count as elapsed.
_MIN_WAIT_S = 0.001


class RowStoreFaults:
    """Faults to inject; the fields may be changed at any time.

    ``down`` rejects every call, ``objects_down`` those for objects. ``slow_s`` delays every
    response. ``lost_answers`` is the fraction of transactions that are applied but whose response
    is lost. ``late_writes`` is the fraction that are applied ``late_s`` after the attempt, which
    gets no response.
    """

    __slots__ = ("down", "late_s", "late_writes", "lost_answers", "objects_down", "slow_s")

    def __init__(self) -> None:
        self.down = False
        self.objects_down = False
        self.lost_answers = 0.0
        self.late_writes = 0.0
        self.late_s = 2.0
        self.slow_s = 0.0


class MemoryRowStore:
    """The state of the store; hosts access it through views.

    Args:
        rng: Random source that decides which calls a fault affects.
        answer_s: Response time, in seconds.
    """

    def __init__(self, rng: Random, answer_s: float = 0.004) -> None:
        self._rng = rng
        self._answer_s = answer_s
        self._rows: dict[RowId, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._truncated_version = 0
        self._objects: dict[str, bytes] = {}
        self._changed = asyncio.Event()
        self._late_tasks: set[asyncio.Task[None]] = set()
        self.version = 0
        self.faults = RowStoreFaults()
        self.commits = 0

    def view(self, host: str = "") -> "StoreView":
        """Return a host's view of the store."""
        return StoreView(self, host)

    def store_ms(self) -> int:
        """Return the time of the store's clock, in milliseconds."""
        return int(asyncio.get_running_loop().time() * 1000)

    def truncate_history(self) -> None:
        """Truncate the change history, so that every feed has to start over."""
        self._history.clear()
        self._truncated_version = self.version

    def put(self, row_id: RowId, value: bytes | None) -> None:
        """Write a row as an operator or an engine does, unaffected by faults."""
        self._write([RowWrite(row_id=row_id, value=value)])

    def _write(self, writes: Sequence[RowWrite]) -> None:
        """Write rows, which all get the next version."""
        self.version += 1
        for write in writes:
            self._write_row(write.row_id, write.value)
        self._changed.set()
        self._changed = asyncio.Event()

    def _write_row(self, row_id: RowId, value: bytes | None) -> None:
        row = StoredRow(row_id=row_id, value=value, version=self.version)
        if value is None:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = row
        self._history.append(row)

    def row(self, row_id: RowId) -> StoredRow | None:
        """Return the current state of a row."""
        return self._rows.get(row_id)

    def apply(self, transaction: RowTransaction) -> int:
        """Apply a transaction; raises RowConflict if a check fails."""
        versions = {
            check.row_id: row.version if (row := self._rows.get(check.row_id)) else 0
            for check in transaction.checks
        }
        if any(versions[check.row_id] != check.version for check in transaction.checks):
            actual_versions = {row_id.key: version for row_id, version in versions.items()}
            raise RowConflict(
                f"row versions differ from the expected ones: {actual_versions}",
                actual_versions,
                {row_id.key: row.value for row_id in versions if (row := self._rows.get(row_id))},
            )
        self._write(transaction.writes)
        self.commits += 1
        return self.version

    def applied_version(self, transaction: RowTransaction) -> int:
        """Return the newest version of the written rows, or 0 if one has another value."""
        rows = [self._rows.get(write.row_id) for write in transaction.writes]
        for row, write in zip(rows, transaction.writes, strict=True):
            if row is None or row.value != write.value:
                return 0
        return max(row.version for row in rows if row is not None)

    def page(self, table: str, part: str, first: str, limit: int) -> RowPage:
        """Return a page of the rows of a partition."""
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

    async def wait_for_changes(self, table: str, after: int, wait_s: float) -> RowChanges:
        """Return the changes of a table after a version, waiting for the first one."""
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._truncated_version:
                raise HistoryLost(f"changes after version {after} are no longer available")
            rows = [
                row for row in self._history if row.version > after and row.row_id.table == table
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if rows or remaining_s <= _MIN_WAIT_S:
                return RowChanges(rows=tuple(rows), version=self.version, store_ms=self.store_ms())
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def objects(self) -> dict[str, bytes]:
        """Return the stored objects."""
        return self._objects

    def fault_occurs(self, share: float) -> bool:
        """Return whether a fault with this probability affects a call."""
        return share > 0 and self._rng.random() < share

    async def wait_for_response(self, timeout_s: float) -> None:
        """Wait for the response time; raises StoreUnavailable if it exceeds the timeout."""
        needed_s = self._answer_s + self.faults.slow_s
        if needed_s > timeout_s:
            await asyncio.sleep(timeout_s)
            raise StoreUnavailable("no response before the timeout", effect_possible=True)
        await asyncio.sleep(needed_s)

    def apply_late(self, transaction: RowTransaction) -> None:
        """Apply a transaction after ``late_s``, if its checks then pass."""

        async def apply_after_delay() -> None:
            await asyncio.sleep(self.faults.late_s)
            try:
                self.apply(transaction)
            except RowConflict:
                return

        task = asyncio.get_running_loop().create_task(apply_after_delay())
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)


class StoreView:
    """A host's client of the store; implements the RowStore port.

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
        """Apply a transaction, retrying until the timeout if a response is lost."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        may_be_applied = repeated
        while True:
            remaining_s = deadline_s - loop.time()
            if remaining_s <= _MIN_WAIT_S:
                raise StoreUnavailable(
                    "no response before the timeout", effect_possible=may_be_applied
                )
            try:
                await self._simulate_response(remaining_s)
            except StoreUnavailable:
                await asyncio.sleep(min(0.1, max(0.0, deadline_s - loop.time())))
                continue
            if self._store.fault_occurs(self._store.faults.late_writes):
                self._store.apply_late(transaction)
                may_be_applied = True
                await asyncio.sleep(min(0.3, remaining_s))
                continue
            try:
                version = self._store.apply(transaction)
            except RowConflict:
                if may_be_applied and (version := self._store.applied_version(transaction)):
                    return version
                raise
            if self._store.fault_occurs(self._store.faults.lost_answers):
                may_be_applied = True
                await asyncio.sleep(min(0.3, remaining_s))
                continue
            return version

    async def rows(
        self, table: str, part: str, timeout_s: float, *, first: str = "", limit: int = 500
    ) -> RowPage:
        """Return a page of the rows of a partition."""
        await self._simulate_response(timeout_s)
        return self._store.page(table, part, first, limit)

    async def parts(self, table: str, timeout_s: float) -> Sequence[str]:
        """Return the partitions of a table."""
        await self._simulate_response(timeout_s)
        return self._store.table_parts(table)

    async def changes(self, table: str, after: int, wait_s: float) -> RowChanges:
        """Return the changes of a table after a version."""
        await self._simulate_response(wait_s + 1.0)
        changes = await self._store.wait_for_changes(table, after, wait_s)
        await self._simulate_response(wait_s + 1.0)
        return changes

    async def put_object(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object unless one with this name exists."""
        await self._simulate_response(timeout_s, objects=True)
        self._store.objects().setdefault(name, data)

    async def delete_object(self, name: str, timeout_s: float) -> None:
        """Delete an object."""
        await self._simulate_response(timeout_s, objects=True)
        self._store.objects().pop(name, None)

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object, or None if there is none."""
        await self._simulate_response(timeout_s, objects=True)
        return self._store.objects().get(name)

    async def _simulate_response(self, timeout_s: float, *, objects: bool = False) -> None:
        faults = self._store.faults
        if self.cut or faults.down or (objects and faults.objects_down):
            await asyncio.sleep(min(0.05, timeout_s))
            raise StoreUnavailable("store is unreachable", effect_possible=False)
        await self._store.wait_for_response(timeout_s)
