"""Retry budgets and backoff."""

from random import Random

__all__ = ["RetryBudget", "backoff_s"]

_BACKOFF_BASE_S = 0.05
_BACKOFF_MAX_S = 2.0
_MAX_RESERVE_RETRIES = 64.0
_RESERVE_REFILL_PER_S = 1.0


class RetryBudget:
    """Limits retries to a fraction of first attempts, plus a small reserve refilled over time.

    The reserve allows all requests of one failed engine to be retried on other engines in a pool
    with little other traffic.

    Args:
        now_s: Monotonic time of creation, in seconds; the budget starts full.
    """

    __slots__ = ("_refilled_at_s", "_tokens")

    def __init__(self, now_s: float) -> None:
        self._tokens = _MAX_RESERVE_RETRIES
        self._refilled_at_s = now_s

    def deposit(self, fraction: float) -> None:
        """Credit the budget for a first attempt."""
        self._tokens = min(_MAX_RESERVE_RETRIES, self._tokens + fraction)

    def withdraw(self, now_s: float) -> bool:
        """Charge a retry to the budget; return whether the budget allows it."""
        refilled = self._tokens + (now_s - self._refilled_at_s) * _RESERVE_REFILL_PER_S
        self._tokens = min(_MAX_RESERVE_RETRIES, refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff_s(retry: int, rng: Random) -> float:
    """Return the delay before retry number *retry* (from 0), in seconds, with full jitter."""
    return rng.uniform(0.0, min(_BACKOFF_MAX_S, _BACKOFF_BASE_S * 2.0**retry))
