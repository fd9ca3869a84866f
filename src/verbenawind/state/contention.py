"""Schedules the table reads of lease contenders, so that their number adds little load."""

from random import Random

import msgspec

from verbenawind.clock import Clock
from verbenawind.kernel.ports import PeerBus, SpreadItem
from verbenawind.kernel.rendezvous import top_members

__all__ = ["Contention"]

_LEASE_KIND = "lease"
_STANDBYS = 2
_STANDBY_READS_PER_DURATION = 3
_MISSED_RENEWAL_FRACTION = 0.45
_BACKGROUND_READ_PERIOD_S = 30.0
_FAILURE_BACKOFF_S = 0.5
_JITTER_PER_CONTENDER_S = 0.1
_READ_MARGIN_S = 0.2
_PEER_DISCOVERY_S = 1.5
_MAX_IMMEDIATE_CONTENDERS = 32


class _Observation:
    """The row versions that a contender last read for a lease, and when it reads them next."""

    __slots__ = ("next_read_s", "owner", "unchanged_since_s", "versions")

    def __init__(self) -> None:
        self.versions: tuple[int, int] | None = None
        self.unchanged_since_s = 0.0
        self.next_read_s = 0.0
        self.owner = ""


class Contention:
    """Decides when this daemon reads the rows of leases that it contends for.

    Two standbys, chosen identically by every daemon, poll a lease often. The others poll rarely,
    and also soon after peers report that the lease is free or that its holder is gone.

    Args:
        clock: Time source.
        rng: Random source for jitter.
        peers: The peer bus.
        zone: This daemon's availability zone.
        expects_peers: Whether the settings name other daemons.
    """

    __slots__ = (
        "_clock",
        "_expects_peers",
        "_first_polled_at_s",
        "_observations",
        "_peers",
        "_rng",
        "_zone",
    )

    def __init__(
        self, clock: Clock, rng: Random, peers: PeerBus, zone: str, *, expects_peers: bool
    ) -> None:
        self._zone = zone
        self._expects_peers = expects_peers
        self._first_polled_at_s: float | None = None
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._observations: dict[str, _Observation] = {}
        peers.on_item(_LEASE_KIND, self._on_lease)
        peers.on_item("member", self._on_member)

    def may_read(self, name: str) -> bool:
        """Return whether it is time to read the lease's rows."""
        observation = self._observations.get(name)
        if observation is None:
            observation = self._start_observing(name)
        return self._clock.monotonic_s() >= observation.next_read_s

    def _start_observing(self, name: str) -> _Observation:
        """Start observing a lease; with many contenders only the two standbys read immediately."""
        now_s = self._clock.monotonic_s()
        if self._first_polled_at_s is None:
            self._first_polled_at_s = now_s
        observation = self._observations[name] = _Observation()
        contenders = self._contenders(False)
        if len(contenders) == 1 and self._expects_peers:
            # When all daemons restart together, none has discovered its peers yet.
            observation.next_read_s = self._first_polled_at_s + _PEER_DISCOVERY_S
        elif len(
            contenders
        ) > _MAX_IMMEDIATE_CONTENDERS and self._peers.peer_id not in self._standbys(
            name, "", contenders
        ):
            observation.next_read_s = now_s + self._rng.uniform(0.0, _BACKGROUND_READ_PERIOD_S)
        return observation

    def lapsed(
        self,
        name: str,
        versions: tuple[int, int],
        duration_s: float,
        owner: str,
        *,
        zone_only: bool,
        guarded: bool,
    ) -> bool:
        """Record the row versions just read; return whether the lease has lapsed.

        It lapses once the versions stay unchanged for *duration_s*, or with *guarded* for the time
        of a missed renewal if the owner is no longer a live peer. A live owner that is only
        unreachable for its peers still renews in time, so two daemons that presume each other dead
        do not keep taking the lease from one another.
        """
        now_s = self._clock.monotonic_s()
        observation = self._observations.setdefault(name, _Observation())
        observation.owner = owner
        if observation.versions != versions:
            observation.versions, observation.unchanged_since_s = versions, now_s
            observation.next_read_s = now_s + self._read_period_s(
                name, duration_s, owner, zone_only
            )
            return False
        unchanged_s = now_s - observation.unchanged_since_s
        required_s = duration_s
        if guarded and owner not in self._contenders(False):
            required_s = duration_s * _MISSED_RENEWAL_FRACTION
        if unchanged_s >= required_s:
            return True
        observation.next_read_s = now_s + min(
            duration_s / _STANDBY_READS_PER_DURATION, required_s - unchanged_s + _READ_MARGIN_S
        )
        return False

    def read_or_commit_failed(self, name: str) -> None:
        """Back off after the table did not respond or another contender acquired the lease."""
        observation = self._observations.setdefault(name, _Observation())
        backoff_s = self._rng.uniform(0.5, 1.0) * _FAILURE_BACKOFF_S
        observation.next_read_s = self._clock.monotonic_s() + backoff_s

    def acquired(self, name: str) -> None:
        """Stop observing a lease that this daemon now holds."""
        self._observations.pop(name, None)

    def announce(self, name: str, fencing_number: int, *, held: bool) -> None:
        """Notify peers that this daemon holds a lease, or no longer holds it."""
        body = msgspec.json.encode(self._peers.peer_id)
        rank = (fencing_number, 0 if held else 1)
        self._peers.spread(SpreadItem(kind=_LEASE_KIND, key=name, rank=rank, body=body))

    def _read_period_s(self, name: str, duration_s: float, owner: str, zone_only: bool) -> float:
        standby_period_s = duration_s / _STANDBY_READS_PER_DURATION
        contenders = self._contenders(zone_only)
        if owner not in contenders or self._peers.peer_id in self._standbys(
            name, owner, contenders
        ):
            return standby_period_s
        return max(standby_period_s, self._rng.uniform(0.5, 1.5) * _BACKGROUND_READ_PERIOD_S)

    def _standbys(self, name: str, owner: str, contenders: set[str]) -> set[str]:
        return set(top_members(name, contenders - {owner}, _STANDBYS))

    def _contenders(self, zone_only: bool) -> set[str]:
        others = {
            peer.peer_id
            for peer in self._peers.peers()
            if not zone_only or peer.location.zone == self._zone
        }
        return {*others, self._peers.peer_id}

    def _on_lease(self, item: SpreadItem) -> None:
        observation = self._observations.get(item.key)
        if observation is not None and item.rank[1] == 1:
            self._read_soon(observation)

    def _on_member(self, item: SpreadItem) -> None:
        live_ids = {peer.peer_id for peer in self._peers.peers()}
        for observation in self._observations.values():
            if observation.owner == item.key and observation.owner not in live_ids:
                self._read_soon(observation)

    def _read_soon(self, observation: _Observation) -> None:
        jitter_s = _JITTER_PER_CONTENDER_S * (len(self._peers.peers()) + 1)
        read_at_s = self._clock.monotonic_s() + self._rng.uniform(0.0, jitter_s)
        observation.next_read_s = min(observation.next_read_s, read_at_s)
