"""Clients of the platform's stores that resolve lost responses by reading back."""

from collections.abc import Mapping, Sequence
from enum import Enum
from random import Random

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, StoreUnavailable
from verbenawind.kernel.ports import ObjectStore, Row, TableStore, Transaction, Write
from verbenawind.state.store_call_runner import RejectedAfterLostReply, StoreCallRunner

__all__ = ["Effect", "ObjectClient", "TableClient", "infer_effect"]


class Effect(Enum):
    """Whether an earlier attempt of a transaction was applied, as far as its rows show."""

    APPLIED = "taken"
    NOT_APPLIED = "not_taken"
    UNKNOWN = "unknown"


def infer_effect(transaction: Transaction, rows: Mapping[str, Row]) -> Effect:
    """Infer from *rows*, read after a rejection, whether an earlier attempt was applied.

    Transactions are atomic, so a single row can decide. Each write raises a row's version by one: a
    row still at the expected version was not written by the transaction, and a row one version
    above was written by the operation that it names. At higher versions the earlier writer is
    unknown. Rows must not be deleted and recreated while a transaction on them is being resolved.
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
    """A table service client with deadlines and retries; implements the TableStore port.

    Args:
        store: The adapter of the table service.
        clock: Time source.
        rng: Random source for retry jitter.
    """

    __slots__ = ("_calls", "_store")

    def __init__(self, store: TableStore, clock: Clock, rng: Random) -> None:
        self._store = store
        self._calls = StoreCallRunner("table service", clock, rng)

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing rows among *keys*."""
        description = f"read of {len(keys)} rows from {keys[0]!r}" if keys else "read of no rows"
        return await self._calls.call(description, lambda: self._store.read(keys))

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return up to *limit* rows whose keys begin with *prefix* and sort after *after*."""
        return await self._calls.call(
            f"scan of {prefix!r}", lambda: self._store.scan(prefix, after=after, limit=limit)
        )

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; a lost response is resolved by the operation id.

        A rejection by the table is final: the failed condition cannot hold again, so an earlier
        attempt that is still in flight fails too, and reading the rows shows what was applied.

        Raises:
            ConditionFailed: The transaction was not applied and never will be.
            StoreUnavailable: No response, or a lost one that cannot be resolved;
                ``effect_possible`` tells whether the transaction may have been applied.
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
                f"{description}: a lost response could not be resolved: {error.message}",
                effect_possible=True,
            ) from error
        effect = infer_effect(transaction, rows)
        if effect is Effect.NOT_APPLIED:
            raise rejection
        if effect is Effect.UNKNOWN:
            raise StoreUnavailable(
                f"{description}: a response was lost and later writes hide whether it was applied",
                effect_possible=True,
            )


class ObjectClient:
    """An object store client with deadlines and retries; implements the ObjectStore port.

    Args:
        store: The adapter of the object store.
        clock: Time source.
        rng: Random source for retry jitter.
    """

    __slots__ = ("_calls", "_store")

    def __init__(self, store: ObjectStore, clock: Clock, rng: Random) -> None:
        self._store = store
        self._calls = StoreCallRunner("object store", clock, rng)

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*."""
        await self._calls.call(f"put of {key!r}", lambda: self._store.put(key, data), writes=True)

    async def get(self, key: str) -> bytes | None:
        """Return the object's data, or None if it does not exist."""
        return await self._calls.call(f"get of {key!r}", lambda: self._store.get(key))

    async def delete(self, key: str) -> None:
        """Delete the object under *key*."""
        await self._calls.call(f"delete of {key!r}", lambda: self._store.delete(key), writes=True)
