"""Tests of generations: whole answers, retries, limits, leaving engines, shutdown."""

import asyncio

import pytest

from routing.generations import ask, is_whole, run, running, scenario, start, starts
from verbenawind.daemon import Core
from verbenawind.errors import (
    DeadlineExceeded,
    Draining,
    InvalidRequest,
    NoBackendServer,
    Outcome,
    Overloaded,
    RateLimited,
    VerbenawindError,
)
from verbenawind.kernel.messages import (
    GenerateRequest,
    GenerationEnded,
    TokensGenerated,
    WorkKind,
)
from verbenawind.standins.engine import EngineProfile, natural_length
from verbenawind.standins.world import World

SLOW = EngineProfile(max_running=2, tick_s=0.1, tokens_per_tick=2)


def long_request(core: Core, number: int = 0, **options: object) -> GenerateRequest:
    """Return a request whose answer has at least 40 tokens."""
    for index in range(number * 1000, number * 1000 + 1000):
        request = ask(core, f"long-{index}", max_tokens=60, **options)  # type: ignore[arg-type]
        if natural_length(request.prompt, request.seed) >= 40:
            return request
    raise AssertionError("no long request found")


class TestWholeAnswers:
    def test_answer_resumes_after_a_crash(self) -> None:
        """An engine that dies mid-stream is replaced; no token is missing, repeated or redrawn."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            request = long_request(core)
            task = asyncio.ensure_future(run(core, request))
            await asyncio.sleep(0.2)
            crashed = next(
                engine for engine in world.engines.values() if engine.started_request_ids
            )
            crashed.crash()
            assert is_whole(await task, request)
            assert starts(world, request.request_id) == 2

        scenario(work)

    def test_missing_end_mark_is_resumed_elsewhere(self) -> None:
        """A stream without its end mark is continued from the held tokens on another engine."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2)
            request = ask(core)
            for engine in world.engines.values():
                engine.faults.drop_end_mark = True
            task = asyncio.ensure_future(run(core, request))
            await asyncio.sleep(1.0)
            for engine in world.engines.values():
                engine.faults.drop_end_mark = False
            assert is_whole(await task, request)

        scenario(work)

    def test_stream_that_never_ends_is_an_error(self) -> None:
        """When no engine ever sends an end mark the caller gets an error, not a short answer."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2)
            for engine in world.engines.values():
                engine.faults.drop_end_mark = True
            answer = await run(core, ask(core, timeout_s=10.0))
            assert isinstance(answer, VerbenawindError)
            assert answer.outcome is not Outcome.NOT_RUN

        scenario(work)

    def test_answers_go_to_their_own_callers(self) -> None:
        """Many answers at once, ending out of order, each reach their own request whole."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            requests = [ask(core, f"r{index}", f"job {index % 5}") for index in range(60)]
            answers = await asyncio.gather(*(run(core, request) for request in requests))
            assert all(map(is_whole, answers, requests))

        scenario(work)

    def test_caller_that_goes_away_cancels(self) -> None:
        """Closing the stream stops the generation on the engine."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            events = core.dispatcher.generate(long_request(core))
            await anext(events)
            await events.aclose()
            assert running(world) == 0

        scenario(work)

    @pytest.mark.parametrize("daemon", [0, 1])
    def test_reconnect_gets_the_rest(self, daemon: int) -> None:
        """A caller that lost its stream gets its whole answer at either daemon, none redrawn."""

        async def work(world: World) -> None:
            cores = await start(world, daemons=2)
            request = long_request(cores[0])
            events = cores[0].dispatcher.generate(request)
            first = [await anext(events) for _ in range(3)]
            await events.aclose()
            again = GenerateRequest(**{**_fields(request), "reconnect": True})
            answer = await run(cores[daemon], again)
            assert is_whole(answer, request)
            assert isinstance(answer, list) and answer[:3] == first

        scenario(work)

    @pytest.mark.parametrize("daemon", [0, 1])
    def test_reconnect_takes_over_a_running_stream(self, daemon: int) -> None:
        """While the first connection still seems alive its reconnect gets all, and it an error."""

        async def work(world: World) -> None:
            cores = await start(world, daemons=2)
            request = long_request(cores[0])
            old = asyncio.ensure_future(run(cores[0], request))
            await asyncio.sleep(0.2)
            again = GenerateRequest(**{**_fields(request), "reconnect": True})
            answer = await run(cores[daemon], again)
            assert is_whole(answer, request)
            assert isinstance(await old, VerbenawindError)
            assert running(world) == 0

        scenario(work)

    def test_finished_answer_is_replayed(self) -> None:
        """A repeat of a finished request gets the same events without a second run."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            request = ask(core)
            first, second = await run(core, request), await run(core, request)
            assert first == second
            assert starts(world, "r1") == 1

        scenario(work)

    def test_sample_is_drawn_anew(self) -> None:
        """A sample that is asked for again under the same id runs again: none is replayed."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            request = ask(core, kind=WorkKind.ROLLOUT)
            await run(core, request)
            assert is_whole(await run(core, request), request)
            assert starts(world, "r1") == 2

        scenario(work)

    def test_request_id_of_another_request_is_refused(self) -> None:
        """A request id that comes with another prompt is refused as invalid."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            await run(core, ask(core))
            assert isinstance(await run(core, ask(core, prompt="other")), InvalidRequest)

        scenario(work)


class TestRefusals:
    def test_overload_is_refused_at_once_and_did_not_run(self) -> None:
        """A request that would miss its deadline is refused without delay, truly not run."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=1, profile=SLOW)
            flood = [
                asyncio.ensure_future(run(core, ask(core, f"f{index}", timeout_s=60.0)))
                for index in range(40)
            ]
            await asyncio.sleep(6.0)
            before_s = world.clock.monotonic_s()
            answer = await run(core, ask(core, "late", timeout_s=1.0))
            assert world.clock.monotonic_s() == before_s
            assert isinstance(answer, Overloaded)
            assert answer.outcome is Outcome.NOT_RUN and (answer.retry_after_s or 0) > 0
            assert starts(world, "late") == 0
            for task in flood:
                task.cancel()

        scenario(work)

    def test_refused_as_not_run_never_started(self) -> None:
        """Under four times the load every refusal that says not_run is true."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2, profile=SLOW)
            requests = [ask(core, f"r{index}", timeout_s=4.0) for index in range(80)]

            async def later(index: int) -> object:
                await asyncio.sleep(index * 0.1)
                return await run(core, ask(core, f"r{index}", timeout_s=4.0))

            answers = await asyncio.gather(*(later(index) for index in range(80)))
            refused = [
                request.request_id
                for request, answer in zip(requests, answers, strict=True)
                if isinstance(answer, VerbenawindError) and answer.outcome is Outcome.NOT_RUN
            ]
            assert refused
            assert not any(starts(world, request_id) for request_id in refused)

        scenario(work)

    def test_passed_deadline_is_refused_before_dispatch(self) -> None:
        """A request that arrives after its deadline is never handed to an engine."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            answer = await run(core, ask(core, timeout_s=-1.0))
            assert isinstance(answer, DeadlineExceeded) and answer.outcome is Outcome.NOT_RUN
            assert starts(world, "r1") == 0

        scenario(work)

    def test_pool_without_engines_is_refused_within_seconds(self) -> None:
        """With every engine down an application is told so long before its deadline."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            for engine in world.engines.values():
                engine.crash()
            await asyncio.sleep(1.0)
            before_s = world.clock.monotonic_s()
            answer = await run(core, ask(core, timeout_s=60.0))
            assert isinstance(answer, NoBackendServer) and answer.outcome is Outcome.NOT_RUN
            assert world.clock.monotonic_s() - before_s < 10.0

        scenario(work)

    def test_caller_over_its_rate_is_limited(self) -> None:
        """A caller beyond its rate gets rate_limited while another is served."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            answers = [
                await run(core, ask(core, f"s{index}", caller="slow", max_tokens=1))
                for index in range(4)
            ]
            limited = [answer for answer in answers if isinstance(answer, RateLimited)]
            assert limited and (limited[0].retry_after_s or 0) > 0
            assert is_whole(await run(core, ask(core)), ask(core))

        scenario(work)

    def test_caller_over_its_concurrency_is_limited(self) -> None:
        """A caller with too many requests in flight is refused the next one."""

        async def work(world: World) -> None:
            (core,) = await start(world, profile=SLOW)
            answers = []
            for index in range(8):
                request = ask(core, f"s{index}", caller="slow", timeout_s=60.0)
                answers.append(asyncio.ensure_future(run(core, request)))
                await asyncio.sleep(0.5)
            done = await asyncio.gather(*answers)
            assert any(isinstance(answer, RateLimited) for answer in done)

        scenario(work)


class TestRetries:
    def test_retries_stay_within_the_budget(self) -> None:
        """While engines cut every stream, attempts stay near the budget: no retry storm."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2)
            for engine in world.engines.values():
                engine.faults.drop_end_mark = True
            requests = [ask(core, f"r{index}", timeout_s=20.0) for index in range(200)]
            await asyncio.gather(*(run(core, request) for request in requests))
            attempts = sum(starts(world, request.request_id) for request in requests)
            assert attempts <= 200 * 1.1 + 64 + 25

        scenario(work)

    def test_half_dead_pool_serves_the_rest(self) -> None:
        """With half of the engines refusing connections every request is still answered."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=4)
            for index in (0, 1):
                world.engines[f"engine-{index}"].faults.unreachable = True
            requests = [ask(core, f"r{index}") for index in range(50)]
            answers = await asyncio.gather(*(run(core, request) for request in requests))
            assert all(map(is_whole, answers, requests))

        scenario(work)


class TestLeaving:
    def test_leaving_engine_gets_no_new_work(self) -> None:
        """Three seconds after an engine reports that it leaves, no daemon gives it work."""

        async def work(world: World) -> None:
            cores = await start(world, daemons=2)
            leaving = world.engines["engine-0"]

            async def flood(core: Core, name: str) -> list[object]:
                answers = []
                for index in range(60):
                    answers.append(asyncio.ensure_future(run(core, ask(core, f"{name}{index}"))))
                    await asyncio.sleep(0.1)
                return await asyncio.gather(*answers)

            floods = [
                asyncio.ensure_future(flood(core, name))
                for core, name in zip(cores, "ab", strict=True)
            ]
            await asyncio.sleep(1.0)
            leaving.leaving = True
            await asyncio.sleep(3.0)
            started = len(leaving.started_request_ids)
            answers = [answer for done in await asyncio.gather(*floods) for answer in done]
            assert started == len(leaving.started_request_ids)
            assert all(isinstance(answer, list) for answer in answers)

        scenario(work)

    def test_refusal_of_a_leaving_engine_marks_it(self) -> None:
        """The first request that a leaving engine refuses goes elsewhere and marks it at once."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2)
            await run(core, ask(core))
            first = next(engine for engine in world.engines.values() if engine.started_request_ids)
            for task in core._tasks:
                task.cancel()
            first.leaving = True
            events = core.dispatcher.generate(ask(core, "again"))
            await anext(events)
            view = core.fleet.view(first.server_id)
            assert view is not None and view.leaving
            assert "again" not in first.started_request_ids
            await events.aclose()

        scenario(work)

    def test_queued_request_avoids_an_engine_that_leaves(self) -> None:
        """A request that waits in the queue is not given to an engine marked meanwhile."""

        async def work(world: World) -> None:
            (core,) = await start(world, engines=2, profile=SLOW)
            flood = [
                asyncio.ensure_future(run(core, ask(core, f"f{index}", timeout_s=60.0)))
                for index in range(12)
            ]
            await asyncio.sleep(0.5)
            core.fleet.mark_leaving("engine-0", 1)
            started = len(world.engines["engine-0"].started_request_ids)
            answers = await asyncio.gather(*flood)
            assert len(world.engines["engine-0"].started_request_ids) == started
            assert all(isinstance(answer, list) for answer in answers)

        scenario(work)


class TestDrain:
    def test_drain_ends_what_is_in_flight(self) -> None:
        """A draining daemon refuses new work as not run and lets streams end whole."""

        async def work(world: World) -> None:
            (core,) = await start(world)
            request = long_request(core)
            task = asyncio.ensure_future(run(core, request))
            await asyncio.sleep(0.1)
            drain = asyncio.ensure_future(core.dispatcher.drain())
            await asyncio.sleep(0)
            refused = await run(core, ask(core))
            assert isinstance(refused, Draining) and refused.outcome is Outcome.NOT_RUN
            await drain
            assert task.done() and is_whole(await task, request)

        scenario(work)


class TestReserve:
    def test_applications_start_at_once_while_rollouts_flood(self) -> None:
        """Under a flood of rollouts applications find a free slot, and every rollout is served."""

        async def work(world: World) -> None:
            profile = EngineProfile(max_running=8)
            (core,) = await start(world, engines=2, profile=profile)
            flood = [
                asyncio.ensure_future(
                    run(
                        core,
                        ask(core, f"s{index}", kind=WorkKind.ROLLOUT, timeout_s=600.0),
                    )
                )
                for index in range(300)
            ]
            await asyncio.sleep(0.5)
            for index in range(20):
                started_s = world.clock.monotonic_s()
                events = core.dispatcher.generate(ask(core, f"a{index}"))
                assert isinstance(await anext(events), TokensGenerated)
                assert world.clock.monotonic_s() - started_s < 1.0
                await events.aclose()
                await asyncio.sleep(0.1)
            waits_s = core.dispatcher.stats.waits_s[WorkKind.APPLICATION]
            assert len(waits_s) == 20 and max(waits_s) == 0.0
            done = await asyncio.gather(*flood)
            assert all(
                isinstance(answer, list) and isinstance(answer[-1], GenerationEnded)
                for answer in done
            )

        scenario(work)


def _fields(request: GenerateRequest) -> dict[str, object]:
    return {name: getattr(request, name) for name in request.__struct_fields__}
