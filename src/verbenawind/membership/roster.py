"""The membership list: incarnations, suspicion, refutation and expiry of members."""

from collections.abc import Callable, Mapping, Sequence
from enum import IntEnum

import cbor2
import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.kernel.messages import Location
from verbenawind.kernel.ports import Peer, SpreadItem
from verbenawind.membership.store import SpreadStore

__all__ = ["MEMBER_KIND", "Member", "MemberStatus", "Roster"]

MEMBER_KIND = "member"
_REFRESH_S = 1800.0
_MEMBER_EXPIRY_S = 6000.0
_ENDED_RETENTION_S = 120.0
_SUSPICION_TIMEOUT_S = 1.0
_MAX_ID_CONFLICTS = 3


class MemberStatus(IntEnum):
    """A member's believed status; within one incarnation the highest status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class _MemberBody(msgspec.Struct, frozen=True, array_like=True):
    address: str
    zone: str
    region: str
    start_id: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """Another daemon as this one sees it; ``changed_at_s`` is a monotonic time."""

    peer: Peer
    status: MemberStatus
    start_id: int
    changed_at_s: float

    @property
    def is_live(self) -> bool:
        """Whether the member is believed to be alive."""
        return self.status <= MemberStatus.SUSPECT


class Roster:
    """Tracks members by their items in the spread store, and publishes this daemon's own item.

    Args:
        store: The spread store that holds the member items.
        clock: Time source.
        location: Where this daemon runs.
        peer_id: This daemon's identifier.
        start_id: A number that differs between starts of a daemon.
        spread: Merges an item locally and forwards it.
    """

    __slots__ = (
        "_clock",
        "_id_conflicts",
        "_location",
        "_log",
        "_members",
        "_refresh_s",
        "_refreshed_at_s",
        "_sequence",
        "_spread",
        "_start_id",
        "_store",
        "address",
        "incarnation",
        "peer_id",
        "superseded",
    )

    def __init__(
        self,
        store: SpreadStore,
        clock: Clock,
        location: Location,
        peer_id: str,
        start_id: int,
        spread: Callable[[SpreadItem], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._location = location
        self._start_id = start_id
        self._spread = spread
        self._members: dict[str, Member] = {}
        self._id_conflicts = 0
        self._sequence = 0
        self._refreshed_at_s = 0.0
        self._refresh_s = _REFRESH_S * (0.75 + 0.5 * (start_id % 1024) / 1024)
        self._log = structlog.get_logger("membership")
        self.peer_id = peer_id
        self.address = ""
        self.incarnation = 0
        self.superseded = False

    def join(self, address: str) -> None:
        """Join at *address* with an incarnation above that of any earlier start."""
        self.address = address
        self.incarnation = int(self._clock.now().timestamp() * 1000)
        self._publish_own(MemberStatus.ALIVE)

    def leave(self) -> None:
        """Announce that this daemon leaves."""
        self._publish_own(MemberStatus.LEFT)

    def members(self) -> Mapping[str, Member]:
        """Return the other daemons, including those that ended recently."""
        return self._members

    def live_peers(self) -> Sequence[Peer]:
        """Return the other daemons that are believed to be alive."""
        return tuple(member.peer for member in self._members.values() if member.is_live)

    def by_zone(self) -> Mapping[str, Sequence[str]]:
        """Return the ids of the other daemons believed to be alive, by zone."""
        zones: dict[str, list[str]] = {}
        for peer in self.live_peers():
            zones.setdefault(peer.location.zone, []).append(peer.peer_id)
        return zones

    def apply(self, item: SpreadItem) -> None:
        """Apply a member item that the store has merged."""
        incarnation, status, _ = item.rank
        body = msgspec.convert(cbor2.loads(item.body), type=_MemberBody)
        if item.key == self.peer_id:
            self._refute(incarnation, MemberStatus(status), body)
            return
        previous = self._members.get(item.key)
        member = Member(
            peer=Peer(
                peer_id=item.key,
                address=body.address,
                location=Location(zone=body.zone, region=body.region),
                incarnation=incarnation,
            ),
            status=MemberStatus(status),
            start_id=body.start_id,
            changed_at_s=self._clock.monotonic_s(),
        )
        self._members[item.key] = member
        if previous is None or previous.status is not member.status:
            self._log.info(
                "member_changed",
                peer=item.key,
                status=member.status.name.lower(),
                incarnation=incarnation,
                reason="first seen" if previous is None else f"was {previous.status.name.lower()}",
            )

    def suspect(self, peer_id: str, reason: str) -> None:
        """Spread a suspicion, which the suspected daemon may refute."""
        member = self._members.get(peer_id)
        if member is None or member.status is not MemberStatus.ALIVE:
            return
        self._log.info("member_suspected", peer=peer_id, reason=reason)
        self._spread_status(member, MemberStatus.SUSPECT)

    def tick(self) -> None:
        """Declare unrefuted suspects dead, refresh this daemon's item and drop old members."""
        now_s = self._clock.monotonic_s()
        for member in list(self._members.values()):
            idle_s = now_s - member.changed_at_s
            if member.status is MemberStatus.SUSPECT and idle_s >= _SUSPICION_TIMEOUT_S:
                if member.peer.location.zone == self._location.zone:
                    self._spread_status(member, MemberStatus.DEAD)
            elif idle_s >= (_MEMBER_EXPIRY_S if member.is_live else _ENDED_RETENTION_S):
                self._members.pop(member.peer.peer_id)
                self._store.drop(MEMBER_KIND, member.peer.peer_id)
        if now_s - self._refreshed_at_s >= self._refresh_s and not self.superseded:
            self._sequence += 1
            self._publish_own(MemberStatus.ALIVE)

    def restart_suspicions(self) -> None:
        """Restart all suspicion timeouts: this daemon was paused and received no refutations."""
        now_s = self._clock.monotonic_s()
        for peer_id, member in self._members.items():
            if member.status is MemberStatus.SUSPECT:
                self._members[peer_id] = msgspec.structs.replace(member, changed_at_s=now_s)

    def _refute(self, incarnation: int, status: MemberStatus, body: _MemberBody) -> None:
        own_start = body.start_id == self._start_id
        if incarnation < self.incarnation or self.superseded:
            return
        if own_start and status is MemberStatus.ALIVE:
            return
        if status is MemberStatus.LEFT and own_start:
            return
        if not own_start and status is MemberStatus.ALIVE:
            self._id_conflicts += 1
            if self._id_conflicts > _MAX_ID_CONFLICTS and self._start_id < body.start_id:
                self.superseded = True
                self._log.error(
                    "daemon_id_duplicated",
                    peer=self.peer_id,
                    other_address=body.address,
                    reason="another running daemon has the same id and takes precedence",
                )
                return
        self._log.info(
            "own_status_refuted", status=status.name.lower(), incarnation=incarnation + 1
        )
        self.incarnation = incarnation + 1
        self._publish_own(MemberStatus.ALIVE)

    def _publish_own(self, status: MemberStatus) -> None:
        self._refreshed_at_s = self._clock.monotonic_s()
        body = _MemberBody(self.address, self._location.zone, self._location.region, self._start_id)
        self._spread(
            SpreadItem(
                kind=MEMBER_KIND,
                key=self.peer_id,
                rank=(self.incarnation, int(status), self._sequence),
                body=cbor2.dumps(msgspec.to_builtins(body)),
            )
        )

    def _spread_status(self, member: Member, status: MemberStatus) -> None:
        peer = member.peer
        body = _MemberBody(peer.address, peer.location.zone, peer.location.region, member.start_id)
        self._spread(
            SpreadItem(
                kind=MEMBER_KIND,
                key=peer.peer_id,
                rank=(peer.incarnation, int(status), 0),
                body=cbor2.dumps(msgspec.to_builtins(body)),
            )
        )
