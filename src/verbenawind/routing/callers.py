"""Limits on what one caller may send: its rate and its concurrency."""

import math

from verbenawind.document import CallerSpec
from verbenawind.errors import RateLimited

__all__ = ["CallerLimits", "TokenBucket"]

_BURST_S = 1.0
_MIN_RETRY_AFTER_S = 0.001
_UNEVENNESS = 2.0


class TokenBucket:
    """Counts tokens that come at a steady rate up to a maximum.

    Args:
        capacity: The most tokens it holds.
        now_s: Monotonic time at which it starts full, in seconds.
    """

    __slots__ = ("_at_s", "tokens")

    def __init__(self, capacity: float, now_s: float) -> None:
        self.tokens = capacity
        self._at_s = now_s

    def refill(self, now_s: float, rate_per_s: float, capacity: float) -> None:
        """Add what came in since the last call."""
        self.tokens = min(capacity, self.tokens + (now_s - self._at_s) * rate_per_s)
        self._at_s = now_s

    def take(self) -> bool:
        """Take one token; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class _Usage:
    __slots__ = ("bucket", "in_flight")

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.in_flight = 0


class CallerLimits:
    """Holds every caller to this daemon's share of its rate and concurrency.

    The balancer spreads callers unevenly, so a share is twice the even one, at most the whole.
    """

    __slots__ = ("_usage",)

    def __init__(self) -> None:
        self._usage: dict[tuple[str, str], _Usage] = {}

    def enter(self, environment: str, spec: CallerSpec, daemons: int, now_s: float) -> None:
        """Count a request in.

        Raises:
            RateLimited: The caller's rate or concurrency is exceeded.
        """
        share = min(1.0, _UNEVENNESS / daemons)
        rate_per_s = spec.rate_per_s * share
        capacity = max(1.0, spec.rate_per_s * _BURST_S)
        usage = self._usage.get((environment, spec.name))
        if usage is None:
            usage = _Usage(TokenBucket(capacity, now_s))
            self._usage[(environment, spec.name)] = usage
        if usage.in_flight >= math.ceil(spec.max_concurrency * share):
            raise RateLimited(
                f"caller {spec.name!r} has {usage.in_flight} requests in flight, "
                f"its limit is {spec.max_concurrency} over all daemons",
                retry_after_s=1.0,
            )
        usage.bucket.refill(now_s, rate_per_s, capacity)
        if not usage.bucket.take():
            raise RateLimited(
                f"caller {spec.name!r} exceeds its rate of {spec.rate_per_s} requests per second",
                retry_after_s=max(
                    _MIN_RETRY_AFTER_S, round((1.0 - usage.bucket.tokens) / rate_per_s, 3)
                ),
            )
        usage.in_flight += 1

    def leave(self, environment: str, caller: str) -> None:
        """Count a request out."""
        usage = self._usage.get((environment, caller))
        if usage is not None:
            usage.in_flight -= 1
