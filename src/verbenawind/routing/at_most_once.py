"""At-most-once execution of non-idempotent requests.

A request's idempotency key is claimed in the table before dispatch, the request is sent at most
once, and its outcome is recorded for repeats.
"""

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
from verbenawind.routing.service_sender import ServiceSender, SlotGrant

__all__ = ["AtMostOnceCaller"]

_RETRY_AFTER_S = 2.0
_MAX_RECORD_WAIT_S = 0.25
_ASK_HOLDER_TIMEOUT_S = 0.5
_POLL_PERIOD_S = 0.1
_MAX_RECORD_ATTEMPTS = 20
_MAX_REMEMBERED = 4096
_HOLDER_CALL = "claim-holder"


class _FinishedCall(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a non-idempotent request that finished at this daemon."""

    digest: str
    response: ServiceResponse | None = None
    error: VerbenawindError | None = None


class AtMostOnceCaller:
    """Runs the request of each idempotency key at most once across all daemons.

    Args:
        sender: Sends requests to service hosts.
        clock: Time source.
        rng: Random source for the jitter between attempts to record an outcome.
        table: Client of the table service.
        objects: Client of the object store.
        peers: The other daemons.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_finished",
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
        self._finished: dict[str, _FinishedCall] = {}
        self._never_dispatched: dict[str, None] = {}
        self._log = structlog.get_logger("services")
        peers.on_call(_HOLDER_CALL, self._on_holder_call)

    async def call(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Return the response for the request's key, either by running it or from the record."""
        key, digest = claim_key(request), request_digest(request)
        running = self._running.get(key)
        if running is None:
            finished = self._finished.get(key)
            if finished is not None:
                return _replay(request, finished, digest)
            task = asyncio.get_running_loop().create_task(self._claim_and_run(request, spec))
            self._running[key] = running = (digest, task)
            task.add_done_callback(lambda completed: self._on_call_done(key, digest, completed))
        if running[0] != digest:
            raise _key_reused(request)
        try:
            async with asyncio.timeout(self._sender.remaining_s(request)):
                return await asyncio.shield(running[1])
        except TimeoutError as error:
            raise DeadlineExceeded(
                f"request {request.request_id} got no response from service {spec.name!r} "
                "before its deadline",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error

    def _on_call_done(self, key: str, digest: str, task: "asyncio.Task[ServiceResponse]") -> None:
        self._running.pop(key, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            self._remember_finished(key, _FinishedCall(digest=digest, response=task.result()))
        elif isinstance(error, OutcomeUnknown):
            self._remember_finished(key, _FinishedCall(digest=digest, error=error))

    def _remember_finished(self, key: str, finished: _FinishedCall) -> None:
        self._finished[key] = finished
        while len(self._finished) > _MAX_REMEMBERED:
            del self._finished[next(iter(self._finished))]

    async def _claim_and_run(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        grant = await self._sender.acquire(request, spec, resumed=False)
        operation_id = new_id("claim")
        try:
            claim = await self._claim(request, operation_id)
        except BaseException:
            self._mark_never_dispatched(operation_id)
            grant.release()
            raise
        if not claim.held:
            grant.release()
            return await self._await_recorded_outcome(request, claim)
        return await self._run_claimed(request, spec, claim, grant)

    async def _claim(self, request: ServiceRequest, operation_id: str) -> Claim:
        claim = await self._claims.claim(request, operation_id)
        if claim.held or claim.record.state is not ClaimState.CLAIMED:
            return claim
        if not await self._holder_never_dispatched(claim):
            return claim
        return await self._claims.take_over(request, claim, operation_id)

    async def _run_claimed(
        self, request: ServiceRequest, spec: ServiceSpec, claim: Claim, grant: SlotGrant
    ) -> ServiceResponse:
        """Dispatch a held claim.

        Another host is tried only after a failure that rules out that the request ran.
        """
        refused_by: set[str] = set()
        while True:
            try:
                response = await self._sender.send(request, grant)
            except (AdmissionRefused, BackendServerUnreachable) as error:
                refused_by.add(grant.server_id)
                last_error: VerbenawindError = error
            except BackendServerFailed as error:
                await self._record_unknown(claim)
                raise OutcomeUnknown(
                    f"request {request.request_id} was sent to {grant.server_id}, "
                    f"its outcome is unknown: {error.message}"
                ) from error
            else:
                await self._record_ran(claim, response)
                return response
            try:
                if len(refused_by) >= self._sender.host_count(spec.name):
                    raise NoBackendServer(
                        f"no host of service {spec.name!r} accepted request {request.request_id}: "
                        f"{last_error.message}",
                        retry_after_s=_RETRY_AFTER_S,
                    )
                grant = await self._sender.acquire(request, spec, resumed=True)
            except VerbenawindError:
                await self._record_not_run(claim)
                raise

    async def _await_recorded_outcome(
        self, request: ServiceRequest, claim: Claim
    ) -> ServiceResponse:
        """Wait for the recorded outcome of a key that is claimed elsewhere and return it."""
        latest: Claim | None = claim
        while latest is not None:
            record = latest.record
            if record.state is ClaimState.RAN:
                response = await self._claims.response(record)
                if response is not None:
                    return response
                raise OutcomeUnknown(f"the recorded response body of {latest.key} is missing")
            if record.state is ClaimState.NOT_RUN:
                raise NoBackendServer(
                    f"the holder of {latest.key} found no host of service {request.service!r}",
                    retry_after_s=_RETRY_AFTER_S,
                )
            if record.state is ClaimState.UNKNOWN or not await self._holder_may_finish(latest):
                break
            await self._clock.sleep(_POLL_PERIOD_S)
            latest = await self._reread(latest)
        raise OutcomeUnknown(
            f"a request with idempotency key {request.idempotency_key!r} was claimed by daemon "
            f"{claim.record.holder!r} and its outcome is unknown"
        )

    async def _reread(self, latest: Claim) -> Claim | None:
        try:
            return await self._claims.read(latest.key)
        except StoreUnavailable as error:
            raise OutcomeUnknown(
                f"the request claimed under {latest.key} may have run: {error.message}"
            ) from error

    # Queries to the holder of a claim.

    async def _on_holder_call(self, body: bytes) -> bytes:
        key, operation_id = msgspec.json.decode(body, type=tuple[str, str])
        return msgspec.json.encode(self._dispatch_state(key, operation_id))

    def _dispatch_state(self, key: str, operation_id: str) -> str:
        if operation_id in self._never_dispatched:
            return "never_dispatched"
        return "running" if key in self._running or key in self._recording else "unknown"

    async def _ask_holder(self, claim: Claim) -> str:
        if claim.record.holder == self._peers.peer_id:
            return self._dispatch_state("", claim.operation_id)
        try:
            body = msgspec.json.encode((claim.key, claim.operation_id))
            reply = await self._peers.call(
                claim.record.holder, _HOLDER_CALL, body, _ASK_HOLDER_TIMEOUT_S
            )
            return msgspec.json.decode(reply, type=str)
        except PeerUnreachable:
            return "unreachable"

    async def _holder_never_dispatched(self, claim: Claim) -> bool:
        return await self._ask_holder(claim) == "never_dispatched"

    async def _holder_may_finish(self, claim: Claim) -> bool:
        state = await self._ask_holder(claim)
        if state == "unreachable":
            return self._clock.now().timestamp() < claim.record.ends_at_s
        if state == "running":
            return True
        reread = await self._reread(claim)
        return reread is not None and reread.record.state is not ClaimState.CLAIMED

    def _mark_never_dispatched(self, operation_id: str) -> None:
        self._never_dispatched[operation_id] = None
        while len(self._never_dispatched) > _MAX_REMEMBERED:
            del self._never_dispatched[next(iter(self._never_dispatched))]

    # Recording of outcomes.

    async def _record_ran(self, claim: Claim, response: ServiceResponse) -> None:
        await self._record(claim, lambda: self._claims.record_ran(claim, response))

    async def _record_unknown(self, claim: Claim) -> None:
        await self._record(claim, lambda: self._claims.record_unknown(claim))

    async def _record_not_run(self, claim: Claim) -> None:
        self._mark_never_dispatched(claim.operation_id)
        await self._record(claim, lambda: self._claims.record_not_run(claim))

    async def _record(self, claim: Claim, write: Callable[[], Awaitable[None]]) -> None:
        """Record an outcome, waiting for a slow table only for a bounded time.

        Recording continues in the background after that, so that the response is not delayed.
        """
        task = asyncio.get_running_loop().create_task(self._record_with_retries(claim, write))
        self._recording[claim.key] = task
        task.add_done_callback(lambda _: self._recording.pop(claim.key, None))
        await asyncio.wait([task], timeout=_MAX_RECORD_WAIT_S)

    async def _record_with_retries(
        self, claim: Claim, write: Callable[[], Awaitable[None]]
    ) -> None:
        for attempt in range(_MAX_RECORD_ATTEMPTS):
            try:
                return await write()
            except ConditionFailed:
                return None
            except StoreUnavailable as error:
                self._log.warning("outcome_not_recorded", key=claim.key, error=error.message)
            await self._clock.sleep(backoff_s(attempt, self._rng))
        return None

    async def finish(self) -> None:
        """Wait until all non-idempotent requests have finished and their outcomes are recorded."""
        while self._running or self._recording:
            tasks = [task for _, task in self._running.values()]
            await asyncio.gather(*tasks, *self._recording.values(), return_exceptions=True)
            await asyncio.sleep(0)


def _key_reused(request: ServiceRequest) -> IdempotencyKeyReused:
    return IdempotencyKeyReused(
        f"idempotency key {request.idempotency_key!r} of caller {request.caller!r} "
        f"was already used for a different request to service {request.service!r}"
    )


def _replay(request: ServiceRequest, finished: _FinishedCall, digest: str) -> ServiceResponse:
    if finished.digest != digest:
        raise _key_reused(request)
    if finished.error is not None:
        raise finished.error
    assert finished.response is not None
    return finished.response
