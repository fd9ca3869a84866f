"""Failure detection with direct and indirect probes, similar to SWIM."""

from collections.abc import Callable, Collection
from random import Random

from verbenawind.clock import Clock
from verbenawind.membership.link import Link
from verbenawind.membership.roster import Roster
from verbenawind.membership.wire import Ping, PingRequest, Pong

__all__ = ["FailureDetector"]

_SILENCE_S = 2.0
_PROBE_TIMEOUT_S = 0.8
_INDIRECT_PROBES = 3
_PAUSE_THRESHOLD_S = 1.0
_OTHER_ZONE_SILENCE_S = 4.0


class FailureDetector:
    """Probes silent peers directly and through other peers, and suspects those that do not respond.

    Only daemons of the same zone suspect each other. Silence from another zone may be a network
    partition, so it only closes the link.

    Args:
        roster: The membership list.
        clock: Time source.
        rng: Random source for choosing the peers that probe indirectly.
        zone: This daemon's zone.
        links: Returns the open gossip links.
    """

    __slots__ = (
        "_clock",
        "_last_number",
        "_last_tick_at_s",
        "_links",
        "_lost_links",
        "_relayed_probes",
        "_rng",
        "_roster",
        "_zone",
    )

    def __init__(
        self,
        roster: Roster,
        clock: Clock,
        rng: Random,
        zone: str,
        links: Callable[[], Collection[Link]],
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._links = links
        self._last_number = 0
        self._relayed_probes: dict[int, tuple[Link, int]] = {}
        self._lost_links: dict[str, float] = {}
        self._last_tick_at_s = clock.monotonic_s()

    def tick(self) -> None:
        """Check every link; must be called a few times per second."""
        now_s = self._clock.monotonic_s()
        if now_s - self._last_tick_at_s > _PAUSE_THRESHOLD_S:
            self._reset_after_pause(now_s)
        self._last_tick_at_s = now_s
        for link in list(self._links()):
            self._check_link(link, now_s)
        for peer_id, since_s in list(self._lost_links.items()):
            if self._is_linked(peer_id):
                del self._lost_links[peer_id]
            elif now_s - since_s >= _PROBE_TIMEOUT_S:
                del self._lost_links[peer_id]
                self._roster.suspect(peer_id, "its link closed and no other peer reached it")

    def link_closed(self, link: Link) -> None:
        """Probe the peer of a closed link through other peers."""
        member = self._roster.members().get(link.peer.peer_id)
        if link.peer.zone != self._zone or member is None or not member.is_live:
            return
        if member.peer.incarnation > link.peer.incarnation:
            return
        self._lost_links.setdefault(link.peer.peer_id, self._clock.monotonic_s())
        self._request_indirect_probes(link)

    def on_ping_request(self, link: Link, message: PingRequest) -> None:
        """Confirm that a peer is alive, pinging it first if it has been silent for a while."""
        subject = next(
            (other for other in self._links() if other.peer.peer_id == message.peer_id), None
        )
        if subject is None:
            return
        if self._clock.monotonic_s() - subject.last_received_at_s < _PROBE_TIMEOUT_S:
            link.post(Pong(number=message.number, peer_id=message.peer_id))
            return
        number = self._next_number()
        self._relayed_probes[number] = (link, message.number)
        subject.post(Ping(number=number))

    def on_pong(self, link: Link, message: Pong) -> None:
        """Handle a pong to this daemon's own ping or to one sent for another daemon."""
        if message.peer_id:
            self._mark_alive(message.peer_id)
            return
        requester = self._relayed_probes.pop(message.number, None)
        if requester is not None:
            requester[0].post(Pong(number=requester[1], peer_id=link.peer.peer_id))

    def _check_link(self, link: Link, now_s: float) -> None:
        silent_s = now_s - link.last_received_at_s
        if link.peer.zone != self._zone:
            link.closed = link.closed or silent_s >= _OTHER_ZONE_SILENCE_S
            return
        if silent_s < _SILENCE_S:
            return
        if link.probed_at_s is None:
            link.probed_at_s = now_s
            link.post(Ping(number=self._next_number()))
            self._request_indirect_probes(link)
        elif now_s - link.probed_at_s >= _PROBE_TIMEOUT_S:
            link.closed = True
            self._roster.suspect(link.peer.peer_id, f"nothing received for {silent_s:.1f} s")

    def _request_indirect_probes(self, link: Link) -> None:
        subject = link.peer.peer_id
        helpers = [
            other
            for other in self._links()
            if other.peer.peer_id != subject and other.peer.zone == self._zone
        ]
        for helper in self._rng.sample(helpers, min(_INDIRECT_PROBES, len(helpers))):
            helper.post(PingRequest(number=self._next_number(), peer_id=subject))

    def _mark_alive(self, peer_id: str) -> None:
        self._lost_links.pop(peer_id, None)
        for link in self._links():
            if link.peer.peer_id == peer_id:
                link.last_received_at_s = self._clock.monotonic_s()
                link.probed_at_s = None

    def _reset_after_pause(self, now_s: float) -> None:
        for link in self._links():
            link.last_received_at_s = now_s
            link.probed_at_s = None
        self._lost_links.clear()
        self._relayed_probes.clear()
        self._roster.restart_suspicions()

    def _is_linked(self, peer_id: str) -> bool:
        return any(link.peer.peer_id == peer_id for link in self._links())

    def _next_number(self) -> int:
        self._last_number += 1
        if self._last_number % 256 == 0:
            self._relayed_probes.clear()
        return self._last_number
