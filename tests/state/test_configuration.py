"""Tests of configuration shared by simulated daemons, under injected failures."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from verbenawind.daemon import Core
from verbenawind.document import EnvironmentDocument, EnvironmentRevision, Stage, parse_document
from verbenawind.errors import RevisionConflict, StoreUnavailable
from verbenawind.kernel.ports import Transaction
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.network import PLATFORM

PROPAGATION_S = 5.0


def document(pool: str = "tuning") -> EnvironmentDocument:
    models = f'[{{"name": "tuner", "pool": "{pool}"}}]'
    return parse_document(
        f'{{"environment": "siam-fold", "pools": [{{"name": "{pool}"}}], "models": {models}}}'
    )


def run_deployment(
    work: Callable[[Deployment, list[Core]], Awaitable[Any]],
    *,
    daemons: int = 6,
    settle_s: float = 5.0,
) -> Any:
    async def scenario() -> Any:
        deployment = Deployment()
        cores = [
            deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(daemons)
        ]
        for core in cores:
            await core.start()
        await asyncio.sleep(settle_s)
        result = await work(deployment, cores)
        await deployment.stop()
        return result

    return run_virtual(scenario())


def revision(core: Core) -> int:
    found = core.configuration.current("siam-fold", "production")
    return found.revision if found else 0


class TestAcceptance:
    def test_in_force_everywhere_within_5_s(self) -> None:
        """An accepted revision is in force on every daemon within 5 s, even without the table."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document(), Stage.PRODUCTION)
            deployment.table.faults.down = True
            await asyncio.sleep(PROPAGATION_S)
            assert [revision(core) for core in cores] == [1] * len(cores)

        run_deployment(work)

    def test_accepting_daemon_that_dies_at_once(self) -> None:
        """A revision is in force within 10 s even if its accepting daemon crashes at once."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document(), Stage.PRODUCTION)
            await cores[0].kill()
            await asyncio.sleep(10.0)
            assert [revision(core) for core in cores[1:]] == [1] * (len(cores) - 1)

        run_deployment(work)

    def test_racing_operators(self) -> None:
        """Of two concurrent operators one gets a conflict with the other's revision and diff."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document("a"), Stage.PRODUCTION)
            results = await asyncio.gather(
                cores[1].configuration.accept(
                    document("b"), Stage.PRODUCTION, expect_revision=1, author="noi"
                ),
                cores[2].configuration.accept(document("c"), Stage.PRODUCTION, expect_revision=1),
                return_exceptions=True,
            )
            won = [result for result in results if isinstance(result, EnvironmentRevision)]
            lost = [result for result in results if isinstance(result, RevisionConflict)]
            assert [item.revision for item in won] == [2]
            assert lost[0].current_revision == 2
            assert won[0].document.pools[0].name in lost[0].difference

        run_deployment(work)

    def test_lost_answer_is_resolved(self) -> None:
        """With lost responses, each revision is reported as accepted and is recorded once."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            deployment.table.faults.lose_answer_rate = 0.5
            for number in range(1, 6):
                accepted = await accept_until_known(cores[number], number)
                assert accepted.revision == number
            deployment.table.faults.lose_answer_rate = 0.0
            assert len(await cores[0].configuration.history("siam-fold", Stage.PRODUCTION)) == 5

        async def accept_until_known(core: Core, number: int) -> EnvironmentRevision:
            for _ in range(20):
                try:
                    return await core.configuration.accept(
                        document(f"p{number}"), Stage.PRODUCTION, expect_revision=number - 1
                    )
                except StoreUnavailable:
                    await asyncio.sleep(1.0)
            raise AssertionError("the outcome stayed unknown after 20 attempts")

        run_deployment(work)

    def test_acceptance_without_response_is_not_reported_as_rejected(self) -> None:
        """If the table stops responding after a commit, its effect is reported as possible."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            original = deployment.table.commit

            async def commit_without_answer(transaction: Transaction) -> None:
                await original(transaction)
                deployment.table.faults.down = True
                raise StoreUnavailable("no answer", effect_possible=True)

            deployment.table.commit = commit_without_answer  # type: ignore[method-assign]
            with pytest.raises(StoreUnavailable) as caught:
                await cores[0].configuration.accept(document(), Stage.PRODUCTION)
            assert caught.value.effect_possible
            deployment.table.commit = original  # type: ignore[method-assign]
            deployment.table.faults.down = False
            await asyncio.sleep(10.0)
            accepted = await cores[0].configuration.accept(
                document(), Stage.PRODUCTION, expect_revision=0
            )
            assert accepted.revision == 1

        run_deployment(work)


class TestMonotonicity:
    def test_older_revision_is_ignored(self) -> None:
        """A daemon that has revision 2 in force ignores revision 1."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            first = await cores[0].configuration.accept(document("a"), Stage.PRODUCTION)
            await cores[0].configuration.accept(document("b"), Stage.PRODUCTION)
            await asyncio.sleep(PROPAGATION_S)
            assert not cores[3].configuration.apply_revision(first)
            assert [revision(core) for core in cores] == [2] * len(cores)

        run_deployment(work)

    def test_isolated_zone_keeps_its_revision_and_catches_up(self) -> None:
        """An isolated zone keeps its revision, and gets the new one after the partition heals."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document("a"), Stage.PRODUCTION)
            await asyncio.sleep(PROPAGATION_S)
            zone = cores[0].settings.zone
            for other in [PLATFORM, *(location.zone for location in deployment.locations)]:
                if other != zone:
                    deployment.network.cut(zone, other)
            await cores[1].configuration.accept(document("b"), Stage.PRODUCTION)
            await asyncio.sleep(30.0)
            assert [revision(core) for core in cores] == [1, 2, 2, 1, 2, 2]
            assert cores[0].ready
            deployment.network.heal()
            await asyncio.sleep(15.0)
            assert [revision(core) for core in cores] == [2] * 6

        run_deployment(work)


class TestFreshDaemon:
    def test_takes_the_peers_revision_without_the_platform(self) -> None:
        """A daemon started without the platform becomes ready with its peers' newest revision."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document("a"), Stage.PRODUCTION)
            await cores[1].configuration.accept(document("b"), Stage.PRODUCTION)
            deployment.table.faults.down = deployment.hosts.down = True
            fresh = deployment.add_daemon("daemon-9", zone_index=1)
            await fresh.start()
            await asyncio.sleep(5.0)
            assert fresh.ready
            assert revision(fresh) == 2

        run_deployment(work)

    def test_does_not_wait_for_a_slow_platform(self) -> None:
        """A daemon that starts while the table takes a minute is ready through its peers in 5 s."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document("a"), Stage.PRODUCTION)
            deployment.table.faults.delay_s = 60.0
            fresh = deployment.add_daemon("daemon-9", zone_index=1)
            started_s = deployment.clock.monotonic_s()
            await fresh.start()
            assert deployment.clock.monotonic_s() - started_s < 5.0
            assert fresh.ready
            assert revision(fresh) == 1

        run_deployment(work)

    def test_stays_unready_until_the_platform_returns(self) -> None:
        """A single daemon without the platform is not ready until the platform returns."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            assert not any(core.ready for core in cores)
            deployment.table.faults.down = False
            await asyncio.sleep(10.0)
            assert all(core.ready for core in cores)

        async def scenario() -> None:
            deployment = Deployment()
            deployment.table.faults.down = True
            cores = [deployment.add_daemon("daemon-0")]
            await cores[0].start()
            await asyncio.sleep(20.0)
            await work(deployment, cores)
            await deployment.stop()

        run_virtual(scenario())


class TestStatus:
    def test_every_daemon_publishes_its_revisions(self) -> None:
        """Each daemon knows which revision every other daemon has in force."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await cores[0].configuration.accept(document("a"), Stage.PRODUCTION)
            await asyncio.sleep(10.0)
            for core in cores:
                held = {item.key: item.rank[0] for item in core.peers.items("revision-held")}
                assert held == {f"daemon-{n}:siam-fold/production": 1 for n in range(6)}

        run_deployment(work)
