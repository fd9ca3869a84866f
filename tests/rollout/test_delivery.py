"""Tests of exactly-once delivery with crashes, lost responses and concurrent polls."""

import asyncio

import pytest

from rollout.harness import RolloutHarness, document, submission
from verbenawind.errors import CursorConflict, StepConflict, StoreUnavailable
from verbenawind.standins.deployment import run_virtual
from verbenawind.state.leases import HeldLease


class TestAcceptance:
    def test_repeated_submission_gets_same_response(self) -> None:
        """A step submitted at two daemons gets the same response; other content is refused."""

        async def scenario() -> None:
            harness = await RolloutHarness(document()).start()
            assert harness.revision is not None
            responses = [
                await core.rollouts.submit_step(harness.revision, harness.trainer, submission(1))
                for core in harness.cores
            ]
            assert responses[0] == responses[1]
            with pytest.raises(StepConflict):
                await harness.core().rollouts.submit_step(
                    harness.revision, harness.trainer, submission(1, groups=5)
                )
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_lost_responses(self) -> None:
        """A step is accepted and delivered once if responses of the store are lost."""

        async def scenario() -> None:
            harness = await RolloutHarness(document()).start()
            harness.deployment.table.faults.lose_next_answers = 3
            await harness.submit(submission(1))
            await harness.collect(16)
            await harness.deployment.stop()

        run_virtual(scenario())


class TestHolderFailure:
    @pytest.mark.parametrize("after_s", [0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 2.0, 3.0, 5.0])
    def test_killed_at_any_moment(self, after_s: float) -> None:
        """Each sample is delivered once with its labels, whenever the holder is killed."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=3).start()
            await harness.submit(submission(1, groups=12))
            collecting = asyncio.create_task(self._late_collect(harness))
            await asyncio.sleep(1.0 + after_s)
            await harness.kill_daemon(harness.holder_name())
            await collecting
            await harness.deployment.stop()

        run_virtual(scenario())

    async def _late_collect(self, harness: RolloutHarness) -> None:
        await asyncio.sleep(1.5)
        await harness.collect(48)

    @pytest.mark.parametrize("calls", range(1, 9))
    def test_killed_between_two_store_calls(self, calls: int) -> None:
        """No sample is lost or delivered twice if the holder dies after any one of its writes."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=2).start()
            await asyncio.sleep(3.0)
            holder = harness.holder_name()
            stores = (harness.deployment.table, harness.deployment.objects)
            before = sum(store.writes for store in stores)
            await harness.submit(submission(1, groups=12))
            while sum(store.writes for store in stores) < before + calls:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await harness.kill_daemon(holder)
            await harness.collect(48)
            await harness.deployment.stop()

        run_virtual(scenario())

    @pytest.mark.parametrize("reports_valid_lease", [False, True])
    def test_paused_holder_commits_nothing(
        self, reports_valid_lease: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A holder that was paused past the end of its lease commits nothing when it resumes.

        With ``reports_valid_lease`` its lease claims to be valid, so that only the check of the
        guard row in the transaction protects the rows.
        """

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=2).start()
            await asyncio.sleep(2.0)
            paused = harness.holder_name()
            await harness.submit(submission(1, groups=12))
            await asyncio.sleep(0.4)
            harness.deployment.processes[paused].pause()
            index = 1 - list(harness.deployment.daemons).index(paused)
            async with asyncio.timeout(300.0):
                while len(harness.samples) < 48:
                    harness.process_response(await harness.poll_once(index))
            row = harness.deployment.table.rows[f"rollout/{harness.name}/folders/work"]
            if reports_valid_lease:
                monkeypatch.setattr(HeldLease, "remaining_s", lambda _self: 100.0)
                await harness.submit(submission(2), index)
                await harness.kill_daemon(list(harness.deployment.daemons)[index])
            harness.deployment.processes[paused].resume()
            await asyncio.sleep(20.0)
            work = harness.deployment.table.rows[f"rollout/{harness.name}/folders/work"]
            assert paused.encode() not in work.value
            assert paused.encode() not in row.value
            assert set(harness.counts.values()) == {1}
            await harness.deployment.stop()

        run_virtual(scenario())


class TestPolling:
    def test_repeated_cursor_gets_same_delivery(self) -> None:
        """A poll that repeats a cursor at another daemon gets the same delivery."""

        async def scenario() -> None:
            harness = await RolloutHarness(document()).start()
            await harness.submit(submission(1))
            first = await harness.poll_once(0, wait_s=30.0)
            again = await harness.poll_once(1, wait_s=30.0)
            assert first == again
            assert first.cursor == 1
            harness.process_response(first)
            await harness.collect(16)
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_concurrent_polls(self) -> None:
        """Concurrent polls at different daemons get the same delivery."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=3).start()
            await harness.submit(submission(1))
            responses = await asyncio.gather(*(harness.poll_once(n, wait_s=30.0) for n in range(6)))
            assert len({response.cursor for response in responses}) == 1
            assert all(response == responses[0] for response in responses)
            harness.process_response(responses[0])
            await harness.collect(16)
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_lost_store_responses(self) -> None:
        """Each sample and each completed step is reported once if many store responses are lost."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=3).start()
            harness.deployment.table.faults.lose_answer_rate = 0.3
            for step in (1, 2, 3):
                await harness.submit(submission(step))
            await harness.collect(48)
            assert harness.whole_steps_seen == {1: 1, 2: 1, 3: 1}
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_past_cursor_is_refused(self) -> None:
        """A cursor before the acknowledged one is refused, and the error names that one."""

        async def scenario() -> None:
            harness = await RolloutHarness(document()).start()
            for step in (1, 2, 3):
                await harness.submit(submission(step))
                await harness.collect(16 * step)
            with pytest.raises(CursorConflict) as caught:
                await harness.poll_once(cursor=0)
            assert caught.value.acknowledged_cursor == harness.cursor - 1
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_single_samples(self) -> None:
        """With delivery of single samples each sample is a unit and is delivered once."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(deliver="singles")).start()
            await harness.submit(submission(1))
            await harness.collect(16)
            assert harness.whole_steps_seen == {1: 1}
            await harness.deployment.stop()

        run_virtual(scenario())


class TestStoreOutage:
    def test_ten_minute_outage(self) -> None:
        """A ten-minute store outage neither loses nor duplicates samples.

        The samples generated meanwhile are bounded, as they are held in memory.
        """

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=2).start()
            await harness.submit(submission(1, groups=64))
            await asyncio.sleep(1.0)
            for store in (harness.deployment.table, harness.deployment.objects):
                store.faults.down = True
            started_before = sum(
                len(e.started_request_ids) for e in harness.deployment.engines.values()
            )
            with pytest.raises(StoreUnavailable):
                await harness.poll_once(wait_s=5.0)
            await asyncio.sleep(595.0)
            started_after = sum(
                len(e.started_request_ids) for e in harness.deployment.engines.values()
            )
            assert started_after - started_before <= 256
            for store in (harness.deployment.table, harness.deployment.objects):
                store.faults.down = False
            await harness.collect(256)
            await harness.deployment.stop()

        run_virtual(scenario())


class TestStop:
    def test_graceful_stop(self) -> None:
        """A stopping holder commits running units and releases the lease; polls return at once."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), daemons=2).start()
            await asyncio.sleep(2.0)
            holder = harness.holder_name()
            await harness.submit(submission(1, groups=12))
            await asyncio.sleep(0.3)
            index = list(harness.deployment.daemons).index(holder)
            pending_poll = asyncio.create_task(harness.poll_once(index, wait_s=60.0))
            stopping = harness.deployment.daemons.pop(holder)
            await stopping.stop()
            harness.process_response(await pending_poll)
            await harness.collect(48)
            started = [
                r for e in harness.deployment.engines.values() for r in e.started_request_ids
            ]
            assert len(started) == 48
            await harness.deployment.stop()

        run_virtual(scenario())
