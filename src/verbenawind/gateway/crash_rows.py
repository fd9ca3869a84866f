"""Rows through which hosts share what they know of servers' ends under callers' requests."""

from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.kernel.messages import Value
from verbenawind.kernel.wire_types import Count, Int64

__all__ = ["UNDECIDED", "Clearance", "CrashReport", "TrialClaim", "TrialTerm"]

UNDECIDED = "undecided"


class CrashReport(Value, frozen=True, kw_only=True):
    """What one host left unanswered on a server's process that ended; times are the store's.

    A report that is not ``certain`` tells of a process that left requests unanswered and does not
    respond to connections. Requests that another server answered are taken out again, so ``sends``
    may be empty. ``alive_ms`` is the time of the latest answer that the host got from the process.
    """

    incarnation: str
    service: str
    ended_ms: Int64
    sends: tuple[UnansweredSend, ...]
    certain: bool = True
    alive_ms: Int64 = -1


class Clearance(Value, frozen=True, kw_only=True):
    """Answers to a request, of one caller or of all callers; times are the store's.

    ``cleared_ms`` is the time of an answer. ``passed_ms`` is the time of the latest of ``passes``
    trials in a row of a caller's request that servers answered.
    """

    cleared_ms: Int64
    passed_ms: Int64 = -1
    passes: Count = 0


class TrialTerm(Value, frozen=True, kw_only=True):
    """Number of trials of some callers, and until when these are refused after the latest."""

    trials: Count
    until_ms: Int64


class TrialClaim(Value, frozen=True, kw_only=True):
    """The latest trial of a convicted request.

    The claim is recorded before the request is sent and already states the term that follows a
    failure, so that a host that is lost in the trial leaves the request refused. ``claim_id``
    tells claims of the same moment apart. ``terms`` has those of each caller whose own request
    convicts it, by fingerprint, that of all other callers together under an empty name, and under
    ``UNDECIDED`` that of callers while too few of the ends are certain.
    """

    claim_id: str
    claimed_ms: Int64
    terms: dict[str, TrialTerm]

    def term(self, caller: str) -> TrialTerm:
        """Return the term of a caller, or of the other callers."""
        return self.terms.get(caller, TrialTerm(trials=0, until_ms=0))

    @property
    def last_term_ms(self) -> int:
        """The end of the last term of any caller."""
        return max((term.until_ms for term in self.terms.values()), default=0)
