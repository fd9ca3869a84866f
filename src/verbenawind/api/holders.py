"""Which daemon holds which revision: from what peers spread, and else by asking them."""

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
    """The revisions that daemons hold.

    Args:
        held: Each daemon's revisions.
        unreachable: The daemons that gave no answer.
    """

    __slots__ = ("_held", "unreachable")

    def __init__(
        self, held: Mapping[str, Sequence[RevisionHeld]], unreachable: Sequence[str]
    ) -> None:
        self._held = held
        self.unreachable = unreachable

    def of(self, revision: EnvironmentRevision) -> list[dict[str, Any]]:
        """Return who holds which revision of the environment and stage, in order of name."""
        return [
            {"daemon_id": daemon_id, "revision": held.revision, "since": held.since}
            for daemon_id, revisions in sorted(self._held.items())
            for held in revisions
            if (held.environment, held.stage) == (revision.environment, str(revision.stage))
        ]


async def find_holders(services: ApiServices) -> Holders:
    """Return what all daemons hold; those that spread nothing of it are asked."""
    held: dict[str, list[RevisionHeld]] = {}
    for item in services.peers.items(_REVISION_ITEM):
        daemon_id = item.key.rpartition(":")[0]
        held.setdefault(daemon_id, []).append(msgspec.json.decode(item.body, type=RevisionHeld))
    silent = [peer.peer_id for peer in services.peers.peers() if peer.peer_id not in held]
    permits = asyncio.Semaphore(_MAX_PARALLEL_CALLS)
    answers = await asyncio.gather(*(_ask(services, peer_id, permits) for peer_id in silent))
    unreachable = []
    for peer_id, answer in zip(silent, answers, strict=True):
        if answer is None:
            unreachable.append(peer_id)
        else:
            held[peer_id] = answer
    held[services.settings.daemon_id] = list(services.configuration.held())
    return Holders(held, unreachable)


async def _ask(
    services: ApiServices, peer_id: str, permits: asyncio.Semaphore
) -> list[RevisionHeld] | None:
    async with permits:
        try:
            answer = await services.peers.call(peer_id, HELD_CALL, b"", _TIMEOUT_S)
            return msgspec.json.decode(answer, type=list[RevisionHeld])
        except (PeerUnreachable, msgspec.DecodeError):
            return None
