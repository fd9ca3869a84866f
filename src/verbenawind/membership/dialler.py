"""Dials the peers that the topology requires, and seeds to discover the cluster."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection, Sequence
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnauthenticated, PeerUnreachable
from verbenawind.membership.link import Link
from verbenawind.membership.roster import Roster
from verbenawind.membership.topology import bridge_targets, zone_targets

__all__ = ["Dialler", "Seed"]

_PERIOD_S = 1.0
_MIN_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 8.0
_MAX_PARALLEL_DIALS = 3
_UNNEEDED_LINK_S = 5.0
_SEED_DIAL_PERIOD_S = 10.0
_MAX_SEEDS = 256


class Seed(msgspec.Struct, frozen=True, kw_only=True):
    """The address of a daemon that may exist; the zone is empty if unknown."""

    address: str
    zone: str = ""


class Dialler:
    """Opens the links that the topology requires and closes those that it no longer does.

    Args:
        roster: The membership list.
        clock: Time source.
        rng: Random source for jitter and sampling.
        zone: This daemon's zone.
        seeds: Addresses from the settings.
        links: Returns the open gossip links.
        dial: Opens a gossip link to an address.
    """

    __slots__ = (
        "_backoff_s",
        "_clock",
        "_dial",
        "_dialling",
        "_links",
        "_listed_seeds",
        "_log",
        "_next_attempt_at_s",
        "_next_seed_dial_at_s",
        "_rng",
        "_roster",
        "_seeds",
        "_wake",
        "_zone",
    )

    def __init__(
        self,
        roster: Roster,
        clock: Clock,
        rng: Random,
        zone: str,
        seeds: Sequence[str],
        links: Callable[[], Collection[Link]],
        dial: Callable[[str], Awaitable[None]],
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._seeds = [Seed(address=address) for address in seeds]
        self._listed_seeds: list[Seed] = []
        self._links = links
        self._dial = dial
        self._dialling: dict[str, asyncio.Task[None]] = {}
        self._backoff_s: dict[str, float] = {}
        self._next_attempt_at_s: dict[str, float] = {}
        self._next_seed_dial_at_s = 0.0
        self._wake = asyncio.Event()
        self._log = structlog.get_logger("membership")

    def add_seeds(self, seeds: Sequence[Seed]) -> None:
        """Replace the seeds that come from the platform's host list."""
        self._listed_seeds = list(seeds)[:_MAX_SEEDS]

    def seeds(self) -> Sequence[Seed]:
        """Return the seeds from the settings and from the host list."""
        return [*self._seeds, *self._listed_seeds]

    def wake(self) -> None:
        """Re-evaluate the topology soon."""
        self._wake.set()

    async def run(self) -> None:
        """Maintain the links until cancelled."""
        try:
            while True:
                self._update_links()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_PERIOD_S * self._rng.uniform(0.7, 1.3)):
                        await self._wake.wait()
                self._wake.clear()
                await self._clock.sleep(self._rng.uniform(0.02, 0.1))
        finally:
            for task in list(self._dialling.values()):
                task.cancel()
            await asyncio.gather(*self._dialling.values(), return_exceptions=True)

    def _update_links(self) -> None:
        if self._roster.superseded:
            for link in self._links():
                link.closed = True
            return
        needed = self._needed_peers()
        linked = {link.peer.peer_id for link in self._links()}
        for peer_id, address in needed.items():
            if peer_id not in linked:
                self._dial_if_allowed(address)
        self._dial_seeds()
        self._close_unneeded(needed.keys())

    def _needed_peers(self) -> dict[str, str]:
        members = self._roster.members()
        by_zone = self._roster.by_zone()
        own_id = self._roster.peer_id
        peer_ids = [
            *zone_targets(own_id, by_zone.get(self._zone, ())),
            *bridge_targets(own_id, self._zone, by_zone).values(),
        ]
        return {name: members[name].peer.address for name in peer_ids}

    def _dial_seeds(self) -> None:
        """Dial seeds while isolated, and occasionally one whose address no member has.

        The latter rejoins parts of the cluster that do not know each other.
        """
        now_s = self._clock.monotonic_s()
        isolated = not self._links()
        if not isolated and now_s < self._next_seed_dial_at_s:
            return
        self._next_seed_dial_at_s = now_s + _SEED_DIAL_PERIOD_S * self._rng.uniform(0.5, 1.5)
        live_addresses = {peer.address for peer in self._roster.live_peers()}
        candidates = [
            seed
            for seed in self.seeds()
            if seed.address != self._roster.address and seed.address not in live_addresses
        ]
        own_zone = [seed for seed in candidates if seed.zone in ("", self._zone)]
        count = _MAX_PARALLEL_DIALS if isolated else 1
        own_zone_sample = self._rng.sample(own_zone, min(count, len(own_zone)))
        any_zone_sample = self._rng.sample(candidates, min(1, len(candidates)))
        for seed in [*own_zone_sample, *any_zone_sample]:
            self._dial_if_allowed(seed.address)
        if isolated:
            for peer in self._rng.sample(
                self._roster.live_peers(), min(count, len(live_addresses))
            ):
                self._dial_if_allowed(peer.address)

    def redial(self, address: str) -> None:
        """Redial a peer at once after a link that had been stable broke."""
        self._backoff_s.pop(address, None)
        self._next_attempt_at_s.pop(address, None)
        self._dial_if_allowed(address)

    def _dial_if_allowed(self, address: str) -> None:
        now_s = self._clock.monotonic_s()
        if address in self._dialling or len(self._dialling) >= 2 * _MAX_PARALLEL_DIALS:
            return
        if now_s < self._next_attempt_at_s.get(address, 0.0):
            return
        task = asyncio.get_running_loop().create_task(self._attempt(address))
        self._dialling[address] = task
        task.add_done_callback(lambda _: self._dialling.pop(address, None))

    async def _attempt(self, address: str) -> None:
        try:
            await self._dial(address)
        except (PeerUnreachable, PeerUnauthenticated) as error:
            self._log.debug("peer_dial_failed", address=address, reason=error.message)
        self._record_attempt(address)

    def _record_attempt(self, address: str) -> None:
        """Back off after every dial, even a successful one: the link may break early."""
        if len(self._backoff_s) > 4 * _MAX_SEEDS:
            self._backoff_s.clear()
            self._next_attempt_at_s.clear()
        backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s.get(address, _MIN_BACKOFF_S / 2))
        self._backoff_s[address] = backoff_s
        wait_s = self._rng.uniform(0.5, 1.0) * backoff_s
        self._next_attempt_at_s[address] = self._clock.monotonic_s() + wait_s

    def _close_unneeded(self, needed: Collection[str]) -> None:
        now_s = self._clock.monotonic_s()
        for link in self._links():
            if not link.dialled or link.peer.peer_id in needed:
                link.unneeded_since_s = None
            elif link.unneeded_since_s is None:
                link.unneeded_since_s = now_s
            elif now_s - link.unneeded_since_s >= _UNNEEDED_LINK_S:
                link.closing_gracefully = True
                link.closed = True
