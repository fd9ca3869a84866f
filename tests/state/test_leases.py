"""Tests of leases between simulated daemons, under injected failures."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from verbenawind.daemon import Core
from verbenawind.errors import ConditionFailed, LeaseLost, StoreUnavailable
from verbenawind.kernel.ports import Lease, Transaction, Write
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.network import PLATFORM

DURATION_S = 6.0


def run_deployment(
    work: Callable[[Deployment, list[Core]], Awaitable[Any]], *, zones: int = 3
) -> Any:
    async def scenario() -> Any:
        deployment = Deployment()
        cores = [
            deployment.add_daemon(f"daemon-{index}", zone_index=index % zones) for index in range(3)
        ]
        for core in cores:
            await core.start()
        await asyncio.sleep(5.0)
        result = await work(deployment, cores)
        await deployment.stop()
        return result

    return run_virtual(scenario())


async def acquire(core: Core, limit_s: float = 60.0) -> Lease:
    """Poll for the lease as its users do."""
    for _ in range(int(limit_s / 0.2)):
        lease = await core.leases.acquire("work", DURATION_S)
        if lease is not None:
            return lease
        await asyncio.sleep(0.2)
    raise AssertionError(f"no lease within {limit_s} s")


async def guarded_write(deployment: Deployment, lease: Lease) -> None:
    guard = Write(key=lease.row_key, expect_version=lease.row_version, check_only=True)
    write = Write(key="effect", value=b"x")
    await deployment.table.commit(Transaction(operation_id="op", writes=(guard, write)))


class TestHolding:
    def test_renewal_does_not_change_the_guard_row(self) -> None:
        """One daemon holds a lease for minutes, and renewals do not change its guard row."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            lease = await acquire(cores[0])
            for _ in range(300):
                await asyncio.sleep(0.5)
                lease.check()
                assert await cores[1].leases.acquire("work", DURATION_S) is None
            assert deployment.table.rows[lease.row_key].version == lease.row_version

        run_deployment(work)

    def test_released_lease_is_taken_soon_with_a_higher_number(self) -> None:
        """After a release another daemon gets the lease in 3 s, with a higher fencing number."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            first = await acquire(cores[0])
            assert await cores[1].leases.acquire("work", DURATION_S) is None
            await first.release()
            second = await acquire(cores[1], 3.0)
            assert second.fencing_number > first.fencing_number
            with pytest.raises(LeaseLost):
                first.check()

        run_deployment(work)

    def test_contenders_read_rarely(self) -> None:
        """Two contenders that poll five times a second cause less than two reads a second."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            await acquire(cores[0])
            for core in cores[1:]:
                await core.leases.acquire("work", DURATION_S)
            reads = 0
            original = deployment.table.read

            async def counted(keys: Any) -> Any:
                nonlocal reads
                reads += any(key.startswith("lease/work") for key in keys)
                return await original(keys)

            deployment.table.read = counted  # type: ignore[method-assign]
            for _ in range(300):
                await asyncio.sleep(0.2)
                for core in cores[1:]:
                    assert await core.leases.acquire("work", DURATION_S) is None
            assert reads < 120

        run_deployment(work)


class TestLosing:
    def test_crashed_holder_is_replaced(self) -> None:
        """After a crash another daemon acquires the lease within three durations."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            first = await acquire(cores[0])
            await cores[1].leases.acquire("work", DURATION_S)
            await cores[0].kill()
            second = await acquire(cores[1], 3 * DURATION_S)
            assert second.fencing_number > first.fencing_number

        run_deployment(work)

    def test_paused_holder_fails_its_check_and_guarded_write(self) -> None:
        """A holder paused past its lease fails its check, and its guarded write is rejected."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            first = await acquire(cores[0])
            await cores[1].leases.acquire("work", DURATION_S)
            deployment.processes["daemon-0"].pause()
            second = await acquire(cores[1], 3 * DURATION_S)
            with pytest.raises(LeaseLost):
                first.check()
            with pytest.raises(ConditionFailed):
                await guarded_write(deployment, first)
            await guarded_write(deployment, second)
            deployment.processes["daemon-0"].resume()
            await asyncio.sleep(10.0)
            second.check()

        run_deployment(work)

    def test_never_two_holders(self) -> None:
        """While holders lose and regain the platform, no two daemons hold the lease at once."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            held: dict[str, Lease] = {}

            async def contend(core: Core) -> None:
                while True:
                    lease = held.get(core.settings.daemon_id)
                    if lease is None or lease.remaining_s() <= 0:
                        lease = await core.leases.acquire("work", DURATION_S)
                        if lease is not None:
                            held[core.settings.daemon_id] = lease
                    await asyncio.sleep(0.2)

            tasks = [asyncio.ensure_future(contend(core)) for core in cores]
            numbers = set()
            for step in range(1200):
                if step % 100 == 0:
                    deployment.network.heal()
                    deployment.network.cut(cores[step // 100 % 3].settings.zone, PLATFORM)
                deployment.table.faults.lose_answer_rate = 0.2
                await asyncio.sleep(0.1)
                valid = [lease for lease in held.values() if lease.remaining_s() > 0]
                assert len(valid) <= 1
                numbers.update(lease.fencing_number for lease in valid)
            assert len(numbers) >= 3
            for task in tasks:
                task.cancel()

        run_deployment(work)


class TestGuarded:
    def test_dead_holder_is_replaced_at_a_missed_renewal(self) -> None:
        """A crashed holder of a guarded lease is replaced well before the lease lapses."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            lease = None
            while lease is None:
                lease = await cores[0].leases.acquire("work", 60.0, guarded=True)
                await asyncio.sleep(0.2)
            await asyncio.sleep(30.0)
            await cores[0].kill()
            killed_at_s = deployment.clock.monotonic_s()
            second = None
            while second is None:
                second = await cores[1].leases.acquire("work", 60.0, guarded=True)
                await asyncio.sleep(0.2)
            assert deployment.clock.monotonic_s() - killed_at_s <= 35.0
            with pytest.raises(ConditionFailed):
                await guarded_write(deployment, lease)

        run_deployment(work, zones=1)

    def test_live_holder_that_peers_cannot_reach_keeps_its_lease(self) -> None:
        """A live holder that peers presume dead keeps its guarded lease."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            lease = None
            while lease is None:
                lease = await cores[0].leases.acquire("work", 60.0, guarded=True)
                await asyncio.sleep(0.2)
            await cores[0].peers.kill()
            for _ in range(1000):
                await asyncio.sleep(0.3)
                assert await cores[1].leases.acquire("work", 60.0, guarded=True) is None
            assert "daemon-0" not in [peer.peer_id for peer in cores[1].peers.peers()]
            lease.check()
            await guarded_write(deployment, lease)

        run_deployment(work, zones=1)


class TestLostAnswers:
    def test_acquisition_without_any_answer_does_not_block(self) -> None:
        """If an acquisition's response is lost, the same daemon acquires the lease within 3 s."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            original = deployment.table.commit

            async def commit_without_answer(transaction: Transaction) -> None:
                if not transaction.writes[0].key.startswith("lease/work/"):
                    return await original(transaction)
                with contextlib.suppress(ConditionFailed):
                    await original(transaction)
                raise StoreUnavailable("no answer", effect_possible=True)

            deployment.table.commit = commit_without_answer  # type: ignore[method-assign]
            assert await cores[0].leases.acquire("work", DURATION_S) is None
            assert "lease/work/guard" in deployment.table.rows
            deployment.table.commit = original  # type: ignore[method-assign]
            lease = await acquire(cores[0], 3.0)
            lease.check()

        run_deployment(work)

    def test_renewals_survive_lost_answers(self) -> None:
        """With 30% of the responses lost the holder keeps its lease for two minutes."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            lease = await acquire(cores[0])
            deployment.table.faults.lose_answer_rate = 0.3
            for _ in range(240):
                await asyncio.sleep(0.5)
                lease.check()

        run_deployment(work)
