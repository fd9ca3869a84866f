"""The HTTP interface for callers, as an ASGI application."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    CallerDisconnected,
    DeadlineExceeded,
    Draining,
    HeadersTooLarge,
    InvalidRequest,
    Outcome,
    RequestConvicted,
    StoreUnavailable,
    TooLarge,
    UnknownResource,
    VerbenawindError,
)
from verbenawind.gateway import (
    BackendResponse,
    CallerRequest,
    Drain,
    Forwarder,
    IngressLimits,
    RequestDurations,
    Route,
    RouteKind,
    RouteTable,
    StreamForwarder,
    service_of,
)
from verbenawind.kernel.http_syntax import parse_decimal
from verbenawind.metrics import Metrics
from verbenawind.platform.exchange import Exchange, Receive, Scope, Send, end_to_end_headers
from verbenawind.platform.job_calls import ITEMS_PATH, JOBS_PATH, JobCalls, job_id_of_path
from verbenawind.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
)

__all__ = ["CallerApp"]

T = TypeVar("T")

_DEFAULT_RETRY_S = 0.3
_NO_CONFIGURATION_RETRY_S = 0.5
# How long a request may wait after the daemon's start until routes and servers have been read.
_INITIAL_VIEW_TIMEOUT_S = 0.8
_INITIAL_VIEW_POLL_S = 0.01
# Responses are sent this long before the caller's own deadline.
_DEADLINE_MARGIN_S = 0.01
_DEFAULT_LIMITS = IngressLimits(
    max_header_bytes=16 * 1024,
    max_body_bytes=32 * 1024 * 1024,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class CallerApp:
    """The ASGI application that serves configured routes and batch jobs.

    Args:
        routes: Returns the routes in force, None before a configuration has been read.
        informed: Returns whether routes and backend servers have been read.
        forwarder: Forwards plain requests.
        streams: Forwards event streams.
        job_calls: Serves the calls for batch jobs.
        drain: Admits requests once the host stops.
        durations: Records how long the requests of each route take.
        metrics: Records the count and duration of requests.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        routes: Callable[[], RouteTable | None],
        informed: Callable[[], bool],
        forwarder: Forwarder,
        streams: StreamForwarder,
        job_calls: JobCalls,
        drain: Drain,
        durations: RequestDurations,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._routes = routes
        self._informed = informed
        self._forwarder = forwarder
        self._streams = streams
        self._job_calls = job_calls
        self._drain = drain
        self._durations = durations
        self._metrics = metrics
        self._clock = clock
        self._log = structlog.get_logger("front")
        self._in_flight: set[asyncio.Task[Any]] = set()
        self._ended = False

    @property
    def limits(self) -> IngressLimits:
        """The configured limits, or defaults before a configuration has been read."""
        table = self._routes()
        return table.configuration.limits if table is not None else _DEFAULT_LIMITS

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = Exchange(
            scope,
            receive,
            send,
            self._clock.monotonic_s(),
            is_closing=lambda: self._drain.active,
        )
        outcome = "ok"
        try:
            await self._serve_until_end(exchange)
        except CallerDisconnected as error:
            outcome = error.code
            self._log.info("caller_left", path=exchange.path, reason=error.message)
        except VerbenawindError as error:
            outcome = error.code
            await self._send_error(exchange, error)
        except Exception as error:
            outcome = "internal"
            self._log.error(
                "request_crashed",
                request_id=exchange.header(ATTEMPT_HEADER),
                path=exchange.path,
                exc_info=error,
            )
            if exchange.started:
                raise
            await exchange.respond(500)
        finally:
            took_s = self._clock.monotonic_s() - exchange.arrived_s
            self._metrics.count_request(_operation(exchange), outcome, took_s)

    def end_requests(self) -> None:
        """End the requests in flight: those without an answer get one, the others are cut off."""
        self._ended = True
        for task in self._in_flight:
            task.cancel()

    async def _serve_until_end(self, exchange: Exchange) -> None:
        """Serve a request unless the host ends before it is answered.

        Raises:
            Draining: The host ends; a server may have run the request.
        """
        task = asyncio.current_task()
        assert task is not None
        self._in_flight.add(task)
        try:
            await self._serve(exchange)
        except asyncio.CancelledError:
            if not self._ended:
                raise
            # The task goes on to send the answer.
            task.uncancel()
            raise Draining(
                "this host stopped before the request was answered",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from None
        finally:
            self._in_flight.discard(task)

    async def _serve(self, exchange: Exchange) -> None:
        self._check_head(exchange)
        table = await self._wait_for_routes()
        if table is None:
            raise StoreUnavailable(
                "this daemon has no configuration yet",
                effect_possible=False,
                retry_after_s=_NO_CONFIGURATION_RETRY_S,
            )
        job_id = job_id_of_path(exchange.path)
        if job_id is not None:
            # An accepted job outlasts its route, so that its calls need none.
            await self._job_calls.serve(exchange, job_id)
            return
        if self._job_calls.is_repeated_submission(exchange):
            await self._job_calls.confirm(exchange, self.limits.max_body_bytes)
            return
        route = table.match(exchange.host, exchange.path)
        if route is None:
            self._log.info(
                "route_unknown",
                request_id=exchange.header(ATTEMPT_HEADER),
                asked_host=exchange.host,
                path=exchange.path,
                configuration=table.configuration.version,
            )
            await exchange.respond(404)
            return
        if route.kind is RouteKind.BATCH:
            await self._job_calls.submit(exchange, route, self.limits.max_body_bytes)
            return
        request = await self._read_request(exchange, route)
        self._drain.check(route, request.deadline_s)
        request = msgspec.structs.replace(
            request, deadline_s=self._drain.bound_s(request.deadline_s)
        )
        service = service_of(route, request.request_id)
        with self._durations.measured(route):
            if route.kind is RouteKind.STREAMING:
                await self._stream(exchange, request, route, service)
            else:
                await self._forward(exchange, request, route, service)

    async def _wait_for_routes(self) -> RouteTable | None:
        """Return the routes, after a short wait if the daemon has just started."""
        deadline_s = self._clock.monotonic_s() + _INITIAL_VIEW_TIMEOUT_S
        while not self._informed() and self._clock.monotonic_s() < deadline_s:
            await self._clock.sleep(_INITIAL_VIEW_POLL_S)
        return self._routes()

    def _check_head(self, exchange: Exchange) -> None:
        limit_bytes = self.limits.max_header_bytes
        size_bytes = sum(len(name) + len(value) + 4 for name, value in exchange.headers)
        if size_bytes > limit_bytes:
            raise HeadersTooLarge(f"the request headers exceed the limit of {limit_bytes} bytes")

    async def _read_request(self, exchange: Exchange, route: Route) -> CallerRequest:
        request_id = exchange.header(ATTEMPT_HEADER)
        if not request_id:
            raise InvalidRequest(f"missing header {ATTEMPT_HEADER}")
        caller_timeout_ms = exchange.float_header(DEADLINE_HEADER)
        caller_timeout_s = math.inf if caller_timeout_ms is None else caller_timeout_ms / 1000
        limit_s = min(caller_timeout_s - _DEADLINE_MARGIN_S, route.timeout_s)
        last_event = exchange.header(LAST_EVENT_HEADER)
        return CallerRequest(
            request_id=request_id,
            method=exchange.method,
            host=exchange.header("Host") or "",
            target=exchange.target,
            headers=end_to_end_headers(exchange.headers),
            body=await exchange.read_body(self.limits.max_body_bytes),
            arrived_s=exchange.arrived_s,
            deadline_s=exchange.arrived_s + min(limit_s, _MAX_REQUEST_S),
            resume_after=parse_decimal(last_event) if last_event else None,
            # Requests bear no name of their caller, who keeps the address over all connections.
            caller=exchange.caller_ip,
        )

    async def _forward(
        self, exchange: Exchange, request: CallerRequest, route: Route, service: str
    ) -> None:
        reply = await self._cancel_on_disconnect(
            exchange, self._forwarder.forward(request, route, service), request.request_id
        )
        headers = end_to_end_headers(reply.headers)
        self._log.info(
            "request_answered",
            request_id=request.request_id,
            route=route.name,
            status=reply.status,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 4),
        )
        if reply.rest is None:
            await exchange.respond(reply.status, reply.body, headers)
            return
        try:
            await exchange.start(reply.status, headers)
            left_s = request.deadline_s - self._clock.monotonic_s()
            async with asyncio.timeout(max(0.0, left_s)):
                await exchange.write(reply.body)
                while data := await reply.rest.chunk():
                    await exchange.write(data)
            await exchange.write(b"", last=True)
        except TimeoutError as error:
            raise DeadlineExceeded(
                f"the answer to request {request.request_id} did not end before its deadline",
                outcome=Outcome.RAN,
            ) from error
        finally:
            reply.rest.close()

    async def _stream(
        self, exchange: Exchange, request: CallerRequest, route: Route, service: str
    ) -> None:
        async def copy_events() -> int:
            events = 0
            async with contextlib.aclosing(self._streams.forward(request, route, service)) as parts:
                async for part in parts:
                    if isinstance(part, bytes):
                        events += 1
                        await exchange.write(part)
                    else:
                        await _forward_head(exchange, part)
            await exchange.write(b"", last=True)
            return events

        events = await self._cancel_on_disconnect(exchange, copy_events(), request.request_id)
        self._log.info(
            "stream_answered",
            request_id=request.request_id,
            route=route.name,
            pieces=events,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 4),
        )

    # Disconnects and errors.

    async def _cancel_on_disconnect(
        self, exchange: Exchange, work: Coroutine[Any, Any, T], request_id: str
    ) -> T:
        """Return the result of *work*, which is cancelled if the caller disconnects."""
        work_task = asyncio.get_running_loop().create_task(work)
        disconnect_task = asyncio.get_running_loop().create_task(exchange.wait_for_disconnect())
        try:
            await asyncio.wait({work_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
            if work_task.done():
                return work_task.result()
            raise CallerDisconnected(f"the caller of {request_id} disconnected")
        finally:
            disconnect_task.cancel()
            if not work_task.done():
                work_task.cancel()
                with contextlib.suppress(asyncio.CancelledError, VerbenawindError):
                    await work_task

    async def _send_error(self, exchange: Exchange, error: VerbenawindError) -> None:
        status = _http_status(error)
        retry_after_s = error.retry_after_s if isinstance(error, RequestConvicted) else None
        if status == 503:
            # Every 503 has a Retry-After header, also if the error names no time.
            retry_after_s = error.retry_after_s or _DEFAULT_RETRY_S
        self._log.info(
            "request_failed",
            request_id=exchange.header(ATTEMPT_HEADER),
            job_id=job_id_of_path(exchange.path),
            path=exchange.path,
            status=status,
            code=error.code,
            outcome=error.outcome.value,
            error=error.message,
            retry_after_s=retry_after_s,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 4),
        )
        if exchange.started:
            # Raising closes the connection without completing the response, so that the caller
            # cannot take the truncated response for a complete one.
            raise error
        headers: list[tuple[str, str]] = []
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:g}"))
        if isinstance(error, InvalidRequest):
            exchange.close_connection = True
        await exchange.respond(status, error.message.encode(), headers)


# The time limit of a request whose route has no timeout and whose caller gives no deadline.
_MAX_REQUEST_S = 3600.0


async def _forward_head(exchange: Exchange, response: BackendResponse) -> None:
    await exchange.start(response.status, end_to_end_headers(response.headers))


def _http_status(error: VerbenawindError) -> int:
    """Return the HTTP status for an error.

    503 guarantees to the caller that the request did not run and will not run.
    """
    statuses: Mapping[type[VerbenawindError], int] = {
        UnknownResource: 404,
        TooLarge: 413,
        HeadersTooLarge: 431,
        InvalidRequest: 400,
    }
    if type(error) in statuses:
        return statuses[type(error)]
    if error.outcome is Outcome.NOT_RUN:
        return 503
    return 504 if isinstance(error, DeadlineExceeded) else 502


def _operation(exchange: Exchange) -> str:
    if exchange.path.startswith(JOBS_PATH):
        return "end_job" if exchange.method == "DELETE" else "read_results"
    return "read_body" if exchange.path.startswith(ITEMS_PATH) else "request"
