"""Tests of requests that crash engines: trials, convictions, bystanders."""

import asyncio

from routing.generations import ask, is_whole, run, scenario, start
from verbenawind.daemon import Core
from verbenawind.errors import Outcome, RequestConvicted
from verbenawind.kernel.messages import GenerateRequest
from verbenawind.standins.engine import CRASH_MARK
from verbenawind.standins.world import World

POISON = f"{CRASH_MARK} quote"


def crashes(world: World) -> int:
    """Return how many times engines crashed."""
    return sum(engine.crashes for engine in world.engines.values())


async def crash_busy_engine(world: World) -> None:
    """Crash the first engine that generates."""
    for _ in range(1000):
        busy = [engine for engine in world.engines.values() if engine._running]
        if busy:
            busy[0].crash()
            return
        await asyncio.sleep(0.001)
    raise AssertionError("no engine has begun to generate")


async def send_in_turn(cores: list[Core], name: str) -> list[object]:
    """Send the poisonous request to each daemon in turn under fresh ids."""
    return [
        await run(core, ask(core, f"{name}-{index}", POISON)) for index, core in enumerate(cores)
    ]


class TestSuspects:
    def test_poison_takes_down_two_engines_at_most(self) -> None:
        """Resent to every daemon in turn, again and again, one request crashes two engines."""

        async def work(world: World) -> None:
            cores = await start(world, engines=6, daemons=3)
            answers = await send_in_turn(cores, "p") + await send_in_turn(cores, "q")
            assert all(isinstance(answer, RequestConvicted) for answer in answers)
            assert crashes(world) == 2
            last = answers[-1]
            assert isinstance(last, RequestConvicted)
            assert last.outcome is Outcome.NOT_RUN and (last.retry_after_s or 0) > 0

        scenario(work)

    def test_bystanders_get_their_answers(self) -> None:
        """Requests in flight at any daemon on the engines that crash are answered whole."""

        async def work(world: World) -> None:
            cores = await start(world, engines=3, daemons=2)
            requests: list[tuple[Core, GenerateRequest]] = [
                (cores[index % 2], ask(cores[index % 2], f"i{index}", f"job {index}"))
                for index in range(24)
            ]
            tasks = [asyncio.ensure_future(run(core, request)) for core, request in requests]
            await asyncio.sleep(0.15)
            assert isinstance(await run(cores[0], ask(cores[0], "p", POISON)), RequestConvicted)
            answers = await asyncio.gather(*tasks)
            assert crashes(world) == 2
            whole = [
                is_whole(answer, pair[1]) for answer, pair in zip(answers, requests, strict=True)
            ]
            assert all(whole)

        scenario(work)

    def test_cut_stream_raises_no_suspicion(self) -> None:
        """An engine that drops a stream but lives on makes nobody a suspect."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2)
            for engine in world.engines.values():
                engine.faults.drop_end_mark = True
            task = asyncio.ensure_future(run(core, ask(core)))
            await asyncio.sleep(0.6)
            for engine in world.engines.values():
                engine.faults.drop_end_mark = False
            await task
            assert not core.peers.items("suspect")

        scenario(work)

    def test_engine_that_dies_by_itself_convicts_nobody(self) -> None:
        """After a crash that no request caused, everybody in flight is answered and cleared."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=3)
            requests = [ask(core, f"i{index}", f"job {index}") for index in range(12)]
            tasks = [asyncio.ensure_future(run(core, request)) for request in requests]
            await asyncio.sleep(0.15)
            world.engines["engine-1"].crash()
            answers = await asyncio.gather(*tasks)
            assert all(map(is_whole, answers, requests))
            assert not core.peers.items("convicted")
            assert is_whole(await run(core, ask(core, "i99", "job 1")), ask(core, "i99", "job 1"))

        scenario(work)

    def test_convicted_innocent_is_answered_after_a_short_term(self) -> None:
        """Engines that die by themselves twice delay an innocent request by seconds only."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=4)
            task = asyncio.ensure_future(run(core, ask(core, "i", "job")))
            for crash in range(2):
                await crash_busy_engine(world)
                assert crashes(world) == crash + 1
            refusal = await task
            assert isinstance(refusal, RequestConvicted)
            assert refusal.retry_after_s is not None and refusal.retry_after_s <= 20.0
            await asyncio.sleep(refusal.retry_after_s)
            again = ask(core, "i2", "job")
            assert is_whole(await run(core, again), again)
            assert is_whole(await run(core, again), again)

        scenario(work)

    def test_poison_is_refused_for_long_once_it_has_crashed_another_engine(self) -> None:
        """After its first term, poison takes one more engine and is refused for minutes."""

        async def work(world: World) -> None:
            cores = await start(world, engines=6, daemons=3)
            first = await run(cores[0], ask(cores[0], "p", POISON))
            assert isinstance(first, RequestConvicted) and first.retry_after_s is not None
            await asyncio.sleep(first.retry_after_s)
            answers = await send_in_turn(cores, "q") + await send_in_turn(cores, "r")
            assert crashes(world) == 3
            for answer in answers:
                assert isinstance(answer, RequestConvicted)
                assert (answer.retry_after_s or 0.0) > 300.0

        scenario(work)

    def test_cut_off_zone_raises_no_suspicion(self) -> None:
        """Streams from a zone that is cut off continue elsewhere without trials."""

        async def work(world: World) -> None:
            cores = await start(world, engines=4, daemons=2)
            requests = [ask(cores[0], f"i{index}", f"job {index}") for index in range(20)]
            tasks = [asyncio.ensure_future(run(cores[0], request)) for request in requests]
            await asyncio.sleep(0.15)
            world.network.cut("bangkok-a", "hat-yai-a")
            await asyncio.gather(*tasks)
            assert not cores[0].peers.items("suspect")

        scenario(work, regions=("bangkok", "hat-yai"))
