"""Published weight versions, stored in the table and gossiped to the other daemons."""

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

__all__ = ["VERSION_ITEM_KIND", "VersionRegistry"]

VERSION_ITEM_KIND = "version"
_MAX_ATTEMPTS = 8
_HISTORY_LENGTH = 64


class VersionRegistry:
    """Tracks the newest known version of each model; an older one never replaces it.

    Args:
        table: Client of the table service.
        peers: Exchanges publications with the other daemons.
        clock: Source of the wall-clock time of publications.
    """

    __slots__ = ("_clock", "_known", "_peers", "_table")

    def __init__(self, table: TableStore, peers: PeerBus, clock: Clock) -> None:
        self._table = table
        self._peers = peers
        self._clock = clock
        self._known: dict[str, VersionRecord] = {}
        peers.on_item(VERSION_ITEM_KIND, self._handle_item)

    def update(self, environment: str, record: VersionRecord) -> None:
        """Record a publication unless the same or a newer version is known."""
        key = f"{environment}/{record.model}"
        known = self._known.get(key)
        if known is None or known.version < record.version:
            self._known[key] = record

    def update_from_rows(self, environment: str, model: str, rows: Mapping[str, Row]) -> None:
        """Record the publication in the version row of a model, if *rows* contains that row."""
        row = rows.get(version_key(environment, model))
        if row is not None:
            self.update(environment, msgspec.json.decode(row.value, type=VersionRecord))

    def bound(self, environment: str, model: ModelSpec, declared: int = 0) -> StalenessBound:
        """Return the current staleness bound of a model.

        Args:
            environment: The environment and stage as ``name/stage``.
            model: The model.
            declared: The newest version that the trainer has declared.
        """
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
        """Store a new version, then announce it to the other daemons.

        A version that is not newer than the stored one changes nothing; the stored one is
        announced and returned.
        """
        key = version_key(revision.name, model.name)
        for _ in range(_MAX_ATTEMPTS):
            row = (await self._table.read([key])).get(key)
            known = msgspec.json.decode(row.value, type=VersionRecord) if row else None
            if known is not None and known.version >= version.version:
                self._announce(revision.name, known)
                return VersionAccepted(model=model.name, version=known.version)
            record = self._next_record(model, version, known)
            write = Write(
                key=key,
                value=msgspec.json.encode(record),
                expect_version=row.version if row else 0,
            )
            try:
                await self._table.commit(Transaction(operation_id=new_id("op"), writes=(write,)))
            except ConditionFailed:
                continue
            self._announce(revision.name, record)
            return VersionAccepted(model=model.name, version=version.version)
        raise ConditionFailed([key])

    def _next_record(
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

    def _announce(self, environment: str, record: VersionRecord) -> None:
        self.update(environment, record)
        item = SpreadItem(
            kind=VERSION_ITEM_KIND,
            key=f"{environment}/{record.model}",
            rank=(record.version,),
            body=msgspec.json.encode(record),
        )
        self._peers.spread(item)

    def _handle_item(self, item: SpreadItem) -> None:
        environment = item.key.rpartition("/")[0]
        self.update(environment, msgspec.json.decode(item.body, type=VersionRecord))
