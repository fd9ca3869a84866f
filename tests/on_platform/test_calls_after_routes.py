"""Tests of calls for batch jobs after a configuration has removed their route."""

import json
from collections.abc import Awaitable, Callable

import pytest

from on_platform.harness import MODEL, PlatformHarness, Response, run_with_harness, submission

JOB = "7c41"


def remove_job_routes(harness: PlatformHarness, version: int = 2) -> None:
    """Write a configuration whose only route has another host."""
    route = {
        "name": "other",
        "host": "other.example",
        "path-prefix": "/other/",
        "kind": "idempotent",
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "service": "plain",
    }
    engine = {"slots": 4, "models": [{"name": MODEL}]}
    services = [{"name": "plain"}, {"name": "engines", "engine": engine}]
    limits = {"max-body-bytes": 10}
    configuration = {"version": version, "routes": [route], "services": services, "limits": limits}
    harness.store.put("op", "config", configuration)


async def finish_job(harness: PlatformHarness) -> list[dict[str, object]]:
    """Submit a job and return its results, once all are listed."""
    response = await harness.call("POST", f"/batch/{JOB}", submission(), request_id=JOB)
    assert response.status == 202
    for _ in range(50):
        response = await harness.call(
            "GET", f"/api/lots/{JOB}?after=0", daemon=1, X_Verbenawind_Wait_Ms="1000"
        )
        results: list[dict[str, object]] = json.loads(response.body)["results"]
        if len(results) == 4:
            return results
    raise AssertionError("the job did not finish")


async def wait_for_version(harness: PlatformHarness, version: int) -> None:
    """Wait until all daemons have a configuration."""
    for daemon in harness.daemons:
        node = daemon.node
        await harness.until(lambda node=node: node.routes.configuration.version == version)


class TestCallsAfterTheRoute:
    def test_results_are_read_at_every_host(self) -> None:
        """Results outlast their route, also at a daemon that never knew it."""

        async def work(harness: PlatformHarness) -> None:
            results = await finish_job(harness)
            remove_job_routes(harness)
            await wait_for_version(harness, 2)
            await harness.add_daemon("host-2")
            for index in range(3):
                response = await harness.call("GET", f"/api/lots/{JOB}?after=0", daemon=index)
                assert response.status == 200
                assert json.loads(response.body)["results"] == results
                response = await harness.call("GET", f"/api/items/{JOB}?id=i1", daemon=index)
                assert (response.status, response.body) == (200, b"3")

        run_with_harness(work, daemons=2)

    @pytest.mark.parametrize("daemon", [0, 1])
    def test_repeated_submission_is_confirmed(self, daemon: int) -> None:
        """A trainer whose 202 was lost submits again: the job is accepted, whatever the limits."""

        async def work(harness: PlatformHarness) -> None:
            await finish_job(harness)
            remove_job_routes(harness)
            await wait_for_version(harness, 2)
            response = await harness.call(
                "POST", f"/batch/{JOB}", submission(), request_id=JOB, daemon=daemon
            )
            assert response.status == 202

        run_with_harness(work, daemons=2)

    def test_job_is_ended_after_its_route(self) -> None:
        """A trainer ends its job, and again; what is listed remains."""

        async def work(harness: PlatformHarness) -> None:
            results = await finish_job(harness)
            remove_job_routes(harness)
            await wait_for_version(harness, 2)
            for _ in range(2):
                assert (await harness.call("DELETE", f"/api/lots/{JOB}")).status == 200
            response = await harness.call("GET", f"/api/lots/{JOB}?after=0")
            assert json.loads(response.body)["results"] == results

        run_with_harness(work, daemons=2)

    @pytest.mark.parametrize(
        "ask",
        [
            lambda harness: harness.call("GET", "/api/lots/unknown?after=0"),
            lambda harness: harness.call("GET", "/api/items/unknown?id=i1"),
            lambda harness: harness.call("DELETE", "/api/lots/unknown"),
            lambda harness: harness.call("POST", "/batch/unknown", b"{}", request_id="unknown"),
        ],
        ids=["results", "body", "end", "submission"],
    )
    def test_unknown_job_is_not_found(
        self, ask: Callable[[PlatformHarness], Awaitable[Response]]
    ) -> None:
        """A host without a route and an id that names no job are not found."""

        async def work(harness: PlatformHarness) -> None:
            remove_job_routes(harness)
            await wait_for_version(harness, 2)
            assert (await ask(harness)).status == 404

        run_with_harness(work)

    def test_call_that_the_store_cannot_decide_may_return(self) -> None:
        """503, not 404, for an unknown job while the store does not answer."""

        async def work(harness: PlatformHarness) -> None:
            remove_job_routes(harness)
            await wait_for_version(harness, 2)
            harness.store.busy = True
            response = await harness.call("GET", "/api/lots/unknown?after=0")
            assert response.status == 503 and response.headers["retry-after"]

        run_with_harness(work)
