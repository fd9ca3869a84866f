"""Forwards plain requests to backend servers, with retries and hedging."""

import asyncio
from collections.abc import Sequence

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    LimitReached,
    RequestUnsendable,
    VerbenawindError,
)
from verbenawind.gateway.allowances import Allowances
from verbenawind.gateway.balance import Choice, choose
from verbenawind.gateway.crash_guard import CrashGuard
from verbenawind.gateway.directory import Backend, Directory
from verbenawind.gateway.guarded_request import GuardedRequest
from verbenawind.gateway.ports import Attempt, BackendPort, BackendResponse, CallerRequest
from verbenawind.gateway.response_check import check_response
from verbenawind.gateway.send_history import SendHistory
from verbenawind.gateway.server_limits import Permit
from verbenawind.gateway.types import Route, RouteKind
from verbenawind.kernel.messages import Location

__all__ = ["Forwarder", "Reply"]

# Responses up to this size are buffered completely, so that a truncated one can be retried.
_MAX_BUFFERED_BYTES = 1024 * 1024
# Fraction of the target latency after which another send of an idempotent request is considered.
_HEDGE_FRACTION = 0.45
# Number of times that hedging is considered per request.
_MAX_HEDGE_CHECKS = 4
# A later hedge needs a server whose expected time is below this fraction of the time waited.
_HEDGE_WAIT_FRACTION = 0.5
# Each request earns a fraction of a hedge token, up to a maximum number of tokens.
_REQUESTS_PER_HEDGE_TOKEN = 4.0
_MAX_HEDGE_TOKENS = 5.0
# A send that takes so many times the target latency is overdue.
_OVERDUE_TARGETS = 2.0
# Sends per attempt that the route allows; only sends that a server refused go beyond it.
_SENDS_PER_ATTEMPT = 2
_MIN_SEND_S = 0.005
# Shorter waits count as elapsed.
_MIN_WAIT_S = 0.001
_SERVER_ERROR = 500


class Reply:
    """A server's response to the caller.

    Attributes:
        status: HTTP status.
        headers: Headers as the server sent them.
        body: The body, or its beginning.
        rest: What follows ``body``, if anything.
        signature: The server's signature.
        server_errors: Number of responses with status 500 that the request got.
    """

    __slots__ = ("body", "headers", "rest", "server_errors", "signature", "status")

    def __init__(
        self,
        response: BackendResponse,
        body: bytes,
        rest: BackendResponse | None,
    ) -> None:
        self.status = response.status
        self.headers = response.headers
        self.body = body
        self.rest = rest
        self.signature = response.signature
        self.server_errors = 0


class _Exchange:
    """The state of a caller's request across its sends.

    ``answered`` is set once one send was answered, which makes the others obsolete.
    """

    __slots__ = (
        "answered",
        "error_reply",
        "guarded",
        "hedge_checks",
        "history",
        "request",
        "route",
        "server_errors",
        "service",
        "tried",
    )

    def __init__(
        self, request: CallerRequest, route: Route, service: str, guarded: GuardedRequest
    ) -> None:
        self.request = request
        self.guarded = guarded
        self.route = route
        self.service = service
        self.tried: set[str] = set()
        self.history = SendHistory(
            request.request_id,
            service,
            # A trial ends at most one server.
            max_runs=1 if guarded.is_trial else route.max_attempts,
            max_sends=route.max_attempts * _SENDS_PER_ATTEMPT,
            repeatable=route.kind is RouteKind.IDEMPOTENT,
        )
        self.server_errors = 0
        self.hedge_checks = 0
        self.answered = False
        self.error_reply: Reply | None = None

    @property
    def repeatable(self) -> bool:
        return self.route.kind is RouteKind.IDEMPOTENT


class Forwarder:
    """Forwards plain requests. Retries idempotent ones after failures and hedges slow ones.

    Args:
        directory: The backend servers.
        port: Sends requests to them.
        location: Where this daemon runs.
        clock: Time source.
        guard: Tracks requests under which servers end.
        allowances: Gives requests their turns at servers that limit them.
    """

    __slots__ = (
        "_allowances",
        "_clock",
        "_directory",
        "_guard",
        "_hedge_tokens",
        "_location",
        "_log",
        "_port",
    )

    def __init__(
        self,
        directory: Directory,
        port: BackendPort,
        location: Location,
        clock: Clock,
        guard: CrashGuard,
        allowances: Allowances,
    ) -> None:
        self._guard = guard
        self._allowances = allowances
        self._directory = directory
        self._port = port
        self._location = location
        self._clock = clock
        self._hedge_tokens = _MAX_HEDGE_TOKENS
        self._log = structlog.get_logger("gateway")

    async def forward(self, request: CallerRequest, route: Route, service: str) -> Reply:
        """Return the first complete response of a server.

        Raises:
            RequestConvicted: Servers ended under such requests, which are refused for a time.
            VerbenawindError: No server responded; the outcome tells whether one may have run it.
        """
        guarded = GuardedRequest(request, service, self._guard)
        await guarded.admit()
        exchange = _Exchange(request, route, service, guarded)
        self._hedge_tokens = min(
            _MAX_HEDGE_TOKENS, self._hedge_tokens + 1.0 / _REQUESTS_PER_HEDGE_TOKEN
        )
        sends: set[asyncio.Task[Reply]] = set()
        hedge_check_at_s = self._clock.monotonic_s() + _HEDGE_FRACTION * route.target_latency_s
        try:
            while True:
                if not sends:
                    if exchange.history.sends and exchange.history.may_send:
                        await guarded.admit_again(exchange.history.outcome)
                    if (task := await self._start_next_send(exchange)) is not None:
                        sends.add(task)
                if not sends:
                    return self._finish_unanswered(exchange)
                reply = await self._wait_for_send(exchange, sends, hedge_check_at_s)
                if reply is not None:
                    exchange.answered = True
                    return reply
                now_s = self._clock.monotonic_s()
                if now_s >= request.deadline_s - _MIN_WAIT_S:
                    return self._finish_unanswered(exchange)
                if sends and now_s >= hedge_check_at_s - _MIN_WAIT_S:
                    hedge_check_at_s = self._next_hedge_check_s(exchange, now_s)
                    if (task := self._start_hedge(exchange)) is not None:
                        sends.add(task)
        finally:
            for task in sends:
                task.cancel()
            guarded.finished(exchange.history.outcome)

    async def _wait_for_send(
        self, exchange: _Exchange, sends: set[asyncio.Task[Reply]], hedge_check_at_s: float
    ) -> Reply | None:
        """Wait until a send ends, a hedge check is due or the deadline passes.

        Returns:
            The response to forward, or None if there is none yet.
        """
        now_s = self._clock.monotonic_s()
        until_s = min(exchange.request.deadline_s, max(hedge_check_at_s, now_s))
        if hedge_check_at_s <= now_s + _MIN_WAIT_S:
            until_s = exchange.request.deadline_s
        done, _ = await asyncio.wait(
            sends, timeout=max(0.0, until_s - now_s), return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            sends.discard(task)
            try:
                reply = task.result()
            except RequestUnsendable:
                # No other server could be sent it either.
                raise
            except VerbenawindError:
                # The send has recorded the error in the history.
                continue
            if reply.status < _SERVER_ERROR or not exchange.repeatable:
                return reply
            exchange.server_errors += reply.status == _SERVER_ERROR
            exchange.error_reply = reply
            reply.server_errors = exchange.server_errors
        return None

    def _next_hedge_check_s(self, exchange: _Exchange, now_s: float) -> float:
        """Return the time of the next hedge check."""
        exchange.hedge_checks += 1
        if exchange.hedge_checks >= _MAX_HEDGE_CHECKS:
            return exchange.request.deadline_s
        return now_s + _HEDGE_FRACTION * exchange.route.target_latency_s

    def _start_hedge(self, exchange: _Exchange) -> asyncio.Task[Reply] | None:
        """Start another send of a pending request if that is likely to be faster.

        The first check may use a hedge token. Later checks, or the first without a token, need a
        server whose expected time is much shorter than the time waited. If all servers are slow,
        none qualifies, and hedging adds no load.
        """
        if not exchange.repeatable or exchange.guarded.suspected:
            return None
        if exchange.hedge_checks == 1 and self._hedge_tokens >= 1.0:
            chosen = self._choose_unlimited(exchange)
            if chosen is not None:
                self._hedge_tokens -= 1.0
                return self._start_send(exchange, *chosen, permit=None)
            return None
        chosen = self._choose_unlimited(exchange)
        waited_s = self._clock.monotonic_s() - exchange.request.arrived_s
        if chosen is None or chosen[1].expected_s > _HEDGE_WAIT_FRACTION * waited_s:
            return None
        return self._start_send(exchange, *chosen, permit=None)

    def _choose_unlimited(self, exchange: _Exchange) -> tuple[Backend, Choice] | None:
        """Choose a server for a hedge; the allowances of limited ones are left to first sends."""
        if not self._may_send(exchange):
            return None
        backends = [
            backend
            for backend in self._directory.backends(exchange.service)
            if not self._allowances.is_limited(backend.instance)
        ]
        return choose(backends, self._location, exchange.tried, self._allowances.delay_s)

    def _may_send(self, exchange: _Exchange) -> bool:
        remaining_s = exchange.request.deadline_s - self._clock.monotonic_s()
        return exchange.history.may_send and remaining_s >= _MIN_SEND_S

    async def _start_next_send(self, exchange: _Exchange) -> asyncio.Task[Reply] | None:
        """Send the request to the best server, waiting for its turn if the server is limited."""
        without_turn: set[str] = set()
        while self._may_send(exchange):
            backends = self._directory.backends(exchange.service)
            excluded = exchange.tried | without_turn
            chosen = choose(backends, self._location, excluded, self._allowances.delay_s)
            if chosen is None:
                break
            backend, choice = chosen
            try:
                permit = await self._allowances.acquire(
                    backend.instance,
                    self._latest_send_s(exchange, backend, backends),
                    urgent=not exchange.request.owed,
                    prompt_until_s=(
                        exchange.request.arrived_s
                        + exchange.route.target_latency_s
                        - backend.latency_s
                    ),
                )
            except LimitReached:
                without_turn.add(choice.instance_id)
                continue
            if not self._may_send(exchange):
                break
            return self._start_send(exchange, backend, choice, permit=permit)
        if without_turn:
            limited = [
                backend.instance
                for backend in self._directory.backends(exchange.service)
                if backend.instance.instance_id in without_turn
            ]
            exchange.history.limited(self._allowances.refused(limited, exchange.request.request_id))
        return None

    def _latest_send_s(
        self, exchange: _Exchange, backend: Backend, backends: Sequence[Backend]
    ) -> float:
        """Return until when a request should wait for its turn at a server.

        It is sent to a server without a limit rather than wait. Without one, it is sent before the
        time after which the server is likely to answer later than the deadline.
        """
        now_s = self._clock.monotonic_s()
        if self._allowances.has_unlimited(backends, exchange.tried):
            return now_s
        answer_s = max(backend.latency_s, exchange.route.target_latency_s)
        return max(now_s, exchange.request.deadline_s - answer_s)

    def _start_send(
        self, exchange: _Exchange, backend: Backend, choice: Choice, *, permit: Permit | None
    ) -> asyncio.Task[Reply]:
        request = exchange.request
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        exchange.tried.add(choice.instance_id)
        exchange.history.sent()
        self._log.info(
            "request_sent",
            request_id=request.request_id,
            route=exchange.route.name,
            server=choice.instance_id,
            send=exchange.history.sends,
            remaining_s=round(remaining_s, 3),
            expected_s=choice.expected_s,
            outstanding=choice.outstanding,
            candidates=choice.candidates,
            suspected=choice.suspected,
        )
        task = asyncio.get_running_loop().create_task(
            self._send(exchange, backend, remaining_s, permit)
        )
        backend.begin()
        task.add_done_callback(lambda _: backend.end())
        return task

    async def _send(
        self, exchange: _Exchange, backend: Backend, remaining_s: float, permit: Permit | None
    ) -> Reply:
        started_s = self._clock.monotonic_s()
        guarded = exchange.guarded
        in_flight = guarded.begin(backend, _OVERDUE_TARGETS * exchange.route.target_latency_s)
        attempt = Attempt(
            request=exchange.request,
            remaining_s=remaining_s,
            resume_after=exchange.request.resume_after,
            fresh_connection=not exchange.repeatable,
            permit=permit,
        )
        response: BackendResponse | None = None
        try:
            response = await self._port.send(backend.instance, attempt)
            check_response(response, backend.instance.instance_id)
            reply = await _read_buffered(response)
            response = reply.rest
        except (LimitReached, RequestUnsendable) as error:
            exchange.history.refused()
            guarded.not_run(in_flight)
            self._log_failure(exchange, backend, error)
            raise
        except (AdmissionRefused, BackendServerUnreachable) as error:
            exchange.history.refused()
            guarded.not_run(in_flight)
            backend.failed()
            self._log_failure(exchange, backend, error)
            raise
        except BackendServerFailed as error:
            exchange.history.failed(error)
            guarded.broke(in_flight)
            backend.failed()
            self._log_failure(exchange, backend, error)
            raise
        except asyncio.CancelledError:
            if response is not None:
                response.close()
            if exchange.answered:
                guarded.not_run(in_flight)
                backend.record_unanswered(self._clock.monotonic_s() - started_s)
            else:
                guarded.unanswered(in_flight)
            raise
        guarded.answered(in_flight, reply.status)
        backend.succeeded(self._clock.monotonic_s() - started_s)
        return reply

    def _log_failure(self, exchange: _Exchange, backend: Backend, error: VerbenawindError) -> None:
        self._log.info(
            "send_failed",
            request_id=exchange.request.request_id,
            fingerprint=exchange.guarded.fingerprint,
            server=backend.instance.instance_id,
            started_ms=backend.instance.started_ms,
            error=error.message,
            may_have_run=isinstance(error, BackendServerFailed),
        )

    def _finish_unanswered(self, exchange: _Exchange) -> Reply:
        """Return a server's own error response, or raise an error if there is none."""
        if exchange.error_reply is not None:
            return exchange.error_reply
        ends_at_s = exchange.request.deadline_s - _MIN_SEND_S
        raise exchange.history.final_error(deadline_passed=self._clock.monotonic_s() >= ends_at_s)


async def _read_buffered(response: BackendResponse) -> Reply:
    """Read the body, up to the buffer limit."""
    parts: list[bytes] = []
    size_bytes = 0
    while data := await response.chunk():
        parts.append(data)
        size_bytes += len(data)
        if size_bytes > _MAX_BUFFERED_BYTES:
            return Reply(response, b"".join(parts), response)
    return Reply(response, b"".join(parts), None)
