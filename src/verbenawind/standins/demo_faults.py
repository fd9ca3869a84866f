"""The sequence of partly overlapping faults that the demonstration injects."""

import asyncio

from verbenawind.standins.demo_deployment import DemoDeployment

__all__ = ["inject_faults"]

_KILLED = 1
_PARTITIONED = 2


async def inject_faults(deployment: DemoDeployment) -> None:
    """Crash engines, fail swaps, stop the stores, kill a daemon and partition a zone."""
    await asyncio.sleep(1.0)
    _print_fault("engine-0 crashes")
    deployment.engines[0].crash()
    _print_fault("the next weight swap on engine-3 and engine-4 fails midway")
    deployment.engines[3].faults.fail_next_swaps = 1
    deployment.engines[4].faults.fail_next_swaps = 1
    await asyncio.sleep(2.0)
    _print_fault("engine-0 restarts with its initial weights; engine-5 crashes")
    deployment.engines[0].restart()
    deployment.engines[5].crash()
    await asyncio.sleep(1.5)
    deployment.engines[5].restart()
    _print_fault("the table and the object store go down; the table then loses two responses")
    deployment.table.faults.lose_next_answers = 2
    deployment.table.faults.down = deployment.objects.faults.down = True
    await asyncio.sleep(3.0)
    _print_fault("the stores are up; the table loses one response in fifty")
    deployment.table.faults.down = deployment.objects.faults.down = False
    deployment.table.faults.lose_answer_rate = 0.02
    await asyncio.sleep(1.0)
    _print_fault(f"daemon-{_KILLED} is killed during a step")
    await deployment.kill_daemon(_KILLED)
    await asyncio.sleep(2.0)
    await deployment.replace_daemon(_KILLED)
    _print_fault(f"daemon-{_KILLED} is replaced by a daemon at another address")
    await asyncio.sleep(1.0)
    _print_fault(
        f"the zone of daemon-{_PARTITIONED} is partitioned from the platform and the other zones"
    )
    deployment.cut_off(_PARTITIONED)
    await asyncio.sleep(4.0)
    deployment.network.heal()
    deployment.table.faults.lose_answer_rate = 0.0
    _print_fault("the zone is reachable again")


def _print_fault(text: str) -> None:
    print(f"  fault: {text}", flush=True)
