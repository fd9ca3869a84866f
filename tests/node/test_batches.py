"""Tests of batch jobs on simulated hosts, a row store and engines.

Every item must be listed exactly once, complete, and at a fixed position.
"""

import pytest

from node.fleet import HOST, MODEL, STATUS_S, Fleet, check_complete, job, run_fleet
from verbenawind.batches import JobState, ResultState
from verbenawind.errors import Outcome, StoreUnavailable, UnknownResource


class TestJobsWithoutFaults:
    def test_every_item_is_listed_complete(self) -> None:
        """Each item is listed once, with its complete text and weight version."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            results = await fleet.collect(second, submission)
            check_complete(submission, results)
            assert {result.versions for result in results} == {(1,)}

        run_fleet(work)

    def test_repeated_submission_changes_nothing(self) -> None:
        """Submitting a job again on another host has no effect, even after it is done."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            await fleet.submit(second, submission)
            check_complete(submission, await fleet.collect(first, submission))
            await fleet.submit(second, submission)
            starts = sum(len(engine.started) for engine in fleet.engines.engines.values())
            assert starts == len(submission.items)

        run_fleet(work)

    def test_positions_are_stable(self) -> None:
        """A position holds the same result on every host, wherever a page starts."""

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

    def test_bodies_are_returned(self) -> None:
        """Any host returns an item's body, and raises UnknownResource for unknown jobs or items."""

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

    def test_ended_job_stops_running(self) -> None:
        """An ended job starts no items and keeps its results; ending it again has no effect."""

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
        """A job whose items are all listed is no longer open."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            await fleet.collect(first, submission)
            await fleet.until(lambda: not second.node.job_registry.open_jobs())
            known = second.node.job_registry.get(submission.job_id)
            assert known is not None and known.record.state is JobState.DONE

        run_fleet(work)


class TestItemsThatFail:
    def test_impossible_item_is_terminated_at_once(self) -> None:
        """An item that an engine rejects as impossible is listed as terminated, without a retry."""

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

    def test_item_that_always_fails_is_terminated_after_the_route_s_attempts(self) -> None:
        """An item that fails on every engine is run max_attempts times."""

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
        """When a route is removed, the remaining items are listed as terminated."""

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

    def test_expired_items_are_terminated(self) -> None:
        """Items older than the route's retention period are listed as terminated."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(retention_s=3.0)
            first, _ = fleet.members.values()
            for engine in fleet.engines.engines.values():
                engine.unresponsive = True
            submission = job()
            await fleet.submit(first, submission)
            began_s = fleet.clock.monotonic_s()
            results = await fleet.collect(first, submission)
            assert {result.state for result in results} == {ResultState.TERMINATED}
            assert 2.9 <= fleet.clock.monotonic_s() - began_s <= 6.0

        run_fleet(work)


class TestEngineFaults:
    def test_broken_streams_are_resumed_where_they_broke(self) -> None:
        """A broken stream is resumed on another engine after its last complete event."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            fleet.engines.engines["engine-0"].break_after = 4
            submission = job(events=20)
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(first, submission))
            resumed = [start for start in fleet.engines.engines["engine-1"].started if start[2]]
            assert resumed and all(after == 4 for _, _, after in resumed)

        run_fleet(work)

    def test_unresponsive_engine_delays_a_job_only_briefly(self) -> None:
        """Items on an engine that stops responding move to another within about a second."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(events=30)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.4)
            fleet.engines.engines["engine-0"].unresponsive = True
            began_s = fleet.clock.monotonic_s()
            check_complete(submission, await fleet.collect(first, submission))
            assert fleet.clock.monotonic_s() - began_s < 3.0

        run_fleet(work)

    def test_run_moves_from_a_slow_engine(self) -> None:
        """Runs on an engine that becomes slow move to one with the usual pace."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=3)
            first, _ = fleet.members.values()
            submission = job(groups=3, events=60)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.5)
            fleet.engines.engines["engine-0"].pace_s = 0.3
            check_complete(submission, await fleet.collect(first, submission))
            assert first.node.runner.counts.moved > 0
            # 60 events take 1.8 s at the usual 0.03 s per event, and 18 s on the slow engine.
            assert fleet.clock.monotonic_s() < 8.0

        run_fleet(work)

    def test_unregistered_engine_gets_no_new_items(self) -> None:
        """An engine gets no new items once the feed has reported the removal of its entry."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            fleet.unregister("engine-0")
            await fleet.clock.sleep(0.5)
            submission = job()
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(first, submission))
            assert not fleet.engines.engines["engine-0"].started

        run_fleet(work)


class TestOwners:
    def test_job_of_a_killed_host_is_finished_by_another(self) -> None:
        """A job continues within seconds after its owner is killed, and its results stay listed."""

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
            check_complete(submission, results)
            assert results[: len(listed)] == listed
            assert fleet.clock.monotonic_s() - began_s < 7.0

        run_fleet(work)

    def test_stopping_host_hands_its_jobs_over(self) -> None:
        """After an orderly stop another host owns the job within 2 s."""

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
                lambda: (
                    second.node.job_registry.get(submission.job_id).record.owner  # type: ignore[union-attr]
                    not in ("", owner)
                )
            )
            assert took_s < 2.0
            check_complete(submission, await fleet.collect(second, submission))

        run_fleet(work)

    def test_former_owner_cannot_list_results(self) -> None:
        """A host that was partitioned from the store and replaced lists nothing on its return."""

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
            check_complete(submission, results)
            assert await fleet.results(second, submission.job_id) == results
            assert not first.node.runner.busy

        run_fleet(work)

    def test_all_hosts_killed_and_started_again_finish_the_job(self) -> None:
        """After all processes are killed, new ones find the job in the store and finish it."""

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
            check_complete(submission, await fleet.collect(second, submission, timeout_s=10.0))

        run_fleet(work)


class TestStoreFaults:
    def test_lost_and_late_answers_list_nothing_twice(self) -> None:
        """Each position holds one result although store answers are lost and writes are delayed.

        30 % of the answers are lost and 20 % of the writes take effect late.
        """

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first, second, _ = fleet.members.values()
            fleet.store.faults.lost_answers = 0.3
            fleet.store.faults.late_writes = 0.2
            submission = job(groups=6, events=(5, 10, 20, 30, 40, 50))
            await fleet.submit(first, submission)
            results = await fleet.collect(second, submission)
            check_complete(submission, results)
            await fleet.clock.sleep(5.0)
            assert await fleet.results(second, submission.job_id) == results

        for seed in range(6):
            run_fleet(work, seed=seed)

    def test_job_continues_during_an_outage(self) -> None:
        """Items run while the store is unavailable, and are listed when it recovers."""

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
            check_complete(submission, await fleet.collect(second, submission))
            assert fleet.clock.monotonic_s() - began_s < 2.0

        run_fleet(work)

    def test_listing_with_an_answer_lost_in_an_outage_repeats_no_run(self) -> None:
        """No item runs again if results are listed but the outage loses the store's answer."""

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
            check_complete(submission, await fleet.collect(second, submission))
            starts = sum(len(engine.started) for engine in fleet.engines.engines.values())
            assert starts == len(submission.items)

        run_fleet(work)

    def test_submission_during_an_outage_is_reported_as_not_run(self) -> None:
        """A submission that never reached the store is rejected as not run, and never runs."""

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

    def test_state_is_reloaded_after_a_loss_of_history(self) -> None:
        """A host still receives jobs and versions if the store has lost the feed's history."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            fleet.store.truncate_history()
            fleet.name_version(2)
            fleet.store.truncate_history()
            submission = job()
            await fleet.submit(first, submission)
            await fleet.until(lambda: second.node.newest_versions.get(MODEL) == 2)
            check_complete(submission, await fleet.collect(second, submission))
            assert second.node.routes is not None
            assert second.node.routes.match(HOST, submission.path) is not None

        run_fleet(work)


class TestSpreading:
    def test_items_that_start_together_spread_over_the_engines(self) -> None:
        """Items that start together are distributed evenly over the engines."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=4)
            first, _ = fleet.members.values()
            submission = job(groups=4, size=4, events=20)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.3)
            assert [engine.running for engine in fleet.engines.engines.values()] == [4, 4, 4, 4]
            check_complete(submission, await fleet.collect(first, submission))

        run_fleet(work)


class TestStoppingHost:
    def test_results_that_are_being_listed_at_the_stop_are_listed_once(self) -> None:
        """A stop during a listing transaction lists no result at two positions."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=4)
            first, second, _ = fleet.members.values()
            submission = job(groups=8, events=(4, 6, 9, 12, 15, 18, 21, 24))
            await fleet.submit(first, submission)
            owner = fleet.members[await fleet.owner_of(submission.job_id)]
            runner = owner.node.runner
            fleet.store.faults.slow_s = 0.2
            # A transaction is in progress, and more items have finished since it started.
            await fleet.until(
                lambda: any(j.commit_task and len(j.finished) > 8 for j in runner.jobs.values())
            )
            await owner.node.hand_over()
            fleet.store.faults.slow_s = 0.0
            other = second if owner is not second else first
            check_complete(submission, await fleet.collect(other, submission))

        run_fleet(work)

    def test_job_accepted_while_stopping_is_run_by_another(self) -> None:
        """A job accepted by a stopping host has no owner until another host claims it."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            await first.node.hand_over()
            submission = job()
            await fleet.submit(first, submission)
            stored = first.node.job_registry.get(submission.job_id)
            assert stored is not None and stored.record.owner == ""
            check_complete(submission, await fleet.collect(second, submission))
            assert fleet.clock.monotonic_s() < 4.0

        run_fleet(work)


class TestKeptTexts:
    def test_next_owner_resumes_long_texts(self) -> None:
        """After its owner is killed, the long items of a job resume close to where they were."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            first, *_ = fleet.members.values()
            submission = job(groups=2, size=4, events=150)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(3.0)
            fleet.kill(await fleet.owner_of(submission.job_id))
            second = next(iter(fleet.members.values()))
            check_complete(submission, await fleet.collect(second, submission))
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
    def test_loss_of_all_hosts_after_an_outage_loses_little_text(self, lost_answers: float) -> None:
        """Texts are persisted soon after an outage of the store.

        The store is unavailable for 5 s, and all hosts are killed 0.6 s after it recovers. With
        *lost_answers*, its answers are also lost before the outage.
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
            for name in ("host-0", "host-1", "host-2"):
                fleet.add_host(name)
            host = fleet.members["host-0"]
            await fleet.until(lambda: host.node.ready)
            check_complete(submission, await fleet.collect(host, submission))
            resumed = [
                after
                for engine in fleet.engines.engines.values()
                for _, _, after in engine.started
                if after is not None
            ]
            assert len(resumed) >= len(submission.items)
            # Each run had produced some 270 events when the hosts were killed.
            assert min(resumed) >= 200

        run_fleet(work)

    def test_orderly_stop_loses_no_event(self) -> None:
        """An orderly stop persists every event of texts that are long enough to be persisted."""

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
            check_complete(submission, await fleet.collect(other, submission))
            resumed = {
                name: after
                for engine in fleet.engines.engines.values()
                for _, name, after in engine.started
                if after is not None
            }
            assert resumed == partial

        run_fleet(work)

    def test_lost_answers_and_late_writes_corrupt_no_text(self) -> None:
        """Texts are complete after a takeover although answers are lost and writes are delayed."""

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
            check_complete(submission, await fleet.collect(second, submission))

        for seed in range(6):
            run_fleet(work, seed=seed)


class TestSweeping:
    def test_closed_jobs_are_deleted_after_their_retention_period(self) -> None:
        """A done job is readable for its retention period and then deleted from the store."""

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
            await fleet.until(lambda: not second.node.job_registry.closed_jobs())

        run_fleet(work)

    def test_open_jobs_are_not_deleted(self) -> None:
        """An open job is not deleted, however old it is."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2, retention_s=1000.0)
            first, _ = fleet.members.values()
            for engine in fleet.engines.engines.values():
                engine.unresponsive = True
            submission = job()
            await fleet.submit(first, submission)
            await fleet.clock.sleep(2 * STATUS_S)
            assert fleet.store.table_parts("batch-jobs") == [submission.job_id]
            for engine in fleet.engines.engines.values():
                engine.unresponsive = False
            check_complete(submission, await fleet.collect(first, submission))

        run_fleet(work)
