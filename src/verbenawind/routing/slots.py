"""Gives requests their turn on the backend servers of one pool or one service."""

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

_PUMP_PERIOD_S = 0.05
_UNSERVED_GRACE_S = 2.0
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


class Ticket:
    """A request's wait for its turn.

    Args:
        request_id: The request.
        caller: Whose it is.
        kind: Application or rollout work.
        weight: The caller's share relative to others.
        lane: What the request needs of a server; requests of one lane fit the same servers.
        deadline_s: When its answer must be whole, in monotonic seconds.
        cost: Work relative to other requests, for fairness.
        resumed: Whether it has already waited once; then it is never shed.
        payload: What the choice function needs to know besides.
    """

    __slots__ = (
        "caller",
        "cost",
        "deadline_s",
        "future",
        "kind",
        "lane",
        "number",
        "payload",
        "request_id",
        "resumed",
        "since_s",
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
        self.number = 0
        self.since_s = 0.0
        self.future: asyncio.Future[Choice] | None = None

    @property
    def abandoned(self) -> bool:
        """Whether the waiting request was cancelled and has yet to take the ticket back."""
        return self.future is not None and self.future.cancelled()


class SlotQueue:
    """Queues tickets and grants each a server as soon as the choice function names one.

    Args:
        name: The pool or service, for messages.
        clock: Time source.
        choose: Returns a server for a ticket, ``server_id`` None when none can take it now, and
            ``usable`` False when none could even if it were idle.
        policy: Bounds on what may wait.
    """

    __slots__ = (
        "_choose",
        "_clock",
        "_lanes",
        "_name",
        "_policy",
        "_pumper",
        "hold_times",
        "in_flight",
        "kind_in_flight",
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
        self._pumper: asyncio.Task[None] | None = None
        self.hold_times = {kind: HoldTimeEstimator() for kind in WorkKind}
        self.in_flight: dict[str, int] = {}
        self.kind_in_flight = dict.fromkeys(WorkKind, 0)

    def queued(self, kind: WorkKind | None = None) -> int:
        """Return how many requests wait, of one kind if given."""
        return sum(len(lane) for key, lane in self._lanes.items() if kind in (None, key[0]))

    def total_in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return sum(self.kind_in_flight.values())

    def turns_per_s(self) -> float:
        """Return how many slots are likely to come free each second; 0 when unknown."""
        return sum(
            self.kind_in_flight[kind] / hold_times.mean_s
            for kind, hold_times in self.hold_times.items()
            if hold_times.mean_s
        )

    async def acquire(self, ticket: Ticket) -> Choice:
        """Wait for a server and count the ticket as in flight there.

        Raises:
            Overloaded: The request would miss its deadline, or too many wait.
            DeadlineExceeded: Its deadline passed while it waited.
            NoBackendServer: No server could take it, even an idle one.
        """
        ticket.since_s = self._clock.monotonic_s()
        if not ticket.resumed:
            self._check_wait(ticket)
        lane = self._lane(ticket)
        if not len(lane):
            choice = self._choose(ticket)
            if choice.server_id is not None:
                self._enter(ticket, choice.server_id)
                return choice
        future: asyncio.Future[Choice] = asyncio.get_running_loop().create_future()
        ticket.future = future
        ticket.number = lane.push(
            ticket, caller=self._flow(ticket), weight=ticket.weight, cost=ticket.cost
        )
        self._ensure_pumping()
        return await self._granted(ticket, lane, future)

    def release(self, ticket: Ticket, server_id: str) -> None:
        """Count a ticket out and let the next ones in."""
        self.in_flight[server_id] -= 1
        self.kind_in_flight[ticket.kind] -= 1
        if not self.in_flight[server_id]:
            del self.in_flight[server_id]
        self.pump()

    def pump(self) -> None:
        """Grant every turn that can be granted now."""
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
                self._fail_unserved(ticket, choice)
                continue
            self._lanes[key].pop()
            self._grant(ticket, choice)

    def predicted_wait_s(self, ticket: Ticket) -> float:
        """Return how long a new ticket is likely to wait, in seconds."""
        ahead = 0.0
        for (kind, _), lane in self._lanes.items():
            if kind is ticket.kind:
                ahead += lane.estimate_ahead(self._flow(ticket), ticket.weight)
            elif kind is WorkKind.APPLICATION:
                ahead += len(lane)
        rate = self.turns_per_s()
        return (ahead + 1.0) / rate if ahead and rate else 0.0

    async def _granted(
        self, ticket: Ticket, lane: FairQueue[Ticket], future: asyncio.Future[Choice]
    ) -> Choice:
        remaining_s = max(0.0, ticket.deadline_s - ticket.since_s)
        try:
            async with asyncio.timeout(remaining_s):
                return await future
        except TimeoutError as error:
            self._withdraw(ticket, lane, future)
            raise DeadlineExceeded(
                f"request {ticket.request_id} waited {remaining_s:.3f} s for {self._name} "
                "until its deadline",
                retry_after_s=self._retry_after_s(),
            ) from error
        except asyncio.CancelledError:
            self._withdraw(ticket, lane, future)
            raise

    def _withdraw(
        self, ticket: Ticket, lane: FairQueue[Ticket], future: asyncio.Future[Choice]
    ) -> None:
        if future.done() and not future.cancelled() and future.exception() is None:
            server_id = future.result().server_id
            assert server_id is not None
            self.release(ticket, server_id)
        elif ticket.future is not None:
            ticket.future = None
            lane.remove(ticket.number, self._flow(ticket))

    def _check_wait(self, ticket: Ticket) -> None:
        remaining_s = ticket.deadline_s - ticket.since_s
        if remaining_s <= 0:
            raise DeadlineExceeded(
                f"request {ticket.request_id} arrived after its deadline", retry_after_s=0.0
            )
        if self.queued() >= self._policy.max_queued:
            raise Overloaded(
                f"{self._name} has {self.queued()} requests waiting",
                retry_after_s=self._retry_after_s(),
            )
        if not self._policy.shed:
            return
        wait_s = self.predicted_wait_s(ticket)
        if wait_s and wait_s + self.hold_times[ticket.kind].upper_estimate_s() > remaining_s:
            raise Overloaded(
                f"{self._name} would start request {ticket.request_id} in {wait_s:.3f} s, "
                f"its deadline is in {remaining_s:.3f} s",
                retry_after_s=self._retry_after_s(wait_s),
            )

    def _retry_after_s(self, wait_s: float | None = None) -> float:
        if wait_s is None:
            rate = self.turns_per_s()
            wait_s = self.queued(WorkKind.APPLICATION) / rate if rate else 0.0
        return round(min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s / 2)), 3)

    def _fail_unserved(self, ticket: Ticket, choice: Choice) -> None:
        now_s = self._clock.monotonic_s()
        if choice.usable or ticket.kind is WorkKind.ROLLOUT or ticket.future is None:
            return
        if now_s - max(ticket.since_s, 0.0) < _UNSERVED_GRACE_S:
            return
        self._lane(ticket).pop()
        future, ticket.future = ticket.future, None
        future.set_exception(
            NoBackendServer(
                f"no server of {self._name} can take request {ticket.request_id}: {choice.reason}",
                retry_after_s=_UNSERVED_GRACE_S,
            )
        )

    def _grant(self, ticket: Ticket, choice: Choice) -> None:
        future, ticket.future = ticket.future, None
        assert future is not None and choice.server_id is not None
        if self._too_late(ticket):
            future.set_exception(
                DeadlineExceeded(
                    f"request {ticket.request_id} got its turn on {self._name} too late",
                    retry_after_s=self._retry_after_s(),
                )
            )
            return
        self._enter(ticket, choice.server_id)
        future.set_result(choice)

    def _too_late(self, ticket: Ticket) -> bool:
        remaining_s = ticket.deadline_s - self._clock.monotonic_s()
        if not self._policy.shed or ticket.resumed:
            return remaining_s <= 0
        return remaining_s <= self.hold_times[ticket.kind].mean_s

    def _enter(self, ticket: Ticket, server_id: str) -> None:
        self.in_flight[server_id] = self.in_flight.get(server_id, 0) + 1
        self.kind_in_flight[ticket.kind] += 1

    def _lane(self, ticket: Ticket) -> FairQueue[Ticket]:
        key = (ticket.kind if self._policy.fair else WorkKind.APPLICATION, ticket.lane)
        return self._lanes.setdefault(key, FairQueue())

    def _flow(self, ticket: Ticket) -> str:
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

    def _ensure_pumping(self) -> None:
        if self._pumper is None or self._pumper.done():
            self._pumper = asyncio.get_running_loop().create_task(self._pump_while_queued())

    async def _pump_while_queued(self) -> None:
        while self.queued():
            await self._clock.sleep(_PUMP_PERIOD_S)
            self.pump()
