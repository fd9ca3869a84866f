"""Peer buses without the rest of their daemons, for benches of membership."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

import cbor2

from verbenawind.clock import Clock
from verbenawind.kernel.messages import Location
from verbenawind.kernel.ports import PeerTransport, SpreadItem
from verbenawind.membership import GossipBus

__all__ = ["EngineNoise", "PeerCluster"]

_KEY = b"the-key-of-the-bench"
_SEEDS = 3
_POLL_S = 0.05
_JOIN_S = 60.0


class PeerCluster:
    """Buses of some zones in one process.

    Args:
        clock: Time source.
        rng: Seeded randomness.
        transport: Makes the transport of a daemon in a zone.
    """

    def __init__(
        self, clock: Clock, rng: Random, transport: Callable[[str, str], PeerTransport]
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._transport = transport
        self.buses: list[GossipBus] = []

    async def start(self, sizes: Sequence[int]) -> None:
        """Start zones of these sizes and wait until everybody lists everybody."""
        for zone, size in enumerate(sizes):
            for number in range(size):
                await self._add(f"zone-{zone}", f"daemon-{zone}-{number}")
        await self.until(
            lambda: all(len(bus.peers()) == len(self.buses) - 1 for bus in self.buses), _JOIN_S
        )

    async def stop(self) -> None:
        """Kill every bus."""
        await asyncio.gather(*(bus.kill() for bus in self.buses))

    async def until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Return how long *condition* took to hold, *limit_s* when it did not."""
        started_s = self._clock.monotonic_s()
        while not condition():
            passed_s = self._clock.monotonic_s() - started_s
            if passed_s >= limit_s:
                return limit_s
            await asyncio.sleep(_POLL_S)
        return self._clock.monotonic_s() - started_s

    def bytes_moved(self) -> int:
        """Return what all daemons sent and received, without the headers below a frame."""
        return sum(bus.traffic.sent_bytes + bus.traffic.received_bytes for bus in self.buses)

    def frames_moved(self) -> int:
        """Return how many frames all daemons sent and received."""
        return sum(bus.traffic.sent_frames + bus.traffic.received_frames for bus in self.buses)

    async def _add(self, zone: str, peer_id: str) -> None:
        seeds = [bus.address for bus in self.buses][:_SEEDS]
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


class EngineNoise:
    """Spreads the changes that the engines of one zone give rise to.

    Args:
        buses: The zone's daemons; each engine is watched by one of them here.
        engines: How many engines the zone has.
        rng: Seeded randomness.
        changes_per_s: Changes of one engine that spread at once, such as swaps, per second.
        load_updates_per_s: Load updates of the whole zone per second.
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
        self._numbers = [0] * engines
        loads_per_s = min(load_updates_per_s, 2.0 * engines)
        self._rate_per_s = engines * changes_per_s + loads_per_s

    def spread_all(self) -> None:
        """Spread a first report of every engine."""
        for engine in range(self._engines):
            self._spread(engine)

    async def run(self, clock: Clock) -> None:
        """Spread changes at the rate until cancelled."""
        while True:
            await clock.sleep(self._rng.expovariate(self._rate_per_s))
            self._spread(self._rng.randrange(self._engines))

    def _spread(self, engine: int) -> None:
        self._numbers[engine] += 1
        number = self._numbers[engine]
        models = [["tuner", number, [number + 1], 0]]
        body = cbor2.dumps([number % 64, number % 7, 64, False, 12, models])
        self._buses[engine % len(self._buses)].spread(
            SpreadItem(kind="engine", key=f"engine-{engine:04}", rank=(1, number), body=body)
        )
