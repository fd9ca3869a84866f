"""Clients of the platform's stores that resolve lost answers by reading back."""

from collections.abc import Mapping, Sequence
from enum import Enum
from random import Random

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, StoreUnavailable
from verbenawind.kernel.ports import ObjectStore, Row, TableStore, Transaction, Write
from verbenawind.state.gate import RejectedAfterLostReply, StoreCallRunner

__all__ = ["Effect", "ObjectClient", "TableClient", "infer_effect"]


class Effect(Enum):
    """What the rows tell of an earlier attempt of a transaction."""

    APPLIED = "taken"
    NOT_APPLIED = "not_taken"
    UNKNOWN = "unknown"


def infer_effect(transaction: Transaction, rows: Mapping[str, Row]) -> Effect:
    """Judge by the rows, read after a refusal, whether an attempt had taken effect.

    A transaction takes effect whole, so one row can settle it. Row versions rise by one with each
    write, so a row at the version that the write expected was never written by it, and a row
    one above was written by whoever it names. Higher versions hide who wrote before. Rows must
    not be deleted and written anew while a transaction on them is being resolved.
    """
    effects = [_row_effect(transaction, write, rows.get(write.key)) for write in transaction.writes]
    if Effect.APPLIED in effects:
        return Effect.APPLIED
    if Effect.NOT_APPLIED in effects:
        return Effect.NOT_APPLIED
    return Effect.UNKNOWN


def _row_effect(transaction: Transaction, write: Write, row: Row | None) -> Effect:
    if row is not None and row.operation_id == transaction.operation_id:
        return Effect.APPLIED
    if write.check_only or write.expect_version is None:
        return Effect.UNKNOWN
    version = row.version if row else 0
    if version <= write.expect_version and (row is not None or write.value is not None):
        return Effect.NOT_APPLIED
    if version == write.expect_version + 1 and write.value is not None:
        return Effect.NOT_APPLIED
    return Effect.UNKNOWN


class TableClient:
    """The table service with deadlines and retries; implements the TableStore port.

    Args:
        store: The adapter of the table service.
        clock: Time source.
        rng: Jitter of the retries.
    """

    __slots__ = ("_calls", "_store")

    def __init__(self, store: TableStore, clock: Clock, rng: Random) -> None:
        self._store = store
        self._calls = StoreCallRunner("table service", clock, rng)

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist among *keys*."""
        description = f"read of {len(keys)} rows from {keys[0]!r}" if keys else "read of no rows"
        return await self._calls.call(description, lambda: self._store.read(keys))

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows below *prefix* that sort after *after*."""
        return await self._calls.call(
            f"scan of {prefix!r}", lambda: self._store.scan(prefix, after=after, limit=limit)
        )

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; an answer that was lost is resolved by the operation id.

        A refusal by the table is final: the condition that failed will not hold again, so an
        earlier attempt that is still on its way fails too, and what took effect can be read.

        Raises:
            ConditionFailed: The transaction did not take effect and never will.
            StoreUnavailable: No answer, or one that cannot be resolved; ``effect_possible`` says
                whether it may have taken effect.
        """
        description = f"commit {transaction.operation_id}"
        try:
            await self._calls.call(
                description, lambda: self._store.commit(transaction), writes=True
            )
        except RejectedAfterLostReply as error:
            await self._resolve(transaction, error.rejection)

    async def _resolve(self, transaction: Transaction, rejection: ConditionFailed) -> None:
        description = f"commit {transaction.operation_id}"
        try:
            rows = await self.read([write.key for write in transaction.writes])
        except StoreUnavailable as error:
            raise StoreUnavailable(
                f"{description}: a lost answer could not be resolved: {error.message}",
                effect_possible=True,
            ) from error
        effect = infer_effect(transaction, rows)
        if effect is Effect.NOT_APPLIED:
            raise rejection
        if effect is Effect.UNKNOWN:
            raise StoreUnavailable(
                f"{description}: an answer was lost and later writes hide its effect",
                effect_possible=True,
            )


class ObjectClient:
    """The object store with deadlines and retries; implements the ObjectStore port.

    Args:
        store: The adapter of the object store.
        clock: Time source.
        rng: Jitter of the retries.
    """

    __slots__ = ("_calls", "_store")

    def __init__(self, store: ObjectStore, clock: Clock, rng: Random) -> None:
        self._store = store
        self._calls = StoreCallRunner("object store", clock, rng)

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*."""
        await self._calls.call(f"put of {key!r}", lambda: self._store.put(key, data), writes=True)

    async def get(self, key: str) -> bytes | None:
        """Return the object, None when absent."""
        return await self._calls.call(f"get of {key!r}", lambda: self._store.get(key))

    async def delete(self, key: str) -> None:
        """Remove an object."""
        await self._calls.call(f"delete of {key!r}", lambda: self._store.delete(key), writes=True)
