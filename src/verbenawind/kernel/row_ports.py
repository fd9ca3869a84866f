"""Port for a store with partitioned rows, compare-and-set, a change feed and objects."""

from collections.abc import Sequence
from typing import Protocol

from verbenawind.kernel.messages import Value

__all__ = [
    "RowChanges",
    "RowCheck",
    "RowId",
    "RowPage",
    "RowStore",
    "RowTransaction",
    "RowWrite",
    "StoredRow",
    "replacement_transaction",
]


class RowId(Value, frozen=True, kw_only=True):
    """Identifies a row; a transaction may span several tables of one partition."""

    table: str
    part: str = ""
    key: str = ""


class StoredRow(Value, frozen=True, kw_only=True):
    """A row as read from the store; a ``value`` of None in a change feed marks a deleted row."""

    row_id: RowId
    value: bytes | None
    version: int


class RowCheck(Value, frozen=True, kw_only=True):
    """A row version that a transaction requires; 0 means that the row is absent."""

    row_id: RowId
    version: int


class RowWrite(Value, frozen=True, kw_only=True):
    """A row to write, or to delete if ``value`` is None."""

    row_id: RowId
    value: bytes | None


class RowTransaction(Value, frozen=True, kw_only=True):
    """An atomic set of checks and writes in one partition.

    Each written row is also checked, so a repeat after a lost response changes nothing, and a
    conflict shows whether an earlier attempt took effect.
    """

    checks: tuple[RowCheck, ...]
    writes: tuple[RowWrite, ...]


def replacement_transaction(row_id: RowId, version: int, value: bytes) -> RowTransaction:
    """Return a transaction that replaces a row of the given version, or creates it for 0."""
    return RowTransaction(
        checks=(RowCheck(row_id=row_id, version=version),),
        writes=(RowWrite(row_id=row_id, value=value),),
    )


class RowPage(Value, frozen=True, kw_only=True):
    """A consistent page of rows.

    ``version`` is the store's newest version and ``store_ms`` its clock at the read.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int
    has_more: bool = False


class RowChanges(Value, frozen=True, kw_only=True):
    """Changed rows in order; the feed continues after ``version``."""

    rows: tuple[StoredRow, ...]
    version: int
    store_ms: int


class RowStore(Protocol):
    """The row store; every method raises StoreUnavailable if no response arrives in time."""

    async def commit(
        self, transaction: RowTransaction, timeout_s: float, *, repeated: bool = False
    ) -> int:
        """Apply a transaction and return the version of the written rows.

        Args:
            transaction: Checks and writes to apply.
            timeout_s: Time limit, including retries.
            repeated: Whether an earlier call with this transaction may have taken effect; if it
                has, that counts as success.

        Raises:
            RowConflict: A check failed; nothing was written, and no delayed write can follow.
            StoreUnavailable: No response; ``effect_possible`` tells whether the transaction may
                still take effect.
        """

    async def rows(
        self, table: str, part: str, timeout_s: float, *, first: str = "", limit: int = 500
    ) -> RowPage:
        """Return up to *limit* rows of a partition in key order, starting at the key *first*."""

    async def parts(self, table: str, timeout_s: float) -> Sequence[str]:
        """Return the partitions of a table that hold rows."""

    async def changes(self, table: str, after: int, wait_s: float) -> RowChanges:
        """Return the changes of a table after a version, waiting up to *wait_s* for the first.

        Raises:
            HistoryLost: The store no longer has all changes after that version.
        """

    async def put_object(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object unless one with this name exists."""

    async def delete_object(self, name: str, timeout_s: float) -> None:
        """Delete an object, if it exists."""

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object, or None if it does not exist."""
