"""The schedule by which all hosts share the request rate that a server takes.

Pure: a generic cell rate algorithm whose state is one row of the store. A host reserves slots, each
for one request, by moving the time of the next free slot; comparing the row's version makes the
slots of all hosts distinct, however many hosts there are and whatever each of them knows.
"""

from collections.abc import Sequence

import msgspec

from verbenawind.kernel.messages import Value

__all__ = ["LimitSchedule", "Reservation", "own_slot_ms", "reserve"]

# Slots that nobody used stay free for this long.
_UNUSED_MS = 1000
# For how long after a caller's request slots that are due are left to callers, and each of them.
_CALLERS_STAY_MS = 2000
_MAX_LEFT_FREE_MS = 0.8 * _UNUSED_MS
# The part of a limit that hosts may use without the store, in equal shares.
_UNCOORDINATED_FRACTION = 0.25


class LimitSchedule(Value, frozen=True, kw_only=True):
    """The state of a server's schedule.

    ``next_ms`` is the time of the first slot still free, ``callers_ms`` the last time at which a
    request that a caller waits for needed one.
    """

    next_ms: float = 0.0
    callers_ms: float = 0.0

    def until_ms(self, rate_per_s: float, now_ms: float) -> float:
        """Return the latest slot for work that no caller waits for.

        Where callers use the server, their next request finds a slot that is due.
        """
        if now_ms - self.callers_ms > _CALLERS_STAY_MS:
            return now_ms
        return now_ms - min(1000 / rate_per_s, _MAX_LEFT_FREE_MS)


class Reservation(Value, frozen=True, kw_only=True):
    """Reserved slots, as the store's times in ms, and the schedule without them."""

    slots_ms: tuple[float, ...]
    schedule: LimitSchedule


def reserve(
    schedule: LimitSchedule, rate_per_s: float, now_ms: float, *, wanted: int, until_ms: float
) -> Reservation:
    """Return the first free slots.

    Args:
        schedule: The schedule.
        rate_per_s: The limit, more than 0.
        now_ms: The store's time.
        wanted: The most slots to reserve.
        until_ms: No slot is reserved that is later than this.
    """
    interval_ms = 1000 / rate_per_s
    next_ms = max(schedule.next_ms, now_ms - _UNUSED_MS)
    slots_ms: list[float] = []
    while len(slots_ms) < wanted and next_ms <= until_ms:
        slots_ms.append(next_ms)
        next_ms += interval_ms
    return Reservation(
        slots_ms=tuple(slots_ms), schedule=msgspec.structs.replace(schedule, next_ms=next_ms)
    )


def own_slot_ms(rate_per_s: float, host: str, hosts: Sequence[str], after_ms: float) -> float:
    """Return a host's next slot without the store, later than a time.

    The slots of all hosts are spread evenly, so that they never meet.
    """
    members = sorted({host, *hosts})
    period_ms = 1000 * len(members) / (rate_per_s * _UNCOORDINATED_FRACTION)
    offset_ms = period_ms * members.index(host) / len(members)
    return ((after_ms - offset_ms) // period_ms + 1) * period_ms + offset_ms
