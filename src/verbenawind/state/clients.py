"""Clients of the platform's stores that resolve lost answers by reading back."""

import asyncio
from collections.abc import Mapping, Sequence
from random import Random

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, StoreUnavailable
from verbenawind.kernel.ports import ObjectStore, Row, TableStore, Transaction

__all__ = ["ObjectClient", "TableClient"]

_DEADLINE_S = 2.0
_ATTEMPTS = 4
_BACKOFF_S = 0.05


class TableClient:
    """The table service with deadlines and retries; implements the TableStore port.

    Args:
        store: The adapter of the table service.
        clock: Time source.
        rng: Jitter of the retries.
    """

    __slots__ = ("_clock", "_rng", "_store")

    def __init__(self, store: TableStore, clock: Clock, rng: Random) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist among *keys*."""
        for attempt in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_DEADLINE_S):
                    return await self._store.read(keys)
            except (StoreUnavailable, TimeoutError):
                await self._back_off(attempt)
        raise StoreUnavailable(f"read of {len(keys)} rows failed", effect_possible=False)

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows below *prefix* that sort after *after*."""
        for attempt in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_DEADLINE_S):
                    return await self._store.scan(prefix, after=after, limit=limit)
            except (StoreUnavailable, TimeoutError):
                await self._back_off(attempt)
        raise StoreUnavailable(f"scan of {prefix!r} failed", effect_possible=False)

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction; an answer that was lost is resolved by the operation id.

        Raises:
            ConditionFailed: The transaction did not take effect.
            StoreUnavailable: No answer; ``effect_possible`` says whether it may have taken effect.
        """
        uncertain = False
        for attempt in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_DEADLINE_S):
                    await self._store.commit(transaction)
                return
            except ConditionFailed:
                if uncertain and await self._took_effect(transaction):
                    return
                raise
            except StoreUnavailable as error:
                uncertain = uncertain or error.effect_possible
            except TimeoutError:
                uncertain = True
            await self._back_off(attempt)
        raise StoreUnavailable(
            f"commit {transaction.operation_id} got no answer", effect_possible=uncertain
        )

    async def _took_effect(self, transaction: Transaction) -> bool:
        keys = [write.key for write in transaction.writes if write.value is not None]
        try:
            rows = await self.read(keys)
        except StoreUnavailable as error:
            raise StoreUnavailable(
                f"commit {transaction.operation_id} could not be looked up", effect_possible=True
            ) from error
        return any(row.operation_id == transaction.operation_id for row in rows.values())

    async def _back_off(self, attempt: int) -> None:
        await self._clock.sleep(self._rng.uniform(0.0, _BACKOFF_S * 2**attempt))


class ObjectClient:
    """The object store with deadlines and retries; implements the ObjectStore port.

    Args:
        store: The adapter of the object store.
        clock: Time source.
        rng: Jitter of the retries.
    """

    __slots__ = ("_clock", "_rng", "_store")

    def __init__(self, store: ObjectStore, clock: Clock, rng: Random) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*."""
        for attempt in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_DEADLINE_S):
                    return await self._store.put(key, data)
            except (StoreUnavailable, TimeoutError):
                await self._back_off(attempt)
        raise StoreUnavailable(f"put of {key!r} failed", effect_possible=True)

    async def get(self, key: str) -> bytes | None:
        """Return the object, None when absent."""
        for attempt in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_DEADLINE_S):
                    return await self._store.get(key)
            except (StoreUnavailable, TimeoutError):
                await self._back_off(attempt)
        raise StoreUnavailable(f"get of {key!r} failed", effect_possible=False)

    async def delete(self, key: str) -> None:
        """Remove an object."""
        for attempt in range(_ATTEMPTS):
            try:
                async with asyncio.timeout(_DEADLINE_S):
                    return await self._store.delete(key)
            except (StoreUnavailable, TimeoutError):
                await self._back_off(attempt)
        raise StoreUnavailable(f"delete of {key!r} failed", effect_possible=True)

    async def _back_off(self, attempt: int) -> None:
        await self._clock.sleep(self._rng.uniform(0.0, _BACKOFF_S * 2**attempt))
