"""In-memory table service, object store, host list and weight store with fault injection."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import TypeVar

from sortedcontainers import SortedDict

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, StoreUnavailable
from verbenawind.kernel.messages import HostEntry, HostState, WeightManifest
from verbenawind.kernel.ports import Row, Transaction, Write

__all__ = [
    "StandinHostList",
    "StandinObjects",
    "StandinTable",
    "StandinWeights",
    "StoreFaults",
]

T = TypeVar("T")


class StoreFaults:
    """Faults to inject into a store.

    ``down`` rejects every call; ``lose_answer_rate`` is the fraction of calls whose response is
    lost after they have taken effect; ``lose_next_answers`` is the number of next calls to which
    the same happens; ``delay_s`` delays every call.
    """

    __slots__ = ("delay_s", "down", "lose_answer_rate", "lose_next_answers")

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answer_rate = 0.0
        self.lose_next_answers = 0


class _Store:
    """Base class of the table and the object store, with their faults and counters."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self.faults = StoreFaults()
        self.reads = 0
        self.writes = 0
        self.written_bytes = 0
        self._clock = clock
        self._rng = rng

    async def _run_with_faults(self, what: str, effect: Callable[[], Awaitable[T]]) -> T:
        await asyncio.sleep(0)
        if self.faults.down:
            raise StoreUnavailable(f"{what}: store is down", effect_possible=False)
        if self.faults.delay_s:
            await self._clock.sleep(self.faults.delay_s)
        result = await effect()
        if self.faults.lose_next_answers > 0:
            self.faults.lose_next_answers -= 1
            raise StoreUnavailable(f"{what}: response lost", effect_possible=True)
        if self._rng.random() < self.faults.lose_answer_rate:
            raise StoreUnavailable(f"{what}: response lost", effect_possible=True)
        return result


class StandinTable(_Store):
    """An in-memory table service; implements the TableStore port."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        super().__init__(clock, rng)
        self.rows: SortedDict = SortedDict()
        self.transactions = 0

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist among *keys*."""

        async def effect() -> Mapping[str, Row]:
            self.reads += 1
            return {key: self.rows[key] for key in keys if key in self.rows}

        return await self._run_with_faults("read", effect)

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows whose keys start with *prefix* and sort after *after*."""

        async def effect() -> Sequence[Row]:
            self.reads += 1
            rows: list[Row] = []
            for key in self.rows.irange(max(prefix, after)):
                if not key.startswith(prefix) or len(rows) >= limit:
                    break
                if key > after:
                    rows.append(self.rows[key])
            return rows

        return await self._run_with_faults("scan", effect)

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction atomically."""

        async def effect() -> None:
            failed = [write.key for write in transaction.writes if not self._check_passes(write)]
            if failed:
                raise ConditionFailed(failed)
            self.transactions += 1
            for write in transaction.writes:
                self._apply(write, transaction.operation_id)

        await self._run_with_faults("commit", effect)

    def _check_passes(self, write: Write) -> bool:
        if write.expect_version is None:
            return True
        row = self.rows.get(write.key)
        return (row.version if row else 0) == write.expect_version

    def _apply(self, write: Write, operation_id: str) -> None:
        if write.check_only:
            return
        self.writes += 1
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        row = self.rows.get(write.key)
        self.written_bytes += len(write.value)
        self.rows[write.key] = Row(
            key=write.key,
            value=write.value,
            version=(row.version if row else 0) + 1,
            operation_id=operation_id,
        )


class StandinObjects(_Store):
    """An in-memory object store; implements the ObjectStore port."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        super().__init__(clock, rng)
        self.objects: dict[str, bytes] = {}

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*."""

        async def effect() -> None:
            self.writes += 1
            self.written_bytes += len(data)
            self.objects[key] = data

        await self._run_with_faults("put", effect)

    async def get(self, key: str) -> bytes | None:
        """Return the object, or None if there is none."""

        async def effect() -> bytes | None:
            self.reads += 1
            return self.objects.get(key)

        return await self._run_with_faults("get", effect)

    async def delete(self, key: str) -> None:
        """Remove an object."""

        async def effect() -> None:
            self.writes += 1
            self.objects.pop(key, None)

        await self._run_with_faults("delete", effect)


class StandinHostList:
    """A host list that shows changes with a delay of ``lag_s``; implements the HostList port."""

    def __init__(self, clock: Clock, lag_s: float = 5.0) -> None:
        self.lag_s = lag_s
        self.down = False
        self._clock = clock
        self._changes: list[tuple[float, str, HostEntry | None]] = []

    def add(self, entry: HostEntry, *, at_once: bool = False) -> None:
        """Add or replace a host; with *at_once* the change is visible immediately."""
        at_s = self._clock.monotonic_s() - (self.lag_s if at_once else 0.0)
        self._changes.append((at_s, entry.host_id, entry))

    def remove(self, host_id: str) -> None:
        """Remove a host."""
        self._changes.append((self._clock.monotonic_s(), host_id, None))

    def mark_leaving(self, host_id: str) -> None:
        """Change a host's state to leaving."""
        entry = self._newest(host_id)
        if entry is not None:
            leaving = HostEntry(
                host_id=entry.host_id,
                role=entry.role,
                group=entry.group,
                address=entry.address,
                location=entry.location,
                incarnation=entry.incarnation,
                state=HostState.LEAVING,
            )
            self.add(leaving)

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the list as it was ``lag_s`` seconds ago."""
        if self.down:
            raise StoreUnavailable("hosts: host list is down", effect_possible=False)
        visible_until_s = self._clock.monotonic_s() - self.lag_s
        hosts: dict[str, HostEntry] = {}
        for at_s, host_id, entry in self._changes:
            if at_s > visible_until_s:
                continue
            hosts.pop(host_id, None)
            if entry is not None:
                hosts[host_id] = entry
        return tuple(hosts.values())

    def _newest(self, host_id: str) -> HostEntry | None:
        for _, changed_id, entry in reversed(self._changes):
            if changed_id == host_id:
                return entry
        return None


class StandinWeights:
    """An in-memory weight store that holds only manifests; implements the WeightStore port."""

    def __init__(self) -> None:
        self._manifests: dict[tuple[str, int], WeightManifest] = {}

    def put(self, model: str, version: int, size_bytes: int = 1 << 20) -> WeightManifest:
        """Add a version and return its manifest."""
        manifest = WeightManifest(
            model=model, version=version, size_bytes=size_bytes, uri=f"weights://{model}/{version}"
        )
        self._manifests[(model, version)] = manifest
        return manifest

    async def manifest(self, model: str, version: int) -> WeightManifest | None:
        """Return the manifest of a version, or None if there is no such version."""
        return self._manifests.get((model, version))
