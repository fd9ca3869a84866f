"""Forwards a plain request to backend servers until one has answered whole."""

import asyncio
from collections.abc import Sequence

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    DeadlineExceeded,
    Outcome,
    VerbenawindError,
)
from verbenawind.gateway.answers import check_answer
from verbenawind.gateway.balance import choose, no_server
from verbenawind.gateway.directory import Backend, Directory
from verbenawind.gateway.ports import Answer, Attempt, BackendPort, CallerRequest, Header
from verbenawind.gateway.types import Route, RouteKind
from verbenawind.kernel.messages import Location

__all__ = ["Forwarder", "Reply"]

# A reply is held back until it is whole up to this size, so that a broken one can be repeated.
_HELD_BYTES = 1024 * 1024
# A second send of an idempotent request starts after this part of its target latency.
_HEDGE_FRACTION = 0.45
# Looks at a request that waits.
_MAX_HEDGES = 4
# What another server is expected to take, against what the request has waited.
_FASTER_FRACTION = 0.5
# Hedges are allowed for one request in so many.
_REQUESTS_PER_HEDGE = 4.0
_MAX_SAVED_HEDGES = 5.0
# Sends, those that servers refused to run included, for each send that the route allows.
_REFUSED_SENDS_FACTOR = 2
# When a full service has usually room again.
_FULL_RETRY_S = 0.2
_MIN_SEND_S = 0.005
# Shorter waits are over already.
_LEAST_WAIT_S = 0.001
_SERVER_ERROR = 500


class Reply:
    """A server's response for the caller; ``rest`` is what follows the held bytes."""

    __slots__ = ("body", "headers", "rest", "status")

    def __init__(
        self, status: int, headers: Sequence[Header], body: bytes, rest: Answer | None
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.rest = rest


class _Exchange:
    """The state of one caller's request between its sends.

    ``overtaken`` is set once the answer of one send makes the others needless.
    """

    __slots__ = (
        "failure",
        "hedges",
        "last_error",
        "overtaken",
        "ran",
        "request",
        "route",
        "sends",
        "service",
        "tried",
    )

    def __init__(self, request: CallerRequest, route: Route, service: str) -> None:
        self.request = request
        self.route = route
        self.service = service
        self.tried: set[str] = set()
        self.sends = 0
        self.ran = 0
        self.hedges = 0
        self.overtaken = False
        self.failure: Reply | None = None
        self.last_error: VerbenawindError | None = None

    @property
    def repeatable(self) -> bool:
        return self.route.kind is RouteKind.IDEMPOTENT

    @property
    def may_send(self) -> bool:
        if self.ran and not self.repeatable:
            return False
        limit = self.route.max_attempts
        return self.ran < limit and self.sends < limit * _REFUSED_SENDS_FACTOR


class Forwarder:
    """Sends plain requests; idempotent ones again after failures and slow starts.

    Args:
        directory: The backend servers.
        port: Sends to them.
        location: Where this daemon runs.
        clock: Time source.
    """

    __slots__ = ("_clock", "_directory", "_hedges", "_location", "_log", "_port")

    def __init__(
        self, directory: Directory, port: BackendPort, location: Location, clock: Clock
    ) -> None:
        self._directory = directory
        self._port = port
        self._location = location
        self._clock = clock
        self._hedges = _MAX_SAVED_HEDGES
        self._log = structlog.get_logger("gateway")

    async def forward(self, request: CallerRequest, route: Route, service: str) -> Reply:
        """Return the reply of the first server that answers whole.

        Raises:
            VerbenawindError: No server did; the outcome says whether the request may have run.
        """
        exchange = _Exchange(request, route, service)
        self._hedges = min(_MAX_SAVED_HEDGES, self._hedges + 1.0 / _REQUESTS_PER_HEDGE)
        sends: set[asyncio.Task[Reply]] = set()
        hedge_at_s = self._clock.monotonic_s() + _HEDGE_FRACTION * route.target_latency_s
        try:
            while True:
                if not sends and (task := self._start(exchange)) is not None:
                    sends.add(task)
                if not sends:
                    return self._give_up(exchange)
                reply = await self._first(exchange, sends, hedge_at_s)
                if reply is not None:
                    exchange.overtaken = True
                    return reply
                now_s = self._clock.monotonic_s()
                if now_s >= request.deadline_s - _LEAST_WAIT_S:
                    return self._give_up(exchange)
                if sends and now_s >= hedge_at_s - _LEAST_WAIT_S:
                    hedge_at_s = self._next_hedge_s(exchange, now_s)
                    if (task := self._hedge(exchange)) is not None:
                        sends.add(task)
        finally:
            for task in sends:
                task.cancel()

    async def _first(
        self, exchange: _Exchange, sends: set[asyncio.Task[Reply]], hedge_at_s: float
    ) -> Reply | None:
        """Wait for a send to end, the hedge to be due or the deadline; return a good reply."""
        now_s = self._clock.monotonic_s()
        until_s = min(exchange.request.deadline_s, max(hedge_at_s, now_s))
        if hedge_at_s <= now_s + _LEAST_WAIT_S:
            until_s = exchange.request.deadline_s
        done, _ = await asyncio.wait(
            sends, timeout=max(0.0, until_s - now_s), return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            sends.discard(task)
            try:
                reply = task.result()
            except VerbenawindError as error:
                exchange.last_error = error
                continue
            if reply.status < _SERVER_ERROR or not exchange.repeatable:
                return reply
            exchange.failure = reply
        return None

    def _next_hedge_s(self, exchange: _Exchange, now_s: float) -> float:
        """Return when to look again whether a further send would be answered sooner."""
        exchange.hedges += 1
        if exchange.hedges >= _MAX_HEDGES:
            return exchange.request.deadline_s
        return now_s + _HEDGE_FRACTION * exchange.route.target_latency_s

    def _hedge(self, exchange: _Exchange) -> asyncio.Task[Reply] | None:
        """Start a further send of a request that waits.

        The first look may use a saved hedge; later ones need a server that is expected to answer
        in much less time than the request has waited, which no server is where all are slow.
        """
        if not exchange.repeatable:
            return None
        if exchange.hedges == 1 and self._hedges >= 1.0:
            self._hedges -= 1.0
            return self._start(exchange)
        chosen = choose(self._directory.backends(exchange.service), self._location, exchange.tried)
        waited_s = self._clock.monotonic_s() - exchange.request.arrived_s
        if chosen is None or chosen[1].expected_s > _FASTER_FRACTION * waited_s:
            return None
        return self._start(exchange)

    def _start(self, exchange: _Exchange) -> asyncio.Task[Reply] | None:
        request = exchange.request
        remaining_s = request.deadline_s - self._clock.monotonic_s()
        if not exchange.may_send or remaining_s < _MIN_SEND_S:
            return None
        chosen = choose(self._directory.backends(exchange.service), self._location, exchange.tried)
        if chosen is None:
            return None
        backend, choice = chosen
        exchange.tried.add(choice.instance_id)
        exchange.sends += 1
        exchange.ran += 1
        self._log.info(
            "request_sent",
            request_id=request.request_id,
            route=exchange.route.name,
            server=choice.instance_id,
            send=exchange.sends,
            remaining_s=round(remaining_s, 3),
            expected_s=choice.expected_s,
            outstanding=choice.outstanding,
            candidates=choice.candidates,
            suspected=choice.suspected,
        )
        task = asyncio.get_running_loop().create_task(self._send(exchange, backend, remaining_s))
        backend.begin()
        task.add_done_callback(lambda _: backend.end())
        return task

    async def _send(self, exchange: _Exchange, backend: Backend, remaining_s: float) -> Reply:
        started_s = self._clock.monotonic_s()
        attempt = Attempt(
            request=exchange.request,
            remaining_s=remaining_s,
            resume_after=exchange.request.resume_after,
            fresh_connection=not exchange.repeatable,
        )
        answer: Answer | None = None
        try:
            answer = await self._port.send(backend.instance, attempt)
            check_answer(answer, backend.instance.instance_id)
            reply = await _held(answer)
            answer = reply.rest
        except (AdmissionRefused, BackendServerUnreachable) as error:
            exchange.ran -= 1
            backend.failed()
            self._note(exchange, backend, error)
            raise
        except BackendServerFailed as error:
            backend.failed()
            self._note(exchange, backend, error)
            raise
        except asyncio.CancelledError:
            if answer is not None:
                answer.close()
            if exchange.overtaken:
                backend.waited(self._clock.monotonic_s() - started_s)
            raise
        backend.succeeded(self._clock.monotonic_s() - started_s)
        return reply

    def _note(self, exchange: _Exchange, backend: Backend, error: VerbenawindError) -> None:
        self._log.info(
            "send_failed",
            request_id=exchange.request.request_id,
            server=backend.instance.instance_id,
            error=error.message,
            may_have_run=isinstance(error, BackendServerFailed),
        )

    def _give_up(self, exchange: _Exchange) -> Reply:
        """Return a server's own failure, or raise what is known."""
        if exchange.failure is not None:
            return exchange.failure
        request = exchange.request
        outcome = Outcome.MAY_HAVE_RUN if exchange.ran > 0 else Outcome.NOT_RUN
        if self._clock.monotonic_s() >= request.deadline_s - _MIN_SEND_S:
            raise DeadlineExceeded(
                f"request {request.request_id} was not answered in time", outcome=outcome
            )
        if exchange.sends == 0:
            raise no_server(exchange.service)
        if outcome is Outcome.NOT_RUN:
            raise AdmissionRefused(
                f"{exchange.sends} servers of {exchange.service} refused the request",
                retry_after_s=_FULL_RETRY_S,
            )
        reason = exchange.last_error.message if exchange.last_error else "no answer"
        raise BackendServerFailed(f"request {request.request_id} failed: {reason}")


async def _held(answer: Answer) -> Reply:
    """Read the body, up to the size that is held back."""
    parts: list[bytes] = []
    size_bytes = 0
    while data := await answer.chunk():
        parts.append(data)
        size_bytes += len(data)
        if size_bytes > _HELD_BYTES:
            return Reply(answer.status, answer.headers, b"".join(parts), answer)
    return Reply(answer.status, answer.headers, b"".join(parts), None)
