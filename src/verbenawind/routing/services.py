"""Service requests: idempotent ones are retried, all others run at most once."""

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
from verbenawind.routing.at_most_once import AtMostOnceCaller
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.retries import RetryBudget, backoff_s
from verbenawind.routing.service_sender import ServiceSender

__all__ = ["ServiceDispatcher"]

_RETRY_FRACTION = 0.1


class ServiceDispatcher:
    """Routes requests to services.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the backend servers.
        clock: Time source.
        rng: Random source for retry jitter.
        table: Client of the table service.
        objects: Client of the object store.
        peers: The other daemons.
        policy: Which mechanisms are enabled.
    """

    __slots__ = ("_at_most_once", "_clock", "_log", "_retry_budgets", "_rng", "_sender")

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
        self._retry_budgets: dict[str, RetryBudget] = {}
        self._sender = ServiceSender(
            fleet=fleet, clients=clients, clock=clock, peers=peers, policy=policy
        )
        self._at_most_once = AtMostOnceCaller(
            sender=self._sender, clock=clock, rng=rng, table=table, objects=objects, peers=peers
        )
        self._log = structlog.get_logger("services")

    async def call(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Return the complete response; a non-idempotent request runs at most once."""
        if request.idempotent:
            return await self._call_idempotent(request, spec)
        if not request.idempotency_key:
            raise InvalidRequest(
                f"{request.method} {request.path} of service {request.service!r} is not "
                "idempotent and needs the header Idempotency-Key"
            )
        return await self._at_most_once.call(request, spec)

    async def finish(self) -> None:
        """Wait until all non-idempotent requests have finished and their outcomes are recorded."""
        await self._at_most_once.finish()

    async def _call_idempotent(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        budget = self._retry_budgets.setdefault(spec.name, RetryBudget(self._clock.monotonic_s()))
        budget.deposit(_RETRY_FRACTION)
        retry, sent, outcome_so_far = 0, False, Outcome.NOT_RUN
        while True:
            try:
                async with asyncio.timeout(self._sender.remaining_s(request)):
                    grant = await self._sender.acquire(request, spec, resumed=retry > 0)
                    sent = True
                    return await self._sender.send(request, grant)
            except TimeoutError as error:
                raise DeadlineExceeded(
                    f"request {request.request_id} got no response from service {spec.name!r} "
                    "before its deadline",
                    outcome=Outcome.MAY_HAVE_RUN if sent else Outcome.NOT_RUN,
                ) from error
            except (AdmissionRefused, BackendServerUnreachable, BackendServerFailed) as error:
                outcome_so_far = _combined_outcome(outcome_so_far, error.outcome)
                if not budget.withdraw(self._clock.monotonic_s()):
                    error.outcome = outcome_so_far
                    raise
                self._log.info("call_retried", request_id=request.request_id, error=error.message)
            except VerbenawindError as error:
                error.outcome = _combined_outcome(outcome_so_far, error.outcome)
                raise
            wait_s = backoff_s(retry, self._rng)
            retry += 1
            await self._clock.sleep(min(wait_s, self._sender.remaining_s(request)))


def _combined_outcome(previous: Outcome, last: Outcome) -> Outcome:
    """Combine the outcomes of attempts: NOT_RUN only if no attempt may have run."""
    return last if previous is Outcome.NOT_RUN else previous
