"""When a contender for a lease reads the table, so that many contenders cost little."""

from random import Random

import msgspec

from verbenawind.clock import Clock
from verbenawind.kernel.ports import PeerBus, SpreadItem
from verbenawind.kernel.rendezvous import top

__all__ = ["Contention"]

LEASE_KIND = "lease"
_STANDBYS = 2
_STANDBY_READS_PER_DURATION = 3
_MISSED_RENEWAL_FRACTION = 0.45
_SLOW_PERIOD_S = 30.0
_FAILURE_PAUSE_S = 0.5
_SPREAD_PER_CONTENDER_S = 0.1
_WATCH_SLACK_S = 0.2
_MEETING_S = 1.5
_FEW_CONTENDERS = 32


class _Watch:
    """What a contender saw of a lease and when it looks again."""

    __slots__ = ("next_read_s", "owner", "seen", "since_s")

    def __init__(self) -> None:
        self.seen: tuple[int, int] | None = None
        self.since_s = 0.0
        self.next_read_s = 0.0
        self.owner = ""


class Contention:
    """Spaces the reads of contenders out.

    Two standbys, the same in everybody's view, watch a lease closely. The others read rarely,
    and soon after they hear from peers that the lease is free or its holder is gone.

    Args:
        clock: Time source.
        rng: Jitter.
        peers: The peer bus.
        zone: This daemon's availability zone.
        expects_peers: Whether the settings name other daemons.
    """

    __slots__ = (
        "_clock",
        "_expects_peers",
        "_peers",
        "_rng",
        "_seen_first_at_s",
        "_watches",
        "_zone",
    )

    def __init__(
        self, clock: Clock, rng: Random, peers: PeerBus, zone: str, *, expects_peers: bool
    ) -> None:
        self._zone = zone
        self._expects_peers = expects_peers
        self._seen_first_at_s: float | None = None
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._watches: dict[str, _Watch] = {}
        peers.on_item(LEASE_KIND, self._on_lease)
        peers.on_item("member", self._on_member)

    def may_read(self, name: str) -> bool:
        """Return whether it is time to read the lease's rows."""
        watch = self._watches.get(name)
        if watch is None:
            watch = self._first_sight(name)
        return self._clock.monotonic_s() >= watch.next_read_s

    def _first_sight(self, name: str) -> _Watch:
        """Begin a watch; where there are many contenders only two read at once."""
        now_s = self._clock.monotonic_s()
        if self._seen_first_at_s is None:
            self._seen_first_at_s = now_s
        watch = self._watches[name] = _Watch()
        contenders = self._contenders(False)
        if len(contenders) == 1 and self._expects_peers:
            # At a restart of all daemons each has yet to meet the others.
            watch.next_read_s = self._seen_first_at_s + _MEETING_S
        elif len(contenders) > _FEW_CONTENDERS and self._peers.peer_id not in self._standbys(
            name, "", contenders
        ):
            watch.next_read_s = now_s + self._rng.uniform(0.0, _SLOW_PERIOD_S)
        return watch

    def lapsed(
        self,
        name: str,
        seen: tuple[int, int],
        duration_s: float,
        owner: str,
        *,
        zone_only: bool,
        guarded: bool,
    ) -> bool:
        """Take in the row versions just read; return whether they rested for long enough.

        That is the duration, or with *guarded* the time of a missed renewal once peers have found
        the owner gone. A live owner that is only cut off from peers renews in time, so two daemons
        that take each other for gone do not take the lease from each other in turn.
        """
        now_s = self._clock.monotonic_s()
        watch = self._watches.setdefault(name, _Watch())
        watch.owner = owner
        if watch.seen != seen:
            watch.seen, watch.since_s = seen, now_s
            watch.next_read_s = now_s + self._period_s(name, duration_s, owner, zone_only)
            return False
        rest_s = now_s - watch.since_s
        needed_s = duration_s
        if guarded and owner not in self._contenders(False):
            needed_s = duration_s * _MISSED_RENEWAL_FRACTION
        if rest_s >= needed_s:
            return True
        watch.next_read_s = now_s + min(
            duration_s / _STANDBY_READS_PER_DURATION, needed_s - rest_s + _WATCH_SLACK_S
        )
        return False

    def failed(self, name: str) -> None:
        """Record that the table gave no answer, or that another contender was faster."""
        watch = self._watches.setdefault(name, _Watch())
        pause_s = self._rng.uniform(0.5, 1.0) * _FAILURE_PAUSE_S
        watch.next_read_s = self._clock.monotonic_s() + pause_s

    def won(self, name: str) -> None:
        """Forget the watch of a lease that this daemon now holds."""
        self._watches.pop(name, None)

    def announce(self, name: str, fencing_number: int, *, held: bool) -> None:
        """Tell peers that this daemon holds a lease, or no longer does."""
        body = msgspec.json.encode(self._peers.peer_id)
        rank = (fencing_number, 0 if held else 1)
        self._peers.spread(SpreadItem(kind=LEASE_KIND, key=name, rank=rank, body=body))

    def _period_s(self, name: str, duration_s: float, owner: str, zone_only: bool) -> float:
        close_s = duration_s / _STANDBY_READS_PER_DURATION
        contenders = self._contenders(zone_only)
        if owner not in contenders or self._peers.peer_id in self._standbys(
            name, owner, contenders
        ):
            return close_s
        return max(close_s, self._rng.uniform(0.5, 1.5) * _SLOW_PERIOD_S)

    def _standbys(self, name: str, owner: str, contenders: set[str]) -> set[str]:
        return set(top(name, contenders - {owner}, _STANDBYS))

    def _contenders(self, zone_only: bool) -> set[str]:
        others = {
            peer.peer_id
            for peer in self._peers.peers()
            if not zone_only or peer.location.zone == self._zone
        }
        return {*others, self._peers.peer_id}

    def _on_lease(self, item: SpreadItem) -> None:
        watch = self._watches.get(item.key)
        if watch is not None and item.rank[1] == 1:
            self._read_soon(watch)

    def _on_member(self, item: SpreadItem) -> None:
        present = {peer.peer_id for peer in self._peers.peers()}
        for watch in self._watches.values():
            if watch.owner == item.key and watch.owner not in present:
                self._read_soon(watch)

    def _read_soon(self, watch: _Watch) -> None:
        spread_s = _SPREAD_PER_CONTENDER_S * (len(self._peers.peers()) + 1)
        soon_s = self._clock.monotonic_s() + self._rng.uniform(0.0, spread_s)
        watch.next_read_s = min(watch.next_read_s, soon_s)
