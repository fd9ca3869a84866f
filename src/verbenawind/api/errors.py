"""Error responses: a JSON body with code, outcome and retry delay."""

import contextlib
from collections.abc import Iterator
from functools import singledispatch
from http import HTTPStatus
from typing import Any

import msgspec
import structlog
from litestar import Request, Response
from litestar.exceptions import HTTPException
from litestar.types import Scope

from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    CallerDisconnected,
    ConditionFailed,
    CursorConflict,
    DeadlineExceeded,
    DocumentInvalid,
    Draining,
    Forbidden,
    GradeConflict,
    HeadersTooLarge,
    HistoryLost,
    IdempotencyKeyReused,
    InvalidRequest,
    LeaseLost,
    LimitReached,
    NoBackendServer,
    Outcome,
    OutcomeUnknown,
    Overloaded,
    RateLimited,
    RequestConvicted,
    RequestTooSlow,
    RevisionConflict,
    RowConflict,
    StepConflict,
    StoreUnavailable,
    TooLarge,
    Unauthorized,
    Undecodable,
    UnknownEnvironment,
    UnknownResource,
    VerbenawindError,
)

__all__ = [
    "ErrorBody",
    "ErrorDetail",
    "error_body",
    "error_response",
    "http_error_response",
    "http_status",
    "record_failure",
    "recorded_failure",
    "report_possible_store_write",
    "unexpected_response",
]


_CLIENT_CLOSED_REQUEST = 499
_FAILURE_KEY = "failure"


class ErrorDetail(msgspec.Struct, omit_defaults=True):
    """The error object that OpenAI-compatible clients expect, with additional fields."""

    message: str
    code: str
    type: str
    outcome: Outcome
    retry_after_s: float | None = None
    faults: tuple[str, ...] = ()
    current_revision: int | None = None
    difference: tuple[str, ...] = ()
    acknowledged_cursor: int | None = None


class ErrorBody(msgspec.Struct):
    """The body of every error response."""

    error: ErrorDetail


@singledispatch
def http_status(error: Exception) -> int:
    """Return the HTTP status of an error."""
    return 500


@http_status.register(InvalidRequest)
@http_status.register(DocumentInvalid)
def _(_: VerbenawindError) -> int:
    return 400


@http_status.register
def _(_: RequestTooSlow) -> int:
    return 408


@http_status.register
def _(_: TooLarge) -> int:
    return 413


@http_status.register
def _(_: HeadersTooLarge) -> int:
    return 431


@http_status.register
def _(_: CallerDisconnected) -> int:
    return _CLIENT_CLOSED_REQUEST


@http_status.register
def _(_: Unauthorized) -> int:
    return 401


@http_status.register
def _(_: Forbidden) -> int:
    return 403


@http_status.register(UnknownEnvironment)
@http_status.register(UnknownResource)
def _(_: VerbenawindError) -> int:
    return 404


@http_status.register(CursorConflict)
@http_status.register(RevisionConflict)
@http_status.register(StepConflict)
@http_status.register(GradeConflict)
@http_status.register(ConditionFailed)
@http_status.register(RowConflict)
def _(_: VerbenawindError) -> int:
    return 409


@http_status.register(IdempotencyKeyReused)
@http_status.register(RequestConvicted)
def _(_: VerbenawindError) -> int:
    return 422


@http_status.register
def _(_: RateLimited) -> int:
    return 429


@http_status.register(BackendServerFailed)
@http_status.register(OutcomeUnknown)
def _(_: VerbenawindError) -> int:
    return 502


@http_status.register(AdmissionRefused)
@http_status.register(LimitReached)
@http_status.register(BackendServerUnreachable)
@http_status.register(Draining)
@http_status.register(HistoryLost)
@http_status.register(LeaseLost)
@http_status.register(NoBackendServer)
@http_status.register(Overloaded)
@http_status.register(StoreUnavailable)
@http_status.register(Undecodable)
def _(_: VerbenawindError) -> int:
    return 503


@http_status.register
def _(_: DeadlineExceeded) -> int:
    return 504


def error_body(error: VerbenawindError) -> ErrorBody:
    """Return the response body for *error*."""
    kind = "invalid_request_error" if http_status(error) < 500 else "server_error"
    detail = ErrorDetail(
        message=error.message,
        code=error.code,
        type=kind,
        outcome=error.outcome,
        retry_after_s=error.retry_after_s,
    )
    if isinstance(error, DocumentInvalid):
        detail.faults = error.faults
    if isinstance(error, RevisionConflict):
        detail.current_revision = error.current_revision
        detail.difference = tuple(error.difference.splitlines())
    if isinstance(error, CursorConflict):
        detail.acknowledged_cursor = error.acknowledged_cursor
    return ErrorBody(detail)


def record_failure(request: Request[Any, Any, Any], error: VerbenawindError) -> None:
    """Store the error code and outcome of a failed request for the metrics."""
    request.scope["state"][_FAILURE_KEY] = (error.code, str(error.outcome))


def recorded_failure(scope: Scope) -> tuple[str, str] | None:
    """Return the error code and outcome of a request, or None if it did not fail."""
    failure: tuple[str, str] | None = scope["state"].get(_FAILURE_KEY)
    return failure


def error_response(request: Request[Any, Any, Any], error: VerbenawindError) -> Response[bytes]:
    """Return the HTTP response for *error*."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    if isinstance(error, RequestTooSlow | Draining):
        headers["connection"] = "close"
    record_failure(request, error)
    return Response(
        msgspec.json.encode(error_body(error)),
        status_code=http_status(error),
        headers=headers,
        media_type="application/json",
    )


@contextlib.contextmanager
def report_possible_store_write() -> Iterator[None]:
    """Set the outcome ``may_have_run`` if a store write fails after it may have taken effect.

    For requests whose only effect is that write.
    """
    try:
        yield
    except StoreUnavailable as error:
        if error.effect_possible:
            error.outcome = Outcome.MAY_HAVE_RUN
        raise


def http_error_response(request: Request[Any, Any, Any], error: HTTPException) -> Response[bytes]:
    """Return the JSON response for an error of the HTTP framework, such as an unknown path."""
    response = error_response(request, _framework_error(request, error))
    response.status_code = error.status_code
    if error.headers:
        response.headers.update(error.headers)
    return response


def unexpected_response(request: Request[Any, Any, Any], error: Exception) -> Response[bytes]:
    """Log an unexpected exception with its traceback and return the response for it."""
    structlog.get_logger("api").error("unexpected_error", path=request.url.path, exc_info=error)
    return error_response(
        request,
        VerbenawindError("unexpected error; see the daemon's log", outcome=Outcome.MAY_HAVE_RUN),
    )


def _framework_error(request: Request[Any, Any, Any], error: HTTPException) -> VerbenawindError:
    operation = f"{request.method} {request.url.path}"
    if error.status_code == HTTPStatus.NOT_FOUND:
        return UnknownResource(f"{operation}: unknown path")
    if error.status_code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        return TooLarge(f"{operation}: the body exceeds the daemon's max_body_bytes")
    if error.status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
        return InvalidRequest(f"{operation}: {error.detail}")
    return VerbenawindError(f"{operation}: {error.detail}", outcome=Outcome.MAY_HAVE_RUN)
