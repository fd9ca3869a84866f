"""Environment revisions, accepted by one conditional write; older ones never replace newer."""

from collections.abc import Callable, Sequence
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.document import (
    EnvironmentDocument,
    EnvironmentRevision,
    Stage,
    diff_documents,
    document_digest,
)
from verbenawind.errors import (
    ConditionFailed,
    RevisionConflict,
    StoreUnavailable,
    UnknownEnvironment,
)
from verbenawind.ids import new_id
from verbenawind.kernel.ports import PeerBus, Row, TableStore, Transaction, Write
from verbenawind.state.revision_spreader import RevisionHeld, RevisionSpreader

__all__ = ["ConfigurationStore"]

_PREFIX = "config/"
_SCAN_LIMIT = 1000
_INITIAL_PERIOD_S = 2.0
_MIN_PERIOD_S = 5.0
_PERIOD_PER_DAEMON_S = 0.5


class ConfigurationStore:
    """Keeps the newest known revisions and accepts new ones; implements Configuration.

    Args:
        table: The table service's client.
        clock: Time source.
        rng: Random source for poll jitter.
        peers: The peer bus over which daemons exchange revisions.
    """

    __slots__ = (
        "_clock",
        "_current",
        "_informed",
        "_listeners",
        "_log",
        "_peers",
        "_rng",
        "_spreader",
        "_table",
    )

    def __init__(self, table: TableStore, clock: Clock, *, rng: Random, peers: PeerBus) -> None:
        self._table = table
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._current: dict[tuple[str, str], EnvironmentRevision] = {}
        self._informed = False
        self._listeners: list[Callable[[EnvironmentRevision], None]] = []
        self._spreader = RevisionSpreader(peers, clock, self.apply_revision, self.environments)
        self._log = structlog.get_logger("configuration")

    @property
    def informed(self) -> bool:
        """Whether the revisions in force have been received from the table or a peer."""
        return self._informed

    def current(self, environment: str, stage: str) -> EnvironmentRevision | None:
        """Return the revision in force, or None if none is known."""
        return self._current.get((environment, stage))

    def environments(self) -> Sequence[EnvironmentRevision]:
        """Return every revision in force."""
        return tuple(self._current.values())

    def subscribe(self, listener: Callable[[EnvironmentRevision], None]) -> None:
        """Call *listener* with each revision that takes effect."""
        self._listeners.append(listener)

    def held(self) -> Sequence[RevisionHeld]:
        """Return the revisions in force on this daemon, with the time each took effect."""
        return self._spreader.held()

    def apply_revision(self, revision: EnvironmentRevision, source: str = "table") -> bool:
        """Put a revision into force unless it or a newer one is known; return whether it is new."""
        key = (revision.environment, str(revision.stage))
        self._informed = True
        previous = self._current.get(key)
        if previous is not None and previous.revision >= revision.revision:
            return False
        self._current[key] = revision
        self._log.info(
            "revision_in_force",
            environment=revision.name,
            revision=revision.revision,
            digest=revision.digest,
            reason=f"learned from {source}",
        )
        for listener in self._listeners:
            listener(revision)
        self._spreader.spread(revision)
        return True

    async def refresh(self) -> None:
        """Read the revisions in force from the table.

        Raises:
            StoreUnavailable: The table did not respond.
        """
        prefix, after = f"{_PREFIX}head/", ""
        while True:
            rows = await self._table.scan(prefix, after=after, limit=_SCAN_LIMIT)
            for row in rows:
                self.apply_revision(_decode_revision(row))
            if len(rows) < _SCAN_LIMIT:
                break
            after = rows[-1].key
        self._informed = True

    async def run(self) -> None:
        """Poll the table until cancelled; the period grows with the number of daemons."""
        while True:
            await self._clock.sleep(self._poll_period_s() * self._rng.uniform(0.75, 1.25))
            self._spreader.tick()
            try:
                await self.refresh()
            except StoreUnavailable as error:
                self._log.warning("configuration_unavailable", reason=error.message)

    async def accept(
        self,
        document: EnvironmentDocument,
        stage: Stage,
        *,
        expect_revision: int | None = None,
        author: str = "",
    ) -> EnvironmentRevision:
        """Make *document* the next revision of a stage.

        Repeating a call that was accepted but whose response was lost returns the accepted
        revision.

        Raises:
            RevisionConflict: The revision in force is not *expect_revision*.
            StoreUnavailable: The table did not respond; ``effect_possible`` tells whether the
                document may have been accepted nonetheless.
        """
        head = await self._head(document.environment, stage)
        current = _decode_revision(head) if head else None
        number = current.revision if current else 0
        digest = document_digest(document)
        if expect_revision is not None and expect_revision != number:
            if current and expect_revision == number - 1 and current.digest == digest:
                self.apply_revision(current)
                return current
            raise self._conflict(document, stage, current)
        revision = EnvironmentRevision(
            environment=document.environment,
            stage=stage,
            revision=number + 1,
            digest=digest,
            document=document,
            accepted_at=self._clock.now(),
            author=author,
        )
        try:
            await self._commit(revision, head)
        except ConditionFailed as error:
            raise await self._conflict_after_race(document, stage, number + 1) from error
        self.apply_revision(revision, "the operator")
        return revision

    async def history(self, environment: str, stage: Stage) -> Sequence[EnvironmentRevision]:
        """Return all accepted revisions of a stage, oldest first."""
        prefix, after = f"{_PREFIX}history/{environment}/{stage}/", ""
        revisions: list[EnvironmentRevision] = []
        while True:
            rows = await self._table.scan(prefix, after=after, limit=_SCAN_LIMIT)
            revisions += [_decode_revision(row) for row in rows]
            if len(rows) < _SCAN_LIMIT:
                return revisions
            after = rows[-1].key

    async def revision(self, environment: str, stage: Stage, number: int) -> EnvironmentRevision:
        """Return one accepted revision.

        Raises:
            UnknownEnvironment: The revision does not exist.
        """
        key = _history_key(environment, stage, number)
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise UnknownEnvironment(f"{environment}/{stage} has no revision {number}")
        return _decode_revision(row)

    async def _head(self, environment: str, stage: Stage) -> Row | None:
        key = _head_key(environment, stage)
        return (await self._table.read([key])).get(key)

    async def _commit(self, revision: EnvironmentRevision, head: Row | None) -> None:
        """Write the head and history rows.

        The history row is written only once, so it resolves a lost response.
        """
        value = msgspec.json.encode(revision)
        environment, stage = revision.environment, revision.stage
        writes = (
            Write(
                key=_head_key(environment, stage),
                value=value,
                expect_version=head.version if head else 0,
            ),
            Write(
                key=_history_key(environment, stage, revision.revision),
                value=value,
                expect_version=0,
            ),
        )
        await self._table.commit(Transaction(operation_id=new_id("op"), writes=writes))

    async def _conflict_after_race(
        self, document: EnvironmentDocument, stage: Stage, number: int
    ) -> RevisionConflict:
        try:
            head = await self._head(document.environment, stage)
        except StoreUnavailable:
            return RevisionConflict(
                f"{document.environment}/{stage}: revision {number} was accepted from another "
                "operator first",
                current_revision=number,
            )
        return self._conflict(document, stage, _decode_revision(head) if head else None)

    def _conflict(
        self, document: EnvironmentDocument, stage: Stage, current: EnvironmentRevision | None
    ) -> RevisionConflict:
        if current is not None:
            self.apply_revision(current)
        number = current.revision if current else 0
        author = f" by {current.author!r}" if current and current.author else ""
        changes = diff_documents(current.document if current else None, document)
        return RevisionConflict(
            f"{document.environment}/{stage} is at revision {number}{author}",
            current_revision=number,
            difference="\n".join(str(change) for change in changes),
        )

    def _poll_period_s(self) -> float:
        if not self._informed:
            return _INITIAL_PERIOD_S
        return max(_MIN_PERIOD_S, _PERIOD_PER_DAEMON_S * (len(self._peers.peers()) + 1))


def _head_key(environment: str, stage: Stage) -> str:
    return f"{_PREFIX}head/{environment}/{stage}"


def _history_key(environment: str, stage: Stage, number: int) -> str:
    return f"{_PREFIX}history/{environment}/{stage}/{number:010}"


def _decode_revision(row: Row) -> EnvironmentRevision:
    return msgspec.json.decode(row.value, type=EnvironmentRevision)
