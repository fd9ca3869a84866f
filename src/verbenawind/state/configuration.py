"""Environment revisions: accepted by one conditional write, never going back."""

from collections.abc import Callable, Sequence

import msgspec

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentDocument, EnvironmentRevision, Stage, document_digest
from verbenawind.errors import ConditionFailed, RevisionConflict, UnknownEnvironment
from verbenawind.ids import new_id
from verbenawind.kernel.ports import Row, TableStore, Transaction, Write

__all__ = ["ConfigurationStore"]

_PREFIX = "config/"


class ConfigurationStore:
    """Holds the newest known revisions and accepts new ones; implements Configuration.

    Args:
        table: The table service's client.
        clock: Time source.
    """

    __slots__ = ("_clock", "_current", "_listeners", "_table")

    def __init__(self, table: TableStore, clock: Clock) -> None:
        self._table = table
        self._clock = clock
        self._current: dict[tuple[str, str], EnvironmentRevision] = {}
        self._listeners: list[Callable[[EnvironmentRevision], None]] = []

    def current(self, environment: str, stage: str) -> EnvironmentRevision | None:
        """Return the revision in force, None when none is known."""
        return self._current.get((environment, stage))

    def environments(self) -> Sequence[EnvironmentRevision]:
        """Return every revision in force."""
        return tuple(self._current.values())

    def subscribe(self, listener: Callable[[EnvironmentRevision], None]) -> None:
        """Call *listener* with each revision that comes into force."""
        self._listeners.append(listener)

    def learn(self, revision: EnvironmentRevision) -> bool:
        """Put a revision into force unless a newer one is known; return whether it was new."""
        key = (revision.environment, str(revision.stage))
        known = self._current.get(key)
        if known is not None and known.revision >= revision.revision:
            return False
        self._current[key] = revision
        for listener in self._listeners:
            listener(revision)
        return True

    async def refresh(self) -> None:
        """Take in what the table holds; raises StoreUnavailable."""
        for row in await self._table.scan(f"{_PREFIX}head/"):
            self.learn(_decode(row))

    async def accept(
        self,
        document: EnvironmentDocument,
        stage: Stage,
        *,
        expect_revision: int | None = None,
        author: str = "",
    ) -> EnvironmentRevision:
        """Make *document* the next revision of a stage.

        Raises:
            RevisionConflict: Another revision than *expect_revision* is in force.
            StoreUnavailable: The table gave no answer.
        """
        head_key = f"{_PREFIX}head/{document.environment}/{stage}"
        head = (await self._table.read([head_key])).get(head_key)
        current = _decode(head) if head else None
        number = current.revision if current else 0
        if expect_revision is not None and expect_revision != number:
            raise self._conflict(document.environment, stage, number)
        revision = EnvironmentRevision(
            environment=document.environment,
            stage=stage,
            revision=number + 1,
            digest=document_digest(document),
            document=document,
            accepted_at=self._clock.now(),
            author=author,
        )
        value = msgspec.json.encode(revision)
        history_key = f"{_PREFIX}history/{document.environment}/{stage}/{number + 1:010}"
        writes = (
            Write(key=head_key, value=value, expect_version=head.version if head else 0),
            Write(key=history_key, value=value, expect_version=0),
        )
        try:
            await self._table.commit(Transaction(operation_id=new_id("op"), writes=writes))
        except ConditionFailed as error:
            raise self._conflict(document.environment, stage, number + 1) from error
        self.learn(revision)
        return revision

    async def history(self, environment: str, stage: Stage) -> Sequence[EnvironmentRevision]:
        """Return every accepted revision of a stage, oldest first."""
        rows = await self._table.scan(f"{_PREFIX}history/{environment}/{stage}/")
        return [_decode(row) for row in rows]

    async def revision(self, environment: str, stage: Stage, number: int) -> EnvironmentRevision:
        """Return one accepted revision.

        Raises:
            UnknownEnvironment: There is no such revision.
        """
        key = f"{_PREFIX}history/{environment}/{stage}/{number:010}"
        row = (await self._table.read([key])).get(key)
        if row is None:
            raise UnknownEnvironment(f"{environment}/{stage} has no revision {number}")
        return _decode(row)

    @staticmethod
    def _conflict(environment: str, stage: Stage, number: int) -> RevisionConflict:
        return RevisionConflict(
            f"{environment}/{stage} is at revision {number}", current_revision=number
        )


def _decode(row: Row) -> EnvironmentRevision:
    return msgspec.json.decode(row.value, type=EnvironmentRevision)
