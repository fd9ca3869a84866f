"""The sequence of partly overlapping faults that the demonstration injects."""

import asyncio

from verbenawind.standins.demo_world import DemoWorld

__all__ = ["inject_faults"]

_KILLED = 1
_PARTITIONED = 2


async def inject_faults(world: DemoWorld) -> None:
    """Crash engines, fail swaps, stop the stores, kill a daemon and partition a zone."""
    await asyncio.sleep(1.0)
    _print_fault("engine-0 crashes")
    world.engines[0].crash()
    _print_fault("the next weight swap on engine-3 and engine-4 fails midway")
    world.engines[3].faults.fail_next_swaps = 1
    world.engines[4].faults.fail_next_swaps = 1
    await asyncio.sleep(2.0)
    _print_fault("engine-0 restarts with its initial weights; engine-5 crashes")
    world.engines[0].restart()
    world.engines[5].crash()
    await asyncio.sleep(1.5)
    world.engines[5].restart()
    _print_fault("the table and the object store go down; the table then loses two responses")
    world.table.faults.lose_next_answers = 2
    world.table.faults.down = world.objects.faults.down = True
    await asyncio.sleep(3.0)
    _print_fault("the stores are up; the table loses one response in fifty")
    world.table.faults.down = world.objects.faults.down = False
    world.table.faults.lose_answer_rate = 0.02
    await asyncio.sleep(1.0)
    _print_fault(f"daemon-{_KILLED} is killed during a step")
    await world.kill_daemon(_KILLED)
    await asyncio.sleep(2.0)
    await world.replace_daemon(_KILLED)
    _print_fault(f"daemon-{_KILLED} is replaced by a daemon at another address")
    await asyncio.sleep(1.0)
    _print_fault(
        f"the zone of daemon-{_PARTITIONED} is partitioned from the platform and the other zones"
    )
    world.cut_off(_PARTITIONED)
    await asyncio.sleep(4.0)
    world.network.heal()
    world.table.faults.lose_answer_rate = 0.0
    _print_fault("the zone is reachable again")


def _print_fault(text: str) -> None:
    print(f"  fault: {text}", flush=True)
