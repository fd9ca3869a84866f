"""Sends a service request once: waits for a slot, selects a host and makes the call."""

import math

import structlog

from verbenawind.clock import Clock
from verbenawind.document import ServiceSpec
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
)
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import (
    BackendKind,
    ServiceRequest,
    ServiceResponse,
    WorkKind,
)
from verbenawind.kernel.ports import BackendClients, PeerBus
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.server_choice import Choice, choose_service_host
from verbenawind.routing.slots import SlotQueue, Ticket

__all__ = ["ServiceSender", "SlotGrant"]

_SUSPICION_S = 2.0
_REFUSED_SUSPICION_S = 0.2


class SlotGrant:
    """A granted slot on a service host.

    Args:
        queue: The queue that granted the slot.
        ticket: The ticket that the slot was granted to.
        server_id: Identifier of the host.
    """

    __slots__ = ("queue", "server_id", "ticket")

    def __init__(self, queue: SlotQueue, ticket: Ticket, server_id: str) -> None:
        self.queue = queue
        self.ticket = ticket
        self.server_id = server_id

    def release(self) -> None:
        """Free the slot."""
        self.queue.release(self.ticket, self.server_id)


class ServiceSender:
    """Acquires slots on service hosts and sends requests to them.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the backend servers.
        clock: Time source.
        peers: The other daemons, which share the concurrency limit of each host.
        policy: Which mechanisms are enabled.
    """

    __slots__ = ("_clients", "_clock", "_fleet", "_limits", "_log", "_peers", "_policy", "_queues")

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        clock: Clock,
        peers: PeerBus,
        policy: RoutingPolicy,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._clock = clock
        self._peers = peers
        self._policy = policy
        self._limits: dict[str, int] = {}
        self._queues: dict[str, SlotQueue] = {}
        self._log = structlog.get_logger("services")

    def host_count(self, service: str) -> int:
        """Return the number of known hosts of a service."""
        return len(self._fleet.group(BackendKind.SERVICE, service))

    def remaining_s(self, request: ServiceRequest) -> float:
        """Return the time until the request's deadline, in seconds, 0 if it has passed."""
        return max(0.0, request.deadline_s - self._clock.monotonic_s())

    async def acquire(
        self, request: ServiceRequest, spec: ServiceSpec, *, resumed: bool
    ) -> SlotGrant:
        """Wait for a slot on a host; raises the errors of ``SlotQueue.acquire``."""
        queue, ticket = self._queue(spec), self._ticket(request, resumed=resumed)
        choice = await queue.acquire(ticket)
        assert choice.server_id is not None
        return SlotGrant(queue, ticket, choice.server_id)

    async def send(self, request: ServiceRequest, grant: SlotGrant) -> ServiceResponse:
        """Send the request once and release the slot; raises as ``ServiceClient.call`` does."""
        started_s = self._clock.monotonic_s()
        try:
            view = self._fleet.view(grant.server_id)
            if view is None or view.leaving:
                raise BackendServerUnreachable(
                    f"service host {grant.server_id} is leaving or no longer registered"
                )
            response = await self._clients.service(view.server).call(request)
        except (BackendServerUnreachable, BackendServerFailed):
            self._fleet.suspect(grant.server_id, _SUSPICION_S)
            raise
        except AdmissionRefused as error:
            self._fleet.suspect(grant.server_id, error.retry_after_s or _REFUSED_SUSPICION_S)
            raise
        finally:
            grant.release()
        grant.queue.hold_times[grant.ticket.kind].observe(self._clock.monotonic_s() - started_s)
        return response

    def _queue(self, spec: ServiceSpec) -> SlotQueue:
        queue = self._queues.get(spec.name)
        if queue is None:
            queue = SlotQueue(
                f"service {spec.name!r}",
                self._clock,
                lambda ticket: self._choose(ticket, spec.name),
                self._policy,
            )
            self._queues[spec.name] = queue
        self._limits[spec.name] = spec.max_concurrency_per_server
        return queue

    def _choose(self, ticket: Ticket, service: str) -> Choice:
        daemons = len(self._peers.peers()) + 1
        choice = choose_service_host(
            self._fleet.group(BackendKind.SERVICE, service),
            location=self._fleet.location,
            in_flight=self._queues[service].in_flight,
            limit=max(1, math.ceil(self._limits[service] / daemons)),
            now_s=self._clock.monotonic_s(),
        )
        if choice.server_id is not None:
            self._log.info(
                "host_chosen",
                request_id=ticket.request_id,
                service=service,
                server_id=choice.server_id,
                reason=choice.reason,
                considered=choice.considered,
            )
        return choice

    def _ticket(self, request: ServiceRequest, *, resumed: bool) -> Ticket:
        return Ticket(
            request_id=request.request_id,
            caller=f"{request.environment}/{request.caller}",
            kind=WorkKind.APPLICATION,
            weight=1.0 + request.priority,
            lane=request.service,
            deadline_s=request.deadline_s,
            resumed=resumed,
        )
