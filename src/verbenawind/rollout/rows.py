"""Consistent reads and conditional writes of a trainer's rows."""

from collections.abc import Mapping, Sequence
from typing import TypeVar

import msgspec

from verbenawind.ids import new_id
from verbenawind.kernel.ports import Row, TableStore, Transaction, Write
from verbenawind.rollout.records import (
    DeliveryRecord,
    GradeLogRecord,
    WorkRecord,
    delivery_key,
    grade_log_key,
    version_key,
    work_key,
)

__all__ = ["TrainerRows", "commit_rows", "conditional", "decode_row"]

R = TypeVar("R")


class TrainerRows(msgspec.Struct, frozen=True, kw_only=True):
    """A consistent snapshot of a trainer's rows; the version of an absent row is 0."""

    work: WorkRecord
    work_version: int
    delivery: DeliveryRecord
    delivery_version: int
    grades: GradeLogRecord
    grades_version: int
    rows: Mapping[str, Row]

    @classmethod
    async def read(
        cls,
        table: TableStore,
        environment: str,
        trainer: str,
        model: str,
        extra: Sequence[str] = (),
    ) -> "TrainerRows":
        """Read a trainer's rows, the version row of its model and the *extra* keys at once."""
        work, delivery = work_key(environment, trainer), delivery_key(environment, trainer)
        grades = grade_log_key(environment, trainer)
        rows = await table.read([work, delivery, grades, version_key(environment, model), *extra])
        return cls(
            work=decode_row(rows.get(work), WorkRecord) or WorkRecord(),
            work_version=row_version(rows, work),
            delivery=decode_row(rows.get(delivery), DeliveryRecord) or DeliveryRecord(),
            delivery_version=row_version(rows, delivery),
            grades=decode_row(rows.get(grades), GradeLogRecord) or GradeLogRecord(),
            grades_version=row_version(rows, grades),
            rows=rows,
        )


def decode_row(row: Row | None, kind: type[R]) -> R | None:
    """Decode the value of a row as *kind*; return None if the row is absent."""
    return msgspec.json.decode(row.value, type=kind) if row is not None else None


def row_version(rows: Mapping[str, Row], key: str) -> int:
    """Return the version of a row, or 0 if it is absent."""
    return rows[key].version if key in rows else 0


def conditional(key: str, record: msgspec.Struct, expect_version: int) -> Write:
    """Create a write that fails unless the row still has *expect_version*."""
    return Write(key=key, value=msgspec.json.encode(record), expect_version=expect_version)


async def commit_rows(table: TableStore, *writes: Write) -> None:
    """Commit the writes in one transaction with a new operation id."""
    await table.commit(Transaction(operation_id=new_id("op"), writes=writes))
