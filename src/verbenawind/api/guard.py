"""ASGI middleware for request limits, request identifiers, draining and request metrics."""

import asyncio
import re
from collections.abc import Iterable
from typing import Any, cast

import msgspec
from litestar import Litestar
from litestar.types import Message, Receive, Scope, Send

from verbenawind.api.errors import error_body, http_status, recorded_failure
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
_REQUEST_ID_PATTERN = re.compile(rb"[A-Za-z0-9._:/-]{1,128}")
_UNGUARDED_PATHS = frozenset({"/livez", "/readyz", "/metrics"})
_MAX_HEADERS = 100
_OVERLOADED_RETRY_AFTER_S = 1.0
_DRAINING_RETRY_AFTER_S = 1.0
_MIN_SERVER_ERROR_STATUS = 500


class RequestGuard:
    """Wraps the daemon's ASGI application and rejects requests before they run.

    Rejection comes before routing and before the body is read: it is cheap, and the request has
    not run.

    Args:
        app: The application.
        services: The services of the application.
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
        sender = _ResponseSender(send, request_id)
        if error is not None:
            self._services.metrics.count_error_answer(error.code)
            await _send_error(sender, error)
            return
        started_at_s = self._services.clock.monotonic_s()
        self._in_flight += 1
        try:
            await self._app(scope, self._with_body_timeout(receive), sender)
        finally:
            self._in_flight -= 1
            self._record_metrics(scope, sender.status, started_at_s)

    def _admit(self, scope: Scope) -> tuple[str, VerbenawindError | None]:
        limits = self._services.settings.limits
        headers = list(scope["headers"])
        size_bytes = sum(len(name) + len(value) for name, value in headers)
        supplied_id = _find_request_id(headers)
        request_id = (
            new_id("req") if supplied_id is None else supplied_id.decode("ascii", "replace")
        )
        if supplied_id is not None and not _REQUEST_ID_PATTERN.fullmatch(supplied_id):
            return new_id("req"), InvalidRequest(
                f"header X-Request-Id: {request_id[:64]!r} is not 1 to 128 of A-Z a-z 0-9 . _ : / -"
            )
        if size_bytes > limits.max_header_bytes or len(headers) > _MAX_HEADERS:
            return request_id, HeadersTooLarge(
                f"{len(headers)} headers of {size_bytes} bytes exceed the limit of {_MAX_HEADERS} "
                f"headers or {limits.max_header_bytes} bytes"
            )
        if self.draining:
            return request_id, Draining(
                f"daemon {self._services.settings.daemon_id} is shutting down",
                retry_after_s=_DRAINING_RETRY_AFTER_S,
            )
        if self._in_flight >= limits.max_requests_in_flight:
            return request_id, Overloaded(
                f"{self._in_flight} requests are in flight, the daemon's max_requests_in_flight",
                retry_after_s=_OVERLOADED_RETRY_AFTER_S,
            )
        return request_id, None

    def _with_body_timeout(self, receive: Receive) -> Receive:
        limit_s = self._services.settings.limits.body_timeout_s
        deadline_s = asyncio.get_running_loop().time() + limit_s
        body_complete = False

        async def receive_before_deadline() -> Any:
            nonlocal body_complete
            if body_complete:
                return await receive()
            try:
                async with asyncio.timeout_at(deadline_s):
                    message = await receive()
            except TimeoutError as error:
                body_complete = True
                raise RequestTooSlow(f"the body did not arrive within {limit_s} s") from error
            body_complete = not message.get("more_body", False)
            return message

        return receive_before_deadline

    def _record_metrics(self, scope: Scope, status: int | None, started_at_s: float) -> None:
        metrics = self._services.metrics
        operation = str(scope.get("path_template") or "unknown")
        duration_s = self._services.clock.monotonic_s() - started_at_s
        failure = recorded_failure(scope)
        if failure is not None:
            code, outcome = failure
            metrics.count_error_answer(code)
            metrics.count_request(operation, outcome, duration_s)
            return
        failed = status is None or status >= _MIN_SERVER_ERROR_STATUS
        metrics.count_request(operation, Outcome.MAY_HAVE_RUN if failed else "ok", duration_s)


class _ResponseSender:
    """Adds the request identifier to the response headers and records the status."""

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


def _find_request_id(headers: Iterable[tuple[bytes, bytes]]) -> bytes | None:
    return next((value for name, value in headers if name == _REQUEST_ID_HEADER), None)


async def _send_error(sender: _ResponseSender, error: VerbenawindError) -> None:
    body = msgspec.json.encode(error_body(error))
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (b"connection", b"close"),
    ]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", str(max(1, round(error.retry_after_s))).encode()))
    start = {"type": "http.response.start", "status": http_status(error), "headers": headers}
    await sender(cast(Message, start))
    await sender({"type": "http.response.body", "body": body, "more_body": False})
