"""Tests of service requests: retries of idempotent ones, at-most-once execution of others."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from verbenawind.daemon import Core
from verbenawind.document import RouteSpec, ServiceSpec
from verbenawind.errors import (
    DeadlineExceeded,
    IdempotencyKeyReused,
    InvalidRequest,
    NoBackendServer,
    Outcome,
    OutcomeUnknown,
    StoreUnavailable,
    VerbenawindError,
)
from verbenawind.kernel.messages import ServiceRequest, ServiceResponse
from verbenawind.routing.claims import Claims
from verbenawind.standins.deployment import Deployment, run_virtual

SPEC = ServiceSpec(name="orders", routes=(RouteSpec(path_prefix="/book", idempotent=False),))


def booking(
    core: Core,
    key: str | None = "k1",
    body: bytes = b"razors",
    *,
    idempotent: bool = False,
    timeout_s: float = 5.0,
) -> ServiceRequest:
    """Return a booking request, non-idempotent by default."""
    return ServiceRequest(
        request_id="req-1",
        environment="kallioniemi/production",
        caller="desk",
        service="orders",
        method="POST",
        path="/book",
        query="",
        headers={},
        body=body,
        deadline_s=core.dependencies.clock.monotonic_s() + timeout_s,
        idempotent=idempotent,
        idempotency_key=key,
    )


async def start(deployment: Deployment, hosts: int = 2, daemons: int = 2) -> list[Core]:
    """Start service hosts and daemons that route to them."""
    for index in range(hosts):
        deployment.add_service(f"orders-{index}", "orders")
    cores = [deployment.add_daemon(f"daemon-{index}") for index in range(daemons)]
    for core in cores:
        await core.start()
    return cores


def count_runs(deployment: Deployment, key: str = "k1") -> int:
    """Return how many times the booking ran, summed over all hosts."""
    return sum(service.runs[key] for service in deployment.services.values())


def run_deployment(work: Callable[[Deployment], Awaitable[Any]]) -> Any:
    """Run *work* in a new deployment on virtual time."""

    async def run_and_stop() -> Any:
        deployment = Deployment(seed=3)
        try:
            return await work(deployment)
        finally:
            await deployment.stop()

    return run_virtual(run_and_stop())


async def response_or_error(
    awaitable: Awaitable[ServiceResponse],
) -> ServiceResponse | VerbenawindError:
    """Return the response or the error raised instead."""
    try:
        return await awaitable
    except VerbenawindError as error:
        return error


class TestIdempotent:
    def test_failed_host_is_retried_elsewhere(self) -> None:
        """An idempotent request whose host drops the connection is retried on another host."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            deployment.services["orders-0"].lose_next_answers = 1
            answer = await cores[0].dispatcher.call_service(
                booking(cores[0], idempotent=True), SPEC
            )
            assert answer.status == 200
            assert count_runs(deployment) == 2

        run_deployment(work)

    def test_retries_end_at_the_deadline(self) -> None:
        """With every host unreachable, retries end by the deadline with a correct outcome."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            for service in deployment.services.values():
                service.unreachable = True
            error = await response_or_error(
                cores[0].dispatcher.call_service(booking(cores[0], idempotent=True), SPEC)
            )
            assert isinstance(error, VerbenawindError)
            assert error.outcome is Outcome.NOT_RUN or isinstance(error, DeadlineExceeded)

        run_deployment(work)

    def test_refusal_after_a_lost_response_may_have_run(self) -> None:
        """A request that ran, lost its response and was then refused reports may_have_run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment, hosts=1)
            host = deployment.services["orders-0"]
            host.lose_next_answers = 1
            call = asyncio.create_task(
                response_or_error(
                    cores[0].dispatcher.call_service(booking(cores[0], idempotent=True), SPEC)
                )
            )
            await asyncio.sleep(host.answer_s / 2)
            cores[0].fleet.mark_leaving("orders-0", 1)
            error = await call
            assert count_runs(deployment) == 1
            assert isinstance(error, VerbenawindError)
            assert error.outcome is Outcome.MAY_HAVE_RUN

        run_deployment(work)


class TestAtMostOnce:
    def test_key_is_required(self) -> None:
        """A non-idempotent request without an idempotency key is refused as not_run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            with pytest.raises(InvalidRequest) as caught:
                await cores[0].dispatcher.call_service(booking(cores[0], None), SPEC)
            assert caught.value.outcome is Outcome.NOT_RUN

        run_deployment(work)

    def test_repeat_gets_recorded_response_at_any_daemon(self) -> None:
        """Repeats at the same and at another daemon return the first response without a rerun."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            first = await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            again = await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            other = await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert first.body == again.body == other.body
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_large_response_is_recorded_completely(self) -> None:
        """A response too large for a table row is returned completely by another daemon."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            body = b"x" * 20_000
            first = await cores[0].dispatcher.call_service(booking(cores[0], body=body), SPEC)
            other = await cores[1].dispatcher.call_service(booking(cores[1], body=body), SPEC)
            assert first.body == other.body and len(first.body) > 20_000
            assert max(len(row.value) for row in deployment.table.rows.values()) < 5_000

        run_deployment(work)

    def test_concurrent_repeats_run_once(self) -> None:
        """Repeats during execution, at the same or another daemon, wait for the same run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            for service in deployment.services.values():
                service.answer_s = 1.0
            answers = await asyncio.gather(
                *(core.dispatcher.call_service(booking(core), SPEC) for core in cores * 3)
            )
            assert len({answer.body for answer in answers}) == 1
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_other_body_is_refused(self) -> None:
        """A different body under the same key is refused by both daemons and does not run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            for core in cores:
                with pytest.raises(IdempotencyKeyReused):
                    await core.dispatcher.call_service(booking(core, body=b"capes"), SPEC)
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_lost_service_response_is_never_resent(self) -> None:
        """After a dropped connection the request and its repeats fail with may_have_run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            for service in deployment.services.values():
                service.lose_next_answers = 1
            for core in (cores[0], cores[0], cores[1]):
                with pytest.raises(OutcomeUnknown) as caught:
                    await core.dispatcher.call_service(booking(core), SPEC)
                assert caught.value.outcome is Outcome.MAY_HAVE_RUN
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_unavailable_table_refuses_as_not_run(self) -> None:
        """With the table down nothing is dispatched; the key is usable after it recovers."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            deployment.table.faults.down = True
            with pytest.raises(StoreUnavailable) as caught:
                await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            assert caught.value.outcome is Outcome.NOT_RUN
            assert count_runs(deployment) == 0
            deployment.table.faults.down = False
            await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert count_runs(deployment) == 1

        run_deployment(work)

    @pytest.mark.parametrize("lost", [1, 2, 3])
    def test_lost_claim_response_is_resolved(self, lost: int) -> None:
        """A claim whose table response was lost is read back, and the request runs once."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            deployment.table.faults.lose_next_answers = lost
            await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_unresolved_claim_is_not_dispatched(self) -> None:
        """An unresolved claim is refused as not_run, and its holder may claim the key later."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            deployment.table.faults.lose_answer_rate = 1.0
            with pytest.raises(StoreUnavailable) as caught:
                await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            assert caught.value.outcome is Outcome.NOT_RUN
            assert count_runs(deployment) == 0
            deployment.table.faults.lose_answer_rate = 0.0
            await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_crash_after_claim_makes_repeats_unknown(self) -> None:
        """A repeat fails with may_have_run if the holder died between claim and outcome."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            claims = Claims(cores[0].table, cores[0].objects, deployment.clock, "daemon-9")
            await claims.claim(booking(cores[0], timeout_s=1.0), "claim-x")
            with pytest.raises(OutcomeUnknown):
                await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert count_runs(deployment) == 0

        run_deployment(work)

    def test_unreachable_hosts_leave_the_key_usable(self) -> None:
        """If no host was reachable the outcome is not_run, and a repeat elsewhere may run."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            for service in deployment.services.values():
                service.unreachable = True
            with pytest.raises(NoBackendServer) as caught:
                await cores[0].dispatcher.call_service(booking(cores[0]), SPEC)
            assert caught.value.outcome is Outcome.NOT_RUN
            for service in deployment.services.values():
                service.unreachable = False
            await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_caller_disconnect_does_not_lose_the_outcome(self) -> None:
        """The outcome of a request whose caller disconnected is recorded for its repeat."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            for service in deployment.services.values():
                service.answer_s = 1.0
            call = asyncio.ensure_future(cores[0].dispatcher.call_service(booking(cores[0]), SPEC))
            await asyncio.sleep(0.5)
            call.cancel()
            await asyncio.sleep(1.0)
            await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert count_runs(deployment) == 1

        run_deployment(work)

    def test_outcome_is_recorded_after_the_table_recovers(self) -> None:
        """An outcome that could not be written is written once the table is available again."""

        async def work(deployment: Deployment) -> None:
            cores = await start(deployment)
            for service in deployment.services.values():
                service.answer_s = 0.5
            call = asyncio.ensure_future(cores[0].dispatcher.call_service(booking(cores[0]), SPEC))
            await asyncio.sleep(0.2)
            deployment.table.faults.down = True
            first = await call
            deployment.table.faults.down = False
            await cores[0].dispatcher.services.finish()
            other = await cores[1].dispatcher.call_service(booking(cores[1]), SPEC)
            assert first.body == other.body
            assert count_runs(deployment) == 1

        run_deployment(work)
