"""Calls to plain services: idempotent ones are retried, others run at most once."""

import asyncio
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.document import ServiceSpec
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    DeadlineExceeded,
    InvalidRequest,
    Outcome,
    VerbenawindError,
)
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import ServiceRequest, ServiceResponse
from verbenawind.kernel.ports import BackendClients, ObjectStore, PeerBus, TableStore
from verbenawind.routing.at_most_once import OnceCaller
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.retries import RetryBudget, backoff_s
from verbenawind.routing.service_sender import ServiceSender

__all__ = ["ServiceDispatcher"]

_RETRY_FRACTION = 0.1


class ServiceDispatcher:
    """Routes calls to plain services.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the backend servers.
        clock: Time source.
        rng: Jitter of retries.
        table: The table service's client.
        objects: The object store's client.
        peers: The other daemons.
        policy: Bounds on what may wait.
    """

    __slots__ = ("_clock", "_log", "_once", "_retries", "_rng", "_sender")

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        clock: Clock,
        rng: Random,
        table: TableStore,
        objects: ObjectStore,
        peers: PeerBus,
        policy: RoutingPolicy,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._retries: dict[str, RetryBudget] = {}
        self._sender = ServiceSender(
            fleet=fleet, clients=clients, clock=clock, peers=peers, policy=policy
        )
        self._once = OnceCaller(
            sender=self._sender, clock=clock, rng=rng, table=table, objects=objects, peers=peers
        )
        self._log = structlog.get_logger("services")

    async def call(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Return the whole answer; a non-idempotent request runs at most once."""
        if request.idempotent:
            return await self._call_idempotent(request, spec)
        if not request.idempotency_key:
            raise InvalidRequest(
                f"{request.method} {request.path} of service {request.service!r} is not "
                "idempotent and needs the header Idempotency-Key"
            )
        return await self._once.call(request, spec)

    async def finish(self) -> None:
        """Wait until every non-idempotent request has ended and is recorded."""
        await self._once.finish()

    async def _call_idempotent(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        budget = self._retries.setdefault(spec.name, RetryBudget(self._clock.monotonic_s()))
        budget.deposit(_RETRY_FRACTION)
        retry, sent, known = 0, False, Outcome.NOT_RUN
        while True:
            try:
                async with asyncio.timeout(self._sender.remaining_s(request)):
                    turn = await self._sender.turn(request, spec, resumed=retry > 0)
                    sent = True
                    return await self._sender.send(request, turn)
            except TimeoutError as error:
                raise DeadlineExceeded(
                    f"request {request.request_id} got no answer from service {spec.name!r} "
                    "before its deadline",
                    outcome=Outcome.MAY_HAVE_RUN if sent else Outcome.NOT_RUN,
                ) from error
            except (AdmissionRefused, BackendServerUnreachable, BackendServerFailed) as error:
                known = _after(known, error.outcome)
                if not budget.withdraw(self._clock.monotonic_s()):
                    error.outcome = known
                    raise
                self._log.info("call_retried", request_id=request.request_id, error=error.message)
            except VerbenawindError as error:
                error.outcome = _after(known, error.outcome)
                raise
            wait_s = backoff_s(retry, self._rng)
            retry += 1
            await self._clock.sleep(min(wait_s, self._sender.remaining_s(request)))


def _after(earlier: Outcome, last: Outcome) -> Outcome:
    """Return what is known of a request after another attempt; all of them must not have run."""
    return last if earlier is Outcome.NOT_RUN else earlier
