"""Tests of batch jobs whose route a configuration removes while they run."""

from node.fleet import Fleet, check_complete, job, run_fleet
from verbenawind.batches import ResultState
from verbenawind.gateway import RouteKind

OTHER_HOST = "elsewhere.example"


class TestRunningJobs:
    def test_items_that_run_are_completed_and_the_others_terminated(self) -> None:
        """Every item is listed once, so that a reader sees the end of the job."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=1)
            first, second = fleet.members.values()
            submission = job(groups=4, size=4, events=30)
            await fleet.submit(first, submission)
            engine = next(iter(fleet.engines.engines.values()))
            await fleet.until(lambda: engine.running)
            running = engine.running
            fleet.configure(2, host=OTHER_HOST)
            results = await fleet.collect(second, submission)
            states = [result.state for result in results]
            assert len(results) == len(submission.items)
            assert states.count(ResultState.COMPLETED) == running
            assert states.count(ResultState.TERMINATED) == len(results) - running

        run_fleet(work)

    def test_items_are_terminated_if_their_path_is_for_other_requests(self) -> None:
        """A path that a configuration gives to plain requests runs no items, and the job ends."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=1)
            first, second = fleet.members.values()
            submission = job(groups=4, size=4, events=30)
            await fleet.submit(first, submission)
            engine = next(iter(fleet.engines.engines.values()))
            await fleet.until(lambda: engine.running)
            running = engine.running
            fleet.configure(2, kind=RouteKind.IDEMPOTENT, retention_s=0.0)
            results = await fleet.collect(second, submission)
            states = [result.state for result in results]
            assert states.count(ResultState.COMPLETED) == running
            assert states.count(ResultState.TERMINATED) == len(submission.items) - running

        run_fleet(work)

    def test_texts_are_scored_after_the_end_of_their_route(self) -> None:
        """A complete text whose score is still due is not thrown away with the route."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=2)
            scorer = fleet.add_scoring_server("s0", slots=2, work_s=0.5)
            first, second = fleet.members.values()
            submission = job(groups=1, size=4, events=5, scored=True)
            await fleet.submit(first, submission)
            await fleet.until(lambda: scorer.running)
            fleet.configure(2, host=OTHER_HOST)
            results = await fleet.collect(second, submission)
            assert {result.state for result in results} == {ResultState.COMPLETED}
            check_complete(submission, results)

        run_fleet(work)
