"""The callers' interface as the platform speaks it."""

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
    StoreUnavailable,
    TooLarge,
    UnknownResource,
    VerbenawindError,
)
from verbenawind.gateway import (
    Answer,
    CallerRequest,
    Forwarder,
    IngressLimits,
    Route,
    RouteKind,
    RouteTable,
    StreamForwarder,
    service_of,
)
from verbenawind.metrics import Metrics
from verbenawind.platform.batches import decode_submission, encode_page
from verbenawind.platform.exchange import Exchange, Receive, Scope, Send, end_to_end
from verbenawind.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    LAST_EVENT_HEADER,
    WAIT_HEADER,
)

__all__ = ["Front"]

T = TypeVar("T")

_JOBS_PATH = "/api/lots/"
_ITEMS_PATH = "/api/items/"
_JSON = [("Content-Type", "application/json")]
# A submission that the store does not take is given back for a try elsewhere after this part of
# its caller's patience, unless it may have been recorded.
_SUBMIT_FRACTION = 0.4
_DEFAULT_SUBMIT_S = 5.0
_MAX_READ_WAIT_S = 1.0
_RETRY_S = 0.3
_UNINFORMED_RETRY_S = 0.5
# How long a request may wait for the first view of routes and servers, which a start needs once.
_FIRST_VIEW_S = 0.8
_FIRST_VIEW_POLL_S = 0.01
# Answers leave so long before the caller's own deadline.
_ANSWER_MARGIN_S = 0.01
_DEFAULT_LIMITS = IngressLimits(
    max_header_bytes=16 * 1024,
    max_body_bytes=32 * 1024 * 1024,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)


class Front:
    """An ASGI application: routes, batch jobs, and nothing else.

    Args:
        routes: The routes in force, None while there are none.
        informed: Whether routes and backend servers have been read at all.
        forwarder: Serves plain requests.
        streams: Serves event streams.
        jobs: Serves batch jobs.
        metrics: Counts and times requests.
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
        """The limits in force."""
        table = self._routes()
        return table.configuration.limits if table is not None else _DEFAULT_LIMITS

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        exchange = Exchange(scope, receive, send, self._clock.monotonic_s())
        exchange.closing = self.draining
        outcome = "ok"
        try:
            await self._serve(exchange)
        except CallerDisconnected as error:
            outcome = error.code
            self._log.info("caller_left", path=exchange.path, reason=error.message)
        except VerbenawindError as error:
            outcome = error.code
            await self._fail(exchange, error)
        finally:
            took_s = self._clock.monotonic_s() - exchange.arrived_s
            self._metrics.count_request(_operation(exchange), outcome, took_s)

    async def _serve(self, exchange: Exchange) -> None:
        self._check_head(exchange)
        table = await self._first_routes()
        if table is None:
            raise StoreUnavailable(
                "this daemon has no configuration yet",
                effect_possible=False,
                retry_after_s=_UNINFORMED_RETRY_S,
            )
        job_id = _job_of(exchange.path)
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
            await exchange.answer(404)
            return
        if route.kind is RouteKind.BATCH:
            await self._submit(exchange, route)
            return
        request = await self._request(exchange, route)
        service = service_of(route, request.request_id)
        if route.kind is RouteKind.STREAMING:
            await self._stream(exchange, request, route, service)
        else:
            await self._forward(exchange, request, route, service)

    async def _first_routes(self) -> RouteTable | None:
        """Return the routes; a daemon that has just started learns them within moments."""
        ends_at_s = self._clock.monotonic_s() + _FIRST_VIEW_S
        while not self._informed() and self._clock.monotonic_s() < ends_at_s:
            await self._clock.sleep(_FIRST_VIEW_POLL_S)
        return self._routes()

    def _check_head(self, exchange: Exchange) -> None:
        limit_bytes = self.limits.max_header_bytes
        size_bytes = sum(len(name) + len(value) + 4 for name, value in exchange.headers)
        if size_bytes > limit_bytes:
            raise HeadersTooLarge(f"headers may have {limit_bytes} bytes")

    async def _request(self, exchange: Exchange, route: Route) -> CallerRequest:
        request_id = exchange.header(ATTEMPT_HEADER)
        if not request_id:
            raise InvalidRequest(f"a request needs the header {ATTEMPT_HEADER}")
        patience_ms = exchange.number(DEADLINE_HEADER)
        patience_s = math.inf if patience_ms is None else patience_ms / 1000
        limit_s = min(patience_s - _ANSWER_MARGIN_S, route.timeout_s)
        last_event = exchange.header(LAST_EVENT_HEADER)
        return CallerRequest(
            request_id=request_id,
            method=exchange.method,
            host=exchange.header("Host") or "",
            target=exchange.target,
            headers=end_to_end(exchange.headers),
            body=await exchange.body(self.limits.max_body_bytes),
            arrived_s=exchange.arrived_s,
            deadline_s=exchange.arrived_s + min(limit_s, _LONGEST_S),
            resume_after=int(last_event) if last_event and last_event.isdigit() else None,
        )

    async def _forward(
        self, exchange: Exchange, request: CallerRequest, route: Route, service: str
    ) -> None:
        reply = await self._while_caller_stays(
            exchange, self._forwarder.forward(request, route, service), request.request_id
        )
        headers = end_to_end(reply.headers)
        self._log.info(
            "request_answered",
            request_id=request.request_id,
            route=route.name,
            status=reply.status,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 4),
        )
        if reply.rest is None:
            await exchange.answer(reply.status, reply.body, headers)
            return
        try:
            await exchange.start(reply.status, headers)
            await exchange.write(reply.body)
            while data := await reply.rest.chunk():
                await exchange.write(data)
            await exchange.write(b"", last=True)
        finally:
            reply.rest.close()

    async def _stream(
        self, exchange: Exchange, request: CallerRequest, route: Route, service: str
    ) -> None:
        async def copy() -> int:
            events = 0
            async with contextlib.aclosing(
                self._streams.forward(request, route, service)
            ) as pieces:
                async for piece in pieces:
                    if isinstance(piece, bytes):
                        events += 1
                        await exchange.write(piece)
                    else:
                        await _start_like(exchange, piece)
            await exchange.write(b"", last=True)
            return events

        events = await self._while_caller_stays(exchange, copy(), request.request_id)
        self._log.info(
            "stream_answered",
            request_id=request.request_id,
            route=route.name,
            pieces=events,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 4),
        )

    # Batch jobs.

    async def _submit(self, exchange: Exchange, route: Route) -> None:
        job_id = exchange.header(ATTEMPT_HEADER)
        if not job_id or exchange.method != "POST":
            raise InvalidRequest(f"a job is submitted by a POST with the header {ATTEMPT_HEADER}")
        body = await exchange.body(self.limits.max_body_bytes)
        submission = decode_submission(job_id, exchange.host, exchange.path, body)
        patience_ms = exchange.number(DEADLINE_HEADER)
        patience_s = _DEFAULT_SUBMIT_S if patience_ms is None else patience_ms / 1000
        limit_s = min(patience_s * _SUBMIT_FRACTION, route.timeout_s)
        await self._jobs.submit(submission, exchange.arrived_s + limit_s)
        await exchange.answer(202)

    async def _serve_job_call(self, exchange: Exchange, job_id: str) -> None:
        query = parse_qs(exchange.query)
        if exchange.path.startswith(_ITEMS_PATH):
            body = await self._jobs.body(job_id, query.get("id", [""])[0])
            await exchange.answer(200, body, [("Content-Type", "application/octet-stream")])
            return
        if exchange.method == "DELETE":
            await self._jobs.end(job_id)
            await exchange.answer(200)
            return
        after_text = query.get("after", ["0"])[0]
        if not after_text.isdigit():
            raise InvalidRequest(f"a position is a whole number, not {after_text!r}")
        after = int(after_text)
        wait_s = min((exchange.number(WAIT_HEADER) or 0.0) / 1000, _MAX_READ_WAIT_S)
        page = await self._jobs.results(job_id, after, wait_s)
        self._log.info(
            "results_read",
            job_id=job_id,
            after=after,
            results=len(page.results),
            total=page.total,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 3),
        )
        await exchange.answer(200, encode_page(page, after), _JSON)

    # Endings.

    async def _while_caller_stays(
        self, exchange: Exchange, work: Coroutine[Any, Any, T], request_id: str
    ) -> T:
        """Return the result of *work*, which is cancelled when the caller leaves."""
        working = asyncio.get_running_loop().create_task(work)
        watching = asyncio.get_running_loop().create_task(exchange.gone())
        try:
            await asyncio.wait({working, watching}, return_when=asyncio.FIRST_COMPLETED)
            if working.done():
                return working.result()
            raise CallerDisconnected(f"the caller of {request_id} left")
        finally:
            watching.cancel()
            if not working.done():
                working.cancel()
                with contextlib.suppress(asyncio.CancelledError, VerbenawindError):
                    await working

    async def _fail(self, exchange: Exchange, error: VerbenawindError) -> None:
        status = _status(error)
        # What the caller is told, also where the error names no time.
        retry_after_s = (error.retry_after_s or _RETRY_S) if status == 503 else None
        self._log.info(
            "request_failed",
            request_id=exchange.header(ATTEMPT_HEADER),
            job_id=_job_of(exchange.path),
            path=exchange.path,
            status=status,
            code=error.code,
            outcome=error.outcome.value,
            error=error.message,
            retry_after_s=retry_after_s,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 4),
        )
        if exchange.started:
            # The connection is closed without the answer's end, so that it can't look whole.
            raise error
        headers: list[tuple[str, str]] = []
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:g}"))
        if isinstance(error, InvalidRequest):
            exchange.closing = True
        await exchange.answer(status, error.message.encode(), headers)


# A route without a timeout, asked by a caller without a deadline, ends after this.
_LONGEST_S = 3600.0


async def _start_like(exchange: Exchange, answer: Answer) -> None:
    await exchange.start(answer.status, end_to_end(answer.headers))


def _status(error: VerbenawindError) -> int:
    """Return the status of an error; 503 is a promise that nothing ran or will run."""
    known: Mapping[type[VerbenawindError], int] = {
        UnknownResource: 404,
        TooLarge: 413,
        HeadersTooLarge: 431,
        InvalidRequest: 400,
    }
    if type(error) in known:
        return known[type(error)]
    if error.outcome is Outcome.NOT_RUN:
        return 503
    return 504 if isinstance(error, DeadlineExceeded) else 502


def _job_of(path: str) -> str | None:
    """Return the job that a call concerns, so that its story has the line."""
    for prefix in (_JOBS_PATH, _ITEMS_PATH):
        if path.startswith(prefix):
            return path.removeprefix(prefix)
    return None


def _operation(exchange: Exchange) -> str:
    if exchange.path.startswith(_JOBS_PATH):
        return "end_job" if exchange.method == "DELETE" else "read_results"
    return "read_body" if exchange.path.startswith(_ITEMS_PATH) else "request"
