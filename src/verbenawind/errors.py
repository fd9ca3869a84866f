"""Exceptions with a stable error code, the request's outcome and an optional retry delay."""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import ClassVar

__all__ = [
    "AdmissionRefused",
    "BackendServerFailed",
    "BackendServerUnreachable",
    "CallerDisconnected",
    "ConditionFailed",
    "CursorConflict",
    "DeadlineExceeded",
    "DocumentInvalid",
    "Draining",
    "FencingRefused",
    "Forbidden",
    "GradeConflict",
    "HeadersTooLarge",
    "HistoryLost",
    "IdempotencyKeyReused",
    "InvalidRequest",
    "LeaseLost",
    "LimitReached",
    "NoBackendServer",
    "Outcome",
    "OutcomeUnknown",
    "Overloaded",
    "PeerUnauthenticated",
    "PeerUnreachable",
    "RateLimited",
    "RequestConvicted",
    "RequestTooSlow",
    "RequestUnsendable",
    "RevisionConflict",
    "RowConflict",
    "SettingsInvalid",
    "StepConflict",
    "StoreUnavailable",
    "StreamTruncated",
    "TooLarge",
    "Unauthorized",
    "Undecodable",
    "UnknownEnvironment",
    "UnknownResource",
    "VerbenawindError",
]


class Outcome(StrEnum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class VerbenawindError(Exception):
    """Base class of the exceptions that the package raises deliberately.

    Args:
        message: What failed, with the object and the value concerned.
        outcome: What is known about the request's execution.
        retry_after_s: Delay in seconds after which a retry may succeed, if known.
    """

    code: ClassVar[str] = "internal"

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.outcome = outcome
        self.retry_after_s = retry_after_s


class SettingsInvalid(VerbenawindError):
    """Raised when a settings file cannot be read or is invalid."""

    code = "settings_invalid"


class DocumentInvalid(VerbenawindError):
    """Raised when an environment document is invalid; lists all faults.

    Args:
        faults: One line per fault, with its path and value.
    """

    code = "document_invalid"

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class RevisionConflict(VerbenawindError):
    """Raised when an operator's change conflicts with a revision that was accepted before it.

    Args:
        message: The attempted change and its environment.
        current_revision: The revision in force.
        difference: A human-readable difference between the two documents.
    """

    code = "revision_conflict"

    def __init__(self, message: str, *, current_revision: int, difference: str = "") -> None:
        super().__init__(message)
        self.current_revision = current_revision
        self.difference = difference


class UnknownEnvironment(VerbenawindError):
    """Raised when the environment and stage have no known revision."""

    code = "unknown_environment"


class UnknownResource(VerbenawindError):
    """Raised when a named model, service, step or sample does not exist."""

    code = "not_found"


class Unauthorized(VerbenawindError):
    """Raised when a request carries no valid bearer token."""

    code = "unauthorized"


class Forbidden(VerbenawindError):
    """Raised when an authenticated caller lacks permission for the resource."""

    code = "forbidden"


class InvalidRequest(VerbenawindError):
    """Raised when a request is malformed or exceeds a limit."""

    code = "invalid_request"


class Undecodable(VerbenawindError):
    """Raised when the bytes of another program are not a value of the expected type."""

    code = "undecodable"


class RequestUnsendable(InvalidRequest):
    """Raised by an adapter for a request that is not valid HTTP; nothing was sent."""

    code = "request_unsendable"


class RequestTooSlow(InvalidRequest):
    """Raised when a request's body did not arrive in time."""

    code = "request_timeout"


class TooLarge(InvalidRequest):
    """Raised when the body of a request exceeds its limit."""

    code = "too_large"


class HeadersTooLarge(InvalidRequest):
    """Raised when the headers of a request exceed their limit."""

    code = "headers_too_large"


class CallerDisconnected(VerbenawindError):
    """Raised when the caller closed its connection before the response was complete."""

    code = "caller_disconnected"


class RateLimited(VerbenawindError):
    """Raised when a caller exceeds its own rate or concurrency limit."""

    code = "rate_limited"


class Overloaded(VerbenawindError):
    """Raised when a pool cannot start the request before its deadline."""

    code = "overloaded"


class Draining(VerbenawindError):
    """Raised when the daemon is shutting down and accepts no new work."""

    code = "draining"


class DeadlineExceeded(VerbenawindError):
    """Raised when the request's deadline has passed."""

    code = "deadline_exceeded"


class NoBackendServer(VerbenawindError):
    """Raised when no backend server of the pool is eligible for the request."""

    code = "no_backend_server"


class AdmissionRefused(VerbenawindError):
    """Raised by an adapter when the backend server refused to start the request."""

    code = "admission_refused"


class LimitReached(VerbenawindError):
    """Raised when a backend server takes no more requests in time; nothing was sent to it."""

    code = "limit_reached"


class BackendServerUnreachable(VerbenawindError):
    """Raised by an adapter when no part of the request was sent to the backend server."""

    code = "backend_server_unreachable"


class BackendServerFailed(VerbenawindError):
    """Raised by an adapter when the backend server failed after the request was sent to it."""

    code = "backend_server_failed"

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome = Outcome.MAY_HAVE_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message, outcome=outcome, retry_after_s=retry_after_s)


class StreamTruncated(BackendServerFailed):
    """Raised when a stream ended without its end marker or with the wrong length."""

    code = "stream_truncated"


class RequestConvicted(VerbenawindError):
    """Raised when a request is refused for a time because backend servers crashed under it."""

    code = "request_convicted"


class IdempotencyKeyReused(VerbenawindError):
    """Raised when an idempotency key is reused with a different body."""

    code = "idempotency_key_reused"


class OutcomeUnknown(VerbenawindError):
    """Raised when a non-idempotent request was dispatched and its outcome is unknown."""

    code = "outcome_unknown"

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message, outcome=Outcome.MAY_HAVE_RUN, retry_after_s=retry_after_s)


class StoreUnavailable(VerbenawindError):
    """Raised when the table service or the object store gave no usable response.

    Args:
        message: The call that failed.
        effect_possible: Whether a write may have taken effect nevertheless.
    """

    code = "store_unavailable"

    def __init__(
        self, message: str, *, effect_possible: bool, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.effect_possible = effect_possible


class ConditionFailed(VerbenawindError):
    """Raised when the table service rejected a conditional transaction.

    Args:
        keys: Keys of the rows whose conditions were not met.
    """

    code = "condition_failed"

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"condition failed on rows {', '.join(keys)}")
        self.keys = tuple(keys)


class RowConflict(VerbenawindError):
    """Raised when the version checks of a transaction failed.

    Args:
        message: The rows whose versions differed.
        versions: The current version of each checked row by key, 0 if the row is absent.
        values: The current values of the checked rows that exist, by key.
    """

    code = "row_conflict"

    def __init__(
        self,
        message: str,
        versions: Mapping[str, int],
        values: Mapping[str, bytes | None] | None = None,
    ) -> None:
        super().__init__(message)
        self.versions = dict(versions)
        self.values = dict(values or {})


class HistoryLost(VerbenawindError):
    """Raised when the store no longer has the changes after the requested version."""

    code = "history_lost"


class LeaseLost(VerbenawindError):
    """Raised when a lease expired or was acquired by another holder before an action under it."""

    code = "lease_lost"


class FencingRefused(VerbenawindError):
    """Raised when a backend server rejected an order with an outdated fencing number."""

    code = "fencing_refused"


class StepConflict(VerbenawindError):
    """Raised when a step is submitted again with different content."""

    code = "step_conflict"


class CursorConflict(VerbenawindError):
    """Raised when a poll's cursor refers to a void delivery or to one acknowledged long before.

    Args:
        message: The cursor and the current position of the delivery.
        acknowledged_cursor: The cursor with which the trainer should poll instead.
    """

    code = "cursor_conflict"

    def __init__(self, message: str, *, acknowledged_cursor: int) -> None:
        super().__init__(message)
        self.acknowledged_cursor = acknowledged_cursor


class GradeConflict(VerbenawindError):
    """Raised when a sample is graded again with a different value."""

    code = "grade_conflict"


class PeerUnreachable(VerbenawindError):
    """Raised when a call to another daemon got no response."""

    code = "peer_unreachable"


class PeerUnauthenticated(VerbenawindError):
    """Raised when the other end of a peer link failed to prove that it has the shared key."""

    code = "peer_unauthenticated"
