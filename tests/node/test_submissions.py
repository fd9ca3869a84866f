"""Tests of where submissions are kept: a job is accepted by one call to the store.

The pattern: part of the store is silent for seconds (some partitions, or the objects). Each further
call that an acceptance needs is one more chance to meet the silent part and to refuse the trainer.
"""

import msgspec

from node.fleet import STATUS_S, Fleet, check_complete, job, run_fleet
from verbenawind.batches import BatchSubmission
from verbenawind.kernel.row_ports import RowId


def with_bodies_of(submission: BatchSubmission, size_bytes: int) -> BatchSubmission:
    """Return a job whose items carry a header of the given size."""
    items = tuple(
        msgspec.structs.replace(item, headers=(*item.headers, ("filling", "x" * size_bytes)))
        for item in submission.items
    )
    return msgspec.structs.replace(submission, items=items)


class TestSubmissionsInRows:
    def test_job_is_accepted_and_run_without_the_object_store(self) -> None:
        """A job of several rows is accepted, begun by its owner and read while objects are away."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, second, _ = fleet.members.values()
            fleet.store.faults.objects_down = True
            submission = with_bodies_of(job(groups=3), 15_000)
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(second, submission))
            for member in fleet.members.values():
                item = submission.items[5]
                assert await member.node.jobs.body(submission.job_id, item.item_id) == item.body

        run_fleet(work)

    def test_large_submission_is_kept_as_an_object(self) -> None:
        """A job beyond the size of a transaction is an object, and runs as well."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = with_bodies_of(job(), 60_000)
            await fleet.submit(first, submission)
            assert len(fleet.store.objects()) == 1
            check_complete(submission, await fleet.collect(second, submission))

        run_fleet(work)

    def test_repeat_at_another_host_while_answers_are_lost(self) -> None:
        """A job whose acceptance got no response is accepted once, with the rows of one of them."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = with_bodies_of(job(), 15_000)
            fleet.store.faults.lost_answers = 0.6
            await fleet.submit(first, submission)
            await fleet.submit(second, submission)
            fleet.store.faults.lost_answers = 0.0
            check_complete(submission, await fleet.collect(second, submission))
            starts = sum(len(engine.started) for engine in fleet.engines.engines.values())
            assert starts == len(submission.items)

        run_fleet(work)

    def test_submissions_are_deleted_with_their_jobs(self) -> None:
        """Nothing of closed jobs is left after their readers' time, neither rows nor objects."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = with_bodies_of(job(), 15_000)
            large = with_bodies_of(job("large"), 60_000)
            for submitted in (submission, large):
                await fleet.submit(first, submitted)
                await fleet.collect(first, submitted)
            assert fleet.store.objects()
            row = RowId(table="batch-submissions", part=submission.job_id, key="00000000")
            assert fleet.store.row(row) is not None
            await fleet.clock.sleep(STATUS_S + 90.0)
            assert fleet.store.row(row) is None
            assert not fleet.store.objects()

        run_fleet(work)
