"""Tests of groups that come again in a later job.

The pattern: a trainer waits for nine tenths of its groups and ends the step; the others come again
in a later step, in which it waits for them. Generating their texts anew takes as long as the first
time, up to a whole step.
"""

import msgspec

from node.fleet import Fleet, check_complete, job, run_fleet
from verbenawind.batches import BatchSubmission, JobRecord, ResultState
from verbenawind.batches.item_run import PartialText
from verbenawind.batches.job_rows import StoredJob
from verbenawind.batches.owned_job import OwnedJob
from verbenawind.batches.retained_work import RetainedWork


def again(submission: BatchSubmission, job_id: str) -> BatchSubmission:
    """Return a later job with the same items."""
    return msgspec.structs.replace(submission, job_id=job_id)


def runs_of(fleet: Fleet, item_id: str) -> int:
    """Return how many runs of an item the engines have started."""
    return sum(
        1
        for engine in fleet.engines.engines.values()
        for _, request_id, _ in engine.started
        if request_id == item_id
    )


class TestGroupsThatComeAgain:
    def test_complete_texts_are_not_generated_again(self) -> None:
        """Items that were listed in an earlier job are listed in the next one without a run."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job(events=20)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            await fleet.submit(first, again(submission, "job-2"))
            repeated = await fleet.collect(second, again(submission, "job-2"))
            check_complete(submission, repeated)
            assert {result.versions for result in repeated} == {(1,)}
            assert {runs_of(fleet, result.item_id) for result in results} == {1}

        run_fleet(work)

    def test_siblings_of_an_unfinished_item_are_not_generated_again(self) -> None:
        """Of a group that one long item kept incomplete, only that item runs on."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            whole = job(groups=2, size=2, events=(4, 120))
            # One group of a short and a long item.
            long_item = msgspec.structs.replace(whole.items[2], group=whole.items[0].group)
            submission = msgspec.structs.replace(whole, items=(whole.items[0], long_item))
            await fleet.submit(first, submission)
            await fleet.clock.sleep(1.5)
            await first.node.jobs.end(submission.job_id)
            await fleet.clock.sleep(0.5)
            await fleet.submit(first, again(submission, "job-2"))
            check_complete(submission, await fleet.collect(first, again(submission, "job-2")))
            assert runs_of(fleet, submission.items[0].item_id) == 1
            runs = sorted(
                (at_s, after or 0)
                for engine in fleet.engines.engines.values()
                for at_s, request_id, after in engine.started
                if request_id == long_item.item_id
            )
            assert [after == 0 for _, after in runs] == [True] + [False] * (len(runs) - 1)
            assert len(runs) > 1

        run_fleet(work)

    def test_score_is_that_of_the_later_job_s_call(self) -> None:
        """A retained text is scored by the call that the later job names."""

        async def work(fleet: Fleet) -> None:
            server = fleet.add_scoring_server("scorer")
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(groups=1, size=1, scored=True)
            await fleet.submit(first, submission)
            await fleet.collect(first, submission)
            (item,) = submission.items
            assert item.scoring is not None
            call = msgspec.structs.replace(item.scoring, call_id="second-call")
            later = msgspec.structs.replace(
                submission,
                job_id="job-2",
                items=(msgspec.structs.replace(item, scoring=call),),
            )
            await fleet.submit(first, later)
            (result,) = await fleet.collect(first, later)
            assert result.state is ResultState.COMPLETED
            assert result.score in server.signatures["second-call"]
            assert runs_of(fleet, item.item_id) == 1

        run_fleet(work)


def owned_job(completed: dict[str, PartialText]) -> OwnedJob:
    """Return a job with these complete texts."""
    submission = job()
    record = JobRecord(
        job_id=submission.job_id,
        host=submission.host,
        path=submission.path,
        model=submission.model,
        step=1,
        min_version=1,
        total=len(submission.items),
        submitted_ms=0,
        owner="a#1",
        epoch=1,
    )
    owned = OwnedJob(StoredJob(record=record, version=1), submission)
    owned.completed |= completed
    return owned


def text(size_bytes: int, version: int = 1) -> PartialText:
    """Return a complete text."""
    partial = PartialText()
    partial.extend(["x" * size_bytes], 1, version)
    partial.versions.add(version)
    partial.complete = True
    return partial


class TestRetainedWork:
    def test_size_is_bounded(self) -> None:
        """The oldest texts beyond 4 MiB are evicted."""
        retained = RetainedWork()
        items = job(groups=3).items
        texts = {item.item_id: text(1024 * 1024) for item in items}
        for item_id, one in texts.items():
            retained.add(owned_job({item_id: one}))
        kept = retained.pop_texts(items, 1)
        assert list(kept) == [item.item_id for item in items[-4:]]
        assert retained.pop_texts(items, 1) == {}

    def test_texts_of_old_weights_are_not_used(self) -> None:
        """A text whose weights are older than the later job accepts is not returned."""
        retained = RetainedWork()
        items = job().items
        retained.add(owned_job({items[0].item_id: text(10), items[1].item_id: text(10, 2)}))
        assert list(retained.pop_texts(items, 2)) == [items[1].item_id]
