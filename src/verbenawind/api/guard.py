"""Guards the application: limits, request identifiers, draining and request metrics."""

import asyncio
import re
from collections.abc import Iterable
from typing import Any, cast

import msgspec
from litestar import Litestar
from litestar.types import Message, Receive, Scope, Send

from verbenawind.api.errors import error_answer, failure_of, http_status
from verbenawind.api.services import ApiServices
from verbenawind.errors import (
    Draining,
    HeadersTooLarge,
    InvalidRequest,
    Outcome,
    Overloaded,
    RequestTooSlow,
    VerbenawindError,
)
from verbenawind.ids import new_id

__all__ = ["REQUEST_ID", "RequestGuard"]

REQUEST_ID = "request_id"
_REQUEST_ID_HEADER = b"x-request-id"
_REQUEST_ID_FORM = re.compile(rb"[A-Za-z0-9._:/-]{1,128}")
_UNGUARDED_PATHS = frozenset({"/livez", "/readyz", "/metrics"})
_MAX_HEADERS = 100
_OVERLOADED_RETRY_AFTER_S = 1.0
_DRAINING_RETRY_AFTER_S = 1.0
_SERVER_ERROR = 500


class RequestGuard:
    """An ASGI application around the daemon's; what it refuses costs little and did not run.

    Args:
        app: The application.
        services: What the application works with.
    """

    __slots__ = ("_app", "_in_flight", "_services", "draining")

    def __init__(self, app: Litestar, services: ApiServices) -> None:
        self._app = app
        self._services = services
        self._in_flight = 0
        self.draining = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http" or scope["path"] in _UNGUARDED_PATHS:
            await self._app(scope, receive, send)
            return
        request_id, error = self._admit(scope)
        scope["state"][REQUEST_ID] = request_id
        answer = _Answer(send, request_id)
        if error is not None:
            self._services.metrics.count_error_answer(error.code)
            await _refuse(answer, error)
            return
        started_at_s = self._services.clock.monotonic_s()
        self._in_flight += 1
        try:
            await self._app(scope, self._bounded(receive), answer)
        finally:
            self._in_flight -= 1
            self._count(scope, answer.status, started_at_s)

    def _admit(self, scope: Scope) -> tuple[str, VerbenawindError | None]:
        limits = self._services.settings.limits
        headers = list(scope["headers"])
        size_bytes = sum(len(name) + len(value) for name, value in headers)
        given = _given_request_id(headers)
        request_id = new_id("req") if given is None else given.decode("ascii", "replace")
        if given is not None and not _REQUEST_ID_FORM.fullmatch(given):
            return new_id("req"), InvalidRequest(
                f"header X-Request-Id: {request_id[:64]!r} is not 1 to 128 of A-Z a-z 0-9 . _ : / -"
            )
        if size_bytes > limits.max_header_bytes or len(headers) > _MAX_HEADERS:
            return request_id, HeadersTooLarge(
                f"{len(headers)} headers of {size_bytes} bytes; {_MAX_HEADERS} of "
                f"{limits.max_header_bytes} bytes are taken"
            )
        if self.draining:
            return request_id, Draining(
                f"daemon {self._services.settings.daemon_id} is shutting down",
                retry_after_s=_DRAINING_RETRY_AFTER_S,
            )
        if self._in_flight >= limits.max_requests_in_flight:
            return request_id, Overloaded(
                f"{self._in_flight} requests are in flight, the daemon's limit",
                retry_after_s=_OVERLOADED_RETRY_AFTER_S,
            )
        return request_id, None

    def _bounded(self, receive: Receive) -> Receive:
        limit_s = self._services.settings.limits.body_timeout_s
        ends_at_s = asyncio.get_running_loop().time() + limit_s
        whole = False

        async def bounded() -> Any:
            nonlocal whole
            if whole:
                return await receive()
            try:
                async with asyncio.timeout_at(ends_at_s):
                    message = await receive()
            except TimeoutError as error:
                whole = True
                raise RequestTooSlow(f"the body did not arrive within {limit_s} seconds") from error
            whole = not message.get("more_body", False)
            return message

        return bounded

    def _count(self, scope: Scope, status: int | None, started_at_s: float) -> None:
        metrics = self._services.metrics
        operation = str(scope.get("path_template") or "unknown")
        duration_s = self._services.clock.monotonic_s() - started_at_s
        failure = failure_of(scope)
        if failure is not None:
            code, outcome = failure
            metrics.count_error_answer(code)
            metrics.count_request(operation, outcome, duration_s)
            return
        failed = status is None or status >= _SERVER_ERROR
        metrics.count_request(operation, Outcome.MAY_HAVE_RUN if failed else "ok", duration_s)


class _Answer:
    """Sends an answer with the request's identifier, and keeps its status."""

    __slots__ = ("_request_id", "_send", "status")

    def __init__(self, send: Send, request_id: str) -> None:
        self._send = send
        self._request_id = request_id.encode()
        self.status: int | None = None

    async def __call__(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            headers = [*message["headers"], (_REQUEST_ID_HEADER, self._request_id)]
            message = cast(Message, {**message, "headers": headers})
        await self._send(message)


def _given_request_id(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    return next((value for name, value in headers if name == _REQUEST_ID_HEADER), None)


async def _refuse(answer: _Answer, error: VerbenawindError) -> None:
    body = msgspec.json.encode(error_answer(error))
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(max(1, round(error.retry_after_s))).encode()))
    start = {"type": "http.response.start", "status": http_status(error), "headers": headers}
    await answer(cast(Message, start))
    await answer({"type": "http.response.body", "body": body, "more_body": False})
