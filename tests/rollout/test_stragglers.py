"""Tests that stragglers are finished, not replaced, and that daemons share the work."""

import asyncio

from rollout.scenarios import Scene, document, submission
from verbenawind.standins.engine import EngineProfile, natural_length
from verbenawind.standins.world import run_virtual


class TestLengths:
    def test_no_bias_to_short_samples(self) -> None:
        """Crashes and expiry do not bias the length of delivered samples.

        Replacing interrupted samples by others would favour short ones, as long samples are
        interrupted more often.
        """

        async def scenario() -> None:
            scene = await Scene(document(max_versions=1), engines=4).start()
            await scene.submit(submission(1, groups=16, max_tokens=2000))
            collecting = asyncio.create_task(scene.collect(64))
            for version, engine in enumerate(("engine-0", "engine-1"), start=1):
                await asyncio.sleep(0.7)
                scene.world.engines[engine].crash()
                await scene.publish(version)
                await asyncio.sleep(0.3)
                scene.world.engines[engine].restart()
            await collecting
            for sample in scene.samples.values():
                seed = sample.step * 1_000_003 + sample.group * 1009 + sample.index
                prompt = f"s{sample.step} g{sample.group}"
                assert len(sample.token_ids) == natural_length(prompt, seed)
            await scene.world.stop()

        run_virtual(scenario())


class TestSpreading:
    def test_peers_make_samples_too(self) -> None:
        """Peers help to generate a step that exceeds the free slots of the holder."""

        async def scenario() -> None:
            scene = Scene(document(), engines=1, daemons=3)
            for index in range(1, 6):
                scene.world.add_engine(
                    f"more-{index}",
                    "tuning",
                    {"tuner": 0},
                    zone_index=index,
                    profile=EngineProfile(max_running=4),
                )
            await scene.start()
            await asyncio.sleep(5.0)
            await scene.submit(submission(1, groups=128))
            await scene.collect(512)
            makers = [core.rollouts.tokens.generated for core in scene.cores]
            assert sum(count > 0 for count in makers) > 1
            await scene.world.stop()

        run_virtual(scenario())

    def test_peer_dies_with_its_share(self) -> None:
        """Samples that a killed peer was generating are regenerated and delivered once."""

        async def scenario() -> None:
            scene = await Scene(document(), engines=3, daemons=3).start()
            await asyncio.sleep(5.0)
            await scene.submit(submission(1, groups=128))
            await asyncio.sleep(0.7)
            holder = scene.holder_name()
            peer = next(name for name in scene.world.daemons if name != holder)
            await scene.remove(peer)
            await scene.collect(512)
            await scene.world.stop()

        run_virtual(scenario())

    def test_peer_stands_still_with_its_share(self) -> None:
        """A paused peer delays the step for a bounded time only."""

        async def scenario() -> None:
            scene = await Scene(document(), engines=3, daemons=3).start()
            await asyncio.sleep(5.0)
            await scene.submit(submission(1, groups=128))
            await asyncio.sleep(0.7)
            holder = scene.holder_name()
            paused = next(name for name in scene.world.daemons if name != holder)
            scene.world.daemons.pop(paused)
            scene.world.processes[paused].pause()
            await scene.collect(512, limit_s=120.0)
            scene.world.processes[paused].resume()
            await scene.world.stop()

        run_virtual(scenario())


class TestMoves:
    def test_sample_leaves_a_slow_engine(self) -> None:
        """Samples on a slow engine resume on other engines from the tokens generated so far."""

        async def scenario() -> None:
            scene = Scene(document(), engines=3, daemons=1)
            slow = EngineProfile(tick_s=0.4)
            scene.world.add_engine("slow", "tuning", {"tuner": 0}, profile=slow)
            await scene.start()
            await scene.submit(submission(1, groups=16, max_tokens=400))
            await scene.collect(64)
            engines = scene.world.engines
            elsewhere = {
                name
                for key, one in engines.items()
                if key != "slow"
                for name in one.started_request_ids
            }
            moved = elsewhere & set(engines["slow"].started_request_ids)
            assert moved
            attempts = [one for engine in engines.values() for one in engine.attempts]
            resumed = [one for one in attempts if one.held_token_ids]
            assert {one.request_id for one in resumed} == moved
            for sample in scene.samples.values():
                seed = sample.step * 1_000_003 + sample.group * 1009 + sample.index
                prompt = f"s{sample.step} g{sample.group}"
                assert len(sample.token_ids) == min(400, natural_length(prompt, seed))
            assert scene.core().rollouts.tokens.wasted == 0
            await scene.world.stop()

        run_virtual(scenario())
