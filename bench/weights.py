"""The time to bring new weights to all engines of a zone, and the processor time of an order.

The first is measured in virtual time, from the activation time until the last engine has swapped,
by number of engines. The second is measured in real time over loopback HTTP and includes the
stand-in engine, which runs in the same process.
"""

import asyncio
import time
from collections.abc import Sequence
from random import Random

from bench.measurements import Better, Measurement
from verbenawind.clock import SystemClock
from verbenawind.document import EnvironmentRevision, parse_document
from verbenawind.http_server import HttpServer
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    EngineOrder,
    Location,
    OrderKind,
)
from verbenawind.kernel.rollouts import PublishedVersion
from verbenawind.plugins.engine_http import HttpEngineClient
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.engine import StandinEngine
from verbenawind.standins.http import engine_app

__all__ = ["run"]

_BENCH = "weights"
_MAX_ACTIVATION_S = 9.0
_BOUND_SOURCE = "letter 1: new weights on all engines within 9 s"
_ACTIVATION_DELAY_S = 20.0
_DAEMONS = 4
_POLL_INTERVAL_S = 0.05
_TIMEOUT_S = 120.0
_SETTLE_TIME_S = 15.0
_DOCUMENT = """
{
  "environment": "bench",
  "pools": [{"name": "pool", "checks_fencing": true, "max_swapping": %(fraction)s}],
  "models": [{"name": "model", "pool": "pool"}],
  "weights": {"activation_delay_s": %(delay)s, "staging_bytes_per_s": 1e10}
}
"""


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the activation times by number of engines, and the cost of an order."""
    sizes = (7, 54, 218) if short else (7, 54, 218, 870)
    measurements: list[Measurement] = []
    for engines in sizes:
        for fraction in (1.0, 0.5):
            activation_s = run_virtual(_activation_s(seed, engines, fraction))
            measurements.append(
                Measurement(
                    bench=_BENCH,
                    figure="time from activation until every engine has the version",
                    variant=f"{engines} engines, at most {fraction:.0%} swap at once",
                    value=activation_s,
                    unit="s",
                    better=Better.LOWER,
                    bound=_MAX_ACTIVATION_S,
                    bound_source=_BOUND_SOURCE,
                )
            )
    orders = 200 if short else 1000
    measurements.append(
        Measurement(
            bench=_BENCH,
            figure="processor time of one order, daemon and stand-in engine together",
            variant=f"{orders} orders over loopback HTTP",
            value=asyncio.run(_order_cpu_s(seed, orders)) * 1e3,
            unit="ms",
            better=Better.LOWER,
        )
    )
    return measurements


async def _activation_s(seed: int, engines: int, fraction: float) -> float:
    """Return the time from the activation time until all engines have swapped."""
    deployment = Deployment(seed, regions=("bangkok",))
    for index in range(engines):
        deployment.add_engine(f"engine-{index:04}", "pool", {"model": 0})
    cores = [deployment.add_daemon(f"daemon-{index}") for index in range(_DAEMONS)]
    for core in cores:
        await core.start()
    text = _DOCUMENT % {"fraction": fraction, "delay": _ACTIVATION_DELAY_S}
    revision = await deployment.accept(parse_document(text))
    await asyncio.sleep(_SETTLE_TIME_S)
    await _publish(deployment, revision)
    activation_at_s = deployment.clock.monotonic_s() + _ACTIVATION_DELAY_S
    while any(engine.active_version("model") != 1 for engine in deployment.engines.values()):
        if deployment.clock.monotonic_s() > activation_at_s + _TIMEOUT_S:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    elapsed_s = deployment.clock.monotonic_s() - activation_at_s
    await deployment.stop()
    return elapsed_s


async def _publish(deployment: Deployment, revision: EnvironmentRevision) -> None:
    manifest = deployment.weights.put("model", 1)
    core = next(iter(deployment.daemons.values()))
    published = PublishedVersion(model="model", version=1, weights_uri=manifest.uri)
    await core.rollouts.publish_version(revision, revision.document.models[0], published)


async def _order_cpu_s(seed: int, orders: int) -> float:
    """Return the processor time of an order for the version that the engine already has."""
    engine = StandinEngine("engine", {"model": 1}, SystemClock(), Random(seed))
    server = HttpServer(engine_app(engine), "127.0.0.1", 0)
    await server.start()
    client = HttpEngineClient(
        BackendServer(
            server_id="engine",
            kind=BackendKind.ENGINE,
            group="pool",
            address=server.address,
            location=Location(zone="z", region="r"),
        )
    )
    started_s = time.process_time()
    for number in range(orders):
        await client.order(
            EngineOrder(
                order_id=f"order-{number}",
                kind=OrderKind.ACTIVATE,
                model="model",
                version=1,
                fencing_number=1,
                weights_uri="weights://model/1",
                timeout_s=5.0,
            )
        )
    used_s = time.process_time() - started_s
    await client.aclose()
    await server.kill()
    return used_s / orders
