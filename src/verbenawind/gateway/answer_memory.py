"""Remembers how often servers have answered each request lately, as seen by this host."""

from collections import OrderedDict, deque

from verbenawind.clock import Clock
from verbenawind.gateway.fingerprints import base_fingerprint

__all__ = ["ANSWER_MEMORY_S", "AnswerMemory"]

# How long an answer counts.
ANSWER_MEMORY_S = 60.0
_MAX_REQUESTS = 1024
# Further answers to one request are not counted.
_MAX_ANSWERS = 128


class AnswerMemory:
    """Answers of the last minute by request fingerprint, of one caller and of all callers.

    Args:
        clock: Time source.
    """

    __slots__ = ("_answered_at_s", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at_s: OrderedDict[str, deque[float]] = OrderedDict()

    def add(self, fingerprint: str) -> None:
        """Record an answer to a caller's request."""
        now_s = self._clock.monotonic_s()
        for name in {fingerprint, base_fingerprint(fingerprint)}:
            times_s = self._answered_at_s.get(name)
            if times_s is None:
                times_s = self._answered_at_s[name] = deque(maxlen=_MAX_ANSWERS)
            times_s.append(now_s)
            self._answered_at_s.move_to_end(name)
        while len(self._answered_at_s) > _MAX_REQUESTS:
            self._answered_at_s.popitem(last=False)

    def count(self, fingerprint: str) -> int:
        """Return the number of answers in the last minute."""
        times_s = self._answered_at_s.get(fingerprint)
        if times_s is None:
            return 0
        oldest_s = self._clock.monotonic_s() - ANSWER_MEMORY_S
        while times_s and times_s[0] < oldest_s:
            times_s.popleft()
        return len(times_s)
