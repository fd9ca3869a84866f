"""The engines of one pool that this daemon uses: a bounded set, nearest first."""

from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import BackendKind
from verbenawind.kernel.ports import PeerBus
from verbenawind.kernel.rendezvous import top
from verbenawind.routing.prefixes import PrefixTable
from verbenawind.routing.server_choice import distance

__all__ = ["PoolMembers"]

_MAX_OWN_ZONE = 64
_MAX_FARTHER = 16
_USERS_PER_ENGINE = 4
_PREFERRED = 3


class PoolMembers:
    """Picks the engines that this daemon uses.

    Up to 64 engines of its own zone are all used by every daemon there. Beyond that, each engine
    is used by the four daemons of its zone that rendezvous hashing gives it, so that a daemon
    uses about four times engines over daemons. Of farther engines a daemon uses at most 16 a tier.

    Args:
        pool: The pool.
        fleet: The view of the backend servers.
        peers: The other daemons.
    """

    __slots__ = ("_daemons", "_fleet", "_known", "_peers", "_pool", "_tables", "_zone_daemons")

    def __init__(self, pool: str, fleet: Fleet, peers: PeerBus) -> None:
        self._pool = pool
        self._fleet = fleet
        self._peers = peers
        self._known: dict[int, tuple[tuple[str, ...], tuple[str, ...]]] = {}
        self._tables: dict[int, PrefixTable] = {}
        self._daemons = 1
        self._zone_daemons: tuple[str, ...] = (peers.peer_id,)

    def refresh(self) -> None:
        """Take in changes of the fleet and of the daemons."""
        zone = self._fleet.location.zone
        peers = self._peers.peers()
        self._daemons = len(peers) + 1
        near = [peer.peer_id for peer in peers if peer.location.zone == zone]
        self._zone_daemons = tuple(sorted([*near, self._peers.peer_id]))
        by_distance: dict[int, list[str]] = {}
        for view in self._fleet.group(BackendKind.ENGINE, self._pool):
            far = distance(view.server.location, self._fleet.location)
            by_distance.setdefault(far, []).append(view.server.server_id)
        for far in self._tables.keys() - by_distance.keys():
            del self._tables[far], self._known[far]
        for far, ids in by_distance.items():
            self._take(far, tuple(sorted(ids)))

    def distances(self) -> list[int]:
        """Return the distances at which there are engines, nearest first."""
        return sorted(self._tables)

    def table(self, far: int) -> PrefixTable:
        """Return the engines used at a distance."""
        return self._tables[far]

    def all_ids(self) -> set[str]:
        """Return every engine that this daemon uses."""
        return {server_id for table in self._tables.values() for server_id in table.members}

    def users(self, server_id: str, far: int) -> float:
        """Return how many daemons share an engine at a distance."""
        if far:
            return float(self._daemons)
        total = len(self._known[0][0]) if 0 in self._known else 0
        if total <= _MAX_OWN_ZONE:
            return float(len(self._zone_daemons))
        return float(min(_USERS_PER_ENGINE, len(self._zone_daemons)))

    def _take(self, far: int, ids: tuple[str, ...]) -> None:
        known = (ids, self._zone_daemons if far == 0 else ())
        if self._known.get(far) == known:
            return
        self._known[far] = known
        self._tables[far] = PrefixTable(self._used(far, ids), _PREFERRED)

    def _used(self, far: int, ids: tuple[str, ...]) -> list[str]:
        own = self._peers.peer_id
        if far:
            return sorted(top(own, ids, _MAX_FARTHER))
        if len(ids) <= _MAX_OWN_ZONE:
            return list(ids)
        users = _USERS_PER_ENGINE
        return [item for item in ids if own in top(item, self._zone_daemons, users)]
