"""The bounded subset of a pool's engines that this daemon sends requests to."""

from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import BackendKind
from verbenawind.kernel.ports import PeerBus
from verbenawind.kernel.rendezvous import top_members
from verbenawind.routing.prefixes import PrefixTable
from verbenawind.routing.server_choice import distance

__all__ = ["PoolMembers"]

_MAX_SHARED_BY_ALL = 64
_MAX_PER_REMOTE_TIER = 16
_DAEMONS_PER_ENGINE = 4
_PREFERRED_PER_SLOT = 3


class PoolMembers:
    """Selects the engines of a pool that this daemon uses.

    If a zone has up to 64 engines of the pool, every daemon of the zone uses all of them. If it
    has more, rendezvous hashing assigns each engine to four daemons of the zone, so that a daemon
    uses about 4 * engines / daemons of them. In each farther tier a daemon uses at most 16
    engines.

    Args:
        pool: The pool.
        fleet: The view of the backend servers.
        peers: The other daemons.
    """

    __slots__ = (
        "_daemons",
        "_fleet",
        "_peers",
        "_pool",
        "_table_inputs",
        "_tables",
        "_zone_daemons",
    )

    def __init__(self, pool: str, fleet: Fleet, peers: PeerBus) -> None:
        self._pool = pool
        self._fleet = fleet
        self._peers = peers
        self._table_inputs: dict[int, tuple[tuple[str, ...], tuple[str, ...]]] = {}
        self._tables: dict[int, PrefixTable] = {}
        self._daemons = 1
        self._zone_daemons: tuple[str, ...] = (peers.peer_id,)

    def refresh(self) -> None:
        """Update the selection after changes of the fleet or of the set of daemons."""
        zone = self._fleet.location.zone
        peers = self._peers.peers()
        self._daemons = len(peers) + 1
        same_zone = [peer.peer_id for peer in peers if peer.location.zone == zone]
        self._zone_daemons = tuple(sorted([*same_zone, self._peers.peer_id]))
        by_distance: dict[int, list[str]] = {}
        for view in self._fleet.group(BackendKind.ENGINE, self._pool):
            tier_distance = distance(view.server.location, self._fleet.location)
            by_distance.setdefault(tier_distance, []).append(view.server.server_id)
        for tier_distance in self._tables.keys() - by_distance.keys():
            del self._tables[tier_distance], self._table_inputs[tier_distance]
        for tier_distance, ids in by_distance.items():
            self._update_table(tier_distance, tuple(sorted(ids)))

    def distances(self) -> list[int]:
        """Return the distances at which the pool has engines, nearest first."""
        return sorted(self._tables)

    def table(self, tier_distance: int) -> PrefixTable:
        """Return the engines used at a distance, with the preferences of prefixes."""
        return self._tables[tier_distance]

    def server_ids(self) -> set[str]:
        """Return the identifiers of all engines that this daemon uses."""
        return {server_id for table in self._tables.values() for server_id in table.members}

    def sharing_daemons(self, server_id: str, tier_distance: int) -> float:
        """Return the number of daemons that share an engine at a distance."""
        if tier_distance:
            return float(self._daemons)
        total = len(self._table_inputs[0][0]) if 0 in self._table_inputs else 0
        if total <= _MAX_SHARED_BY_ALL:
            return float(len(self._zone_daemons))
        return float(min(_DAEMONS_PER_ENGINE, len(self._zone_daemons)))

    def _update_table(self, tier_distance: int, ids: tuple[str, ...]) -> None:
        inputs = (ids, self._zone_daemons if tier_distance == 0 else ())
        if self._table_inputs.get(tier_distance) == inputs:
            return
        self._table_inputs[tier_distance] = inputs
        self._tables[tier_distance] = PrefixTable(
            self._select(tier_distance, ids), _PREFERRED_PER_SLOT
        )

    def _select(self, tier_distance: int, ids: tuple[str, ...]) -> list[str]:
        own = self._peers.peer_id
        if tier_distance:
            return sorted(top_members(own, ids, _MAX_PER_REMOTE_TIER))
        if len(ids) <= _MAX_SHARED_BY_ALL:
            return list(ids)
        daemons = _DAEMONS_PER_ENGINE
        return [item for item in ids if own in top_members(item, self._zone_daemons, daemons)]
