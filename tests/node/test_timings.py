"""Tests of the durations that hosts measure for batch jobs and loads."""

import msgspec
import pytest

from node.fleet import MODEL, Fleet, check_complete, job, run_fleet
from verbenawind.timings import Timing


class TestTimings:
    def test_items_groups_and_listings_are_measured(self) -> None:
        """Each item's wait, each group's completion and each commit of results is measured."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            equal = job(groups=3, events=(5, 40, 10))
            # The short items of this group wait to be listed, as a long one keeps it incomplete.
            late = msgspec.structs.replace(equal.items[4], group=equal.items[0].group)
            submission = msgspec.structs.replace(
                equal, items=(*equal.items[:4], late, *equal.items[5:])
            )
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(first, submission))
            values = fleet.timings.values
            assert len(values[Timing.ITEM_WAIT]) == len(submission.items)
            completions = values[Timing.GROUP_COMPLETION]
            assert len(completions) == 3 and max(completions) >= 40 * 0.03
            ratios = [value / 7.5 for value in completions]
            assert values[Timing.GROUP_DEADLINE] == pytest.approx(ratios)
            assert 0.1 <= max(values[Timing.RESULT_LISTING]) < 0.5

        run_fleet(work)

    def test_takeover_measures_no_group_twice(self) -> None:
        """A group whose results were listed by two owners is measured only by the second."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, *_ = fleet.members.values()
            submission = job(groups=4, size=2, events=(5, 100, 100, 100))
            await fleet.submit(first, submission)
            await fleet.until(lambda: fleet.timings.values[Timing.GROUP_COMPLETION])
            fleet.kill(await fleet.owner_of(submission.job_id))
            reader = next(iter(fleet.members.values()))
            check_complete(submission, await fleet.collect(reader, submission))
            assert len(fleet.timings.values[Timing.GROUP_COMPLETION]) == 4

        run_fleet(work)

    def test_loads_are_measured(self) -> None:
        """Each load is measured from its order to the engine's report of the version."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=2)
            fleet.name_version(2)
            await fleet.until(lambda: fleet.timings.values[Timing.ENGINE_LOAD])
            assert fleet.timings.values[Timing.ENGINE_LOAD][0] == pytest.approx(0.95, abs=0.4)
            assert any(e.versions[MODEL] == 2 for e in fleet.engines.engines.values())

        run_fleet(work)
