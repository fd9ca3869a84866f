"""The rows of the platform's store as they travel in its calls."""

import base64
from collections.abc import Mapping
from typing import Any

import msgspec

from verbenawind.kernel.row_ports import RowId, RowTransaction, StoredRow

__all__ = ["WirePage", "WireParts", "WireRow", "already_applied", "wire_transaction"]


class WireRow(msgspec.Struct):
    """A row; ``ver`` is the store's version counter at the row's last write."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False

    def decode(self) -> StoredRow:
        """Return the row."""
        return StoredRow(
            row_id=RowId(table=self.table, part=self.part, key=self.key),
            value=None if self.removed else _row_value(self.value),
            version=self.ver,
        )


class WirePage(msgspec.Struct, rename="kebab"):
    """A response with rows; ``ver`` is the store's newest version, ``now_ms`` its clock."""

    rows: list[WireRow] = []
    has_more: bool = False
    ver: int = 0
    now_ms: int = 0


class WireParts(msgspec.Struct, rename="kebab"):
    """A response with names of partitions."""

    parts: list[str] = []
    has_more: bool = False


def _wire_id(row_id: RowId) -> dict[str, Any]:
    return {"table": row_id.table, "part": row_id.part, "key": row_id.key}


def wire_transaction(transaction: RowTransaction) -> dict[str, Any]:
    """Return the body of a call that applies a transaction."""
    return {
        "expect": [
            {**_wire_id(check.row_id), "ver": check.version} for check in transaction.checks
        ],
        "writes": [
            {**_wire_id(write.row_id), "value": base64.b64encode(write.value).decode()}
            for write in transaction.writes
            if write.value is not None
        ],
        "deletes": [_wire_id(write.row_id) for write in transaction.writes if write.value is None],
    }


def already_applied(transaction: RowTransaction, current: Mapping[RowId, StoredRow]) -> bool:
    """Return whether the rows show that an earlier attempt applied the transaction.

    Only rows that are both checked and written are compared, since the store reports no others.
    """
    checked = {check.row_id for check in transaction.checks}
    checked_writes = [write for write in transaction.writes if write.row_id in checked]
    return bool(checked_writes) and all(
        write.row_id in current and current[write.row_id].value == write.value
        for write in checked_writes
    )


def _row_value(encoded: str) -> bytes:
    """Return a row's value, empty if it is not base64; no reader accepts an empty value."""
    try:
        return base64.b64decode(encoded)
    except ValueError:
        return b""
