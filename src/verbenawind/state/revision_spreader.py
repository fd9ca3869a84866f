"""Exchange of revisions between daemons, and of which revisions each daemon has in force."""

import zlib
from collections.abc import Callable, Sequence
from datetime import datetime

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, document_digest
from verbenawind.kernel.ports import PeerBus, SpreadItem

__all__ = ["HELD_CALL", "RevisionHeld", "RevisionSpreader"]

HELD_CALL = "revisions-held"
_REVISION_KIND = "revision"
_HELD_KIND = "revision-held"
_HELD_EXPIRY_S = 900.0
_HELD_REFRESH_S = 300.0
_MAX_DAEMONS_LISTED = 32


class RevisionHeld(msgspec.Struct, frozen=True, kw_only=True):
    """A revision that a daemon has in force, and since when."""

    environment: str
    stage: str
    revision: int
    digest: str
    since: datetime


class RevisionSpreader:
    """Spreads revisions to peers and applies those received from them.

    In a small cluster every daemon also spreads which revisions it has in force. In a larger one
    they are collected by calling each daemon, which costs nothing until an operator asks.

    Args:
        peers: The peer bus.
        clock: Time source.
        apply_revision: Puts a revision into force unless it or a newer one is known.
        current_revisions: Returns the revisions in force.
    """

    __slots__ = (
        "_apply_revision",
        "_clock",
        "_current_revisions",
        "_held",
        "_log",
        "_peers",
        "_published_at_s",
    )

    def __init__(
        self,
        peers: PeerBus,
        clock: Clock,
        apply_revision: Callable[[EnvironmentRevision, str], bool],
        current_revisions: Callable[[], Sequence[EnvironmentRevision]],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._apply_revision = apply_revision
        self._current_revisions = current_revisions
        self._held: dict[str, RevisionHeld] = {}
        self._published_at_s = 0.0
        self._log = structlog.get_logger("configuration")
        peers.on_item(_REVISION_KIND, self._on_revision)
        peers.on_call(HELD_CALL, self._on_held_call)

    def spread(self, revision: EnvironmentRevision) -> None:
        """Send peers a revision that has taken effect on this daemon."""
        self._held[revision.name] = RevisionHeld(
            environment=revision.environment,
            stage=str(revision.stage),
            revision=revision.revision,
            digest=revision.digest,
            since=self._clock.now(),
        )
        self._peers.spread(
            SpreadItem(
                kind=_REVISION_KIND,
                key=revision.name,
                rank=(revision.revision,),
                body=zlib.compress(msgspec.json.encode(revision)),
            )
        )
        self._publish(revision.name)

    def held(self) -> Sequence[RevisionHeld]:
        """Return the revisions in force on this daemon, with the time each took effect."""
        return tuple(self._held.values())

    def tick(self) -> None:
        """Publish this daemon's revisions again before the published items expire."""
        now_s = self._clock.monotonic_s()
        if now_s - self._published_at_s < _HELD_REFRESH_S:
            return
        self._published_at_s = now_s
        for name in self._held:
            self._publish(name)

    def _publish(self, name: str) -> None:
        if len(self._peers.peers()) >= _MAX_DAEMONS_LISTED:
            return
        held = self._held[name]
        self._peers.spread(
            SpreadItem(
                kind=_HELD_KIND,
                key=f"{self._peers.peer_id}:{name}",
                rank=(held.revision, int(held.since.timestamp() * 1000)),
                body=msgspec.json.encode(held),
                expires_at_s=self._clock.now().timestamp() + _HELD_EXPIRY_S,
            )
        )

    def _on_revision(self, item: SpreadItem) -> None:
        try:
            data = zlib.decompress(item.body)
            revision = msgspec.json.decode(data, type=EnvironmentRevision)
        except (zlib.error, msgspec.DecodeError) as error:
            self._log.error("revision_unreadable", key=item.key, reason=str(error))
            return
        if revision.digest != document_digest(revision.document):
            # A daemon of another release may know other fields; the table still has all of them.
            self._log.warning("revision_digest_differs", key=item.key, revision=revision.revision)
        self._apply_revision(revision, "a peer")

    async def _on_held_call(self, _: bytes) -> bytes:
        return msgspec.json.encode(self.held())
