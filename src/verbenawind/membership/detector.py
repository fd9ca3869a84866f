"""Notices peers that give no sign of life, asking others before it suspects anybody."""

from collections.abc import Callable, Collection
from random import Random

from verbenawind.clock import Clock
from verbenawind.membership.link import Link
from verbenawind.membership.roster import Roster
from verbenawind.membership.wire import Ping, PingRequest, Pong

__all__ = ["FailureDetector"]

SILENCE_S = 2.0
_PROBE_S = 0.8
_HELPERS = 3
_PAUSE_S = 1.0
_FOREIGN_SILENCE_S = 4.0


class FailureDetector:
    """Probes silent peers directly and through helpers, and suspects those that nobody hears.

    Only daemons of the same zone suspect each other: silence from another zone may be a
    partition, and just closes the link.

    Args:
        roster: Who is a member.
        clock: Time source.
        rng: Chooses helpers.
        zone: This daemon's zone.
        links: Gives the open gossip links.
    """

    __slots__ = (
        "_clock",
        "_links",
        "_lost",
        "_number",
        "_probes",
        "_rng",
        "_roster",
        "_ticked_at_s",
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
        self._number = 0
        self._probes: dict[int, tuple[Link, int]] = {}
        self._lost: dict[str, float] = {}
        self._ticked_at_s = clock.monotonic_s()

    def tick(self) -> None:
        """Judge every link; call it a few times a second."""
        now_s = self._clock.monotonic_s()
        if now_s - self._ticked_at_s > _PAUSE_S:
            self._forgive(now_s)
        self._ticked_at_s = now_s
        for link in list(self._links()):
            self._judge(link, now_s)
        for peer_id, since_s in list(self._lost.items()):
            if self._linked(peer_id):
                del self._lost[peer_id]
            elif now_s - since_s >= _PROBE_S:
                del self._lost[peer_id]
                self._roster.suspect(peer_id, "its link closed and nobody hears it")

    def link_closed(self, link: Link) -> None:
        """Ask helpers whether the peer of a closed link lives."""
        member = self._roster.members().get(link.peer.peer_id)
        if link.peer.zone != self._zone or member is None or not member.present:
            return
        if member.peer.incarnation > link.peer.incarnation:
            return
        self._lost.setdefault(link.peer.peer_id, self._clock.monotonic_s())
        self._ask_helpers(link)

    def on_ping_request(self, link: Link, message: PingRequest) -> None:
        """Vouch for a peer that was heard lately, or ask it first."""
        subject = next(
            (other for other in self._links() if other.peer.peer_id == message.peer_id), None
        )
        if subject is None:
            return
        if self._clock.monotonic_s() - subject.heard_at_s < _PROBE_S:
            link.post(Pong(number=message.number, peer_id=message.peer_id))
            return
        number = self._next_number()
        self._probes[number] = (link, message.number)
        subject.post(Ping(number=number))

    def on_pong(self, link: Link, message: Pong) -> None:
        """Take in a sign of life, for this daemon or for one that asked it to help."""
        if message.peer_id:
            self._vouched(message.peer_id)
            return
        asker = self._probes.pop(message.number, None)
        if asker is not None:
            asker[0].post(Pong(number=asker[1], peer_id=link.peer.peer_id))

    def _judge(self, link: Link, now_s: float) -> None:
        silent_s = now_s - link.heard_at_s
        if link.peer.zone != self._zone:
            link.closed = link.closed or silent_s >= _FOREIGN_SILENCE_S
            return
        if silent_s < SILENCE_S:
            return
        if link.probed_at_s is None:
            link.probed_at_s = now_s
            link.post(Ping(number=self._next_number()))
            self._ask_helpers(link)
        elif now_s - link.probed_at_s >= _PROBE_S:
            link.closed = True
            self._roster.suspect(link.peer.peer_id, f"silent for {silent_s:.1f} s")

    def _ask_helpers(self, link: Link) -> None:
        subject = link.peer.peer_id
        helpers = [
            other
            for other in self._links()
            if other.peer.peer_id != subject and other.peer.zone == self._zone
        ]
        for helper in self._rng.sample(helpers, min(_HELPERS, len(helpers))):
            helper.post(PingRequest(number=self._next_number(), peer_id=subject))

    def _vouched(self, peer_id: str) -> None:
        self._lost.pop(peer_id, None)
        for link in self._links():
            if link.peer.peer_id == peer_id:
                link.heard_at_s = self._clock.monotonic_s()
                link.probed_at_s = None

    def _forgive(self, now_s: float) -> None:
        for link in self._links():
            link.heard_at_s = now_s
            link.probed_at_s = None
        self._lost.clear()
        self._probes.clear()
        self._roster.forgive()

    def _linked(self, peer_id: str) -> bool:
        return any(link.peer.peer_id == peer_id for link in self._links())

    def _next_number(self) -> int:
        self._number += 1
        if self._number % 256 == 0:
            self._probes.clear()
        return self._number
