"""What membership costs a daemon, by peers and engines, and how fast it notices things."""

import asyncio
import gc
import resource
import time
from collections.abc import Sequence
from datetime import UTC, datetime
from random import Random

import structlog

from bench.measurements import Better, Measurement
from bench.peer_cluster import EngineNoise, PeerCluster
from verbenawind.clock import LoopClock, SystemClock
from verbenawind.kernel.ports import SpreadItem
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.standins.network import GatedClock, Process, StandinNetwork
from verbenawind.standins.peer_network import NetworkTransport
from verbenawind.standins.world import run_virtual

__all__ = ["run"]

_BENCH = "membership"
_LETTER = "letter 1"
_SWAPS_PER_S = 2 / 120.0
_LOAD_UPDATES_PER_S = 4.0
_HEADER_BYTES = 44
_FEW_ENGINES = 7
_ZONE_DAEMONS = 60
_ZONE_ENGINES = 870
_CONTROL_BYTES_PER_S = 4096.0
_CONTROL_CORE_SHARE = 0.029
_CRASH_S = 5.0
_LEAVE_S = 2.0
_FORCE_S = 5.0
_REVISION_BYTES = 4096


class _Cost:
    """What one daemon spends, with *peers* daemons in all and *engines* in its zone."""

    def __init__(self, peers: int, engines: int, figures: tuple[float, float, float]) -> None:
        self.peers = peers
        self.engines = engines
        self.bytes_per_s, self.core_share, self.resident_kib = figures


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the figures of one run."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    costs = _costs(seed, short)
    measurements = [measurement for cost in costs for measurement in _cost_figures(cost)]
    measurements += _extrapolated(costs)
    measurements += _detection(seed, short)
    return measurements


def _costs(seed: int, short: bool) -> list[_Cost]:
    if short:
        sizes = [(4, 7), (32, 7), (32, 870)]
        settling_s, duration_s = 8.0, 4.0
    else:
        sizes = [(4, 7), (8, 7), (16, 7), (32, 7), (64, 7), (32, 100), (32, 400), (32, 870)]
        sizes.append((64, 870))
        settling_s, duration_s = 20.0, 15.0
    return [
        asyncio.run(_cost(seed, peers, engines, settling_s, duration_s)) for peers, engines in sizes
    ]


async def _cost(seed: int, peers: int, engines: int, settling_s: float, duration_s: float) -> _Cost:
    clock, rng = SystemClock(), Random(seed)
    gc.collect()
    before_kib = _resident_kib()
    cluster = PeerCluster(clock, rng, lambda _id, _zone: WebSocketPeerTransport())
    await cluster.start([peers])
    noise = EngineNoise(
        cluster.buses,
        engines,
        rng,
        changes_per_s=_SWAPS_PER_S,
        load_updates_per_s=_LOAD_UPDATES_PER_S,
    )
    noise.spread_all()
    everywhere = await cluster.until(
        lambda: all(len(bus.items("engine")) == engines for bus in cluster.buses), 30.0
    )
    assert everywhere < 30.0
    task = asyncio.ensure_future(noise.run(clock))
    await asyncio.sleep(settling_s)
    moved, frames, cpu_s = cluster.bytes_moved(), cluster.frames_moved(), time.process_time()
    started_s = clock.monotonic_s()
    await asyncio.sleep(duration_s)
    passed_s = clock.monotonic_s() - started_s
    cpu_s = time.process_time() - cpu_s
    moved = cluster.bytes_moved() - moved
    frames = cluster.frames_moved() - frames
    resident_kib = (_resident_kib() - before_kib) / peers
    task.cancel()
    await cluster.stop()
    per_daemon_s = passed_s * peers
    total_bytes = moved + _HEADER_BYTES * frames
    return _Cost(peers, engines, (total_bytes / per_daemon_s, cpu_s / per_daemon_s, resident_kib))


def _resident_kib() -> float:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1024


def _cost_figures(cost: _Cost) -> Sequence[Measurement]:
    variant = f"{cost.peers} peers, {cost.engines} engines"
    return [
        _figure("control traffic", variant, cost.bytes_per_s, "B/s"),
        _figure("processor share", variant, cost.core_share, "core"),
        _figure("resident memory", variant, cost.resident_kib / 1024, "MiB"),
    ]


def _bytes_per_s(cost: _Cost) -> float:
    return cost.bytes_per_s


def _core_share(cost: _Cost) -> float:
    return cost.core_share


def _extrapolated(costs: Sequence[_Cost]) -> Sequence[Measurement]:
    """Add the slopes up to a zone of 60 daemons and 870 engines, and to 420 daemons."""
    few_engines = [cost for cost in costs if cost.engines == _FEW_ENGINES]
    small = min(few_engines, key=lambda cost: cost.peers)
    wide = max(few_engines, key=lambda cost: cost.peers)
    near = next(cost for cost in costs if (cost.peers, cost.engines) == (32, _FEW_ENGINES))
    deep = next(cost for cost in costs if (cost.peers, cost.engines) == (32, _ZONE_ENGINES))
    figures: list[Measurement] = []
    for name, unit, bound, read in (
        ("control traffic", "B/s", _CONTROL_BYTES_PER_S, _bytes_per_s),
        ("processor share", "core", _CONTROL_CORE_SHARE, _core_share),
    ):
        by_peer = (read(wide) - read(small)) / (wide.peers - small.peers)
        by_engine = (read(deep) - read(near)) / (deep.engines - near.engines)
        total = read(small) + by_peer * _ZONE_DAEMONS + by_engine * _ZONE_ENGINES
        figures += [
            _figure(f"{name} per peer", "slope", by_peer, unit),
            _figure(f"{name} per engine of the zone", "slope", by_engine, unit),
            Measurement(
                bench=_BENCH,
                figure=f"{name} of membership alone",
                variant="extrapolated: zone of 60 daemons, 870 engines",
                value=total,
                unit=unit,
                better=Better.LOWER,
                bound=bound,
                bound_source=_LETTER,
            ),
        ]
    return figures


def _detection(seed: int, short: bool) -> Sequence[Measurement]:
    figures: list[Measurement] = []
    rounds = 2 if short else 10
    for sizes, variant in (([4, 4, 4], "12 daemons"), ([30, 30], "60 daemons")):
        results = [run_virtual(_notice(seed + number, sizes)) for number in range(rounds)]
        for index, (figure, bound, source) in enumerate(
            (
                ("crash seen by the zone", _CRASH_S, "issue 6"),
                ("silence seen by the zone", _CRASH_S, "issue 6"),
                ("leave seen by the zone", _LEAVE_S, "issue 6"),
                ("revision held everywhere", _FORCE_S, "issue 6"),
            )
        ):
            figures.append(
                Measurement(
                    bench=_BENCH,
                    figure=f"{figure}, worst of {rounds}",
                    variant=variant,
                    value=max(result[index] for result in results),
                    unit="s",
                    better=Better.LOWER,
                    bound=bound,
                    bound_source=source,
                )
            )
    return figures


async def _notice(seed: int, sizes: Sequence[int]) -> tuple[float, float, float, float]:
    """Return how long a crash, a silence, a leave and a revision take to be known."""
    rng = Random(seed)
    clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
    network = StandinNetwork(clock, rng)
    processes: dict[str, Process] = {}

    def transport(peer_id: str, zone: str) -> NetworkTransport:
        processes[peer_id] = Process(network, zone)
        return NetworkTransport(processes[peer_id])

    cluster = PeerCluster(GatedClock(clock, Process(network, "")), rng, transport)
    await cluster.start(sizes)
    await asyncio.sleep(rng.uniform(5.0, 7.0))
    zone = cluster.buses[: sizes[0]]
    crashed, silent, leaving, *others = zone

    def gone(peer_id: str) -> bool:
        return not any(peer.peer_id == peer_id for bus in others for peer in bus.peers())

    body = rng.randbytes(_REVISION_BYTES)
    others[0].spread(SpreadItem(kind="revision", key="e/production", rank=(1,), body=body))
    held_s = await cluster.until(lambda: all(bus.items("revision") for bus in cluster.buses), 60)
    await leaving.stop()
    leave_s = await cluster.until(lambda: gone(leaving.peer_id), 60.0)
    await crashed.kill()
    crash_s = await cluster.until(lambda: gone(crashed.peer_id), 60.0)
    processes[silent.peer_id].pause()
    silence_s = await cluster.until(lambda: gone(silent.peer_id), 60.0)
    processes[silent.peer_id].resume()
    await cluster.stop()
    return crash_s, silence_s, leave_s, held_s


def _figure(figure: str, variant: str, value: float, unit: str) -> Measurement:
    return Measurement(
        bench=_BENCH,
        figure=figure,
        variant=variant,
        value=value,
        unit=unit,
        better=Better.LOWER,
    )
