"""Errors with a stable code, the outcome of the request they end, and when to come back."""

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
    "NoBackendServer",
    "Outcome",
    "OutcomeUnknown",
    "Overloaded",
    "PeerUnauthenticated",
    "PeerUnreachable",
    "RateLimited",
    "RequestConvicted",
    "RequestTooSlow",
    "RevisionConflict",
    "RowConflict",
    "SettingsInvalid",
    "StepConflict",
    "StoreUnavailable",
    "StreamTruncated",
    "TooLarge",
    "Unauthorized",
    "UnknownEnvironment",
    "UnknownResource",
    "VerbenawindError",
]


class Outcome(StrEnum):
    """What is known of a failed request's execution."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class VerbenawindError(Exception):
    """The base of every error that the package raises on purpose.

    Args:
        message: What failed, naming the thing and the value.
        outcome: What is known of the request's execution.
        retry_after_s: When a retry may succeed, in seconds, where that is known.
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
    """Raised at start-up when the settings file has faults."""

    code = "settings_invalid"


class DocumentInvalid(VerbenawindError):
    """Raised when an environment document has faults; carries all of them.

    Args:
        faults: One line for each fault, with its path and value.
    """

    code = "document_invalid"

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)


class RevisionConflict(VerbenawindError):
    """Raised when another operator's revision was accepted first.

    Args:
        message: What was attempted on which environment.
        current_revision: The revision that is in force instead.
        difference: A readable difference between the two documents.
    """

    code = "revision_conflict"

    def __init__(self, message: str, *, current_revision: int, difference: str = "") -> None:
        super().__init__(message)
        self.current_revision = current_revision
        self.difference = difference


class UnknownEnvironment(VerbenawindError):
    """Raised when no revision of the named environment and stage is known."""

    code = "unknown_environment"


class UnknownResource(VerbenawindError):
    """Raised when a named model, service, step or sample does not exist."""

    code = "not_found"


class Unauthorized(VerbenawindError):
    """Raised when a request carries no valid bearer token."""

    code = "unauthorized"


class Forbidden(VerbenawindError):
    """Raised when the caller is known but may not use what it asked for."""

    code = "forbidden"


class InvalidRequest(VerbenawindError):
    """Raised when a request is malformed or exceeds a limit."""

    code = "invalid_request"


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
    """Raised when the caller closed its connection before the answer."""

    code = "caller_disconnected"


class RateLimited(VerbenawindError):
    """Raised when a caller exceeds its own rate or concurrency limit."""

    code = "rate_limited"


class Overloaded(VerbenawindError):
    """Raised when a pool cannot start the request before its deadline."""

    code = "overloaded"


class Draining(VerbenawindError):
    """Raised when the daemon is shutting down and takes no new work."""

    code = "draining"


class DeadlineExceeded(VerbenawindError):
    """Raised when the request's deadline passed."""

    code = "deadline_exceeded"


class NoBackendServer(VerbenawindError):
    """Raised when no backend server of the pool may take the request."""

    code = "no_backend_server"


class AdmissionRefused(VerbenawindError):
    """Raised by an adapter when the backend server refused to start the request."""

    code = "admission_refused"


class BackendServerUnreachable(VerbenawindError):
    """Raised by an adapter when no byte of the request reached the backend server."""

    code = "backend_server_unreachable"


class BackendServerFailed(VerbenawindError):
    """Raised by an adapter when the backend server failed after it was given the request."""

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
    """Raised when a stream ended without its end mark or with a wrong length."""

    code = "stream_truncated"


class RequestConvicted(VerbenawindError):
    """Raised when a request has crashed two backend servers and is refused for a time."""

    code = "request_convicted"


class IdempotencyKeyReused(VerbenawindError):
    """Raised when an idempotency key comes again with another body."""

    code = "idempotency_key_reused"


class OutcomeUnknown(VerbenawindError):
    """Raised when a non-idempotent request was dispatched and its result is not known."""

    code = "outcome_unknown"

    def __init__(self, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message, outcome=Outcome.MAY_HAVE_RUN, retry_after_s=retry_after_s)


class StoreUnavailable(VerbenawindError):
    """Raised when the table service or the object store gave no answer.

    Args:
        message: Which call failed.
        effect_possible: Whether a write may have taken effect all the same.
    """

    code = "store_unavailable"

    def __init__(
        self, message: str, *, effect_possible: bool, retry_after_s: float | None = None
    ) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.effect_possible = effect_possible


class ConditionFailed(VerbenawindError):
    """Raised when a conditional transaction was refused by the table service.

    Args:
        keys: Keys of the rows whose condition did not hold.
    """

    code = "condition_failed"

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"condition failed on rows {', '.join(keys)}")
        self.keys = tuple(keys)


class RowConflict(VerbenawindError):
    """A transaction's checks did not hold.

    Args:
        message: Which rows had other versions.
        versions: The current version of each checked row by its key, 0 where it is absent.
    """

    code = "row_conflict"

    def __init__(self, message: str, versions: Mapping[str, int]) -> None:
        super().__init__(message)
        self.versions = dict(versions)


class HistoryLost(VerbenawindError):
    """A change feed cannot go on from the version that was asked for."""

    code = "history_lost"


class LeaseLost(VerbenawindError):
    """Raised when a lease lapsed or passed to another holder before an action under it."""

    code = "lease_lost"


class FencingRefused(VerbenawindError):
    """Raised when a backend server refused an order with an old fencing number."""

    code = "fencing_refused"


class StepConflict(VerbenawindError):
    """Raised when a step is submitted again with another content."""

    code = "step_conflict"


class CursorConflict(VerbenawindError):
    """Raised when a poll's cursor names a void delivery or one that is long acknowledged.

    Args:
        message: The cursor and where the delivery stands.
        acknowledged_cursor: The cursor to poll with instead.
    """

    code = "cursor_conflict"

    def __init__(self, message: str, *, acknowledged_cursor: int) -> None:
        super().__init__(message)
        self.acknowledged_cursor = acknowledged_cursor


class GradeConflict(VerbenawindError):
    """Raised when a sample is graded again with another value."""

    code = "grade_conflict"


class PeerUnreachable(VerbenawindError):
    """Raised when a call to another daemon got no answer."""

    code = "peer_unreachable"


class PeerUnauthenticated(VerbenawindError):
    """Raised when the other end of a peer link could not prove the shared key."""

    code = "peer_unauthenticated"
