"""The schedule by which all hosts share the request rate that a server takes.

Pure: a generic cell rate algorithm whose state is one row of the store. A host reserves turns, each
for one request, by moving the time of the next free turn; comparing the row's version makes the
turns of all hosts distinct, however many hosts there are and whatever each of them knows.
"""

from collections.abc import Sequence

import msgspec

from verbenawind.kernel.messages import Value

__all__ = ["LimitSchedule", "Reservation", "own_turn_ms", "reserve"]

# Turns that nobody used stay free for this long.
_UNUSED_MS = 1000
# After a caller's request, turns that are due are left to callers for a while; each of them for an
# interval, and at most so long.
_CALLERS_STAY_MS = 2000
_MAX_LEFT_FREE_MS = 0.8 * _UNUSED_MS
# The part of a limit that hosts may use without the store, in equal shares.
_UNCOORDINATED_FRACTION = 0.25


class LimitSchedule(Value, frozen=True, kw_only=True):
    """The state of a server's schedule.

    ``next_ms`` is the time of the first turn still free, ``callers_ms`` the last time at which a
    request that a caller waits for needed one.
    """

    next_ms: float = 0.0
    callers_ms: float = 0.0

    def latest_owed_ms(self, rate_per_s: float, now_ms: float) -> float:
        """Return the latest turn for work that no caller waits for.

        Where callers use the server, their next request finds a turn that is due.
        """
        if now_ms - self.callers_ms > _CALLERS_STAY_MS:
            return now_ms
        return now_ms - min(1000 / rate_per_s, _MAX_LEFT_FREE_MS)


class Reservation(Value, frozen=True, kw_only=True):
    """Reserved turns, as the store's times in ms, and the schedule without them."""

    turns_ms: tuple[float, ...]
    schedule: LimitSchedule


def reserve(
    schedule: LimitSchedule, rate_per_s: float, now_ms: float, *, wanted: int, until_ms: float
) -> Reservation:
    """Return the first free turns.

    Args:
        schedule: The schedule.
        rate_per_s: The limit, more than 0.
        now_ms: The store's time.
        wanted: The most turns to reserve.
        until_ms: No turn is reserved that is later than this.
    """
    interval_ms = 1000 / rate_per_s
    next_ms = max(schedule.next_ms, now_ms - _UNUSED_MS)
    turns_ms: list[float] = []
    while len(turns_ms) < wanted and next_ms <= until_ms:
        turns_ms.append(next_ms)
        next_ms += interval_ms
    return Reservation(
        turns_ms=tuple(turns_ms), schedule=msgspec.structs.replace(schedule, next_ms=next_ms)
    )


def own_turn_ms(rate_per_s: float, host: str, hosts: Sequence[str], after_ms: float) -> float:
    """Return a host's next turn without the store, later than a time.

    The turns of all hosts are spread evenly, so that they never meet.
    """
    members = sorted({host, *hosts})
    period_ms = 1000 * len(members) / (rate_per_s * _UNCOORDINATED_FRACTION)
    offset_ms = period_ms * members.index(host) / len(members)
    return ((after_ms - offset_ms) // period_ms + 1) * period_ms + offset_ms
