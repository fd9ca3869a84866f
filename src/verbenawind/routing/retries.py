"""Retry budgets and backoff."""

from random import Random

__all__ = ["RetryBudget", "backoff_s"]

_BACKOFF_BASE_S = 0.05
_BACKOFF_MAX_S = 2.0
_RESERVE_RETRIES = 64.0
_REFILL_PER_S = 1.0


class RetryBudget:
    """Allows retries up to a fraction of first attempts, plus a small steady reserve.

    The reserve lets one engine's whole batch move elsewhere in a pool that is otherwise idle.

    Args:
        now_s: Monotonic time at which it starts full, in seconds.
    """

    __slots__ = ("_at_s", "_tokens")

    def __init__(self, now_s: float) -> None:
        self._tokens = _RESERVE_RETRIES
        self._at_s = now_s

    def deposit(self, fraction: float) -> None:
        """Count a first attempt."""
        self._tokens = min(_RESERVE_RETRIES, self._tokens + fraction)

    def withdraw(self, now_s: float) -> bool:
        """Count a retry; return whether the budget allows it."""
        refilled = self._tokens + (now_s - self._at_s) * _REFILL_PER_S
        self._tokens = min(_RESERVE_RETRIES, refilled)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(retry: int, rng: Random) -> float:
    """Return a full-jitter wait before retry number *retry*, counted from 0, in seconds."""
    return rng.uniform(0.0, min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2.0**retry))
