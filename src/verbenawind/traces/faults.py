"""Injects a trace's faults into a simulated deployment; each fault kind has a handler."""

import asyncio
from collections.abc import Callable

from verbenawind.standins.simulation import Simulation
from verbenawind.traces.types import Fault, FaultKind

__all__ = ["apply_fault"]

_SLOWDOWN = 10
_HANDLERS: dict[FaultKind, Callable[[Simulation, Fault], None]] = {}

FaultHandler = Callable[[Simulation, Fault], None]


def apply_fault(simulation: Simulation, fault: Fault) -> None:
    """Inject a fault and, for kinds with a duration, schedule its removal."""
    _HANDLERS[fault.kind](simulation, fault)


def _register(kind: FaultKind) -> Callable[[FaultHandler], FaultHandler]:
    def register(apply: FaultHandler) -> FaultHandler:
        _HANDLERS[kind] = apply
        return apply

    return register


def _engine_id(simulation: Simulation, index: int) -> str:
    return sorted(simulation.deployment.engines)[index % len(simulation.deployment.engines)]


def _schedule_undo(simulation: Simulation, fault: Fault, undo: Callable[[], object]) -> None:
    async def wait() -> None:
        await simulation.clock.sleep(fault.duration_s)
        undone = undo()
        if asyncio.iscoroutine(undone):
            await undone

    simulation.spawn(wait())


@_register(FaultKind.CRASH_ENGINE)
def _crash_engine(simulation: Simulation, fault: Fault) -> None:
    engine = simulation.deployment.engines[_engine_id(simulation, fault.target)]
    engine.crash()
    _schedule_undo(simulation, fault, engine.restart)


@_register(FaultKind.FAIL_SWAPS)
def _fail_swaps(simulation: Simulation, fault: Fault) -> None:
    simulation.deployment.engines[_engine_id(simulation, fault.target)].faults.fail_next_swaps += 1


@_register(FaultKind.SLOW_ENGINE)
def _slow_engine(simulation: Simulation, fault: Fault) -> None:
    profile = simulation.deployment.engines[_engine_id(simulation, fault.target)].profile
    usual_s = profile.tick_s
    profile.tick_s = usual_s * _SLOWDOWN
    _schedule_undo(simulation, fault, lambda: setattr(profile, "tick_s", usual_s))


@_register(FaultKind.CUT_ZONE)
def _cut_zone(simulation: Simulation, fault: Fault) -> None:
    simulation.cut(fault.target, platform=True)
    simulation.cut(fault.target, platform=False)
    _schedule_undo(simulation, fault, simulation.deployment.network.heal)


@_register(FaultKind.KILL_DAEMON)
def _kill_daemon(simulation: Simulation, fault: Fault) -> None:
    simulation.spawn(simulation.kill_daemon(fault.target))
    _schedule_undo(simulation, fault, lambda: simulation.start_daemon(fault.target))


@_register(FaultKind.PAUSE_DAEMON)
def _pause_daemon(simulation: Simulation, fault: Fault) -> None:
    simulation.pause(fault.target)
    _schedule_undo(simulation, fault, lambda: simulation.resume(fault.target))


@_register(FaultKind.STORE_DOWN)
def _store_down(simulation: Simulation, fault: Fault) -> None:
    simulation.oracle.begin_disturbance(simulation.clock.monotonic_s())
    stores = (simulation.deployment.table, simulation.deployment.objects)

    def set_down(down: bool) -> None:
        for store in stores:
            store.faults.down = down

    set_down(True)
    _schedule_undo(simulation, fault, lambda: set_down(False))


@_register(FaultKind.LOSE_SERVICE_ANSWER)
def _lose_service_answer(simulation: Simulation, _: Fault) -> None:
    for service in simulation.deployment.services.values():
        service.lose_next_answers = 1
