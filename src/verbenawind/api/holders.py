"""Which daemon holds which revision, from gossip or, where that lacks it, by a peer call."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from verbenawind.api.services import ApiServices
from verbenawind.document import EnvironmentRevision
from verbenawind.errors import PeerUnreachable
from verbenawind.state.revision_spreader import HELD_CALL, RevisionHeld

__all__ = ["Holders", "find_holders"]

_REVISION_ITEM = "revision-held"
_TIMEOUT_S = 2.0
_MAX_PARALLEL_CALLS = 16


class Holders:
    """The revisions held by each daemon.

    Args:
        held: The revisions by daemon id.
        unreachable: The daemons that did not respond.
    """

    __slots__ = ("_held", "unreachable")

    def __init__(
        self, held: Mapping[str, Sequence[RevisionHeld]], unreachable: Sequence[str]
    ) -> None:
        self._held = held
        self.unreachable = unreachable

    def for_revision(self, revision: EnvironmentRevision) -> list[dict[str, Any]]:
        """Return the daemons with their revision of the environment and stage, sorted by id."""
        return [
            {"daemon_id": daemon_id, "revision": held.revision, "since": held.since}
            for daemon_id, revisions in sorted(self._held.items())
            for held in revisions
            if (held.environment, held.stage) == (revision.environment, str(revision.stage))
        ]


async def find_holders(services: ApiServices) -> Holders:
    """Return the revisions of all daemons; call those whose revisions are not in gossip."""
    held: dict[str, list[RevisionHeld]] = {}
    for item in services.peers.items(_REVISION_ITEM):
        daemon_id = item.key.rpartition(":")[0]
        held.setdefault(daemon_id, []).append(msgspec.json.decode(item.body, type=RevisionHeld))
    unlisted = [peer.peer_id for peer in services.peers.peers() if peer.peer_id not in held]
    permits = asyncio.Semaphore(_MAX_PARALLEL_CALLS)
    responses = await asyncio.gather(
        *(_query_peer(services, peer_id, permits) for peer_id in unlisted)
    )
    unreachable = []
    for peer_id, response in zip(unlisted, responses, strict=True):
        if response is None:
            unreachable.append(peer_id)
        else:
            held[peer_id] = response
    held[services.settings.daemon_id] = list(services.configuration.held())
    return Holders(held, unreachable)


async def _query_peer(
    services: ApiServices, peer_id: str, permits: asyncio.Semaphore
) -> list[RevisionHeld] | None:
    async with permits:
        try:
            response = await services.peers.call(peer_id, HELD_CALL, b"", _TIMEOUT_S)
            return msgspec.json.decode(response, type=list[RevisionHeld])
        except (PeerUnreachable, msgspec.DecodeError):
            return None
