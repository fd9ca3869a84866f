"""Memory of a daemon's view of peers and engines, and processor time of a status probe."""

import asyncio
import logging
import time
import tracemalloc
from collections.abc import Sequence
from datetime import UTC, datetime
from random import Random

import cbor2
import httpx
import structlog

from bench.measurements import Better, Measurement
from verbenawind.clock import LoopClock, SystemClock
from verbenawind.http_server import HttpServer
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import BackendKind, BackendServer, Location
from verbenawind.kernel.ports import ExternalDependencies, SpreadItem
from verbenawind.membership import FleetWatcher, GossipBus
from verbenawind.plugins.backend_clients import PluginBackendClients
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.engine import StandinEngine
from verbenawind.standins.http import engine_app
from verbenawind.standins.network import Process

__all__ = ["run"]

_BENCH = "membership-memory"
_BOUND_SOURCE = "letter 1"
_DAEMONS = 420
_ZONES = 7
_ZONE_ENGINES = 870
_REMOTE_ENGINES = 16 * (_ZONES - 1)
_MAX_CONTROL_MIB = 64.0
_MAX_CONTROL_CORE_SHARE = 0.029
_PROBES = 200
_PROBES_PER_S = 10.0
_MIB = 1024 * 1024


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the memory by size of the view, and the cost of probing."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    sizes = ((12, 8), (_DAEMONS, _ZONE_ENGINES))
    figures = [
        Measurement(
            bench=_BENCH,
            figure="memory of the view of peers and engines",
            variant=f"{daemons} daemons, {engines} engines in the zone",
            value=run_virtual(_view_memory_mib(seed, daemons, engines)),
            unit="MiB",
            better=Better.LOWER,
            bound=_MAX_CONTROL_MIB,
            bound_source=_BOUND_SOURCE,
        )
        for daemons, engines in sizes
    ]
    probe_s = asyncio.run(_probe_cpu_s(_PROBES if short else 5 * _PROBES))
    figures.append(
        Measurement(
            bench=_BENCH,
            figure="processor time of a probe",
            variant="over HTTP on loopback",
            value=probe_s * 1000,
            unit="ms",
            better=Better.LOWER,
        )
    )
    figures.append(
        Measurement(
            bench=_BENCH,
            figure="processor share of probing",
            variant=f"{_PROBES_PER_S:.0f} probes/s",
            value=probe_s * _PROBES_PER_S,
            unit="core",
            better=Better.LOWER,
            bound=_MAX_CONTROL_CORE_SHARE,
            bound_source=_BOUND_SOURCE,
        )
    )
    return figures


async def _view_memory_mib(seed: int, daemons: int, engines: int) -> float:
    """Return the memory in MiB of a daemon that knows all peers and engines."""
    deployment = Deployment(seed)
    dependencies = deployment.dependencies(Process(deployment.network, "zone-0"))
    tracemalloc.start()
    before_bytes = tracemalloc.get_traced_memory()[0]
    bus, fleet, _ = _make_fleet_view(dependencies)
    for number in range(daemons - 1):
        zone = f"zone-{number % _ZONES}"
        body = cbor2.dumps([f"10.0.{number % 256}.{number // 256}:7000", zone, "region", number])
        rank = (1_700_000_000_000 + number, 0, 0)
        bus.spread(SpreadItem(kind="member", key=f"daemon-{number}", rank=rank, body=body))
    for number in range(engines + (_REMOTE_ENGINES if engines > _ZONES else 0)):
        zone = "zone-0" if number < engines else f"zone-{1 + number % (_ZONES - 1)}"
        suffix = "" if number < engines else "-remote"
        body = cbor2.dumps(["engine", "tuning", f"10.1.0.1:{number}", zone, "region", "live"])
        key = f"engine-{number:04}"
        bus.spread(SpreadItem(kind=f"server{suffix}", key=key, rank=(1, 0), body=body))
        status = cbor2.dumps([30, 2, 64, False, 12, [["tuner", 77, [78], 0]]])
        bus.spread(SpreadItem(kind=f"engine{suffix}", key=key, rank=(1, 5), body=status))
    assert all(view.status is not None for view in fleet.all())
    assert len(fleet.all()) >= engines
    used_bytes = tracemalloc.get_traced_memory()[0] - before_bytes
    tracemalloc.stop()
    return used_bytes / _MIB


def _make_fleet_view(dependencies: ExternalDependencies) -> tuple[GossipBus, Fleet, FleetWatcher]:
    location = Location(zone="zone-0", region="region")
    clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
    bus = GossipBus(
        peer_id="daemon-own",
        location=location,
        listen="127.0.0.1:0",
        key=b"the-key-of-the-bench",
        seeds=(),
        transport=dependencies.transport,
        clock=clock,
        rng=dependencies.rng,
    )
    fleet = Fleet(clock, location)
    watcher = FleetWatcher(
        fleet=fleet,
        hosts=dependencies.hosts,
        clients=dependencies.clients,
        peers=bus,
        clock=clock,
        rng=dependencies.rng,
    )
    return bus, fleet, watcher


async def _probe_cpu_s(probes: int) -> float:
    """Return the processor time per status call in seconds.

    The server shares the process, so it sends fixed bytes to add little to the client's time.
    """
    logging.getLogger("httpx").setLevel(logging.WARNING)
    address, server = await _serve_fixed_status()
    clients = PluginBackendClients()
    backend = BackendServer(
        server_id="engine-0",
        kind=BackendKind.ENGINE,
        group="tuning",
        address=address,
        location=Location(zone="zone-0", region="region"),
    )
    client = clients.engine(backend)
    await client.status()
    started_s = time.process_time()
    for _ in range(probes):
        await client.status()
    used_s = time.process_time() - started_s
    await client.aclose()
    server.close()
    return used_s / probes


async def _serve_fixed_status() -> tuple[str, asyncio.Server]:
    """Serve a recorded status of a stand-in engine, without the cost of running the stand-in."""
    engine = StandinEngine("engine-0", {"tuner": 0}, SystemClock(), Random(1))
    standin = HttpServer(engine_app(engine), "127.0.0.1", 0)
    await standin.start()
    async with httpx.AsyncClient(trust_env=False) as client:
        body = (await client.get(f"http://{standin.address}/status")).content
    await standin.kill()
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head + body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}", server
