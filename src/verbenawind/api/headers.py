"""What callers say in headers, checked."""

import math
from collections.abc import Mapping
from typing import Any, TypeVar

import msgspec
from litestar import Request

from verbenawind.api.guard import REQUEST_ID
from verbenawind.api.services import ApiServices
from verbenawind.errors import InvalidRequest

__all__ = [
    "deadline_s",
    "decoded_body",
    "forwarded_headers",
    "idempotency_key",
    "reconnects",
    "request_id",
    "returned_headers",
]

T = TypeVar("T")

_DEADLINE_HEADER = "x-deadline-s"
_IDEMPOTENCY_HEADER = "idempotency-key"
_RECONNECT_HEADER = "x-reconnect"
_MAX_KEY_LENGTH = 255
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | {
    "accept-encoding",
    "authorization",
    "content-length",
    "cookie",
    "expect",
    "host",
    _DEADLINE_HEADER,
    _IDEMPOTENCY_HEADER,
    _RECONNECT_HEADER,
    "x-request-id",
}
_NOT_RETURNED = (
    _HOP_BY_HOP | {"content-encoding", "content-length", "date", "server"} | {"x-request-id"}
)


def request_id(request: Request[Any, Any, Any]) -> str:
    """Return the identifier that the caller gave the request, or the one made for it."""
    return str(request.scope["state"][REQUEST_ID])


def deadline_s(request: Request[Any, Any, Any], services: ApiServices, default_s: float) -> float:
    """Return the deadline on the daemon's monotonic clock, in seconds.

    Raises:
        InvalidRequest: The header is no positive, finite number.
    """
    raw = request.headers.get(_DEADLINE_HEADER)
    timeout_s = default_s if raw is None else _positive(raw)
    return services.clock.monotonic_s() + min(timeout_s, services.settings.limits.max_deadline_s)


def idempotency_key(request: Request[Any, Any, Any]) -> str | None:
    """Return the caller's idempotency key, None when it gave none.

    Raises:
        InvalidRequest: The key is empty, too long or not printable.
    """
    key = request.headers.get(_IDEMPOTENCY_HEADER)
    if key is None:
        return None
    if not key.strip() or len(key) > _MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        raise InvalidRequest(
            f"header Idempotency-Key: not 1 to {_MAX_KEY_LENGTH} printable ASCII characters"
        )
    return str(key)


def reconnects(request: Request[Any, Any, Any]) -> bool:
    """Return whether the caller sent the request before and wants the rest of its answer."""
    return str(request.headers.get(_RECONNECT_HEADER, "")).lower() == "true"


async def decoded_body(request: Request[Any, Any, Any], kind: type[T]) -> T:
    """Return the request's JSON body as a *kind*.

    Raises:
        InvalidRequest: The body is no JSON or no *kind*; the fault's path is named.
    """
    try:
        return msgspec.json.decode(await request.body(), type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidRequest(f"body: {error}") from error


def forwarded_headers(request: Request[Any, Any, Any]) -> dict[str, str]:
    """Return the headers that a plain service gets from the caller."""
    return {name: value for name, value in request.headers.items() if name not in _NOT_FORWARDED}


def returned_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a plain service's answer that the caller gets."""
    return {name: value for name, value in headers.items() if name.lower() not in _NOT_RETURNED}


def _positive(raw: str) -> float:
    try:
        value = float(raw)
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value <= 0:
        raise InvalidRequest(f"header X-Deadline-S: {raw[:64]!r} is no positive number of seconds")
    return value
