"""Tests of the staleness bound at delivery, on repeated polls and during weight swaps."""

import asyncio

from rollout.harness import RolloutHarness, document, submission
from verbenawind.document import StalenessSpec
from verbenawind.errors import CursorConflict
from verbenawind.rollout.records import VersionTime
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.standins.deployment import run_virtual


class TestStalenessBound:
    def test_versions(self) -> None:
        """Versions further behind than the bound are not allowed."""
        bound = StalenessBound(
            spec=StalenessSpec(max_versions=2), newest_version=7, history=(), now_s=0.0
        )
        assert [version for version in range(9) if bound.allows(version)] == [5, 6, 7, 8]
        assert bound.oldest_dispatchable() == 5

    def test_age_counts_from_successor(self) -> None:
        """The age of a version is counted from the publication of the first newer one."""
        history = tuple(VersionTime(version=v, published_at_s=100.0 * v) for v in (1, 2, 3))
        spec = StalenessSpec(max_versions=9, max_age_s=60.0)

        def allowed(now_s: float) -> list[int]:
            bound = StalenessBound(spec=spec, newest_version=3, history=history, now_s=now_s)
            return [version for version in range(4) if bound.allows(version)]

        assert allowed(300.0) == [2, 3]
        assert allowed(360.0) == [2, 3]
        assert allowed(361.0) == [3]


class TestExpiry:
    def test_between_commit_and_poll(self) -> None:
        """Groups that expire between commit and poll are regenerated and delivered once."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=0)).start()
            await harness.submit(submission(1))
            work = f"rollout/{harness.name}/folders/work"
            while work not in harness.deployment.table.rows:  # noqa: ASYNC110
                await asyncio.sleep(0.5)
            await harness.publish(1)
            await harness.collect(16)
            assert any(sample.generation > 1 for sample in harness.samples.values())
            assert {sample.oldest_version for sample in harness.samples.values()} == {1}
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_repeated_poll_of_expired_delivery(self) -> None:
        """A repeated cursor whose delivery expired gets the next generation of its groups.

        The cursor of the expired delivery becomes void.
        """

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=0)).start()
            await harness.submit(submission(1))
            first = await harness.poll_once(0, wait_s=30.0)
            await harness.publish(1)
            second = await harness.poll_once(1, wait_s=30.0)
            old = {s.sample_id: s.generation for g in first.groups for s in g.samples}
            new = {s.sample_id: s.generation for g in second.groups for s in g.samples}
            assert second.cursor > first.cursor
            assert all(new[name] == old[name] + 1 for name in new if name in old)
            try:
                await harness.poll_once(0, cursor=first.cursor, wait_s=0.0)
                raise AssertionError("the void cursor was accepted")
            except CursorConflict as error:
                assert error.acknowledged_cursor == 0
            harness.process_response(second)
            await harness.collect(16)
            assert harness.whole_steps_seen == {1: 1}
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_version_published_while_delivery_is_read(self) -> None:
        """Groups that expire between planning a delivery and reading it are not sent."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=0)).start()
            await harness.submit(submission(1))
            work = f"rollout/{harness.name}/folders/work"
            while work not in harness.deployment.table.rows:  # noqa: ASYNC110
                await asyncio.sleep(0.5)
            objects = harness.deployment.objects
            read = objects.get
            published: list[str] = []

            async def publish_and_read(key: str) -> bytes | None:
                if not published:
                    published.append(key)
                    await harness.publish(1)
                return await read(key)

            objects.get = publish_and_read  # type: ignore[method-assign]
            response = await harness.poll_once(0, wait_s=60.0)
            assert published
            versions = {sample.oldest_version for g in response.groups for sample in g.samples}
            assert versions == {1}
            harness.process_response(response)
            await harness.collect(16)
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_polls_that_declare_different_versions(self) -> None:
        """Of two concurrent polls, the one with the newer version gets the higher cursor."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=0), daemons=2).start()
            await harness.submit(submission(1))
            await asyncio.sleep(15.0)
            older = asyncio.create_task(harness.poll_once(0, wait_s=30.0))
            await asyncio.sleep(0)
            await harness.publish(1, index=1)
            newer = await harness.poll_once(1, wait_s=60.0)
            response = max(await older, newer, key=lambda one: one.cursor)
            assert response is newer
            harness.process_response(response)
            await harness.collect(16)
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_bound_in_seconds(self) -> None:
        """No sample is delivered later than the bound in seconds after its version was replaced."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=5, max_age_s=5.0)).start()
            await harness.submit(submission(1))
            await asyncio.sleep(5.0)
            await harness.publish(1)
            await asyncio.sleep(10.0)
            await harness.collect(16)
            assert {sample.oldest_version for sample in harness.samples.values()} == {1}
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_expires_while_generating(self) -> None:
        """A sample that expires while it is generated is stopped and sampled again."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=0)).start()
            await harness.submit(submission(1, max_tokens=200))
            await asyncio.sleep(0.5)
            await harness.publish(1)
            await harness.collect(16)
            assert {sample.oldest_version for sample in harness.samples.values()} == {1}
            await harness.deployment.stop()

        run_virtual(scenario())


class TestLabels:
    def test_version_changes_during_generation(self) -> None:
        """Samples generated across weight swaps label each token span with its version."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=3)).start()
            await harness.submit(submission(1, groups=8, max_tokens=400))
            for version in (1, 2, 3):
                await asyncio.sleep(0.8)
                await harness.publish(version)
            await harness.collect(32)
            assert any(len(sample.spans) > 1 for sample in harness.samples.values())
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_swap_fails_on_every_second_engine(self) -> None:
        """Samples are labelled and within the bound if swaps fail on half of the engines."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=1), engines=4).start()
            for index in (0, 2):
                harness.deployment.engines[f"engine-{index}"].faults.fail_next_swaps = 2
            for step in (1, 2, 3):
                await harness.submit(submission(step, groups=6))
                await harness.collect(24 * step)
                await harness.publish(step)
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_engine_with_lagging_version_report(self) -> None:
        """Labels and the bound hold if an engine reports its version with a delay."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=0)).start()
            harness.deployment.engines["engine-1"].faults.version_report_lag_s = 5.0
            for step in (1, 2, 3):
                await harness.submit(submission(step, groups=6))
                await harness.collect(24 * step)
                await harness.publish(step)
            await harness.deployment.stop()

        run_virtual(scenario())
