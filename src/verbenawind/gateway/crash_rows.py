"""Rows through which hosts share what they know of servers' ends under callers' requests."""

from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.kernel.messages import Value

__all__ = ["Clearance", "CrashReport", "TrialClaim"]


class CrashReport(Value, frozen=True, kw_only=True):
    """What one host left unanswered on a server's process that ended; times are the store's.

    A report that is not ``certain`` tells of a process that left requests unanswered and does not
    respond to connections. Requests that another server answered are taken out again, so ``sends``
    may be empty.
    """

    incarnation: str
    service: str
    ended_ms: int
    sends: tuple[UnansweredSend, ...]
    certain: bool = True


class Clearance(Value, frozen=True, kw_only=True):
    """Answers to a request, of one caller or of all callers; times are the store's.

    ``cleared_ms`` is the time of an answer. ``passed_ms`` is the time of the latest of ``passes``
    trials that a server answered, in the row of the request of all callers.
    """

    cleared_ms: int
    passed_ms: int = -1
    passes: int = 0


class TrialClaim(Value, frozen=True, kw_only=True):
    """The latest trial of a convicted request.

    The claim is recorded before the request is sent and already states the term that follows a
    failure, so that a host that is lost in the trial leaves the request refused. ``claim_id``
    tells claims of the same moment apart.
    """

    claim_id: str
    trials: int
    claimed_ms: int
    refused_until_ms: int
