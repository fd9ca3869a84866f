"""Ends of servers' processes under a request, and the terms for which they refuse it."""

from collections.abc import Mapping

from verbenawind.gateway.crash_rows import CrashReport
from verbenawind.kernel.messages import Value

__all__ = [
    "CONVICTION_ENDS",
    "End",
    "add_end",
    "end_of_term_ms",
    "is_repeated",
    "joined",
    "term_ms",
]

# Number of ended processes after which a request is convicted.
CONVICTION_ENDS = 3
# How long a convicted request is refused before its first, second, ... trial. The first term is
# short, because ends by chance can convict an innocent request.
_TERMS_MS = (1_000, 30_000, 600_000, 21_600_000)
# The same where the ends may have another cause. Either way three trials fall in the first hours.
_DOUBTFUL_TERMS_MS = (0, 1_000, 600_000, 21_600_000)


class End(Value, frozen=True, kw_only=True):
    """The end of one incarnation and the latest send of a request to it, in store time."""

    service: str
    sent_ms: int
    ended_ms: int
    certain: bool


def add_end(ends: dict[str, End], report: CrashReport, sent_ms: int) -> None:
    """Add the end that a report tells of, with the latest send of a request to the process."""
    end = End(
        service=report.service, sent_ms=sent_ms, ended_ms=report.ended_ms, certain=report.certain
    )
    known = ends.get(report.incarnation)
    ends[report.incarnation] = end if known is None else joined(known, end)


def joined(first: End, second: End) -> End:
    """Return what two hosts or callers know of the end of one process."""
    return End(
        service=first.service,
        sent_ms=max(first.sent_ms, second.sent_ms),
        ended_ms=min(first.ended_ms, second.ended_ms),
        certain=first.certain or second.certain,
    )


def is_repeated(ends: Mapping[str, End]) -> bool:
    """Return whether a process ended that was sent the request after an earlier end."""
    first_ended_ms = min(end.ended_ms for end in ends.values())
    return max(end.sent_ms for end in ends.values()) > first_ended_ms


def end_of_term_ms(ends: Mapping[str, End], *, doubtful: bool) -> int:
    """Return when a convicted request may next be tried, apart from any claim.

    Each send after the conviction lengthens the term, as a trial does: hosts that did not know of
    the conviction made it.
    """
    ended_ms = sorted(end.ended_ms for end in ends.values())
    convicted_ms = ended_ms[CONVICTION_ENDS - 1]
    late_sends = sum(end.sent_ms > convicted_ms for end in ends.values())
    return ended_ms[-1] + term_ms(late_sends, doubtful=doubtful)


def term_ms(trials: int, *, doubtful: bool) -> int:
    """Return for how long a request is refused after so many trials."""
    terms_ms = _DOUBTFUL_TERMS_MS if doubtful else _TERMS_MS
    return terms_ms[min(trials, len(terms_ms) - 1)]
