"""Tests of exactly-once delivery with crashes, lost responses and concurrent polls."""

import asyncio

import pytest

from rollout.scenarios import Scene, document, submission
from verbenawind.errors import CursorConflict, StepConflict, StoreUnavailable
from verbenawind.standins.world import run_virtual
from verbenawind.state.leases import HeldLease


class TestAcceptance:
    def test_same_answer_each_time(self) -> None:
        """A step submitted at two daemons gets the same response; other content is refused."""

        async def scenario() -> None:
            scene = await Scene(document()).start()
            assert scene.revision is not None
            answers = [
                await core.rollouts.submit_step(scene.revision, scene.trainer, submission(1))
                for core in scene.cores
            ]
            assert answers[0] == answers[1]
            with pytest.raises(StepConflict):
                await scene.core().rollouts.submit_step(
                    scene.revision, scene.trainer, submission(1, groups=5)
                )
            await scene.world.stop()

        run_virtual(scenario())

    def test_lost_answers(self) -> None:
        """A step is accepted and delivered once if responses of the store are lost."""

        async def scenario() -> None:
            scene = await Scene(document()).start()
            scene.world.table.faults.lose_next_answers = 3
            await scene.submit(submission(1))
            await scene.collect(16)
            await scene.world.stop()

        run_virtual(scenario())


class TestHolderLost:
    @pytest.mark.parametrize("after_s", [0.0, 0.3, 0.6, 0.9, 1.2, 1.5, 2.0, 3.0, 5.0])
    def test_killed_at_any_moment(self, after_s: float) -> None:
        """Each sample is delivered once with its labels, whenever the holder is killed."""

        async def scenario() -> None:
            scene = await Scene(document(), daemons=3).start()
            await scene.submit(submission(1, groups=12))
            collecting = asyncio.create_task(self._late_collect(scene))
            await asyncio.sleep(1.0 + after_s)
            await scene.remove(scene.holder_name())
            await collecting
            await scene.world.stop()

        run_virtual(scenario())

    async def _late_collect(self, scene: Scene) -> None:
        await asyncio.sleep(1.5)
        await scene.collect(48)

    @pytest.mark.parametrize("calls", range(1, 9))
    def test_killed_between_two_store_calls(self, calls: int) -> None:
        """No sample is lost or delivered twice if the holder dies after any one of its writes."""

        async def scenario() -> None:
            scene = await Scene(document(), daemons=2).start()
            await asyncio.sleep(3.0)
            holder = scene.holder_name()
            stores = (scene.world.table, scene.world.objects)
            before = sum(store.writes for store in stores)
            await scene.submit(submission(1, groups=12))
            while sum(store.writes for store in stores) < before + calls:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            await scene.remove(holder)
            await scene.collect(48)
            await scene.world.stop()

        run_virtual(scenario())

    @pytest.mark.parametrize("believes", [False, True])
    def test_paused_holder_commits_nothing(
        self, believes: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A holder that was paused past the end of its lease commits nothing when it resumes.

        With ``believes`` its lease claims to be valid after all, so that only the check of
        the lease's guard row in the transaction protects the rows.
        """

        async def scenario() -> None:
            scene = await Scene(document(), daemons=2).start()
            await asyncio.sleep(2.0)
            paused = scene.holder_name()
            await scene.submit(submission(1, groups=12))
            await asyncio.sleep(0.4)
            scene.world.processes[paused].pause()
            index = 1 - list(scene.world.daemons).index(paused)
            async with asyncio.timeout(300.0):
                while len(scene.samples) < 48:
                    scene.take(await scene.ask(index))
            row = scene.world.table.rows[f"rollout/{scene.name}/folders/work"]
            if believes:
                monkeypatch.setattr(HeldLease, "remaining_s", lambda _self: 100.0)
                await scene.submit(submission(2), index)
                await scene.remove(list(scene.world.daemons)[index])
            scene.world.processes[paused].resume()
            await asyncio.sleep(20.0)
            work = scene.world.table.rows[f"rollout/{scene.name}/folders/work"]
            assert paused.encode() not in work.value
            assert paused.encode() not in row.value
            assert set(scene.counts.values()) == {1}
            await scene.world.stop()

        run_virtual(scenario())


class TestPolls:
    def test_repeated_cursor_gets_the_same(self) -> None:
        """A poll that repeats a cursor at another daemon gets the same delivery."""

        async def scenario() -> None:
            scene = await Scene(document()).start()
            await scene.submit(submission(1))
            first = await scene.ask(0, wait_s=30.0)
            again = await scene.ask(1, wait_s=30.0)
            assert first == again
            assert first.cursor == 1
            scene.take(first)
            await scene.collect(16)
            await scene.world.stop()

        run_virtual(scenario())

    def test_polls_at_once(self) -> None:
        """Concurrent polls at different daemons get the same delivery."""

        async def scenario() -> None:
            scene = await Scene(document(), daemons=3).start()
            await scene.submit(submission(1))
            answers = await asyncio.gather(*(scene.ask(n, wait_s=30.0) for n in range(6)))
            assert len({answer.cursor for answer in answers}) == 1
            assert all(answer == answers[0] for answer in answers)
            scene.take(answers[0])
            await scene.collect(16)
            await scene.world.stop()

        run_virtual(scenario())

    def test_lost_answer_of_the_recording_write(self) -> None:
        """Each sample and each completed step is reported once if many store responses are lost."""

        async def scenario() -> None:
            scene = await Scene(document(), daemons=3).start()
            scene.world.table.faults.lose_answer_rate = 0.3
            for step in (1, 2, 3):
                await scene.submit(submission(step))
            await scene.collect(48)
            assert scene.whole == {1: 1, 2: 1, 3: 1}
            await scene.world.stop()

        run_virtual(scenario())

    def test_past_cursor_is_refused(self) -> None:
        """A cursor before the acknowledged one is refused, and the error names that one."""

        async def scenario() -> None:
            scene = await Scene(document()).start()
            for step in (1, 2, 3):
                await scene.submit(submission(step))
                await scene.collect(16 * step)
            with pytest.raises(CursorConflict) as caught:
                await scene.ask(cursor=0)
            assert caught.value.acknowledged_cursor == scene.cursor - 1
            await scene.world.stop()

        run_virtual(scenario())

    def test_single_samples(self) -> None:
        """With delivery of single samples each sample is a unit and is delivered once."""

        async def scenario() -> None:
            scene = await Scene(document(deliver="singles")).start()
            await scene.submit(submission(1))
            await scene.collect(16)
            assert scene.whole == {1: 1}
            await scene.world.stop()

        run_virtual(scenario())


class TestStoreAway:
    def test_down_for_ten_minutes(self) -> None:
        """A ten-minute store outage neither loses nor duplicates samples.

        The samples generated meanwhile are bounded, as they are held in memory.
        """

        async def scenario() -> None:
            scene = await Scene(document(), daemons=2).start()
            await scene.submit(submission(1, groups=64))
            await asyncio.sleep(1.0)
            for store in (scene.world.table, scene.world.objects):
                store.faults.down = True
            started = sum(len(e.started_request_ids) for e in scene.world.engines.values())
            with pytest.raises(StoreUnavailable):
                await scene.ask(wait_s=5.0)
            await asyncio.sleep(595.0)
            made = sum(len(e.started_request_ids) for e in scene.world.engines.values())
            assert made - started <= 256
            for store in (scene.world.table, scene.world.objects):
                store.faults.down = False
            await scene.collect(256)
            await scene.world.stop()

        run_virtual(scenario())


class TestStop:
    def test_graceful_stop_hands_over(self) -> None:
        """A stopping holder commits running units and releases the lease; polls return at once."""

        async def scenario() -> None:
            scene = await Scene(document(), daemons=2).start()
            await asyncio.sleep(2.0)
            holder = scene.holder_name()
            await scene.submit(submission(1, groups=12))
            await asyncio.sleep(0.3)
            index = list(scene.world.daemons).index(holder)
            poll = asyncio.create_task(scene.ask(index, wait_s=60.0))
            stopping = scene.world.daemons.pop(holder)
            await stopping.stop()
            scene.take(await poll)
            await scene.collect(48)
            started = [r for e in scene.world.engines.values() for r in e.started_request_ids]
            assert len(started) == 48
            await scene.world.stop()

        run_virtual(scenario())
