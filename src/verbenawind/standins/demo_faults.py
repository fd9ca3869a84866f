"""The faults that the demonstration injects, one after the other and partly together."""

import asyncio

from verbenawind.standins.demo_world import DemoWorld

__all__ = ["inject_faults"]

_KILLED = 1
_CUT_OFF = 2


async def inject_faults(world: DemoWorld) -> None:
    """Crash engines, fail a swap, take the store away, kill a daemon, cut a zone off."""
    await asyncio.sleep(1.0)
    _say("engine-0 crashes")
    world.engines[0].crash()
    _say("the next swap on engine-3 and engine-4 stops halfway")
    world.engines[3].faults.fail_next_swaps = 1
    world.engines[4].faults.fail_next_swaps = 1
    await asyncio.sleep(2.0)
    _say("engine-0 returns with its first weights; engine-5 crashes")
    world.engines[0].restart()
    world.engines[5].crash()
    await asyncio.sleep(1.5)
    world.engines[5].restart()
    _say("the table and the object store go down, having lost their last answers")
    world.table.faults.lose_next_answers = 2
    world.table.faults.down = world.objects.faults.down = True
    await asyncio.sleep(3.0)
    _say("the stores are back and lose one answer in fifty")
    world.table.faults.down = world.objects.faults.down = False
    world.table.faults.lose_answer_rate = 0.02
    await asyncio.sleep(1.0)
    _say(f"daemon-{_KILLED} is killed in the middle of a step")
    await world.kill_daemon(_KILLED)
    await asyncio.sleep(2.0)
    await world.replace_daemon(_KILLED)
    _say(f"daemon-{_KILLED} is replaced by one on another address")
    await asyncio.sleep(1.0)
    _say(f"the zone of daemon-{_CUT_OFF} is cut off from the platform and the other zones")
    world.cut_off(_CUT_OFF)
    await asyncio.sleep(4.0)
    world.network.heal()
    world.table.faults.lose_answer_rate = 0.0
    _say("the zone is reachable again")


def _say(text: str) -> None:
    print(f"  fault: {text}", flush=True)
