"""Discovery of backend servers from the host list, which few daemons read and share by gossip."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from random import Random

import cbor2
import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import StoreUnavailable
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    HostEntry,
    HostRole,
    HostState,
    Location,
)
from verbenawind.kernel.ports import HostList, SpreadItem
from verbenawind.kernel.rendezvous import top_members
from verbenawind.membership.bus import GossipBus
from verbenawind.membership.dialler import Seed

__all__ = ["LEAVING_KIND", "ServerDirectory"]

LEAVING_KIND = "leaving"
_SERVER_KIND = "server"
_REMOTE_SERVER_KIND = "server-remote"
_READERS_PER_ZONE = 2
_READER_PERIOD_S = 1.5
_NON_READER_PERIOD_S = 45.0
_MAX_SHOWN_TO_OTHER_ZONES = 16
_READS_TO_CONFIRM = 2
_READS_TO_CONFIRM_MASS_LOSS = 10
_GONE_EXPIRY_S = 3600.0
_MAX_GONE_KEPT = 1024
_BACKEND_KINDS = {
    HostRole.ENGINE: BackendKind.ENGINE,
    HostRole.SERVICE: BackendKind.SERVICE,
    HostRole.SCORING: BackendKind.SCORING,
}


class _ServerState(StrEnum):
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class _ServerBody(msgspec.Struct, frozen=True, array_like=True):
    kind: BackendKind
    group: str
    address: str
    zone: str
    region: str
    state: _ServerState


class _KnownServer(msgspec.Struct, frozen=True):
    rank: tuple[int, ...]
    body: _ServerBody


class ServerDirectory:
    """Keeps the fleet's set of servers in sync with the host list and the peers.

    Two daemons of each zone read the list often and spread changes to the servers of their zone;
    the others read it rarely. Of a large group, other zones see only a limited number of servers.

    Args:
        fleet: The fleet view to update.
        hosts: The platform's host list.
        peers: The peer bus.
        clock: Time source.
        rng: Random source for jitter.
    """

    __slots__ = ("_clock", "_fleet", "_hosts", "_known", "_log", "_mismatches", "_peers", "_rng")

    def __init__(
        self, fleet: Fleet, hosts: HostList, peers: GossipBus, clock: Clock, rng: Random
    ) -> None:
        self._fleet = fleet
        self._hosts = hosts
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._known: dict[str, _KnownServer] = {}
        self._mismatches: dict[str, int] = {}
        self._log = structlog.get_logger("membership")
        for kind in (_SERVER_KIND, _REMOTE_SERVER_KIND):
            peers.on_item(kind, self._on_server)
        peers.on_item(LEAVING_KIND, self._on_leaving)
        fleet.on_leaving(self._spread_leaving)

    def is_shown_to_other_zones(self, server: BackendServer) -> bool:
        """Return whether other zones are told of a server; of a large group only some are."""
        siblings = [view.server for view in self._fleet.group(server.kind, server.group)]
        ids = [
            sibling.server_id
            for sibling in siblings
            if sibling.location.zone == server.location.zone
        ]
        if len(ids) <= _MAX_SHOWN_TO_OTHER_ZONES:
            return True
        key = f"{server.location.zone}/{server.group}"
        return server.server_id in top_members(key, ids, _MAX_SHOWN_TO_OTHER_ZONES)

    def is_responsible_for(self, zone: str) -> bool:
        """Return whether this daemon publishes a zone's servers: its own or one without daemons."""
        return zone == self._fleet.location.zone or zone not in self._peers.roster.by_zone()

    async def run(self) -> None:
        """Read the host list periodically until cancelled."""
        while True:
            await self._clock.sleep(self._period_s() * self._rng.uniform(0.75, 1.25))
            await self.refresh()

    async def refresh(self) -> None:
        """Read the host list once."""
        try:
            entries = await self._hosts.hosts()
        except StoreUnavailable as error:
            self._log.warning("host_list_unavailable", reason=error.message)
            return
        self._peers.add_seeds(
            [
                Seed(address=entry.address, zone=entry.location.zone)
                for entry in entries
                if entry.role is HostRole.DAEMON and entry.host_id != self._peers.peer_id
            ]
        )
        servers = {entry.host_id: entry for entry in entries if entry.role in _BACKEND_KINDS}
        for entry in servers.values():
            if self.is_responsible_for(entry.location.zone):
                self._apply_entry(entry)
        self._process_absent(servers)

    def _period_s(self) -> float:
        own_id, zone = self._peers.peer_id, self._fleet.location.zone
        daemons = [*self._peers.roster.by_zone().get(zone, ()), own_id]
        if own_id in top_members(f"hosts/{zone}", daemons, _READERS_PER_ZONE):
            return _READER_PERIOD_S
        return _NON_READER_PERIOD_S

    def _apply_entry(self, entry: HostEntry) -> None:
        body = _ServerBody(
            kind=_BACKEND_KINDS[entry.role],
            group=entry.group,
            address=entry.address,
            zone=entry.location.zone,
            region=entry.location.region,
            state=_ServerState.LEAVING if entry.state is HostState.LEAVING else _ServerState.LIVE,
        )
        known = self._known.get(entry.host_id)
        if known is None or entry.incarnation > known.rank[0]:
            self._publish(entry.host_id, (entry.incarnation, 0), body)
        elif entry.incarnation < known.rank[0] or body == known.body:
            self._mismatches.pop(entry.host_id, None)
        elif body.state is _ServerState.LEAVING or self._count_mismatch(
            entry.host_id, _READS_TO_CONFIRM
        ):
            self._publish(entry.host_id, (known.rank[0], known.rank[1] + 1), body)

    def _process_absent(self, listed: Mapping[str, HostEntry]) -> None:
        known = [
            server_id
            for server_id, known in self._known.items()
            if known.body.state is not _ServerState.GONE
            and self.is_responsible_for(known.body.zone)
        ]
        absent = [server_id for server_id in known if server_id not in listed]
        required = _READS_TO_CONFIRM
        if len(absent) > 1 and 2 * len(absent) > len(known):
            # If most servers vanish at once, the list is more likely wrong than the servers gone.
            self._log.warning("host_list_doubted", absent=len(absent), known=len(known))
            required = _READS_TO_CONFIRM_MASS_LOSS
        for server_id in absent:
            if self._count_mismatch(server_id, required):
                rank, body = self._known[server_id].rank, self._known[server_id].body
                gone = msgspec.structs.replace(body, state=_ServerState.GONE)
                self._publish(server_id, (rank[0], rank[1] + 1), gone)

    def _count_mismatch(self, server_id: str, required: int) -> bool:
        self._mismatches[server_id] = self._mismatches.get(server_id, 0) + 1
        if self._mismatches[server_id] < required:
            return False
        del self._mismatches[server_id]
        return True

    def _publish(self, server_id: str, rank: tuple[int, ...], body: _ServerBody) -> None:
        expires_at_s = 0.0
        if body.state is _ServerState.GONE:
            expires_at_s = self._clock.now().timestamp() + _GONE_EXPIRY_S
        for kind in self._item_kinds(server_id, body):
            self._peers.spread(
                SpreadItem(
                    kind=kind,
                    key=server_id,
                    rank=rank,
                    body=cbor2.dumps(msgspec.to_builtins(body)),
                    expires_at_s=expires_at_s,
                )
            )

        leaving = self._peers.store.get(LEAVING_KIND, server_id)
        superseded = leaving is not None and (
            body.state is _ServerState.GONE or rank[0] > leaving.rank[0]
        )
        if superseded and leaving is not None and leaving.expires_at_s == 0.0:
            until_s = self._clock.now().timestamp() + _GONE_EXPIRY_S
            self._peers.spread(msgspec.structs.replace(leaving, expires_at_s=until_s))

    def _item_kinds(self, server_id: str, body: _ServerBody) -> Sequence[str]:
        """Return the server's current item kind, and the other if an older item still has it."""
        is_shown = self.is_shown_to_other_zones(_server(server_id, 0, body))
        current_kind = _REMOTE_SERVER_KIND if is_shown else _SERVER_KIND
        return [
            kind
            for kind in (_SERVER_KIND, _REMOTE_SERVER_KIND)
            if kind == current_kind or self._peers.store.get(kind, server_id) is not None
        ]

    def _on_server(self, item: SpreadItem) -> None:
        known = self._known.get(item.key)
        if known is not None and known.rank >= item.rank:
            return
        body = msgspec.convert(cbor2.loads(item.body), type=_ServerBody)
        self._known[item.key] = _KnownServer(item.rank, body)
        view = self._fleet.view(item.key)
        if body.state is _ServerState.GONE:
            self._fleet.remove(item.key)
            self._prune_gone()
            return
        if view is not None and view.server.address != body.address:
            self._fleet.remove(item.key)
        self._fleet.add(_server(item.key, item.rank[0], body))
        if body.state is _ServerState.LEAVING:
            self._fleet.mark_leaving(item.key, item.rank[0])
        leaving = self._peers.store.get(LEAVING_KIND, item.key)
        if leaving is not None:
            self._on_leaving(leaving)

    def _prune_gone(self) -> None:
        """Drop the oldest gone servers; the ranks of recent ones still reject outdated items."""
        gone = [
            server_id
            for server_id, known in self._known.items()
            if known.body.state is _ServerState.GONE
        ]
        for server_id in gone[:-_MAX_GONE_KEPT]:
            del self._known[server_id]

    def _on_leaving(self, item: SpreadItem) -> None:
        self._fleet.mark_leaving(item.key, item.rank[0])

    def _spread_leaving(self, view: ServerView) -> None:
        self._log.info(
            "server_leaving",
            server=view.server.server_id,
            incarnation=view.server.incarnation,
            reason="its report, the host list, a drain or a peer",
        )
        self._peers.spread(
            SpreadItem(
                kind=LEAVING_KIND,
                key=view.server.server_id,
                rank=(view.server.incarnation,),
                body=b"",
            )
        )


def _server(server_id: str, incarnation: int, body: _ServerBody) -> BackendServer:
    return BackendServer(
        server_id=server_id,
        kind=body.kind,
        group=body.group,
        address=body.address,
        location=Location(zone=body.zone, region=body.region),
        incarnation=incarnation,
    )
