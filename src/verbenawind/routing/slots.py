"""Queues requests for slots on the backend servers of one pool or service."""

import asyncio
from collections.abc import Callable, Hashable

from verbenawind.clock import Clock
from verbenawind.errors import DeadlineExceeded, NoBackendServer, Overloaded
from verbenawind.kernel.messages import WorkKind
from verbenawind.routing.fair_queue import FairQueue
from verbenawind.routing.holds import HoldTimeEstimator
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.server_choice import Choice

__all__ = ["SlotQueue", "Ticket"]

_RETRY_PERIOD_S = 0.05
_NO_SERVER_GRACE_S = 2.0
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


class Ticket:
    """A request that waits for a slot.

    Args:
        request_id: Identifier of the request.
        caller: The caller, including its environment.
        kind: Application or rollout work.
        weight: Weight of the caller in fair queueing.
        lane: Key of the request's server requirements; requests in one lane can be served by the
            same servers.
        deadline_s: Monotonic time by which the response must be complete, in seconds.
        cost: Relative cost of the request in fair queueing.
        resumed: Whether the request has waited in the queue before; if so it is never shed.
        payload: Further data for the choice function.
    """

    __slots__ = (
        "caller",
        "cost",
        "deadline_s",
        "future",
        "kind",
        "lane",
        "payload",
        "queue_number",
        "queued_at_s",
        "request_id",
        "resumed",
        "weight",
    )

    def __init__(
        self,
        *,
        request_id: str,
        caller: str,
        kind: WorkKind,
        weight: float,
        lane: Hashable,
        deadline_s: float,
        cost: float = 1.0,
        resumed: bool = False,
        payload: object = None,
    ) -> None:
        self.request_id = request_id
        self.caller = caller
        self.kind = kind
        self.weight = weight
        self.lane = lane
        self.deadline_s = deadline_s
        self.cost = cost
        self.resumed = resumed
        self.payload = payload
        self.queue_number = 0
        self.queued_at_s = 0.0
        self.future: asyncio.Future[Choice] | None = None

    @property
    def abandoned(self) -> bool:
        """Whether the waiting request was cancelled but the ticket is still queued."""
        return self.future is not None and self.future.cancelled()


class SlotQueue:
    """Queues tickets and grants each a slot as soon as the choice function returns a server.

    Args:
        name: The pool or service, for error messages.
        clock: Time source.
        choose: Selects a server for a ticket. ``server_id`` is None if no server can accept it
            now; ``usable`` is False if no server could accept it even when idle.
        policy: Which mechanisms are enabled, and the maximum queue length.
    """

    __slots__ = (
        "_choose",
        "_clock",
        "_lanes",
        "_name",
        "_policy",
        "_retry_task",
        "hold_times",
        "in_flight",
        "in_flight_by_kind",
    )

    def __init__(
        self,
        name: str,
        clock: Clock,
        choose: Callable[[Ticket], Choice],
        policy: RoutingPolicy,
    ) -> None:
        self._name = name
        self._clock = clock
        self._choose = choose
        self._policy = policy
        self._lanes: dict[tuple[WorkKind, Hashable], FairQueue[Ticket]] = {}
        self._retry_task: asyncio.Task[None] | None = None
        self.hold_times = {kind: HoldTimeEstimator() for kind in WorkKind}
        self.in_flight: dict[str, int] = {}
        self.in_flight_by_kind = dict.fromkeys(WorkKind, 0)

    def queued(self, kind: WorkKind | None = None) -> int:
        """Return the number of queued requests, of one kind if given."""
        return sum(len(lane) for key, lane in self._lanes.items() if kind in (None, key[0]))

    def total_in_flight(self) -> int:
        """Return the number of requests that occupy a slot."""
        return sum(self.in_flight_by_kind.values())

    def release_rate_per_s(self) -> float:
        """Estimate how many slots are released per second; 0 if unknown."""
        return sum(
            self.in_flight_by_kind[kind] / hold_times.mean_s
            for kind, hold_times in self.hold_times.items()
            if hold_times.mean_s
        )

    async def acquire(self, ticket: Ticket) -> Choice:
        """Wait for a slot on a server and occupy it.

        Raises:
            Overloaded: The request is predicted to miss its deadline, or the queue is full.
            DeadlineExceeded: The deadline passed before a slot was granted.
            NoBackendServer: No server could accept the request, even when idle.
        """
        ticket.queued_at_s = self._clock.monotonic_s()
        if not ticket.resumed:
            self._check_admissible(ticket)
        lane = self._lane_for(ticket)
        if not len(lane):
            choice = self._choose(ticket)
            if choice.server_id is not None:
                self._occupy(ticket, choice.server_id)
                return choice
        future: asyncio.Future[Choice] = asyncio.get_running_loop().create_future()
        ticket.future = future
        ticket.queue_number = lane.push(
            ticket, caller=self._flow_key(ticket), weight=ticket.weight, cost=ticket.cost
        )
        self._ensure_retry_task()
        return await self._await_grant(ticket, lane, future)

    def release(self, ticket: Ticket, server_id: str) -> None:
        """Release a ticket's slot and grant queued tickets the slots that are available."""
        self.in_flight[server_id] -= 1
        self.in_flight_by_kind[ticket.kind] -= 1
        if not self.in_flight[server_id]:
            del self.in_flight[server_id]
        self.grant_available()

    def grant_available(self) -> None:
        """Grant slots to queued tickets until no further ticket can be served."""
        blocked: set[tuple[WorkKind, Hashable]] = set()
        while True:
            key = self._next_lane(blocked)
            if key is None:
                return
            head = self._lanes[key].peek()
            assert head is not None
            ticket = head[1]
            if ticket.abandoned:
                self._lanes[key].pop()
                ticket.future = None
                continue
            choice = self._choose(ticket)
            if choice.server_id is None:
                blocked.add(key)
                self._fail_if_unservable(ticket, choice)
                continue
            self._lanes[key].pop()
            self._grant(ticket, choice)

    def predicted_wait_s(self, ticket: Ticket) -> float:
        """Predict how long a new ticket would wait in the queue, in seconds."""
        ahead = 0.0
        for (kind, _), lane in self._lanes.items():
            if kind is ticket.kind:
                ahead += lane.estimate_ahead(self._flow_key(ticket), ticket.weight)
            elif kind is WorkKind.APPLICATION:
                ahead += len(lane)
        rate = self.release_rate_per_s()
        return (ahead + 1.0) / rate if ahead and rate else 0.0

    async def _await_grant(
        self, ticket: Ticket, lane: FairQueue[Ticket], future: asyncio.Future[Choice]
    ) -> Choice:
        remaining_s = max(0.0, ticket.deadline_s - ticket.queued_at_s)
        try:
            async with asyncio.timeout(remaining_s):
                return await future
        except TimeoutError as error:
            self._cancel(ticket, lane, future)
            raise DeadlineExceeded(
                f"request {ticket.request_id} waited {remaining_s:.3f} s for {self._name} "
                "and reached its deadline",
                retry_after_s=self._retry_after_s(),
            ) from error
        except asyncio.CancelledError:
            self._cancel(ticket, lane, future)
            raise

    def _cancel(
        self, ticket: Ticket, lane: FairQueue[Ticket], future: asyncio.Future[Choice]
    ) -> None:
        if future.done() and not future.cancelled() and future.exception() is None:
            server_id = future.result().server_id
            assert server_id is not None
            self.release(ticket, server_id)
        elif ticket.future is not None:
            ticket.future = None
            lane.remove(ticket.queue_number, self._flow_key(ticket))

    def _check_admissible(self, ticket: Ticket) -> None:
        remaining_s = ticket.deadline_s - ticket.queued_at_s
        if remaining_s <= 0:
            raise DeadlineExceeded(
                f"request {ticket.request_id} arrived after its deadline", retry_after_s=0.0
            )
        if self.queued() >= self._policy.max_queued:
            raise Overloaded(
                f"{self._name} has {self.queued()} requests queued and accepts no more",
                retry_after_s=self._retry_after_s(),
            )
        if not self._policy.shed:
            return
        wait_s = self.predicted_wait_s(ticket)
        if wait_s and wait_s + self.hold_times[ticket.kind].upper_estimate_s() > remaining_s:
            raise Overloaded(
                f"{self._name} is expected to start request {ticket.request_id} in {wait_s:.3f} s, "
                f"its deadline is in {remaining_s:.3f} s",
                retry_after_s=self._retry_after_s(wait_s),
            )

    def _retry_after_s(self, wait_s: float | None = None) -> float:
        if wait_s is None:
            rate = self.release_rate_per_s()
            wait_s = self.queued(WorkKind.APPLICATION) / rate if rate else 0.0
        return round(min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s / 2)), 3)

    def _fail_if_unservable(self, ticket: Ticket, choice: Choice) -> None:
        now_s = self._clock.monotonic_s()
        if choice.usable or ticket.kind is WorkKind.ROLLOUT or ticket.future is None:
            return
        if now_s - max(ticket.queued_at_s, 0.0) < _NO_SERVER_GRACE_S:
            return
        self._lane_for(ticket).pop()
        future, ticket.future = ticket.future, None
        future.set_exception(
            NoBackendServer(
                f"no server of {self._name} can accept request {ticket.request_id}: "
                f"{choice.reason}",
                retry_after_s=_NO_SERVER_GRACE_S,
            )
        )

    def _grant(self, ticket: Ticket, choice: Choice) -> None:
        future, ticket.future = ticket.future, None
        assert future is not None and choice.server_id is not None
        if self._is_too_late(ticket):
            future.set_exception(
                DeadlineExceeded(
                    f"request {ticket.request_id} was granted a slot of {self._name} too late",
                    retry_after_s=self._retry_after_s(),
                )
            )
            return
        self._occupy(ticket, choice.server_id)
        future.set_result(choice)

    def _is_too_late(self, ticket: Ticket) -> bool:
        remaining_s = ticket.deadline_s - self._clock.monotonic_s()
        if not self._policy.shed or ticket.resumed:
            return remaining_s <= 0
        return remaining_s <= self.hold_times[ticket.kind].mean_s

    def _occupy(self, ticket: Ticket, server_id: str) -> None:
        self.in_flight[server_id] = self.in_flight.get(server_id, 0) + 1
        self.in_flight_by_kind[ticket.kind] += 1

    def _lane_for(self, ticket: Ticket) -> FairQueue[Ticket]:
        key = (ticket.kind if self._policy.fair else WorkKind.APPLICATION, ticket.lane)
        return self._lanes.setdefault(key, FairQueue())

    def _flow_key(self, ticket: Ticket) -> str:
        return ticket.caller if self._policy.fair else ""

    def _next_lane(
        self, blocked: set[tuple[WorkKind, Hashable]]
    ) -> tuple[WorkKind, Hashable] | None:
        best: tuple[bool, float] | None = None
        best_key = None
        for key, lane in self._lanes.items():
            head = lane.peek() if key not in blocked else None
            if head is None:
                continue
            rank = (key[0] is WorkKind.ROLLOUT, head[0])
            if best is None or rank < best:
                best, best_key = rank, key
        return best_key

    def _ensure_retry_task(self) -> None:
        if self._retry_task is None or self._retry_task.done():
            self._retry_task = asyncio.get_running_loop().create_task(self._retry_while_queued())

    async def _retry_while_queued(self) -> None:
        while self.queued():
            await self._clock.sleep(_RETRY_PERIOD_S)
            self.grant_available()
