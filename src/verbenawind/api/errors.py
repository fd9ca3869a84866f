"""Error answers: a JSON body with code, outcome and when to retry."""

from functools import singledispatch
from typing import Any

import msgspec
from litestar import Request, Response

from verbenawind.errors import (
    ConditionFailed,
    CursorConflict,
    DeadlineExceeded,
    DocumentInvalid,
    Draining,
    Forbidden,
    GradeConflict,
    IdempotencyKeyReused,
    InvalidRequest,
    NoBackendServer,
    Outcome,
    Overloaded,
    RateLimited,
    RequestConvicted,
    RevisionConflict,
    StepConflict,
    StoreUnavailable,
    Unauthorized,
    UnknownEnvironment,
    UnknownResource,
    VerbenawindError,
)

__all__ = ["ErrorAnswer", "ErrorDetail", "error_answer", "error_response", "http_status"]


class ErrorDetail(msgspec.Struct, omit_defaults=True):
    """What went wrong, in the form that OpenAI-compatible clients expect."""

    message: str
    code: str
    type: str
    outcome: Outcome
    retry_after_s: float | None = None
    faults: tuple[str, ...] = ()


class ErrorAnswer(msgspec.Struct):
    """The body of every error answer."""

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
def _(_: VerbenawindError) -> int:
    return 409


@http_status.register(IdempotencyKeyReused)
@http_status.register(RequestConvicted)
def _(_: VerbenawindError) -> int:
    return 422


@http_status.register
def _(_: RateLimited) -> int:
    return 429


@http_status.register(Draining)
@http_status.register(NoBackendServer)
@http_status.register(Overloaded)
@http_status.register(StoreUnavailable)
def _(_: VerbenawindError) -> int:
    return 503


@http_status.register
def _(_: DeadlineExceeded) -> int:
    return 504


def error_answer(error: VerbenawindError) -> ErrorAnswer:
    """Return the body that tells of *error*."""
    kind = "invalid_request_error" if http_status(error) < 500 else "server_error"
    faults = error.faults if isinstance(error, DocumentInvalid) else ()
    return ErrorAnswer(
        ErrorDetail(
            message=error.message,
            code=error.code,
            type=kind,
            outcome=error.outcome,
            retry_after_s=error.retry_after_s,
            faults=faults,
        )
    )


def error_response(_: Request[Any, Any, Any], error: VerbenawindError) -> Response[bytes]:
    """Return the HTTP answer that tells of *error*."""
    headers = {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    return Response(
        msgspec.json.encode(error_answer(error)),
        status_code=http_status(error),
        headers=headers,
        media_type="application/json",
    )
