"""Queue wait, goodput, prefix hits, cross-region bytes and processor time of routing decisions."""

import asyncio
import math
import time
from collections.abc import Sequence
from random import Random

from bench.measurements import Better, Measurement
from bench.routing_harness import FixedPeers, RequestResult, RoutingHarness, disable_logs
from verbenawind.clock import SystemClock
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    EngineStatus,
    GenerateRequest,
    Location,
    ModelStatus,
    WorkKind,
)
from verbenawind.kernel.ports import Peer
from verbenawind.routing import RoutingPolicy
from verbenawind.routing.engine_pool import EnginePool, EngineRequirements
from verbenawind.routing.slots import Ticket
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.engine import EngineProfile

__all__ = ["run"]

_BENCH = "routing"
_FULL_POLICY = "verbenawind"
_FIFO = "fifo"
_LEAST_LOADED = "least-loaded"
_POLICIES = {
    _FULL_POLICY: RoutingPolicy(),
    _FIFO: RoutingPolicy(fair=False, shed=False, reserve=False, affinity=False),
    _LEAST_LOADED: RoutingPolicy(
        fair=False, shed=False, reserve=False, affinity=False, limited=False
    ),
}
_TIMEOUT_S = 5.0
_BOUND_SOURCE = "issue 4"
_ENGINES = 4
_PROFILE = EngineProfile(max_running=8)


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the figures of every policy; all but the decision time are in virtual time."""
    disable_logs()
    scale = 0.25 if short else 1.0
    loads = (1.0, 4.0) if short else (0.5, 1.0, 2.0, 4.0)
    measurements: list[Measurement] = []
    for name, policy in _POLICIES.items():
        measurements += run_virtual(_measure_rollout_flood(seed, name, policy, 60.0 * scale))
    capacity = run_virtual(_measure_capacity(seed, 30.0 * scale))
    measurements.append(_measurement("capacity", "engines always full", capacity, "requests/s"))
    for load in loads:
        for name, policy in _POLICIES.items():
            goodput = run_virtual(_measure_goodput(seed, policy, capacity, load, 40.0 * scale))
            measurements.append(_goodput_measurement(name, load, capacity, goodput))
    for name, policy in _POLICIES.items():
        measurements += run_virtual(
            _measure_engine_failures(seed, name, policy, capacity, 60.0 * scale)
        )
    measurements += _prefix_measurements(seed, 30.0 * scale)
    measurements += _cross_region_measurements(seed, 30.0 * scale)
    measurements += _decision_measurements(seed, 300 if short else 2000)
    return measurements


# Application requests during a flood of rollouts.


async def _measure_rollout_flood(
    seed: int, name: str, policy: RoutingPolicy, duration_s: float
) -> list[Measurement]:
    harness = RoutingHarness(seed, policy, engines=_ENGINES, profile=_PROFILE)
    await harness.start()
    flood = asyncio.ensure_future(harness.closed_loop(200, duration_s, WorkKind.ROLLOUT))
    await asyncio.sleep(duration_s / 4)
    await harness.open_loop(8.0, duration_s / 2, lambda: harness.send(timeout_s=_TIMEOUT_S))
    end_s = harness.deployment.clock.monotonic_s()
    await flood
    await harness.wait_for_all()
    applications = [result for result in harness.results if result.kind is WorkKind.APPLICATION]
    rollouts = [result for result in harness.results if result.kind is WorkKind.ROLLOUT]
    completed_rollouts = [
        result for result in rollouts if result.complete and (result.ended_at_s or 0) < end_s
    ]
    waits = sorted(_first_token_wait_s(result) for result in applications)
    await harness.stop()
    bound = _TIMEOUT_S if name == _FULL_POLICY else None
    return [
        _measurement(
            "application_first_token_p99_flood",
            name,
            waits[math.ceil(len(waits) * 0.99) - 1],
            "s",
            better=Better.LOWER,
            bound=bound,
        ),
        _measurement(
            "application_first_token_p50_flood",
            name,
            waits[len(waits) // 2],
            "s",
            better=Better.LOWER,
        ),
        _measurement(
            "application_whole_answers_flood",
            name,
            _complete_fraction(applications),
            "fraction",
            better=Better.HIGHER,
        ),
        _measurement(
            "rollouts_served_flood",
            name,
            len(completed_rollouts) / (duration_s * 0.75),
            "samples/s",
            better=Better.HIGHER,
        ),
    ]


def _first_token_wait_s(result: RequestResult) -> float:
    """Return the time to the first token, infinite for a request that got none."""
    return (
        math.inf if result.first_token_at_s is None else result.first_token_at_s - result.sent_at_s
    )


def _complete_fraction(results: Sequence[RequestResult]) -> float:
    return sum(result.complete for result in results) / len(results)


# Goodput at multiples of the capacity.


async def _measure_capacity(seed: int, duration_s: float) -> float:
    """Return the answers per second of engines that are always fully occupied."""
    harness = RoutingHarness(seed, _POLICIES[_LEAST_LOADED], engines=_ENGINES, profile=_PROFILE)
    await harness.start()
    concurrency = 2 * _ENGINES * _PROFILE.max_running
    started_s = harness.deployment.clock.monotonic_s()
    await harness.closed_loop(concurrency, duration_s, WorkKind.APPLICATION)
    end_s = started_s + duration_s
    complete = [
        item for item in harness.results if item.complete and (item.ended_at_s or 0) <= end_s
    ]
    await harness.stop()
    return len(complete) / duration_s


async def _measure_goodput(
    seed: int, policy: RoutingPolicy, capacity: float, load: float, duration_s: float
) -> float:
    harness = RoutingHarness(seed, policy, engines=_ENGINES, profile=_PROFILE)
    await harness.start()
    started_s = harness.deployment.clock.monotonic_s()
    await harness.open_loop(capacity * load, duration_s, lambda: harness.send(timeout_s=_TIMEOUT_S))
    end_s = harness.deployment.clock.monotonic_s()
    await harness.wait_for_all()
    in_time = [
        item for item in harness.results if item.complete and (item.ended_at_s or 0) <= end_s
    ]
    await harness.stop()
    return len(in_time) / (end_s - started_s)


def _goodput_measurement(name: str, load: float, capacity: float, goodput: float) -> Measurement:
    bounded = name == _FULL_POLICY and load == 4.0
    return _measurement(
        f"goodput_at_{load}x",
        name,
        goodput / capacity,
        "of capacity",
        better=Better.HIGHER,
        bound=0.95 if bounded else None,
    )


# Crash and restart of a third of the pool.


async def _measure_engine_failures(
    seed: int, name: str, policy: RoutingPolicy, capacity: float, duration_s: float
) -> list[Measurement]:
    engines = 6
    harness = RoutingHarness(seed, policy, engines=engines, profile=_PROFILE)
    await harness.start()
    rate = 0.6 * capacity * engines / _ENGINES
    sending = asyncio.ensure_future(
        harness.open_loop(rate, duration_s, lambda: harness.send(timeout_s=_TIMEOUT_S))
    )
    failing = [harness.deployment.engines[f"engine-{index}"] for index in range(engines // 3)]
    await asyncio.sleep(duration_s / 3)
    for engine in failing:
        engine.crash()
    await asyncio.sleep(duration_s / 3)
    for engine in failing:
        engine.restart()
    await sending
    await harness.wait_for_all()
    attempts = sum(
        len(engine.started_request_ids) for engine in harness.deployment.engines.values()
    )
    figures = [
        _measurement(
            "whole_answers_third_dying",
            name,
            _complete_fraction(harness.results),
            "fraction",
            better=Better.HIGHER,
        ),
        _measurement(
            "attempts_per_request_third_dying",
            name,
            attempts / len(harness.results),
            "attempts",
            better=Better.LOWER,
        ),
    ]
    await harness.stop()
    return figures


# Prefix cache hits and cross-region bytes.


def _prefix_measurements(seed: int, duration_s: float) -> list[Measurement]:
    figures = []
    for name in (_FULL_POLICY, _LEAST_LOADED):
        rate = run_virtual(_measure_prefix_hits(seed, _POLICIES[name], duration_s))
        figures.append(
            _measurement("prefix_hit_rate", name, rate, "fraction", better=Better.HIGHER)
        )
    return figures


async def _measure_prefix_hits(seed: int, policy: RoutingPolicy, duration_s: float) -> float:
    """Return the fraction of prompt blocks found in the engines' bounded prefix caches."""
    profile = EngineProfile(max_running=8, prefix_blocks=200)
    harness = RoutingHarness(seed, policy, engines=8, profile=profile)
    await harness.start()
    prefixes = [f"system prompt {index} " * 40 for index in range(80)]
    sent_blocks = 0

    def send() -> None:
        nonlocal sent_blocks
        prompt = harness.rng.choice(prefixes) + f"question {harness.rng.random()}"
        sent_blocks += math.ceil(len(prompt) / 64)
        harness.send(prompt=prompt)

    await harness.open_loop(40.0, duration_s, send)
    await harness.wait_for_all()
    missed_blocks = sum(len(engine._events) for engine in harness.deployment.engines.values())
    await harness.stop()
    return 1.0 - missed_blocks / sent_blocks


def _cross_region_measurements(seed: int, duration_s: float) -> list[Measurement]:
    figures = []
    for name, price in (("default price", 0.05), ("price of 10000", 10_000.0)):
        size_bytes, p99_s = run_virtual(_measure_cross_region(seed, price, duration_s))
        figures.append(
            _measurement("cross_region_bytes", name, size_bytes, "bytes", better=Better.LOWER)
        )
        figures.append(
            _measurement("first_token_p99_two_regions", name, p99_s, "s", better=Better.LOWER)
        )
    return figures


async def _measure_cross_region(
    seed: int, price_per_gib: float, duration_s: float
) -> tuple[float, float]:
    """Return the cross-region bytes and the p99 wait at nine tenths of the local capacity.

    Half of the engines are in the daemon's own region, the other half in another one.
    """
    harness = RoutingHarness(
        seed,
        RoutingPolicy(),
        engines=4,
        profile=_PROFILE,
        regions=("bangkok", "hat-yai"),
        price_per_gib=price_per_gib,
    )
    await harness.start()
    await harness.open_loop(30.0, duration_s, lambda: harness.send(timeout_s=_TIMEOUT_S))
    await harness.wait_for_all()
    waits = sorted(_first_token_wait_s(result) for result in harness.results)
    size_bytes = float(harness.dispatcher.stats.cross_region_bytes)
    await harness.stop()
    return size_bytes, waits[math.ceil(len(waits) * 0.99) - 1]


# Processor time of one decision.


def _decision_measurements(seed: int, decisions: int) -> list[Measurement]:
    figures = []
    for engines in (7, 64, 200, 870):
        for busy in (False, True):
            cost_s, considered = asyncio.run(
                _measure_decisions(seed, engines, decisions, busy=busy)
            )
            variant = f"{engines} engines, {'all full' if busy else 'free slots'}"
            figures.append(
                _measurement("decision_time", variant, cost_s * 1e6, "us", better=Better.LOWER)
            )
            figures.append(
                _measurement(
                    "engines_looked_at", variant, considered, "engines", better=Better.LOWER
                )
            )
    return figures


async def _measure_decisions(
    seed: int, engines: int, decisions: int, *, busy: bool
) -> tuple[float, float]:
    """Return the mean time of a decision in seconds and the mean number of engines considered."""
    location = Location(zone="bangkok-a", region="bangkok")
    fleet = Fleet(SystemClock(), location)
    for index in range(engines):
        _add_engine(fleet, f"engine-{index}", location)
    daemons = max(1, engines * 60 // 870)
    peers = [
        Peer(peer_id=f"daemon-{index}", address="127.0.0.1:1", location=location, incarnation=1)
        for index in range(1, daemons)
    ]
    pool = EnginePool(
        "tuning",
        fleet=fleet,
        peers=FixedPeers("daemon-0", peers),
        clock=SystemClock(),
        rng=Random(seed),
        policy=RoutingPolicy(),
    )
    tickets = [_ticket(index) for index in range(decisions)]
    pool.choose(tickets[0])
    if busy:
        pool.queue.in_flight.update({f"engine-{index}": 1000 for index in range(engines)})
    considered = 0
    started_s = time.perf_counter()
    for ticket in tickets:
        considered += pool.choose(ticket).considered
    return (time.perf_counter() - started_s) / decisions, considered / decisions


def _add_engine(fleet: Fleet, server_id: str, location: Location) -> None:
    fleet.add(
        BackendServer(
            server_id=server_id,
            kind=BackendKind.ENGINE,
            group="tuning",
            address="127.0.0.1:1",
            location=location,
        )
    )
    fleet.observe(
        EngineStatus(
            server_id=server_id,
            incarnation=1,
            models=(ModelStatus(model="tuner", active_version=1),),
            running=4,
            waiting=0,
            max_running=16,
        )
    )


def _ticket(index: int) -> Ticket:
    request = GenerateRequest(
        request_id=f"r{index}",
        environment="bench/production",
        caller="desk",
        kind=WorkKind.APPLICATION,
        model="tuner",
        pool="tuning",
        prompt=f"prompt {index % 500}",
        max_tokens=64,
        seed=index,
        deadline_s=time.monotonic() + 60.0,
    )
    return Ticket(
        request_id=request.request_id,
        caller="desk",
        kind=request.kind,
        weight=1.0,
        lane="tuner",
        deadline_s=request.deadline_s,
        payload=EngineRequirements(request, set(), trial=False),
    )


def _measurement(
    figure: str,
    variant: str,
    value: float,
    unit: str,
    *,
    better: Better = Better.NEITHER,
    bound: float | None = None,
) -> Measurement:
    return Measurement(
        bench=_BENCH,
        figure=figure,
        variant=variant,
        value=value,
        unit=unit,
        better=better,
        baseline_variant=None if variant == _FIFO else _FIFO,
        bound=bound,
        bound_source=_BOUND_SOURCE if bound is not None else "",
    )


if __name__ == "__main__":
    for measurement in run(1, True):
        print(
            f"{measurement.figure:36} {measurement.variant:24} {measurement.value:10.3f} "
            f"{measurement.unit}"
        )
