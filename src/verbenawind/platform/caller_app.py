"""The HTTP interface for callers, as an ASGI application."""

import asyncio
import contextlib
import math
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, TypeVar
from urllib.parse import parse_qs

import structlog

from verbenawind.batches import BatchJobs
from verbenawind.clock import Clock
from verbenawind.errors import (
    CallerDisconnected,
    DeadlineExceeded,
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
    Forwarder,
    IngressLimits,
    Route,
    RouteKind,
    RouteTable,
    StreamForwarder,
    service_of,
)
from verbenawind.kernel.http_syntax import parse_decimal
from verbenawind.metrics import Metrics
from verbenawind.platform.batches import decode_submission, encode_page
from verbenawind.platform.exchange import Exchange, Receive, Scope, Send, end_to_end_headers
from verbenawind.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    WAIT_HEADER,
)

__all__ = ["CallerApp"]

T = TypeVar("T")

_JOBS_PATH = "/api/lots/"
_ITEMS_PATH = "/api/items/"
_JSON = [("Content-Type", "application/json")]
# A submission that the store does not accept fails after this fraction of the time that the caller
# waits, so that the caller can retry at another host, unless it may have been recorded.
_SUBMIT_FRACTION = 0.4
_DEFAULT_SUBMIT_S = 5.0
_MAX_READ_WAIT_S = 1.0
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
        jobs: Serves batch jobs.
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
        jobs: BatchJobs,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._routes = routes
        self._informed = informed
        self._forwarder = forwarder
        self._streams = streams
        self._jobs = jobs
        self._metrics = metrics
        self._clock = clock
        self._log = structlog.get_logger("front")
        self.draining = False

    @property
    def limits(self) -> IngressLimits:
        """The configured limits, or defaults before a configuration has been read."""
        table = self._routes()
        return table.configuration.limits if table is not None else _DEFAULT_LIMITS

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send, self._clock.monotonic_s())
        exchange.close_connection = self.draining
        outcome = "ok"
        try:
            await self._serve(exchange)
        except CallerDisconnected as error:
            outcome = error.code
            self._log.info("caller_left", path=exchange.path, reason=error.message)
        except VerbenawindError as error:
            outcome = error.code
            await self._send_error(exchange, error)
        finally:
            took_s = self._clock.monotonic_s() - exchange.arrived_s
            self._metrics.count_request(_operation(exchange), outcome, took_s)

    async def _serve(self, exchange: Exchange) -> None:
        self._check_head(exchange)
        table = await self._wait_for_routes()
        if table is None:
            raise StoreUnavailable(
                "this daemon has no configuration yet",
                effect_possible=False,
                retry_after_s=_NO_CONFIGURATION_RETRY_S,
            )
        job_id = _job_id_of_path(exchange.path)
        if job_id is not None and table.knows_host(exchange.host):
            await self._serve_job_call(exchange, job_id)
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
            await self._submit_job(exchange, route)
            return
        request = await self._read_request(exchange, route)
        service = service_of(route, request.request_id)
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

    # Batch jobs.

    async def _submit_job(self, exchange: Exchange, route: Route) -> None:
        job_id = exchange.header(ATTEMPT_HEADER)
        if not job_id or exchange.method != "POST":
            raise InvalidRequest(
                f"a job submission must be a POST with the header {ATTEMPT_HEADER}"
            )
        body = await exchange.read_body(self.limits.max_body_bytes)
        submission = decode_submission(job_id, exchange.host, exchange.path, body)
        caller_timeout_ms = exchange.float_header(DEADLINE_HEADER)
        caller_timeout_s = (
            _DEFAULT_SUBMIT_S if caller_timeout_ms is None else caller_timeout_ms / 1000
        )
        limit_s = min(caller_timeout_s * _SUBMIT_FRACTION, route.timeout_s)
        await self._jobs.submit(submission, exchange.arrived_s + limit_s)
        await exchange.respond(202)

    async def _serve_job_call(self, exchange: Exchange, job_id: str) -> None:
        query = parse_qs(exchange.query)
        if exchange.path.startswith(_ITEMS_PATH):
            body = await self._jobs.body(job_id, query.get("id", [""])[0])
            await exchange.respond(200, body, [("Content-Type", "application/octet-stream")])
            return
        if exchange.method == "DELETE":
            await self._jobs.end(job_id)
            await exchange.respond(200)
            return
        after_text = query.get("after", ["0"])[0]
        after = parse_decimal(after_text)
        if after is None:
            raise InvalidRequest(f"the position must be a non-negative integer, not {after_text!r}")
        wait_s = min((exchange.float_header(WAIT_HEADER) or 0.0) / 1000, _MAX_READ_WAIT_S)
        page = await self._jobs.results(job_id, after, wait_s)
        self._log.info(
            "results_read",
            job_id=job_id,
            after=after,
            results=len(page.results),
            total=page.total,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 3),
        )
        await exchange.respond(200, encode_page(page, after), _JSON)

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
            job_id=_job_id_of_path(exchange.path),
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


def _job_id_of_path(path: str) -> str | None:
    """Return the job id in the path of a job call, None for other paths."""
    for prefix in (_JOBS_PATH, _ITEMS_PATH):
        if path.startswith(prefix):
            return path.removeprefix(prefix)
    return None


def _operation(exchange: Exchange) -> str:
    if exchange.path.startswith(_JOBS_PATH):
        return "end_job" if exchange.method == "DELETE" else "read_results"
    return "read_body" if exchange.path.startswith(_ITEMS_PATH) else "request"
