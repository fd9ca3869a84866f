"""Queue wait, goodput, prefix hits, bytes between regions and the cost of a decision."""

import asyncio
import math
import time
from collections.abc import Sequence
from random import Random

from bench.measurements import Better, Measurement
from bench.routing_rig import Answer, FixedPeers, Rig, quiet_logs
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
from verbenawind.standins.engine import EngineProfile
from verbenawind.standins.world import run_virtual

__all__ = ["run"]

_BENCH = "routing"
_DEFAULT = "verbenawind"
_FIFO = "fifo"
_LEAST_LOADED = "least-loaded"
_POLICIES = {
    _DEFAULT: RoutingPolicy(),
    _FIFO: RoutingPolicy(fair=False, shed=False, reserve=False, affinity=False),
    _LEAST_LOADED: RoutingPolicy(
        fair=False, shed=False, reserve=False, affinity=False, limited=False
    ),
}
_TIMEOUT_S = 5.0
_TARGET = "issue 4"
_ENGINES = 4
_PROFILE = EngineProfile(max_running=8)


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the measurements of one run."""
    quiet_logs()
    scale = 0.25 if short else 1.0
    loads = (1.0, 4.0) if short else (0.5, 1.0, 2.0, 4.0)
    measurements: list[Measurement] = []
    for name, policy in _POLICIES.items():
        measurements += run_virtual(_flood(seed, name, policy, 60.0 * scale))
    capacity = run_virtual(_capacity(seed, 30.0 * scale))
    measurements.append(_figure("capacity", "engines always full", capacity, "requests/s"))
    for load in loads:
        for name, policy in _POLICIES.items():
            goodput = run_virtual(_goodput(seed, policy, capacity, load, 40.0 * scale))
            measurements.append(_goodput_figure(name, load, capacity, goodput))
    for name, policy in _POLICIES.items():
        measurements += run_virtual(_dying(seed, name, policy, capacity, 60.0 * scale))
    measurements += _prefix_figures(seed, 30.0 * scale)
    measurements += _region_figures(seed, 30.0 * scale)
    measurements += _decision_figures(seed, 300 if short else 2000)
    return measurements


# Applications while rollouts flood.


async def _flood(
    seed: int, name: str, policy: RoutingPolicy, duration_s: float
) -> list[Measurement]:
    rig = Rig(seed, policy, engines=_ENGINES, profile=_PROFILE)
    await rig.start()
    flood = asyncio.ensure_future(rig.closed_loop(200, duration_s, WorkKind.ROLLOUT))
    await asyncio.sleep(duration_s / 4)
    await rig.open_loop(8.0, duration_s / 2, lambda: rig.send(timeout_s=_TIMEOUT_S))
    ends_at_s = rig.world.clock.monotonic_s()
    await flood
    await rig.settle()
    applications = [answer for answer in rig.answers if answer.kind is WorkKind.APPLICATION]
    rollouts = [answer for answer in rig.answers if answer.kind is WorkKind.ROLLOUT]
    served = [
        answer for answer in rollouts if answer.whole and (answer.ended_at_s or 0) < ends_at_s
    ]
    waits = sorted(_wait_s(answer) for answer in applications)
    await rig.stop()
    bound = _TIMEOUT_S if name == _DEFAULT else None
    return [
        _figure(
            "application_first_token_p99_flood",
            name,
            waits[math.ceil(len(waits) * 0.99) - 1],
            "s",
            better=Better.LOWER,
            bound=bound,
        ),
        _figure(
            "application_first_token_p50_flood",
            name,
            waits[len(waits) // 2],
            "s",
            better=Better.LOWER,
        ),
        _figure(
            "application_whole_answers_flood",
            name,
            _share(applications),
            "fraction",
            better=Better.HIGHER,
        ),
        _figure(
            "rollouts_served_flood",
            name,
            len(served) / (duration_s * 0.75),
            "samples/s",
            better=Better.HIGHER,
        ),
    ]


def _wait_s(answer: Answer) -> float:
    """Return the time to the first token; a request that got none waited for ever."""
    return math.inf if answer.first_at_s is None else answer.first_at_s - answer.asked_at_s


def _share(answers: Sequence[Answer]) -> float:
    return sum(answer.whole for answer in answers) / len(answers)


# Goodput under load.


async def _capacity(seed: int, duration_s: float) -> float:
    """Return the answers per second of the engines when they are always full."""
    rig = Rig(seed, _POLICIES[_LEAST_LOADED], engines=_ENGINES, profile=_PROFILE)
    await rig.start()
    width = 2 * _ENGINES * _PROFILE.max_running
    started_s = rig.world.clock.monotonic_s()
    await rig.closed_loop(width, duration_s, WorkKind.APPLICATION)
    ends_at_s = started_s + duration_s
    whole = [item for item in rig.answers if item.whole and (item.ended_at_s or 0) <= ends_at_s]
    await rig.stop()
    return len(whole) / duration_s


async def _goodput(
    seed: int, policy: RoutingPolicy, capacity: float, load: float, duration_s: float
) -> float:
    rig = Rig(seed, policy, engines=_ENGINES, profile=_PROFILE)
    await rig.start()
    started_s = rig.world.clock.monotonic_s()
    await rig.open_loop(capacity * load, duration_s, lambda: rig.send(timeout_s=_TIMEOUT_S))
    ends_at_s = rig.world.clock.monotonic_s()
    await rig.settle()
    good = [item for item in rig.answers if item.whole and (item.ended_at_s or 0) <= ends_at_s]
    await rig.stop()
    return len(good) / (ends_at_s - started_s)


def _goodput_figure(name: str, load: float, capacity: float, goodput: float) -> Measurement:
    bounded = name == _DEFAULT and load == 4.0
    return _figure(
        f"goodput_at_{load}x",
        name,
        goodput / capacity,
        "of capacity",
        better=Better.HIGHER,
        bound=0.95 if bounded else None,
    )


# A third of the pool dying and coming back.


async def _dying(
    seed: int, name: str, policy: RoutingPolicy, capacity: float, duration_s: float
) -> list[Measurement]:
    engines = 6
    rig = Rig(seed, policy, engines=engines, profile=_PROFILE)
    await rig.start()
    rate = 0.6 * capacity * engines / _ENGINES
    sending = asyncio.ensure_future(
        rig.open_loop(rate, duration_s, lambda: rig.send(timeout_s=_TIMEOUT_S))
    )
    victims = [rig.world.engines[f"engine-{index}"] for index in range(engines // 3)]
    await asyncio.sleep(duration_s / 3)
    for engine in victims:
        engine.crash()
    await asyncio.sleep(duration_s / 3)
    for engine in victims:
        engine.restart()
    await sending
    await rig.settle()
    starts = sum(len(engine.started_request_ids) for engine in rig.world.engines.values())
    figures = [
        _figure(
            "whole_answers_third_dying", name, _share(rig.answers), "fraction", better=Better.HIGHER
        ),
        _figure(
            "attempts_per_request_third_dying",
            name,
            starts / len(rig.answers),
            "attempts",
            better=Better.LOWER,
        ),
    ]
    await rig.stop()
    return figures


# Prefix hits and bytes between regions.


def _prefix_figures(seed: int, duration_s: float) -> list[Measurement]:
    figures = []
    for name in (_DEFAULT, _LEAST_LOADED):
        rate = run_virtual(_prefix_hits(seed, _POLICIES[name], duration_s))
        figures.append(_figure("prefix_hit_rate", name, rate, "fraction", better=Better.HIGHER))
    return figures


async def _prefix_hits(seed: int, policy: RoutingPolicy, duration_s: float) -> float:
    """Return the share of prompt blocks found in the engines' bounded caches."""
    profile = EngineProfile(max_running=8, prefix_blocks=200)
    rig = Rig(seed, policy, engines=8, profile=profile)
    await rig.start()
    heads = [f"system prompt {index} " * 40 for index in range(80)]
    sent_blocks = 0

    def send() -> None:
        nonlocal sent_blocks
        prompt = rig.rng.choice(heads) + f"question {rig.rng.random()}"
        sent_blocks += math.ceil(len(prompt) / 64)
        rig.send(prompt=prompt)

    await rig.open_loop(40.0, duration_s, send)
    await rig.settle()
    missed = sum(len(engine._events) for engine in rig.world.engines.values())
    await rig.stop()
    return 1.0 - missed / sent_blocks


def _region_figures(seed: int, duration_s: float) -> list[Measurement]:
    figures = []
    for name, price in (("default price", 0.05), ("price of 10000", 10_000.0)):
        size_bytes, p99_s = run_virtual(_regions(seed, price, duration_s))
        figures.append(
            _figure("cross_region_bytes", name, size_bytes, "bytes", better=Better.LOWER)
        )
        figures.append(
            _figure("first_token_p99_two_regions", name, p99_s, "s", better=Better.LOWER)
        )
    return figures


async def _regions(seed: int, price_per_gib: float, duration_s: float) -> tuple[float, float]:
    """Load the daemon's own region to nine tenths, with as many engines in another one."""
    rig = Rig(
        seed,
        RoutingPolicy(),
        engines=4,
        profile=_PROFILE,
        regions=("bangkok", "hat-yai"),
        price_per_gib=price_per_gib,
    )
    await rig.start()
    await rig.open_loop(30.0, duration_s, lambda: rig.send(timeout_s=_TIMEOUT_S))
    await rig.settle()
    waits = sorted(_wait_s(answer) for answer in rig.answers)
    size_bytes = float(rig.dispatcher.stats.cross_region_bytes)
    await rig.stop()
    return size_bytes, waits[math.ceil(len(waits) * 0.99) - 1]


# The cost of one decision.


def _decision_figures(seed: int, decisions: int) -> list[Measurement]:
    figures = []
    for engines in (7, 64, 200, 870):
        for busy in (False, True):
            cost_s, considered = asyncio.run(_decision(seed, engines, decisions, busy=busy))
            variant = f"{engines} engines, {'all full' if busy else 'free slots'}"
            figures.append(
                _figure("decision_time", variant, cost_s * 1e6, "us", better=Better.LOWER)
            )
            figures.append(
                _figure("engines_looked_at", variant, considered, "engines", better=Better.LOWER)
            )
    return figures


async def _decision(seed: int, engines: int, decisions: int, *, busy: bool) -> tuple[float, float]:
    """Return the mean time of a decision in seconds, and how many engines it looked at."""
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


def _figure(
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
        bound_source=_TARGET if bound is not None else "",
    )


if __name__ == "__main__":
    for measurement in run(1, True):
        print(
            f"{measurement.figure:36} {measurement.variant:24} {measurement.value:10.3f} "
            f"{measurement.unit}"
        )
