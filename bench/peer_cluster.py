"""Gossip buses without the other parts of their daemons, for the membership benches."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

import cbor2

from verbenawind.clock import Clock
from verbenawind.kernel.messages import Location
from verbenawind.kernel.ports import PeerTransport, SpreadItem
from verbenawind.membership import GossipBus

__all__ = ["EngineUpdates", "PeerCluster"]

_KEY = b"the-key-of-the-bench"
_MAX_SEEDS = 3
_POLL_INTERVAL_S = 0.05
_JOIN_TIMEOUT_S = 60.0


class PeerCluster:
    """The gossip buses of several zones in one process.

    Args:
        clock: Time source.
        rng: Seeded randomness.
        transport: Creates the transport of a daemon from its peer ID and zone.
    """

    def __init__(
        self, clock: Clock, rng: Random, transport: Callable[[str, str], PeerTransport]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._transport = transport
        self.buses: list[GossipBus] = []

    async def start(self, sizes: Sequence[int]) -> None:
        """Start zones of these sizes and wait until every bus lists all other peers."""
        for zone, size in enumerate(sizes):
            for number in range(size):
                await self._add(f"zone-{zone}", f"daemon-{zone}-{number}")
        await self.wait_until(
            lambda: all(len(bus.peers()) == len(self.buses) - 1 for bus in self.buses),
            _JOIN_TIMEOUT_S,
        )

    async def stop(self) -> None:
        """Stop every bus without announcing it."""
        await asyncio.gather(*(bus.kill() for bus in self.buses))

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Return the time until *condition* held, *timeout_s* if it did not."""
        started_s = self._clock.monotonic_s()
        while not condition():
            elapsed_s = self._clock.monotonic_s() - started_s
            if elapsed_s >= timeout_s:
                return timeout_s
            await asyncio.sleep(_POLL_INTERVAL_S)
        return self._clock.monotonic_s() - started_s

    def transferred_bytes(self) -> int:
        """Return the bytes sent and received by all buses, without lower-layer headers."""
        return sum(bus.traffic.sent_bytes + bus.traffic.received_bytes for bus in self.buses)

    def transferred_frames(self) -> int:
        """Return the number of frames sent and received by all buses."""
        return sum(bus.traffic.sent_frames + bus.traffic.received_frames for bus in self.buses)

    async def _add(self, zone: str, peer_id: str) -> None:
        seeds = [bus.address for bus in self.buses][:_MAX_SEEDS]
        bus = GossipBus(
            peer_id=peer_id,
            location=Location(zone=zone, region=zone),
            listen="127.0.0.1:0",
            key=_KEY,
            seeds=seeds,
            transport=self._transport(peer_id, zone),
            clock=self._clock,
            rng=Random(self._rng.random()),
        )
        self.buses.append(bus)
        await bus.start()


class EngineUpdates:
    """Spreads simulated status updates of the engines of one zone.

    Args:
        buses: The buses of the zone; each engine's updates come from one of them.
        engines: Number of engines in the zone.
        rng: Seeded randomness.
        changes_per_s: Changes per engine and second that are spread immediately, such as swaps.
        load_updates_per_s: Load updates per second of the whole zone.
    """

    def __init__(
        self,
        buses: Sequence[GossipBus],
        engines: int,
        rng: Random,
        *,
        changes_per_s: float,
        load_updates_per_s: float,
    ) -> None:
        self._buses = buses
        self._engines = engines
        self._rng = rng
        self._update_counts = [0] * engines
        loads_per_s = min(load_updates_per_s, 2.0 * engines)
        self._rate_per_s = engines * changes_per_s + loads_per_s

    def spread_all(self) -> None:
        """Spread the first update of every engine."""
        for engine in range(self._engines):
            self._spread(engine)

    async def run(self, clock: Clock) -> None:
        """Spread updates at random times of the given mean rate until cancelled."""
        while True:
            await clock.sleep(self._rng.expovariate(self._rate_per_s))
            self._spread(self._rng.randrange(self._engines))

    def _spread(self, engine: int) -> None:
        self._update_counts[engine] += 1
        number = self._update_counts[engine]
        models = [["tuner", number, [number + 1], 0]]
        body = cbor2.dumps([number % 64, number % 7, 64, False, 12, models])
        self._buses[engine % len(self._buses)].spread(
            SpreadItem(kind="engine", key=f"engine-{engine:04}", rank=(1, number), body=body)
        )
