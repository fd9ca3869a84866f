"""Tests of generations: complete answers, refusals, retries, leaving engines and shutdown."""

import asyncio

import pytest

from routing.generations import (
    collect_events,
    count_running,
    count_starts,
    is_complete,
    make_request,
    run_deployment,
    start,
)
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
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.engine import EngineProfile, natural_length

SLOW = EngineProfile(max_running=2, tick_s=0.1, tokens_per_tick=2)


def long_request(core: Core, number: int = 0, **options: object) -> GenerateRequest:
    """Return a request whose answer has at least 40 tokens."""
    for index in range(number * 1000, number * 1000 + 1000):
        request = make_request(core, f"long-{index}", max_tokens=60, **options)  # type: ignore[arg-type]
        if natural_length(request.prompt, request.seed) >= 40:
            return request
    raise AssertionError("no request with a long enough answer found")


class TestCompleteAnswers:
    def test_answer_resumes_after_a_crash(self) -> None:
        """After an engine crash mid-stream no token is missing, repeated or sampled again."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            request = long_request(core)
            task = asyncio.ensure_future(collect_events(core, request))
            await asyncio.sleep(0.2)
            crashed = next(
                engine for engine in deployment.engines.values() if engine.started_request_ids
            )
            crashed.crash()
            assert is_complete(await task, request)
            assert count_starts(deployment, request.request_id) == 2

        run_deployment(work)

    def test_missing_end_marker_is_resumed_elsewhere(self) -> None:
        """A stream without its end marker is resumed after the tokens received so far."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2)
            request = make_request(core)
            for engine in deployment.engines.values():
                engine.faults.drop_end_marker = True
            task = asyncio.ensure_future(collect_events(core, request))
            await asyncio.sleep(1.0)
            for engine in deployment.engines.values():
                engine.faults.drop_end_marker = False
            assert is_complete(await task, request)

        run_deployment(work)

    def test_stream_that_never_ends_is_an_error(self) -> None:
        """If no engine sends an end marker, the caller gets an error, not a truncated answer."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2)
            for engine in deployment.engines.values():
                engine.faults.drop_end_marker = True
            answer = await collect_events(core, make_request(core, timeout_s=10.0))
            assert isinstance(answer, VerbenawindError)
            assert answer.outcome is not Outcome.NOT_RUN

        run_deployment(work)

    def test_answers_go_to_their_own_callers(self) -> None:
        """Concurrent answers that finish out of order each reach their own request completely."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            requests = [make_request(core, f"r{index}", f"job {index % 5}") for index in range(60)]
            answers = await asyncio.gather(*(collect_events(core, request) for request in requests))
            assert all(map(is_complete, answers, requests))

        run_deployment(work)

    def test_caller_disconnect_cancels_the_generation(self) -> None:
        """Closing the stream cancels the generation on the engine."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            events = core.dispatcher.generate(long_request(core))
            await anext(events)
            await events.aclose()
            assert count_running(deployment) == 0

        run_deployment(work)

    @pytest.mark.parametrize("daemon", [0, 1])
    def test_reconnect_gets_the_complete_answer(self, daemon: int) -> None:
        """After a lost stream either daemon gives the complete answer without resampling tokens."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, daemons=2)
            request = long_request(cores[0])
            events = cores[0].dispatcher.generate(request)
            first = [await anext(events) for _ in range(3)]
            await events.aclose()
            again = GenerateRequest(**{**_fields(request), "reconnect": True})
            answer = await collect_events(cores[daemon], again)
            assert is_complete(answer, request)
            assert isinstance(answer, list) and answer[:3] == first

        run_deployment(work)

    @pytest.mark.parametrize("daemon", [0, 1])
    def test_reconnect_takes_over_a_running_stream(self, daemon: int) -> None:
        """A reconnect during a running stream gets the complete answer; the old stream fails."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, daemons=2)
            request = long_request(cores[0])
            old = asyncio.ensure_future(collect_events(cores[0], request))
            await asyncio.sleep(0.2)
            again = GenerateRequest(**{**_fields(request), "reconnect": True})
            answer = await collect_events(cores[daemon], again)
            assert is_complete(answer, request)
            assert isinstance(await old, VerbenawindError)
            assert count_running(deployment) == 0

        run_deployment(work)

    def test_finished_answer_is_replayed(self) -> None:
        """A repeat of a finished request gets the same events without running again."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            request = make_request(core)
            first, second = await collect_events(core, request), await collect_events(core, request)
            assert first == second
            assert count_starts(deployment, "r1") == 1

        run_deployment(work)

    def test_rollout_sample_is_drawn_again(self) -> None:
        """A rollout sample that is requested again under the same id runs again."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            request = make_request(core, kind=WorkKind.ROLLOUT)
            await collect_events(core, request)
            assert is_complete(await collect_events(core, request), request)
            assert count_starts(deployment, "r1") == 2

        run_deployment(work)

    def test_reused_request_id_is_refused(self) -> None:
        """A request id that was used with a different prompt is refused as invalid."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            await collect_events(core, make_request(core))
            assert isinstance(
                await collect_events(core, make_request(core, prompt="other")), InvalidRequest
            )

        run_deployment(work)


class TestRefusals:
    def test_overload_is_refused_at_once_and_did_not_run(self) -> None:
        """A request that would miss its deadline is refused without delay and never started."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=1, profile=SLOW)
            flood = [
                asyncio.ensure_future(
                    collect_events(core, make_request(core, f"f{index}", timeout_s=60.0))
                )
                for index in range(40)
            ]
            await asyncio.sleep(6.0)
            before_s = deployment.clock.monotonic_s()
            answer = await collect_events(core, make_request(core, "late", timeout_s=1.0))
            assert deployment.clock.monotonic_s() == before_s
            assert isinstance(answer, Overloaded)
            assert answer.outcome is Outcome.NOT_RUN and (answer.retry_after_s or 0) > 0
            assert count_starts(deployment, "late") == 0
            for task in flood:
                task.cancel()

        run_deployment(work)

    def test_refused_as_not_run_never_started(self) -> None:
        """Under fourfold overload no request that was refused as not_run was started."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2, profile=SLOW)
            requests = [make_request(core, f"r{index}", timeout_s=4.0) for index in range(80)]

            async def later(index: int) -> object:
                await asyncio.sleep(index * 0.1)
                return await collect_events(core, make_request(core, f"r{index}", timeout_s=4.0))

            answers = await asyncio.gather(*(later(index) for index in range(80)))
            refused = [
                request.request_id
                for request, answer in zip(requests, answers, strict=True)
                if isinstance(answer, VerbenawindError) and answer.outcome is Outcome.NOT_RUN
            ]
            assert refused
            assert not any(count_starts(deployment, request_id) for request_id in refused)

        run_deployment(work)

    def test_refusal_after_a_lost_connection_may_have_run(self) -> None:
        """A request cut off from its only engine before the first token reports may_have_run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, engines=1, daemons=2)
            near, far = (location.zone for location in deployment.locations)
            request = make_request(cores[1], timeout_s=3.0)
            answer = asyncio.create_task(collect_events(cores[1], request))
            await asyncio.sleep(0.02)
            assert count_starts(deployment, request.request_id) == 1
            deployment.network.cut(near, far)
            error = await answer
            assert isinstance(error, VerbenawindError)
            assert error.outcome is Outcome.MAY_HAVE_RUN

        run_deployment(work, regions=("bangkok", "hat-yai"))

    def test_refusal_without_another_engine_may_have_run(self) -> None:
        """A request lost by its only engine, with no other available, reports may_have_run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, engines=1, daemons=2)
            near, far = (location.zone for location in deployment.locations)
            request = make_request(cores[1])
            answer = asyncio.create_task(collect_events(cores[1], request))
            await asyncio.sleep(0.02)
            assert count_starts(deployment, request.request_id) == 1
            deployment.network.cut(near, far)
            cores[1].fleet.mark_leaving("engine-0", 1)
            error = await answer
            assert isinstance(error, NoBackendServer)
            assert error.outcome is Outcome.MAY_HAVE_RUN

        run_deployment(work, regions=("bangkok", "hat-yai"))

    def test_passed_deadline_is_refused_before_dispatch(self) -> None:
        """A request that arrives after its deadline is never dispatched."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            answer = await collect_events(core, make_request(core, timeout_s=-1.0))
            assert isinstance(answer, DeadlineExceeded) and answer.outcome is Outcome.NOT_RUN
            assert count_starts(deployment, "r1") == 0

        run_deployment(work)

    def test_pool_without_engines_is_refused_within_seconds(self) -> None:
        """With all engines down an application request fails long before its deadline."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            for engine in deployment.engines.values():
                engine.crash()
            await asyncio.sleep(1.0)
            before_s = deployment.clock.monotonic_s()
            answer = await collect_events(core, make_request(core, timeout_s=60.0))
            assert isinstance(answer, NoBackendServer) and answer.outcome is Outcome.NOT_RUN
            assert deployment.clock.monotonic_s() - before_s < 10.0

        run_deployment(work)

    def test_caller_over_its_rate_is_limited(self) -> None:
        """A caller above its rate is refused as rate limited while another caller is served."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            answers = [
                await collect_events(
                    core, make_request(core, f"s{index}", caller="slow", max_tokens=1)
                )
                for index in range(4)
            ]
            limited = [answer for answer in answers if isinstance(answer, RateLimited)]
            assert limited and (limited[0].retry_after_s or 0) > 0
            assert is_complete(await collect_events(core, make_request(core)), make_request(core))

        run_deployment(work)

    def test_caller_over_its_concurrency_is_limited(self) -> None:
        """A caller with too many requests in flight is refused further ones."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, profile=SLOW)
            answers = []
            for index in range(8):
                request = make_request(core, f"s{index}", caller="slow", timeout_s=60.0)
                answers.append(asyncio.ensure_future(collect_events(core, request)))
                await asyncio.sleep(0.5)
            done = await asyncio.gather(*answers)
            assert any(isinstance(answer, RateLimited) for answer in done)

        run_deployment(work)


class TestRetries:
    def test_retries_stay_within_the_budget(self) -> None:
        """While engines truncate every stream, attempts stay near the budget: no retry storm."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2)
            for engine in deployment.engines.values():
                engine.faults.drop_end_marker = True
            requests = [make_request(core, f"r{index}", timeout_s=20.0) for index in range(200)]
            await asyncio.gather(*(collect_events(core, request) for request in requests))
            attempts = sum(count_starts(deployment, request.request_id) for request in requests)
            assert attempts <= 200 * 1.1 + 64 + 25

        run_deployment(work)

    def test_pool_with_half_of_the_engines_down_serves_all(self) -> None:
        """With half of the engines unreachable every request is still answered."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=4)
            for index in (0, 1):
                deployment.engines[f"engine-{index}"].faults.unreachable = True
            requests = [make_request(core, f"r{index}") for index in range(50)]
            answers = await asyncio.gather(*(collect_events(core, request) for request in requests))
            assert all(map(is_complete, answers, requests))

        run_deployment(work)


class TestLeaving:
    def test_leaving_engine_gets_no_new_work(self) -> None:
        """Three seconds after an engine reports that it is leaving, no daemon dispatches to it."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, daemons=2)
            leaving = deployment.engines["engine-0"]

            async def flood(core: Core, name: str) -> list[object]:
                answers = []
                for index in range(60):
                    answers.append(
                        asyncio.ensure_future(
                            collect_events(core, make_request(core, f"{name}{index}"))
                        )
                    )
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

        run_deployment(work)

    def test_refusal_of_a_leaving_engine_marks_it(self) -> None:
        """The first refusal by a leaving engine marks it as leaving; the request runs elsewhere."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2)
            await collect_events(core, make_request(core))
            first = next(
                engine for engine in deployment.engines.values() if engine.started_request_ids
            )
            for task in core._tasks:
                task.cancel()
            first.leaving = True
            events = core.dispatcher.generate(make_request(core, "again"))
            await anext(events)
            view = core.fleet.view(first.server_id)
            assert view is not None and view.leaving
            assert "again" not in first.started_request_ids
            await events.aclose()

        run_deployment(work)

    def test_queued_request_avoids_a_leaving_engine(self) -> None:
        """A queued request is not dispatched to an engine that was marked as leaving meanwhile."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment, engines=2, profile=SLOW)
            flood = [
                asyncio.ensure_future(
                    collect_events(core, make_request(core, f"f{index}", timeout_s=60.0))
                )
                for index in range(12)
            ]
            await asyncio.sleep(0.5)
            core.fleet.mark_leaving("engine-0", 1)
            started = len(deployment.engines["engine-0"].started_request_ids)
            answers = await asyncio.gather(*flood)
            assert len(deployment.engines["engine-0"].started_request_ids) == started
            assert all(isinstance(answer, list) for answer in answers)

        run_deployment(work)


class TestDrain:
    def test_drain_finishes_requests_in_flight(self) -> None:
        """A draining daemon refuses new requests as not_run and completes running streams."""

        async def work(deployment: Deployment) -> None:
            (core,) = await start(deployment)
            request = long_request(core)
            task = asyncio.ensure_future(collect_events(core, request))
            await asyncio.sleep(0.1)
            drain = asyncio.ensure_future(core.dispatcher.drain())
            await asyncio.sleep(0)
            refused = await collect_events(core, make_request(core))
            assert isinstance(refused, Draining) and refused.outcome is Outcome.NOT_RUN
            await drain
            assert task.done() and is_complete(await task, request)

        run_deployment(work)


class TestReserve:
    def test_applications_start_at_once_while_rollouts_flood(self) -> None:
        """Under a flood of rollouts applications never queue, and every rollout is served."""

        async def work(deployment: Deployment) -> None:
            profile = EngineProfile(max_running=8)
            (core,) = await start(deployment, engines=2, profile=profile)
            flood = [
                asyncio.ensure_future(
                    collect_events(
                        core,
                        make_request(core, f"s{index}", kind=WorkKind.ROLLOUT, timeout_s=600.0),
                    )
                )
                for index in range(300)
            ]
            await asyncio.sleep(0.5)
            for index in range(20):
                started_s = deployment.clock.monotonic_s()
                events = core.dispatcher.generate(make_request(core, f"a{index}"))
                assert isinstance(await anext(events), TokensGenerated)
                assert deployment.clock.monotonic_s() - started_s < 1.0
                await events.aclose()
                await asyncio.sleep(0.1)
            waits_s = core.dispatcher.stats.waits_s[WorkKind.APPLICATION]
            assert len(waits_s) == 20 and max(waits_s) == 0.0
            done = await asyncio.gather(*flood)
            assert all(
                isinstance(answer, list) and isinstance(answer[-1], GenerationEnded)
                for answer in done
            )

        run_deployment(work)


def _fields(request: GenerateRequest) -> dict[str, object]:
    return {name: getattr(request, name) for name in request.__struct_fields__}
