"""Tests of serving while the platform is slow or a zone is isolated by a partition."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from verbenawind.daemon import Core
from verbenawind.document import parse_document
from verbenawind.kernel.messages import GenerateRequest, GenerationEnded, WorkKind
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.network import PLATFORM

DOCUMENT = parse_document("""
{
  "environment": "siam-fold",
  "pools": [{"name": "tuning"}],
  "models": [{"name": "tuner", "pool": "tuning"}],
  "callers": [
    {"name": "line", "kind": "application", "models": ["tuner"],
     "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"}
  ]
}
""")
ANSWER_S = 5.0
READS_PER_DAEMON_S = (
    0.5 * 2000 / 420
)  # Half of the table's 2000 reads per second, shared by 420 daemons.


def run_deployment(work: Callable[[Deployment, list[Core]], Awaitable[Any]]) -> Any:
    async def scenario() -> Any:
        deployment = Deployment()
        for index in range(3):
            deployment.add_engine(f"engine-{index}", "tuning", {"tuner": 3}, zone_index=index)
        cores = [deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(6)]
        for core in cores:
            await core.start()
        await asyncio.sleep(5.0)
        await deployment.accept(DOCUMENT)
        await asyncio.sleep(5.0)
        result = await work(deployment, cores)
        await deployment.stop()
        return result

    return run_virtual(scenario())


async def answer(core: Core) -> GenerationEnded:
    request = GenerateRequest(
        request_id="request",
        environment="siam-fold/production",
        caller="line",
        kind=WorkKind.APPLICATION,
        model="tuner",
        pool="tuning",
        prompt="fold",
        max_tokens=16,
        seed=1,
        deadline_s=core.dependencies.clock.monotonic_s() + ANSWER_S,
    )
    events = [event async for event in core.dispatcher.generate(request)]
    assert isinstance(events[-1], GenerationEnded)
    return events[-1]


def isolate(deployment: Deployment, zone: str) -> None:
    for other in [PLATFORM, *(location.zone for location in deployment.locations)]:
        if other != zone:
            deployment.network.cut(zone, other)


class TestSlowStore:
    def test_answers_do_not_wait_for_the_store(self) -> None:
        """Store latency of four seconds does not delay an application's answer."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            started_s = deployment.clock.monotonic_s()
            await answer(cores[1])
            usual_s = deployment.clock.monotonic_s() - started_s
            deployment.table.faults.delay_s = deployment.objects.faults.delay_s = 4.0
            await asyncio.sleep(20.0)
            started_s = deployment.clock.monotonic_s()
            await answer(cores[1])
            assert deployment.clock.monotonic_s() - started_s < usual_s + 0.5

        run_deployment(work)


class TestIsolatedZone:
    def test_isolated_zone_answers(self) -> None:
        """A zone isolated from the platform and other zones stays ready and answers."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            isolate(deployment, cores[0].settings.zone)
            await asyncio.sleep(300.0)
            assert cores[0].ready and cores[3].ready
            await answer(cores[0])

        run_deployment(work)

    def test_daemon_started_in_an_isolated_zone_answers(self) -> None:
        """A daemon started in the isolated zone becomes ready and answers."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            isolate(deployment, cores[0].settings.zone)
            await asyncio.sleep(30.0)
            fresh = deployment.add_daemon("daemon-fresh", zone_index=0)
            await fresh.start()
            await asyncio.sleep(5.0)
            assert fresh.ready
            await answer(fresh)

        run_deployment(work)

    def test_healed_partition_causes_no_read_storm(self) -> None:
        """After a partition heals membership is complete in 15 s, within the read budget."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            isolate(deployment, cores[0].settings.zone)
            await asyncio.sleep(600.0)
            reads_before = deployment.table.reads
            deployment.network.heal()
            await asyncio.sleep(15.0)
            assert all(len(core.peers.peers()) == len(cores) - 1 for core in cores)
            zones = {link.peer.zone for core in cores[::3] for link in core.peers.links()}
            assert len(zones) == 3
            assert deployment.table.reads - reads_before < 15 * len(cores) * READS_PER_DAEMON_S

        run_deployment(work)


class TestMassRestart:
    def test_all_daemons_at_once(self) -> None:
        """When all daemons restart at once, they find each other and are ready within 10 s."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await asyncio.gather(*(core.kill() for core in cores))
            again = [
                deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(6)
            ]
            await asyncio.gather(*(core.start() for core in again))
            await asyncio.sleep(10.0)
            for core in again:
                assert core.ready
                assert core.configuration.current("siam-fold", "production") is not None
                assert len(core.peers.peers()) == len(again) - 1
                assert len(core.fleet.all()) == 3

        run_deployment(work)
