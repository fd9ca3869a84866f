"""Ends of servers' processes under a request, and the terms for which they refuse it."""

from collections.abc import Iterable, Mapping

from verbenawind.gateway.crash_rows import CrashReport
from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.kernel.messages import Value

__all__ = [
    "CONVICTION_ENDS",
    "End",
    "add_end",
    "came_after",
    "end_of_term_ms",
    "is_repeated",
    "joined",
    "term_ms",
]

# Number of ended processes after which a request is convicted.
CONVICTION_ENDS = 3
# A connection that breaks so soon after the request was sent may lead to a process that has ended
# before, where something else accepts connections for it.
_INSTANT_MS = 25
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


def came_after(send: UnansweredSend, first_break_ms: float) -> bool:
    """Return whether a send probably reached nobody, as its process had broken another before."""
    if send.broke_ms is None or send.sent_ms <= first_break_ms:
        return False
    return send.broke_ms - send.sent_ms < _INSTANT_MS


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
    if not ends:
        return False
    first_ended_ms = min(end.ended_ms for end in ends.values())
    return max(end.sent_ms for end in ends.values()) > first_ended_ms


def merged(ends: Iterable[Mapping[str, End]]) -> Mapping[str, End]:
    """Return the ends under the same request of several callers, by incarnation."""
    result: dict[str, End] = {}
    for of_caller in ends:
        for incarnation, end in of_caller.items():
            known = result.get(incarnation)
            result[incarnation] = end if known is None else joined(known, end)
    return result


def is_repeat_offence(ends: Mapping[str, End]) -> bool:
    """Return whether the ends under one caller's request would convict it alone."""
    return sum(end.certain for end in ends.values()) >= CONVICTION_ENDS


def end_of_term_ms(
    certain: Mapping[str, End],
    ends: Mapping[str, End],
    counted: Mapping[str, End],
    *,
    doubtful: bool,
) -> int:
    """Return when a convicted request may next be tried, apart from any claim, or 0 for at once.

    Each send after the conviction lengthens the term, as a trial does: hosts that did not know of
    the conviction made it. Those of other callers do as well, from the second one on. Ends after
    the conviction need not be certain, since the next trial would come before they are.

    Args:
        certain: The ends that convict it.
        ends: All ends under it.
        counted: Those of them under the callers that share the term.
        doubtful: Whether the ends may have another cause.
    """
    if len(certain) < CONVICTION_ENDS:
        return 0
    convicted_ms = sorted(end.ended_ms for end in certain.values())[CONVICTION_ENDS - 1]
    late_sends = _sent_after(counted, convicted_ms)
    late_sends_of_all = _sent_after(ends, convicted_ms)
    if late_sends_of_all - 1 > late_sends:
        late_sends, counted = late_sends_of_all - 1, ends
    if not counted:
        return 0
    last_ms = max(end.ended_ms for end in counted.values())
    return last_ms + term_ms(late_sends, doubtful=doubtful)


def _sent_after(ends: Mapping[str, End], at_ms: int) -> int:
    return sum(end.sent_ms > at_ms for end in ends.values())


def term_ms(trials: int, *, doubtful: bool) -> int:
    """Return for how long a request is refused after so many trials."""
    terms_ms = _DOUBTFUL_TERMS_MS if doubtful else _TERMS_MS
    return terms_ms[min(trials, len(terms_ms) - 1)]
