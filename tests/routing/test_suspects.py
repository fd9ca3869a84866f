"""Tests of requests that crash engines: trials, convictions and unaffected requests."""

import asyncio

from routing.generations import collect_events, is_complete, make_request, run_deployment, start
from verbenawind.daemon import Core
from verbenawind.errors import Outcome, RequestConvicted
from verbenawind.kernel.messages import GenerateRequest
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.engine import CRASH_MARKER

CRASHING_PROMPT = f"{CRASH_MARKER} quote"


def crashes(deployment: Deployment) -> int:
    """Return the number of engine crashes so far."""
    return sum(engine.crashes for engine in deployment.engines.values())


async def crash_busy_engine(deployment: Deployment) -> None:
    """Crash the first engine that has a running generation."""
    for _ in range(1000):
        busy = [engine for engine in deployment.engines.values() if engine._running]
        if busy:
            busy[0].crash()
            return
        await asyncio.sleep(0.001)
    raise AssertionError("no engine started a generation")


async def send_in_turn(cores: list[Core], name: str) -> list[object]:
    """Send the crashing request to each daemon in turn, each time under a new id."""
    return [
        await collect_events(core, make_request(core, f"{name}-{index}", CRASHING_PROMPT))
        for index, core in enumerate(cores)
    ]


class TestSuspects:
    def test_crashing_request_crashes_two_engines_at_most(self) -> None:
        """A request resent repeatedly to every daemon crashes two engines in total."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, engines=6, daemons=3)
            answers = await send_in_turn(cores, "p") + await send_in_turn(cores, "q")
            assert all(isinstance(answer, RequestConvicted) for answer in answers)
            assert crashes(deployment) == 2
            last = answers[-1]
            assert isinstance(last, RequestConvicted)
            assert last.outcome is Outcome.NOT_RUN and (last.retry_after_s or 0) > 0

        run_deployment(work)

    def test_other_requests_on_crashed_engines_are_answered(self) -> None:
        """Other requests in flight on the crashing engines get complete answers at each daemon."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, engines=3, daemons=2)
            requests: list[tuple[Core, GenerateRequest]] = [
                (cores[index % 2], make_request(cores[index % 2], f"i{index}", f"job {index}"))
                for index in range(24)
            ]
            tasks = [
                asyncio.ensure_future(collect_events(core, request)) for core, request in requests
            ]
            await asyncio.sleep(0.15)
            assert isinstance(
                await collect_events(cores[0], make_request(cores[0], "p", CRASHING_PROMPT)),
                RequestConvicted,
            )
            answers = await asyncio.gather(*tasks)
            assert crashes(deployment) == 2
            complete = [
                is_complete(answer, pair[1]) for answer, pair in zip(answers, requests, strict=True)
            ]
            assert all(complete)

        run_deployment(work)

    def test_truncated_stream_raises_no_suspicion(self) -> None:
        """A truncated stream from an engine that keeps running makes no request a suspect."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2)
            for engine in deployment.engines.values():
                engine.faults.drop_end_marker = True
            task = asyncio.ensure_future(collect_events(core, make_request(core)))
            await asyncio.sleep(0.6)
            for engine in deployment.engines.values():
                engine.faults.drop_end_marker = False
            await task
            assert not core.peers.items("suspect")

        run_deployment(work)

    def test_unrelated_engine_crash_convicts_no_request(self) -> None:
        """After a crash that no request caused, all requests in flight are answered and cleared."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=3)
            requests = [make_request(core, f"i{index}", f"job {index}") for index in range(12)]
            tasks = [asyncio.ensure_future(collect_events(core, request)) for request in requests]
            await asyncio.sleep(0.15)
            deployment.engines["engine-1"].crash()
            answers = await asyncio.gather(*tasks)
            assert all(map(is_complete, answers, requests))
            assert not core.peers.items("convicted")
            assert is_complete(
                await collect_events(core, make_request(core, "i99", "job 1")),
                make_request(core, "i99", "job 1"),
            )

        run_deployment(work)

    def test_convicted_innocent_is_answered_after_a_short_term(self) -> None:
        """Two unrelated engine crashes delay an innocent request by 20 seconds at most."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=4)
            task = asyncio.ensure_future(collect_events(core, make_request(core, "i", "job")))
            for crash in range(2):
                await crash_busy_engine(deployment)
                assert crashes(deployment) == crash + 1
            refusal = await task
            assert isinstance(refusal, RequestConvicted)
            assert refusal.retry_after_s is not None and refusal.retry_after_s <= 20.0
            await asyncio.sleep(refusal.retry_after_s)
            again = make_request(core, "i2", "job")
            assert is_complete(await collect_events(core, again), again)
            assert is_complete(await collect_events(core, again), again)

        run_deployment(work)

    def test_repeated_conviction_has_a_long_term(self) -> None:
        """After its first term a crashing request crashes one more engine and is refused longer."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, engines=6, daemons=3)
            first = await collect_events(cores[0], make_request(cores[0], "p", CRASHING_PROMPT))
            assert isinstance(first, RequestConvicted) and first.retry_after_s is not None
            await asyncio.sleep(first.retry_after_s)
            answers = await send_in_turn(cores, "q") + await send_in_turn(cores, "r")
            assert crashes(deployment) == 3
            for answer in answers:
                assert isinstance(answer, RequestConvicted)
                assert (answer.retry_after_s or 0.0) > 300.0

        run_deployment(work)

    def test_network_partition_raises_no_suspicion(self) -> None:
        """Streams from a partitioned zone continue on other engines without trials."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, engines=4, daemons=2)
            requests = [make_request(cores[0], f"i{index}", f"job {index}") for index in range(20)]
            tasks = [
                asyncio.ensure_future(collect_events(cores[0], request)) for request in requests
            ]
            await asyncio.sleep(0.15)
            deployment.network.cut("bangkok-a", "hat-yai-a")
            await asyncio.gather(*tasks)
            assert not cores[0].peers.items("suspect")

        run_deployment(work, regions=("bangkok", "hat-yai"))
