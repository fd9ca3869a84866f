"""Injects a trace's faults into a simulated deployment; each fault kind has a handler."""

import asyncio
from collections.abc import Callable

from verbenawind.standins.scene import Scene
from verbenawind.traces.types import Fault, FaultKind

__all__ = ["apply_fault"]

_SLOWDOWN = 10
_HANDLERS: dict[FaultKind, Callable[[Scene, Fault], None]] = {}

FaultHandler = Callable[[Scene, Fault], None]


def apply_fault(scene: Scene, fault: Fault) -> None:
    """Inject a fault and, for kinds with a duration, schedule its removal."""
    _HANDLERS[fault.kind](scene, fault)


def _register(kind: FaultKind) -> Callable[[FaultHandler], FaultHandler]:
    def register(apply: FaultHandler) -> FaultHandler:
        _HANDLERS[kind] = apply
        return apply

    return register


def _engine_id(scene: Scene, index: int) -> str:
    return sorted(scene.deployment.engines)[index % len(scene.deployment.engines)]


def _schedule_undo(scene: Scene, fault: Fault, undo: Callable[[], object]) -> None:
    async def wait() -> None:
        await scene.clock.sleep(fault.duration_s)
        undone = undo()
        if asyncio.iscoroutine(undone):
            await undone

    scene.spawn(wait())


@_register(FaultKind.CRASH_ENGINE)
def _crash_engine(scene: Scene, fault: Fault) -> None:
    engine = scene.deployment.engines[_engine_id(scene, fault.target)]
    engine.crash()
    _schedule_undo(scene, fault, engine.restart)


@_register(FaultKind.FAIL_SWAPS)
def _fail_swaps(scene: Scene, fault: Fault) -> None:
    scene.deployment.engines[_engine_id(scene, fault.target)].faults.fail_next_swaps += 1


@_register(FaultKind.SLOW_ENGINE)
def _slow_engine(scene: Scene, fault: Fault) -> None:
    profile = scene.deployment.engines[_engine_id(scene, fault.target)].profile
    usual_s = profile.tick_s
    profile.tick_s = usual_s * _SLOWDOWN
    _schedule_undo(scene, fault, lambda: setattr(profile, "tick_s", usual_s))


@_register(FaultKind.CUT_ZONE)
def _cut_zone(scene: Scene, fault: Fault) -> None:
    scene.cut(fault.target, platform=True)
    scene.cut(fault.target, platform=False)
    _schedule_undo(scene, fault, scene.deployment.network.heal)


@_register(FaultKind.KILL_DAEMON)
def _kill_daemon(scene: Scene, fault: Fault) -> None:
    scene.spawn(scene.kill_daemon(fault.target))
    _schedule_undo(scene, fault, lambda: scene.start_daemon(fault.target))


@_register(FaultKind.PAUSE_DAEMON)
def _pause_daemon(scene: Scene, fault: Fault) -> None:
    scene.pause(fault.target)
    _schedule_undo(scene, fault, lambda: scene.resume(fault.target))


@_register(FaultKind.STORE_DOWN)
def _store_down(scene: Scene, fault: Fault) -> None:
    scene.oracle.disturb(scene.clock.monotonic_s())
    stores = (scene.deployment.table, scene.deployment.objects)

    def set_down(down: bool) -> None:
        for store in stores:
            store.faults.down = down

    set_down(True)
    _schedule_undo(scene, fault, lambda: set_down(False))


@_register(FaultKind.LOSE_SERVICE_ANSWER)
def _lose_service_answer(scene: Scene, _: Fault) -> None:
    for service in scene.deployment.services.values():
        service.lose_next_answers = 1
