"""Tests of batch jobs over hosts, a row store and engines: whole, once and in place."""

import pytest

from node.fleet import HOST, MODEL, STATUS_S, Fleet, check_whole, job, run_fleet
from verbenawind.batches import JobState, ResultState
from verbenawind.errors import Outcome, StoreUnavailable, UnknownResource


class TestCalmJobs:
    def test_every_item_is_listed_whole(self) -> None:
        """A job's items are listed once each, with their whole text and the weights' version."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            results = await fleet.collect(second, submission)
            check_whole(submission, results)
            assert {result.versions for result in results} == {(1,)}

        run_fleet(work)

    def test_repeated_submission_changes_nothing(self) -> None:
        """A job that comes again at another host is the same job, also once it is done."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            await fleet.submit(second, submission)
            check_whole(submission, await fleet.collect(first, submission))
            await fleet.submit(second, submission)
            starts = sum(len(engine.started) for engine in fleet.engines.engines.values())
            assert starts == len(submission.items)

        run_fleet(work)

    def test_positions_stay(self) -> None:
        """A position holds one result, at every host and from every position that is asked for."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job(groups=5, events=(3, 30, 8, 20, 14))
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            for after in range(len(results)):
                page = await second.node.jobs.results(submission.job_id, after, 0.0)
                assert list(page.results) == results[after : after + len(page.results)]
                assert page.total == len(results)

        run_fleet(work)

    def test_bodies_are_given_back(self) -> None:
        """Any host returns an item's body; an unknown job or item is known to be unknown."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            item = submission.items[3]
            assert await second.node.jobs.body(submission.job_id, item.item_id) == item.body
            for job_id, item_id in (("other", item.item_id), (submission.job_id, "other")):
                try:
                    await second.node.jobs.body(job_id, item_id)
                except UnknownResource:
                    continue
                raise AssertionError("an unknown body was found")

        run_fleet(work)

    def test_ended_job_runs_no_more(self) -> None:
        """After its end a job starts nothing; what was listed stays, and ending again is fine."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job(groups=8, events=60)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.5)
            await second.node.jobs.end(submission.job_id)
            await second.node.jobs.end(submission.job_id)
            await fleet.clock.sleep(1.0)
            listed = await fleet.results(second, submission.job_id)
            starts = sum(len(engine.started) for engine in fleet.engines.engines.values())
            await fleet.clock.sleep(5.0)
            assert sum(len(e.started) for e in fleet.engines.engines.values()) == starts
            assert all(engine.running == 0 for engine in fleet.engines.engines.values())
            assert await fleet.results(first, submission.job_id) == listed

        run_fleet(work)

    def test_done_job_is_closed(self) -> None:
        """A job whose items are all listed is no open job any more."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            await fleet.collect(first, submission)
            await fleet.until(lambda: not second.node.book.open_jobs())
            known = second.node.book.get(submission.job_id)
            assert known is not None and known.record.state is JobState.DONE

        run_fleet(work)


class TestItemsThatFail:
    def test_impossible_item_is_terminated_at_once(self) -> None:
        """An item that an engine can never run is listed as terminated and not run again."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job()
            bad = submission.items[0].item_id
            for engine in fleet.engines.engines.values():
                engine.refuse_items.add(bad)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            states = {result.item_id: result.state for result in results}
            assert states.pop(bad) is ResultState.TERMINATED
            assert set(states.values()) == {ResultState.COMPLETED}

        run_fleet(work)

    def test_item_that_always_fails_is_given_up_after_the_route_s_attempts(self) -> None:
        """An item that every engine fails is tried as often as its route says."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(max_attempts=3)
            first, _ = fleet.members.values()
            submission = job(groups=1)
            bad = submission.items[0].item_id
            for engine in fleet.engines.engines.values():
                engine.fail_items.add(bad)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            assert {r.item_id for r in results if r.state is ResultState.TERMINATED} == {bad}
            assert first.node.runner.counts.runs["failed"] == 3

        run_fleet(work)

    def test_items_of_a_removed_route_are_terminated(self) -> None:
        """Without their route the items that remain are listed as terminated."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(groups=10, events=100)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.3)
            fleet.configure(version=2, path_prefix="/other/")
            results = await fleet.collect(first, submission)
            assert any(result.state is ResultState.TERMINATED for result in results)

        run_fleet(work)

    def test_old_items_are_given_up(self) -> None:
        """Items that are older than the route's retention are listed as terminated."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(retention_s=3.0)
            first, _ = fleet.members.values()
            for engine in fleet.engines.engines.values():
                engine.dark = True
            submission = job()
            await fleet.submit(first, submission)
            began_s = fleet.clock.monotonic_s()
            results = await fleet.collect(first, submission)
            assert {result.state for result in results} == {ResultState.TERMINATED}
            assert 2.9 <= fleet.clock.monotonic_s() - began_s <= 6.0

        run_fleet(work)


class TestEngineFaults:
    def test_broken_streams_are_resumed_where_they_broke(self) -> None:
        """A stream that breaks goes on at another engine after its last whole event."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            fleet.engines.engines["engine-0"].break_after = 4
            submission = job(events=20)
            await fleet.submit(first, submission)
            check_whole(submission, await fleet.collect(first, submission))
            resumed = [start for start in fleet.engines.engines["engine-1"].started if start[2]]
            assert resumed and all(after == 4 for _, _, after in resumed)

        run_fleet(work)

    def test_dark_engine_delays_a_job_by_little(self) -> None:
        """Items at an engine that falls silent go on elsewhere within about a second."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(events=30)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.4)
            fleet.engines.engines["engine-0"].dark = True
            began_s = fleet.clock.monotonic_s()
            check_whole(submission, await fleet.collect(first, submission))
            assert fleet.clock.monotonic_s() - began_s < 3.0

        run_fleet(work)

    def test_run_moves_from_a_slow_engine(self) -> None:
        """Runs at an engine that turns slow go on at one with its usual pace."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=3)
            first, _ = fleet.members.values()
            submission = job(groups=3, events=60)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.5)
            fleet.engines.engines["engine-0"].pace_s = 0.3
            check_whole(submission, await fleet.collect(first, submission))
            assert first.node.runner.counts.moved > 0
            # 60 events at the usual 0.03 s take 1.8 s, at the slow engine 18 s.
            assert fleet.clock.monotonic_s() < 8.0

        run_fleet(work)

    def test_leaving_engine_gets_no_new_items(self) -> None:
        """An engine whose entry is gone is given nothing new once the feed has said so."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            fleet.unregister("engine-0")
            await fleet.clock.sleep(0.5)
            submission = job()
            await fleet.submit(first, submission)
            check_whole(submission, await fleet.collect(first, submission))
            assert not fleet.engines.engines["engine-0"].started

        run_fleet(work)


class TestOwners:
    def test_job_of_a_killed_host_is_finished_by_another(self) -> None:
        """Within seconds of its owner's death a job goes on; its listed results stay."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=4)
            first, second, *_ = fleet.members.values()
            submission = job(groups=4, events=(5, 40, 60, 80))
            await fleet.submit(first, submission)
            await fleet.clock.sleep(1.0)
            listed = await fleet.results(second, submission.job_id)
            assert listed
            fleet.kill(await fleet.owner_of(submission.job_id))
            second = next(iter(fleet.members.values()))
            began_s = fleet.clock.monotonic_s()
            results = await fleet.collect(second, submission)
            check_whole(submission, results)
            assert results[: len(listed)] == listed
            assert fleet.clock.monotonic_s() - began_s < 7.0

        run_fleet(work)

    def test_stopping_host_hands_its_jobs_over(self) -> None:
        """A host that stops in good order loses no time: another goes on within half a second."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, second, _ = fleet.members.values()
            submission = job(groups=4, events=50)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.5)
            leaving = fleet.members[await fleet.owner_of(submission.job_id)]
            second = next(m for m in fleet.members.values() if m is not leaving)
            await leaving.node.hand_over()
            owner = leaving.node.runner.owner
            took_s = await fleet.until(
                lambda: second.node.book.get(submission.job_id).record.owner not in ("", owner)  # type: ignore[union-attr]
            )
            assert took_s < 2.0
            check_whole(submission, await fleet.collect(second, submission))

        run_fleet(work)

    def test_former_owner_can_list_nothing(self) -> None:
        """A host that was cut off from the store and replaced lists nothing on its return."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, *_ = fleet.members.values()
            submission = job(groups=4, events=40)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.3)
            first = fleet.members[await fleet.owner_of(submission.job_id)]
            second = next(m for m in fleet.members.values() if m is not first)
            first.view.cut = True
            results = await fleet.collect(second, submission)
            first.view.cut = False
            await fleet.clock.sleep(4.0)
            check_whole(submission, results)
            assert await fleet.results(second, submission.job_id) == results
            assert not first.node.runner.busy

        run_fleet(work)

    def test_all_hosts_killed_and_started_again_finish_the_job(self) -> None:
        """After the loss of every process new ones find the job and finish it."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, *_ = fleet.members.values()
            submission = job(groups=3, events=40)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.1)
            for name in list(fleet.members):
                fleet.kill(name)
            await fleet.clock.sleep(1.0)
            for name in ("host-0", "host-1", "host-2"):
                fleet.add_host(name)
            second = fleet.members["host-1"]
            await fleet.until(lambda: second.node.ready)
            check_whole(submission, await fleet.collect(second, submission, timeout_s=10.0))

        run_fleet(work)


class TestStoreFaults:
    def test_lost_and_late_answers_list_nothing_twice(self) -> None:
        """With a third of the writes unanswered or carried out late, positions hold one result."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, second, _ = fleet.members.values()
            fleet.store.faults.lost_answers = 0.3
            fleet.store.faults.late_writes = 0.2
            submission = job(groups=6, events=(5, 10, 20, 30, 40, 50))
            await fleet.submit(first, submission)
            results = await fleet.collect(second, submission)
            check_whole(submission, results)
            await fleet.clock.sleep(5.0)
            assert await fleet.results(second, submission.job_id) == results

        for seed in range(6):
            run_fleet(work, seed=seed)

    def test_job_goes_on_through_an_outage(self) -> None:
        """Items run while the store is away, and are listed when it is back."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job(events=40)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.2)
            fleet.store.faults.down = True
            await fleet.clock.sleep(5.0)
            fleet.store.faults.down = False
            began_s = fleet.clock.monotonic_s()
            check_whole(submission, await fleet.collect(second, submission))
            assert fleet.clock.monotonic_s() - began_s < 2.0

        run_fleet(work)

    def test_listing_whose_answer_the_outage_took_costs_no_run(self) -> None:
        """Results that were listed as the store went away are known to be; runs go on."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job(groups=4, events=(5, 150, 200, 250))
            await fleet.submit(first, submission)
            fleet.store.faults.lost_answers = 1.0
            commits = fleet.store.commits
            await fleet.until(lambda: fleet.store.commits > commits + 1)
            fleet.store.faults.down = True
            await fleet.clock.sleep(6.0)
            fleet.store.faults.lost_answers = 0.0
            fleet.store.faults.down = False
            check_whole(submission, await fleet.collect(second, submission))
            starts = sum(len(engine.started) for engine in fleet.engines.engines.values())
            assert starts == len(submission.items)

        run_fleet(work)

    def test_submission_during_an_outage_is_refused_truly(self) -> None:
        """A job that the store never took is refused as not run, and never runs."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            fleet.store.faults.down = True
            submission = job()
            try:
                await first.node.jobs.submit(submission, fleet.clock.monotonic_s() + 1.0)
            except StoreUnavailable as error:
                assert error.outcome is Outcome.NOT_RUN and error.retry_after_s
            else:
                raise AssertionError("the job was accepted without the store")
            fleet.store.faults.down = False
            await fleet.clock.sleep(3.0)
            assert not any(engine.started for engine in fleet.engines.engines.values())

        run_fleet(work)

    def test_history_lost_is_read_anew(self) -> None:
        """A host whose feed lost its history still learns of jobs and versions."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            fleet.store.forget_history()
            fleet.name_version(2)
            fleet.store.forget_history()
            submission = job()
            await fleet.submit(first, submission)
            await fleet.until(lambda: second.node.newest.get(MODEL) == 2)
            check_whole(submission, await fleet.collect(second, submission))
            assert second.node.routes is not None and second.node.routes.knows_host(HOST)

        run_fleet(work)


class TestSpreading:
    def test_items_that_start_together_spread_over_the_engines(self) -> None:
        """Items that start in one look are spread evenly over the engines."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=4)
            first, _ = fleet.members.values()
            submission = job(groups=4, size=4, events=20)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.3)
            assert [engine.running for engine in fleet.engines.engines.values()] == [4, 4, 4, 4]
            check_whole(submission, await fleet.collect(first, submission))

        run_fleet(work)


class TestStoppingHost:
    def test_results_that_are_being_listed_at_the_stop_are_listed_once(self) -> None:
        """A stop in the middle of listing results lists none of them at two positions."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=4)
            first, second, _ = fleet.members.values()
            submission = job(groups=8, events=(4, 6, 9, 12, 15, 18, 21, 24))
            await fleet.submit(first, submission)
            owner = fleet.members[await fleet.owner_of(submission.job_id)]
            runner = owner.node.runner
            fleet.store.faults.slow_s = 0.2
            # A transaction is under way, and more items have ended since it began.
            await fleet.until(
                lambda: any(j.commit_task and len(j.finished) > 8 for j in runner.jobs.values())
            )
            await owner.node.hand_over()
            fleet.store.faults.slow_s = 0.0
            other = second if owner is not second else first
            check_whole(submission, await fleet.collect(other, submission))

        run_fleet(work)

    def test_job_accepted_while_stopping_is_run_by_another(self) -> None:
        """A job that reaches a host which is about to end belongs to nobody until one claims it."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            await first.node.hand_over()
            submission = job()
            await fleet.submit(first, submission)
            stored = first.node.book.get(submission.job_id)
            assert stored is not None and stored.record.owner == ""
            check_whole(submission, await fleet.collect(second, submission))
            assert fleet.clock.monotonic_s() < 4.0

        run_fleet(work)


class TestKeptTexts:
    def test_next_owner_goes_on_with_long_texts(self) -> None:
        """After the loss of a job's owner its long runs go on close to where they were."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            first, *_ = fleet.members.values()
            submission = job(groups=2, size=4, events=150)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(3.0)
            fleet.kill(await fleet.owner_of(submission.job_id))
            second = next(iter(fleet.members.values()))
            check_whole(submission, await fleet.collect(second, submission))
            resumed = [
                after
                for engine in fleet.engines.engines.values()
                for _, _, after in engine.started
                if after is not None
            ]
            assert len(resumed) == len(submission.items)
            assert min(resumed) >= 60

        run_fleet(work)

    @pytest.mark.parametrize("lost_answers", [0.0, 1.0])
    def test_power_that_fails_after_an_outage_costs_little(self, lost_answers: float) -> None:
        """The store is away for 5 s, and 0.6 s after its return every host is lost: texts are kept.

        Answers of the store may be lost as it goes away.
        """

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            first, *_ = fleet.members.values()
            submission = job(groups=2, size=4, events=300)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(2.0)
            fleet.store.faults.lost_answers = lost_answers
            await fleet.clock.sleep(0.6)
            fleet.store.faults.down = True
            await fleet.clock.sleep(5.0)
            fleet.store.faults.down = False
            fleet.store.faults.lost_answers = 0.0
            await fleet.clock.sleep(0.6)
            for name in list(fleet.members):
                fleet.kill(name)
            # Of some 270 events that each run has made by now.
            for name in ("host-0", "host-1", "host-2"):
                fleet.add_host(name)
            host = fleet.members["host-0"]
            await fleet.until(lambda: host.node.ready)
            check_whole(submission, await fleet.collect(host, submission))
            resumed = [
                after
                for engine in fleet.engines.engines.values()
                for _, _, after in engine.started
                if after is not None
            ]
            assert len(resumed) >= len(submission.items)
            assert min(resumed) >= 200

        run_fleet(work)

    def test_stop_in_good_order_loses_no_event(self) -> None:
        """At a stop every event of texts that are worth it is kept, up to the last one."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2, engines=2)
            first, *_ = fleet.members.values()
            submission = job(groups=2, size=4, events=60)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(1.0)
            owner = fleet.members[await fleet.owner_of(submission.job_id)]
            (owned,) = owner.node.runner.jobs.values()
            partial = {name: len(work.partial.events) for name, work in owned.unfinished.items()}
            await owner.node.hand_over()
            other = next(m for m in fleet.members.values() if m is not owner)
            check_whole(submission, await fleet.collect(other, submission))
            resumed = {
                name: after
                for engine in fleet.engines.engines.values()
                for _, name, after in engine.started
                if after is not None
            }
            assert resumed == partial

        run_fleet(work)

    def test_lost_answers_and_late_writes_spoil_no_text(self) -> None:
        """With writes unanswered or carried out late, texts after a takeover are still whole."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            first, *_ = fleet.members.values()
            fleet.store.faults.lost_answers = 0.3
            fleet.store.faults.late_writes = 0.2
            submission = job(groups=2, size=4, events=(60, 120))
            await fleet.submit(first, submission)
            await fleet.clock.sleep(2.0)
            fleet.kill(await fleet.owner_of(submission.job_id))
            second = next(iter(fleet.members.values()))
            check_whole(submission, await fleet.collect(second, submission))

        for seed in range(6):
            run_fleet(work, seed=seed)


class TestSweeping:
    def test_closed_jobs_are_removed_once_nobody_may_read_them(self) -> None:
        """A done job is readable for its time; after it nothing of the job is in the store."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, second, _ = fleet.members.values()
            submission = job(groups=3, events=20)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            await fleet.clock.sleep(STATUS_S)
            assert await fleet.results(second, submission.job_id) == results
            tables = ("batch-jobs", "batch-results", "batch-tails", "batch-texts")
            await fleet.until(
                lambda: not any(fleet.store.table_parts(table) for table in tables), timeout_s=90.0
            )
            assert not fleet.store.objects()
            await fleet.until(lambda: not second.node.book.closed_jobs())

        run_fleet(work)

    def test_open_jobs_stay(self) -> None:
        """A job that is still worked on is not removed, however old it is."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2, retention_s=1000.0)
            first, _ = fleet.members.values()
            for engine in fleet.engines.engines.values():
                engine.dark = True
            submission = job()
            await fleet.submit(first, submission)
            await fleet.clock.sleep(2 * STATUS_S)
            assert fleet.store.table_parts("batch-jobs") == [submission.job_id]
            for engine in fleet.engines.engines.values():
                engine.dark = False
            check_whole(submission, await fleet.collect(first, submission))

        run_fleet(work)
