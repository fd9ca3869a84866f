"""The cost of membership per daemon by number of peers and engines, and its detection times."""

import asyncio
import gc
import resource
import time
from collections.abc import Sequence
from datetime import UTC, datetime
from random import Random

import structlog

from bench.measurements import Better, Measurement
from bench.peer_cluster import EngineUpdates, PeerCluster
from verbenawind.clock import LoopClock, SystemClock
from verbenawind.kernel.ports import SpreadItem
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.network import PausableClock, Process, StandinNetwork
from verbenawind.standins.peer_network import NetworkTransport

__all__ = ["run"]

_BENCH = "membership"
_BOUND_SOURCE = "letter 1"
_SWAPS_PER_S = 2 / 120.0
_LOAD_UPDATES_PER_S = 4.0
_FRAME_OVERHEAD_BYTES = 44
_FEW_ENGINES = 7
_ZONE_DAEMONS = 60
_ZONE_ENGINES = 870
_MAX_CONTROL_BYTES_PER_S = 4096.0
_MAX_CONTROL_CORE_SHARE = 0.029
_DETECTION_BOUND_S = 5.0
_LEAVE_BOUND_S = 2.0
_REVISION_BOUND_S = 5.0
_REVISION_BYTES = 4096


class _Cost:
    """The cost of one daemon among *peers* daemons, with *engines* in its zone."""

    def __init__(self, peers: int, engines: int, figures: tuple[float, float, float]) -> None:
        self.peers = peers
        self.engines = engines
        self.bytes_per_s, self.core_share, self.resident_kib = figures


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the costs, their extrapolation and the detection times."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    costs = _measure_costs(seed, short)
    measurements = [measurement for cost in costs for measurement in _cost_measurements(cost)]
    measurements += _extrapolate(costs)
    measurements += _measure_detection(seed, short)
    return measurements


def _measure_costs(seed: int, short: bool) -> list[_Cost]:
    if short:
        sizes = [(4, 7), (32, 7), (32, 870)]
        settle_s, duration_s = 8.0, 4.0
    else:
        sizes = [(4, 7), (8, 7), (16, 7), (32, 7), (64, 7), (32, 100), (32, 400), (32, 870)]
        sizes.append((64, 870))
        settle_s, duration_s = 20.0, 15.0
    return [
        asyncio.run(_measure_cost(seed, peers, engines, settle_s, duration_s))
        for peers, engines in sizes
    ]


async def _measure_cost(
    seed: int, peers: int, engines: int, settle_s: float, duration_s: float
) -> _Cost:
    clock, rng = SystemClock(), Random(seed)
    gc.collect()
    before_kib = _resident_kib()
    cluster = PeerCluster(clock, rng, lambda _id, _zone: WebSocketPeerTransport())
    await cluster.start([peers])
    updates = EngineUpdates(
        cluster.buses,
        engines,
        rng,
        changes_per_s=_SWAPS_PER_S,
        load_updates_per_s=_LOAD_UPDATES_PER_S,
    )
    updates.spread_all()
    spread_s = await cluster.wait_until(
        lambda: all(len(bus.items("engine")) == engines for bus in cluster.buses), 30.0
    )
    assert spread_s < 30.0
    task = asyncio.ensure_future(updates.run(clock))
    await asyncio.sleep(settle_s)
    moved_bytes, frames, cpu_s = (
        cluster.transferred_bytes(),
        cluster.transferred_frames(),
        time.process_time(),
    )
    started_s = clock.monotonic_s()
    await asyncio.sleep(duration_s)
    elapsed_s = clock.monotonic_s() - started_s
    cpu_s = time.process_time() - cpu_s
    moved_bytes = cluster.transferred_bytes() - moved_bytes
    frames = cluster.transferred_frames() - frames
    resident_kib = (_resident_kib() - before_kib) / peers
    task.cancel()
    await cluster.stop()
    per_daemon_s = elapsed_s * peers
    total_bytes = moved_bytes + _FRAME_OVERHEAD_BYTES * frames
    return _Cost(peers, engines, (total_bytes / per_daemon_s, cpu_s / per_daemon_s, resident_kib))


def _resident_kib() -> float:
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1024


def _cost_measurements(cost: _Cost) -> Sequence[Measurement]:
    variant = f"{cost.peers} peers, {cost.engines} engines"
    return [
        _measurement("control traffic", variant, cost.bytes_per_s, "B/s"),
        _measurement("processor share", variant, cost.core_share, "core"),
        _measurement("resident memory", variant, cost.resident_kib / 1024, "MiB"),
    ]


def _bytes_per_s(cost: _Cost) -> float:
    return cost.bytes_per_s


def _core_share(cost: _Cost) -> float:
    return cost.core_share


def _extrapolate(costs: Sequence[_Cost]) -> Sequence[Measurement]:
    """Extrapolate linearly to a zone of 60 daemons and 870 engines."""
    few_engines = [cost for cost in costs if cost.engines == _FEW_ENGINES]
    few_peers = min(few_engines, key=lambda cost: cost.peers)
    many_peers = max(few_engines, key=lambda cost: cost.peers)
    few_engines_of_32 = next(
        cost for cost in costs if (cost.peers, cost.engines) == (32, _FEW_ENGINES)
    )
    many_engines_of_32 = next(
        cost for cost in costs if (cost.peers, cost.engines) == (32, _ZONE_ENGINES)
    )
    figures: list[Measurement] = []
    for name, unit, bound, read in (
        ("control traffic", "B/s", _MAX_CONTROL_BYTES_PER_S, _bytes_per_s),
        ("processor share", "core", _MAX_CONTROL_CORE_SHARE, _core_share),
    ):
        by_peer = (read(many_peers) - read(few_peers)) / (many_peers.peers - few_peers.peers)
        by_engine = (read(many_engines_of_32) - read(few_engines_of_32)) / (
            many_engines_of_32.engines - few_engines_of_32.engines
        )
        total = read(few_peers) + by_peer * _ZONE_DAEMONS + by_engine * _ZONE_ENGINES
        figures += [
            _measurement(f"{name} per peer", "slope", by_peer, unit),
            _measurement(f"{name} per engine of the zone", "slope", by_engine, unit),
            Measurement(
                bench=_BENCH,
                figure=f"{name} of membership alone",
                variant="extrapolated: zone of 60 daemons, 870 engines",
                value=total,
                unit=unit,
                better=Better.LOWER,
                bound=bound,
                bound_source=_BOUND_SOURCE,
            ),
        ]
    return figures


def _measure_detection(seed: int, short: bool) -> Sequence[Measurement]:
    figures: list[Measurement] = []
    repeats = 2 if short else 10
    for sizes, variant in (([4, 4, 4], "12 daemons"), ([30, 30], "60 daemons")):
        results = [run_virtual(_detection_times(seed + number, sizes)) for number in range(repeats)]
        for index, (figure, bound, source) in enumerate(
            (
                ("crash seen by the zone", _DETECTION_BOUND_S, "issue 6"),
                ("silence seen by the zone", _DETECTION_BOUND_S, "issue 6"),
                ("leave seen by the zone", _LEAVE_BOUND_S, "issue 6"),
                ("revision held everywhere", _REVISION_BOUND_S, "issue 6"),
            )
        ):
            figures.append(
                Measurement(
                    bench=_BENCH,
                    figure=f"{figure}, worst of {repeats}",
                    variant=variant,
                    value=max(result[index] for result in results),
                    unit="s",
                    better=Better.LOWER,
                    bound=bound,
                    bound_source=source,
                )
            )
    return figures


async def _detection_times(seed: int, sizes: Sequence[int]) -> tuple[float, float, float, float]:
    """Return the times until a crash, a paused process, a departure and a revision are known."""
    rng = Random(seed)
    clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
    network = StandinNetwork(clock, rng)
    processes: dict[str, Process] = {}

    def transport(peer_id: str, zone: str) -> NetworkTransport:
        processes[peer_id] = Process(network, zone)
        return NetworkTransport(processes[peer_id])

    cluster = PeerCluster(PausableClock(clock, Process(network, "")), rng, transport)
    await cluster.start(sizes)
    await asyncio.sleep(rng.uniform(5.0, 7.0))
    zone = cluster.buses[: sizes[0]]
    crashed, silent, leaving, *others = zone

    def is_removed(peer_id: str) -> bool:
        return not any(peer.peer_id == peer_id for bus in others for peer in bus.peers())

    body = rng.randbytes(_REVISION_BYTES)
    others[0].spread(SpreadItem(kind="revision", key="e/production", rank=(1,), body=body))
    held_s = await cluster.wait_until(
        lambda: all(bus.items("revision") for bus in cluster.buses), 60
    )
    await leaving.stop()
    leave_s = await cluster.wait_until(lambda: is_removed(leaving.peer_id), 60.0)
    await crashed.kill()
    crash_s = await cluster.wait_until(lambda: is_removed(crashed.peer_id), 60.0)
    processes[silent.peer_id].pause()
    silence_s = await cluster.wait_until(lambda: is_removed(silent.peer_id), 60.0)
    processes[silent.peer_id].resume()
    await cluster.stop()
    return crash_s, silence_s, leave_s, held_s


def _measurement(figure: str, variant: str, value: float, unit: str) -> Measurement:
    return Measurement(
        bench=_BENCH,
        figure=figure,
        variant=variant,
        value=value,
        unit=unit,
        better=Better.LOWER,
    )
