"""Tests that stragglers are finished, not replaced, and that daemons share the work."""

import asyncio

from rollout.harness import RolloutHarness, document, submission
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.engine import EngineProfile, natural_length


class TestLengths:
    def test_no_bias_to_short_samples(self) -> None:
        """Crashes and expiry do not bias the length of delivered samples.

        Replacing interrupted samples would favour short ones, as long samples are interrupted
        more often.
        """

        async def scenario() -> None:
            harness = await RolloutHarness(document(max_versions=1), engines=4).start()
            await harness.submit(submission(1, groups=16, max_tokens=2000))
            collecting = asyncio.create_task(harness.collect(64))
            for version, engine in enumerate(("engine-0", "engine-1"), start=1):
                await asyncio.sleep(0.7)
                harness.deployment.engines[engine].crash()
                await harness.publish(version)
                await asyncio.sleep(0.3)
                harness.deployment.engines[engine].restart()
            await collecting
            for sample in harness.samples.values():
                seed = sample.step * 1_000_003 + sample.group * 1009 + sample.index
                prompt = f"s{sample.step} g{sample.group}"
                assert len(sample.token_ids) == natural_length(prompt, seed)
            await harness.deployment.stop()

        run_virtual(scenario())


class TestDistribution:
    def test_peers_generate_samples(self) -> None:
        """Peers help to generate a step that exceeds the free slots of the holder."""

        async def scenario() -> None:
            harness = RolloutHarness(document(), engines=1, daemons=3)
            for index in range(1, 6):
                harness.deployment.add_engine(
                    f"more-{index}",
                    "tuning",
                    {"tuner": 0},
                    zone_index=index,
                    profile=EngineProfile(max_running=4),
                )
            await harness.start()
            await asyncio.sleep(5.0)
            await harness.submit(submission(1, groups=128))
            await harness.collect(512)
            tokens_by_daemon = [core.rollouts.tokens.generated for core in harness.cores]
            assert sum(count > 0 for count in tokens_by_daemon) > 1
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_peer_killed(self) -> None:
        """Samples that a killed peer was generating are regenerated and delivered once."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), engines=3, daemons=3).start()
            await asyncio.sleep(5.0)
            await harness.submit(submission(1, groups=128))
            await asyncio.sleep(0.7)
            holder = harness.holder_name()
            peer = next(name for name in harness.deployment.daemons if name != holder)
            await harness.kill_daemon(peer)
            await harness.collect(512)
            await harness.deployment.stop()

        run_virtual(scenario())

    def test_peer_paused(self) -> None:
        """A paused peer delays the step for a bounded time only."""

        async def scenario() -> None:
            harness = await RolloutHarness(document(), engines=3, daemons=3).start()
            await asyncio.sleep(5.0)
            await harness.submit(submission(1, groups=128))
            await asyncio.sleep(0.7)
            holder = harness.holder_name()
            paused = next(name for name in harness.deployment.daemons if name != holder)
            harness.deployment.daemons.pop(paused)
            harness.deployment.processes[paused].pause()
            await harness.collect(512, limit_s=120.0)
            harness.deployment.processes[paused].resume()
            await harness.deployment.stop()

        run_virtual(scenario())


class TestStragglers:
    def test_sample_moves_from_slow_engine(self) -> None:
        """Samples on an engine ten times slower are resumed elsewhere from their tokens so far."""

        async def scenario() -> None:
            harness = RolloutHarness(document(), engines=3, daemons=1)
            slow = EngineProfile(tick_s=0.4)
            harness.deployment.add_engine("slow", "tuning", {"tuner": 0}, profile=slow)
            await harness.start()
            await harness.submit(submission(1, groups=16, max_tokens=400))
            await harness.collect(64)
            engines = harness.deployment.engines
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
            for sample in harness.samples.values():
                seed = sample.step * 1_000_003 + sample.group * 1009 + sample.index
                prompt = f"s{sample.step} g{sample.group}"
                assert len(sample.token_ids) == min(400, natural_length(prompt, seed))
            assert harness.core().rollouts.tokens.wasted == 0
            await harness.deployment.stop()

        run_virtual(scenario())
