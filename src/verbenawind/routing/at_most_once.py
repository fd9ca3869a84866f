"""Non-idempotent requests: claimed before dispatch, sent once, their outcome recorded."""

import asyncio
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
    NoBackendServer,
    Outcome,
    OutcomeUnknown,
    PeerUnreachable,
    StoreUnavailable,
    VerbenawindError,
)
from verbenawind.ids import new_id
from verbenawind.kernel.messages import ServiceRequest, ServiceResponse
from verbenawind.kernel.ports import ObjectStore, PeerBus, TableStore
from verbenawind.routing.claims import Claim, Claims, ClaimState, claim_key, request_digest
from verbenawind.routing.retries import backoff_s
from verbenawind.routing.service_sender import ServiceSender, Turn

__all__ = ["OnceCaller"]

_RETRY_AFTER_S = 2.0
_RECORD_WAIT_S = 0.25
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


class OnceCaller:
    """Runs each idempotency key at most once, over all daemons.

    Args:
        sender: Sends calls.
        clock: Time source.
        rng: Jitter of recording.
        table: The table service's client.
        objects: The object store's client.
        peers: The other daemons.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_ended",
        "_log",
        "_never_dispatched",
        "_peers",
        "_recording",
        "_rng",
        "_running",
        "_sender",
    )

    def __init__(
        self,
        *,
        sender: ServiceSender,
        clock: Clock,
        rng: Random,
        table: TableStore,
        objects: ObjectStore,
        peers: PeerBus,
    ) -> None:
        self._sender = sender
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._claims = Claims(table, objects, clock, peers.peer_id)
        self._running: dict[str, tuple[str, asyncio.Task[ServiceResponse]]] = {}
        self._recording: dict[str, asyncio.Task[None]] = {}
        self._ended: dict[str, _Ended] = {}
        self._never_dispatched: dict[str, None] = {}
        self._log = structlog.get_logger("services")
        peers.on_call(_HOLDER_CALL, self._answer_holder_call)

    async def call(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Return the answer of the request's key: its own run's, or a recorded one."""
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
            async with asyncio.timeout(self._sender.remaining_s(request)):
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
        turn = await self._sender.turn(request, spec, resumed=False)
        operation_id = new_id("claim")
        try:
            claim = await self._claim(request, operation_id)
        except BaseException:
            self._note_never_dispatched(operation_id)
            turn.give_back()
            raise
        if not claim.held:
            turn.give_back()
            return await self._join(request, claim)
        return await self._run_claimed(request, spec, claim, turn)

    async def _claim(self, request: ServiceRequest, operation_id: str) -> Claim:
        claim = await self._claims.claim(request, operation_id)
        if claim.held or claim.record.state is not ClaimState.CLAIMED:
            return claim
        if not await self._holder_never_dispatched(claim):
            return claim
        return await self._claims.take_over(request, claim, operation_id)

    async def _run_claimed(
        self, request: ServiceRequest, spec: ServiceSpec, claim: Claim, turn: Turn
    ) -> ServiceResponse:
        """Dispatch a held claim; only certain refusals let it go to another host."""
        refused: set[str] = set()
        while True:
            try:
                response = await self._sender.send(request, turn)
            except (AdmissionRefused, BackendServerUnreachable) as error:
                refused.add(turn.server_id)
                last: VerbenawindError = error
            except BackendServerFailed as error:
                await self._record_unknown(claim)
                raise OutcomeUnknown(
                    f"request {request.request_id} was sent to {turn.server_id}: {error.message}"
                ) from error
            else:
                await self._record_ran(claim, response)
                return response
            try:
                if len(refused) >= self._sender.hosts(spec.name):
                    raise NoBackendServer(
                        f"no host of service {spec.name!r} took request {request.request_id}: "
                        f"{last.message}",
                        retry_after_s=_RETRY_AFTER_S,
                    )
                turn = await self._sender.turn(request, spec, resumed=True)
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
                    retry_after_s=_RETRY_AFTER_S,
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

    async def finish(self) -> None:
        """Wait until every non-idempotent request has ended and is recorded."""
        while self._running or self._recording:
            tasks = [task for _, task in self._running.values()]
            await asyncio.gather(*tasks, *self._recording.values(), return_exceptions=True)
            await asyncio.sleep(0)


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
