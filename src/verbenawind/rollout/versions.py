"""Published weight versions: recorded in the table, spread to the other daemons."""

from collections.abc import Mapping

import msgspec

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec
from verbenawind.errors import ConditionFailed
from verbenawind.ids import new_id
from verbenawind.kernel.ports import PeerBus, Row, SpreadItem, TableStore, Transaction, Write
from verbenawind.kernel.rollouts import PublishedVersion, VersionAccepted
from verbenawind.rollout.records import VersionRecord, VersionTime, version_key
from verbenawind.rollout.staleness import StalenessBound

__all__ = ["VERSION_ITEM_KIND", "VersionBook"]

VERSION_ITEM_KIND = "version"
_ATTEMPTS = 8
_HISTORY_LENGTH = 64


class VersionBook:
    """Knows the newest version of each model; what it knows never goes back.

    Args:
        table: The table service's client.
        peers: Spreads publications.
        clock: Wall-clock time of publications.
    """

    __slots__ = ("_clock", "_known", "_peers", "_table")

    def __init__(self, table: TableStore, peers: PeerBus, clock: Clock) -> None:
        self._table = table
        self._peers = peers
        self._clock = clock
        self._known: dict[str, VersionRecord] = {}
        peers.on_item(VERSION_ITEM_KIND, self._take_item)

    def learn(self, environment: str, record: VersionRecord) -> None:
        """Take in a publication unless a newer one is known."""
        key = f"{environment}/{record.model}"
        known = self._known.get(key)
        if known is None or known.version < record.version:
            self._known[key] = record

    def learn_rows(self, environment: str, model: str, rows: Mapping[str, Row]) -> None:
        """Take in the model's version row, if it is among *rows*."""
        row = rows.get(version_key(environment, model))
        if row is not None:
            self.learn(environment, msgspec.json.decode(row.value, type=VersionRecord))

    def bound(self, environment: str, model: ModelSpec, declared: int = 0) -> StalenessBound:
        """Return the staleness bound now; *declared* is the newest that the trainer names."""
        known = self._known.get(f"{environment}/{model.name}")
        published = known.version if known else model.initial_version
        return StalenessBound(
            spec=model.staleness,
            newest_version=max(declared, published),
            history=known.history if known else (),
            now_s=self._clock.now().timestamp(),
        )

    async def publish(
        self, revision: EnvironmentRevision, model: ModelSpec, version: PublishedVersion
    ) -> VersionAccepted:
        """Record a new version durably, then spread it; an older one changes nothing."""
        key = version_key(revision.name, model.name)
        for _ in range(_ATTEMPTS):
            row = (await self._table.read([key])).get(key)
            known = msgspec.json.decode(row.value, type=VersionRecord) if row else None
            if known is not None and known.version >= version.version:
                self._share(revision.name, known)
                return VersionAccepted(model=model.name, version=known.version)
            record = self._next(model, version, known)
            write = Write(
                key=key,
                value=msgspec.json.encode(record),
                expect_version=row.version if row else 0,
            )
            try:
                await self._table.commit(Transaction(operation_id=new_id("op"), writes=(write,)))
            except ConditionFailed:
                continue
            self._share(revision.name, record)
            return VersionAccepted(model=model.name, version=version.version)
        raise ConditionFailed([key])

    def _next(
        self, model: ModelSpec, version: PublishedVersion, known: VersionRecord | None
    ) -> VersionRecord:
        published = VersionTime(
            version=version.version, published_at_s=self._clock.now().timestamp()
        )
        history = (*(known.history if known else ()), published)
        return VersionRecord(
            model=model.name,
            version=version.version,
            weights_uri=version.weights_uri,
            history=history[-_HISTORY_LENGTH:],
        )

    def _share(self, environment: str, record: VersionRecord) -> None:
        self.learn(environment, record)
        item = SpreadItem(
            kind=VERSION_ITEM_KIND,
            key=f"{environment}/{record.model}",
            rank=(record.version,),
            body=msgspec.json.encode(record),
        )
        self._peers.spread(item)

    def _take_item(self, item: SpreadItem) -> None:
        environment = item.key.rpartition("/")[0]
        self.learn(environment, msgspec.json.decode(item.body, type=VersionRecord))
