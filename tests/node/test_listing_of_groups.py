"""Tests of how soon a whole group reaches its reader.

The pattern: the longest texts take nearly as long as a step may take, so the tenths of a second
between a group's last event and its reader decide whether the next steps are in time.
"""

from node.fleet import Fleet, job, run_fleet

GROUP_LISTED_S = 0.05
GROUP_READ_S = 0.2


class TestWholeGroups:
    def test_last_result_of_a_group_is_listed_at_once(self) -> None:
        """It does not wait for other results of its transaction."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(groups=2, size=2, events=(10, 100))
            await fleet.submit(first, submission)
            owner = fleet.members[await fleet.owner_of(submission.job_id)]
            await fleet.until(lambda: owner.node.runner.results_listed >= 2)
            listed_at_s = fleet.clock.monotonic_s()
            ended_at_s = max(
                engine.finished.get(item.item_id, 0.0)
                for engine in fleet.engines.engines.values()
                for item in submission.items[:2]
            )
            assert listed_at_s - ended_at_s < GROUP_LISTED_S

        run_fleet(work)

    def test_waiting_reader_at_another_host_has_the_group_soon(self) -> None:
        """A reader that waits elsewhere than at the owner gets the results within 0.2 s."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first = next(iter(fleet.members.values()))
            submission = job(groups=1, size=2, events=37)
            await fleet.submit(first, submission)
            owner = await fleet.owner_of(submission.job_id)
            reader = next(member for name, member in fleet.members.items() if name != owner)
            results = await fleet.collect(reader, submission)
            read_at_s = fleet.clock.monotonic_s()
            ended_at_s = max(
                engine.finished.get(result.item_id, 0.0)
                for engine in fleet.engines.engines.values()
                for result in results
            )
            assert read_at_s - ended_at_s < GROUP_READ_S

        run_fleet(work)
