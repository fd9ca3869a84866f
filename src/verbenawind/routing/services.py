"""Calls to plain services: idempotent ones are retried, others run at most once."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.document import ServiceSpec
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    ConditionFailed,
    DeadlineExceeded,
    IdempotencyKeyReused,
    InvalidRequest,
    NoBackendServer,
    Outcome,
    OutcomeUnknown,
    PeerUnreachable,
    StoreUnavailable,
    VerbenawindError,
)
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import (
    BackendKind,
    ServiceRequest,
    ServiceResponse,
    WorkKind,
)
from verbenawind.kernel.ports import BackendClients, ObjectStore, PeerBus, TableStore
from verbenawind.routing.choice import Choice, choose_service_host
from verbenawind.routing.claims import Claim, Claims, ClaimState, claim_key, request_digest
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.retries import RetryBudget, backoff_s
from verbenawind.routing.slots import SlotQueue, Ticket

__all__ = ["ServiceDispatcher"]

_SUSPECT_S = 2.0
_REFUSED_S = 0.2
_RECORD_WAIT_S = 0.25
_RETRY_FRACTION = 0.1
_ASK_HOLDER_TIMEOUT_S = 0.5
_JOIN_PERIOD_S = 0.1
_RECORD_ATTEMPTS = 20
_KEPT_ENDED = 4096
_HOLDER_CALL = "claim-holder"


class _Ended(msgspec.Struct, frozen=True, kw_only=True):
    """How a non-idempotent request ended at this daemon."""

    digest: str
    response: ServiceResponse | None = None
    error: VerbenawindError | None = None


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

    __slots__ = (
        "_claims",
        "_clients",
        "_clock",
        "_ended",
        "_fleet",
        "_limits",
        "_log",
        "_never_dispatched",
        "_peers",
        "_policy",
        "_queues",
        "_recording",
        "_retries",
        "_rng",
        "_running",
    )

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
        self._fleet = fleet
        self._clients = clients
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._policy = policy
        self._claims = Claims(table, objects, clock, peers.peer_id)
        self._limits: dict[str, int] = {}
        self._queues: dict[str, SlotQueue] = {}
        self._retries: dict[str, RetryBudget] = {}
        self._running: dict[str, tuple[str, asyncio.Task[ServiceResponse]]] = {}
        self._recording: dict[str, asyncio.Task[None]] = {}
        self._ended: dict[str, _Ended] = {}
        self._never_dispatched: dict[str, None] = {}
        self._log = structlog.get_logger("services")
        peers.on_call(_HOLDER_CALL, self._answer_holder_call)

    async def call(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Return the whole answer; a non-idempotent request runs at most once."""
        if request.idempotent:
            return await self._call_idempotent(request, spec)
        if not request.idempotency_key:
            raise InvalidRequest(
                f"{request.method} {request.path} of service {request.service!r} is not "
                "idempotent and needs the header Idempotency-Key"
            )
        return await self._call_once(request, spec)

    async def finish(self) -> None:
        """Wait until every non-idempotent request has ended and is recorded."""
        while self._running or self._recording:
            tasks = [task for _, task in self._running.values()]
            await asyncio.gather(*tasks, *self._recording.values(), return_exceptions=True)
            await asyncio.sleep(0)

    # Idempotent calls.

    async def _call_idempotent(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        budget = self._retries.setdefault(spec.name, RetryBudget(self._clock.monotonic_s()))
        budget.deposit(_RETRY_FRACTION)
        retry = 0
        while True:
            try:
                async with asyncio.timeout(self._remaining_s(request)):
                    return await self._attempt(request, spec, resumed=retry > 0)
            except TimeoutError as error:
                raise DeadlineExceeded(
                    f"request {request.request_id} got no answer from service {spec.name!r} "
                    "before its deadline",
                    outcome=Outcome.MAY_HAVE_RUN,
                ) from error
            except (AdmissionRefused, BackendServerUnreachable, BackendServerFailed) as error:
                wait_s = backoff_s(retry, self._rng)
                if not budget.withdraw(self._clock.monotonic_s()):
                    raise
                self._log.info("call_retried", request_id=request.request_id, error=error.message)
                retry += 1
            await self._clock.sleep(min(wait_s, self._remaining_s(request)))

    # Non-idempotent calls.

    async def _call_once(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        key, digest = claim_key(request), request_digest(request)
        running = self._running.get(key)
        if running is None:
            ended = self._ended.get(key)
            if ended is not None:
                return _repeat(request, ended, digest)
            task = asyncio.get_running_loop().create_task(self._claim_and_run(request, spec))
            self._running[key] = running = (digest, task)
            task.add_done_callback(lambda done: self._forget_running(key, digest, done))
        if running[0] != digest:
            raise _reused(request)
        try:
            async with asyncio.timeout(self._remaining_s(request)):
                return await asyncio.shield(running[1])
        except TimeoutError as error:
            raise DeadlineExceeded(
                f"request {request.request_id} got no answer from service {spec.name!r} "
                "before its deadline",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error

    def _forget_running(self, key: str, digest: str, task: "asyncio.Task[ServiceResponse]") -> None:
        self._running.pop(key, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self._keep_ended(key, _Ended(digest=digest, response=task.result()))
        elif isinstance(error, OutcomeUnknown):
            self._keep_ended(key, _Ended(digest=digest, error=error))

    def _keep_ended(self, key: str, ended: _Ended) -> None:
        self._ended[key] = ended
        while len(self._ended) > _KEPT_ENDED:
            del self._ended[next(iter(self._ended))]

    async def _claim_and_run(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        queue, ticket = self._queue(spec), self._ticket(request, resumed=False)
        choice = await queue.acquire(ticket)
        operation_id = new_id("claim")
        try:
            claim = await self._claim(request, operation_id)
        except BaseException:
            self._note_never_dispatched(operation_id)
            queue.release(ticket, _server(choice))
            raise
        if not claim.held:
            queue.release(ticket, _server(choice))
            return await self._join(request, claim)
        return await self._run_claimed(request, spec, claim, ticket, choice)

    async def _claim(self, request: ServiceRequest, operation_id: str) -> Claim:
        claim = await self._claims.claim(request, operation_id)
        if claim.held or claim.record.state is not ClaimState.CLAIMED:
            return claim
        if not await self._holder_never_dispatched(claim):
            return claim
        return await self._claims.take_over(request, claim, operation_id)

    async def _run_claimed(
        self,
        request: ServiceRequest,
        spec: ServiceSpec,
        claim: Claim,
        ticket: Ticket,
        choice: Choice,
    ) -> ServiceResponse:
        """Dispatch a held claim; only certain refusals let it go to another host."""
        queue, excluded = self._queue(spec), set[str]()
        while True:
            server_id = _server(choice)
            try:
                response = await self._send(request, queue, ticket, server_id)
            except (AdmissionRefused, BackendServerUnreachable) as error:
                excluded.add(server_id)
                last: VerbenawindError = error
            except BackendServerFailed as error:
                await self._record_unknown(claim)
                raise OutcomeUnknown(
                    f"request {request.request_id} was sent to {server_id}: {error.message}"
                ) from error
            else:
                await self._record_ran(claim, response)
                return response
            try:
                if len(excluded) >= len(self._fleet.group(BackendKind.SERVICE, spec.name)):
                    raise NoBackendServer(
                        f"no host of service {spec.name!r} took request {request.request_id}: "
                        f"{last.message}",
                        retry_after_s=_SUSPECT_S,
                    )
                ticket = self._ticket(request, resumed=True)
                choice = await queue.acquire(ticket)
            except VerbenawindError:
                await self._record_not_run(claim)
                raise

    async def _join(self, request: ServiceRequest, claim: Claim) -> ServiceResponse:
        """Return the recorded outcome of a key that somebody else has claimed."""
        known: Claim | None = claim
        while known is not None:
            record = known.record
            if record.state is ClaimState.RAN:
                response = await self._claims.response(record)
                if response is not None:
                    return response
                raise OutcomeUnknown(f"the recorded answer of {known.key} is gone")
            if record.state is ClaimState.NOT_RUN:
                raise NoBackendServer(
                    f"the holder of {known.key} found no host of service {request.service!r}",
                    retry_after_s=_SUSPECT_S,
                )
            if record.state is ClaimState.UNKNOWN or not await self._holder_works(known):
                break
            await self._clock.sleep(_JOIN_PERIOD_S)
            known = await self._read_again(known)
        raise OutcomeUnknown(
            f"a request with idempotency key {request.idempotency_key!r} was claimed by daemon "
            f"{claim.record.holder!r} and its outcome is not known"
        )

    async def _read_again(self, known: Claim) -> Claim | None:
        try:
            return await self._claims.read(known.key)
        except StoreUnavailable as error:
            raise OutcomeUnknown(
                f"a request with the key of {known.key} may have run: {error.message}"
            ) from error

    # What a claim's holder says of it.

    async def _answer_holder_call(self, body: bytes) -> bytes:
        key, operation_id = msgspec.json.decode(body, type=tuple[str, str])
        return msgspec.json.encode(self._state_of(key, operation_id))

    def _state_of(self, key: str, operation_id: str) -> str:
        if operation_id in self._never_dispatched:
            return "never_dispatched"
        return "running" if key in self._running or key in self._recording else "unknown"

    async def _ask_holder(self, claim: Claim) -> str:
        if claim.record.holder == self._peers.peer_id:
            return self._state_of("", claim.operation_id)
        try:
            body = msgspec.json.encode((claim.key, claim.operation_id))
            answer = await self._peers.call(
                claim.record.holder, _HOLDER_CALL, body, _ASK_HOLDER_TIMEOUT_S
            )
            return msgspec.json.decode(answer, type=str)
        except PeerUnreachable:
            return "unreachable"

    async def _holder_never_dispatched(self, claim: Claim) -> bool:
        return await self._ask_holder(claim) == "never_dispatched"

    async def _holder_works(self, claim: Claim) -> bool:
        state = await self._ask_holder(claim)
        if state == "unreachable":
            return self._clock.now().timestamp() < claim.record.ends_at_s
        if state == "running":
            return True
        again = await self._read_again(claim)
        return again is not None and again.record.state is not ClaimState.CLAIMED

    def _note_never_dispatched(self, operation_id: str) -> None:
        self._never_dispatched[operation_id] = None
        while len(self._never_dispatched) > _KEPT_ENDED:
            del self._never_dispatched[next(iter(self._never_dispatched))]

    # Records.

    async def _record_ran(self, claim: Claim, response: ServiceResponse) -> None:
        await self._record(claim, lambda: self._claims.record_ran(claim, response))

    async def _record_unknown(self, claim: Claim) -> None:
        await self._record(claim, lambda: self._claims.record_unknown(claim))

    async def _record_not_run(self, claim: Claim) -> None:
        self._note_never_dispatched(claim.operation_id)
        await self._record(claim, lambda: self._claims.record_not_run(claim))

    async def _record(self, claim: Claim, write: Callable[[], Awaitable[None]]) -> None:
        """Record an outcome; a slow table delays the caller's answer by a bounded time only."""
        task = asyncio.get_running_loop().create_task(self._record_until_done(claim, write))
        self._recording[claim.key] = task
        task.add_done_callback(lambda _: self._recording.pop(claim.key, None))
        await asyncio.wait([task], timeout=_RECORD_WAIT_S)

    async def _record_until_done(self, claim: Claim, write: Callable[[], Awaitable[None]]) -> None:
        for attempt in range(_RECORD_ATTEMPTS):
            try:
                return await write()
            except ConditionFailed:
                return None
            except StoreUnavailable as error:
                self._log.warning("outcome_not_recorded", key=claim.key, error=error.message)
            await self._clock.sleep(backoff_s(attempt, self._rng))
        return None

    # One attempt.

    async def _attempt(
        self, request: ServiceRequest, spec: ServiceSpec, *, resumed: bool
    ) -> ServiceResponse:
        queue, ticket = self._queue(spec), self._ticket(request, resumed=resumed)
        choice = await queue.acquire(ticket)
        return await self._send(request, queue, ticket, _server(choice))

    async def _send(
        self, request: ServiceRequest, queue: SlotQueue, ticket: Ticket, server_id: str
    ) -> ServiceResponse:
        """Send the request once and give the slot back."""
        started_s = self._clock.monotonic_s()
        try:
            view = self._fleet.view(server_id)
            if view is None or view.leaving:
                raise BackendServerUnreachable(f"service host {server_id} has left")
            response = await self._clients.service(view.server).call(request)
        except (BackendServerUnreachable, BackendServerFailed):
            self._fleet.suspect(server_id, _SUSPECT_S)
            raise
        except AdmissionRefused as error:
            self._fleet.suspect(server_id, error.retry_after_s or _REFUSED_S)
            raise
        finally:
            queue.release(ticket, server_id)
        queue.holds[ticket.kind].observe(self._clock.monotonic_s() - started_s)
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

    def _remaining_s(self, request: ServiceRequest) -> float:
        return max(0.0, request.deadline_s - self._clock.monotonic_s())


def _server(choice: Choice) -> str:
    assert choice.server_id is not None
    return choice.server_id


def _reused(request: ServiceRequest) -> IdempotencyKeyReused:
    return IdempotencyKeyReused(
        f"idempotency key {request.idempotency_key!r} of caller {request.caller!r} "
        f"was used for another request to service {request.service!r}"
    )


def _repeat(request: ServiceRequest, ended: _Ended, digest: str) -> ServiceResponse:
    if ended.digest != digest:
        raise _reused(request)
    if ended.error is not None:
        raise ended.error
    assert ended.response is not None
    return ended.response
