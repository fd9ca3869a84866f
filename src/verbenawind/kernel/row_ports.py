"""Ports towards a store of partitioned rows with compare-and-set, a change feed and objects."""

from collections.abc import Sequence
from typing import Protocol

from verbenawind.kernel.messages import Value

__all__ = [
    "Changes",
    "RowCheck",
    "RowId",
    "RowPage",
    "RowStore",
    "RowTransaction",
    "RowWrite",
    "StoredRow",
    "replacement",
]


class RowId(Value, frozen=True, kw_only=True):
    """Where a row is; transactions span tables of one partition."""

    table: str
    part: str = ""
    key: str = ""


class StoredRow(Value, frozen=True, kw_only=True):
    """A row as it was read; ``value`` None marks a removed row in a change feed."""

    row_id: RowId
    value: bytes | None
    version: int


class RowCheck(Value, frozen=True, kw_only=True):
    """A row version that must hold for a transaction; 0 stands for an absent row."""

    row_id: RowId
    version: int


class RowWrite(Value, frozen=True, kw_only=True):
    """A row to write, or to delete where ``value`` is None."""

    row_id: RowId
    value: bytes | None


class RowTransaction(Value, frozen=True, kw_only=True):
    """Checks and writes of one partition that take effect together or not at all.

    Each write has a check of its own row, so that a repeat after a lost answer changes nothing
    and a refusal shows whether an earlier attempt took effect.
    """

    checks: tuple[RowCheck, ...]
    writes: tuple[RowWrite, ...]


def replacement(row_id: RowId, version: int, value: bytes) -> RowTransaction:
    """Return the transaction that replaces one row of a known version, 0 for a new row."""
    return RowTransaction(
        checks=(RowCheck(row_id=row_id, version=version),),
        writes=(RowWrite(row_id=row_id, value=value),),
    )


class RowPage(Value, frozen=True, kw_only=True):
    """Rows of one moment; ``version`` is the newest of the store, ``store_ms`` its clock."""

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int
    has_more: bool = False


class Changes(Value, frozen=True, kw_only=True):
    """Changed rows in order; a feed goes on from ``version``."""

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int


class RowStore(Protocol):
    """The store; every method raises StoreUnavailable when no answer came in time."""

    async def commit(
        self, transaction: RowTransaction, timeout_s: float, *, repeated: bool = False
    ) -> int:
        """Apply a transaction and return the version of the rows that it wrote.

        Args:
            transaction: What to write under which conditions.
            timeout_s: How long to try.
            repeated: Whether an earlier call with this transaction may have taken effect, which
                counts as success then.

        Raises:
            RowConflict: A check failed; nothing was written, now or later.
            StoreUnavailable: No answer; ``effect_possible`` says whether it may take effect.
        """

    async def rows(
        self, table: str, part: str, timeout_s: float, *, first: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows of a partition in key order, from the key *first* on."""

    async def parts(self, table: str, timeout_s: float) -> Sequence[str]:
        """Return the partitions of a table that hold rows."""

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what has changed in a table since a version, waiting for a first change.

        Raises:
            HistoryLost: The store has dropped what came after that version.
        """

    async def put_object(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object that is absent; one that is there stays as it is."""

    async def drop_object(self, name: str, timeout_s: float) -> None:
        """Remove an object; one that is absent is passed over."""

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object's bytes, None where there is none."""
