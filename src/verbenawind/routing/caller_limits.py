"""Rate and concurrency limits of individual callers."""

import math

from verbenawind.document import CallerSpec
from verbenawind.errors import RateLimited

__all__ = ["CallerLimits", "TokenBucket"]

_BURST_S = 1.0
_MIN_RETRY_AFTER_S = 0.001
_LOAD_IMBALANCE_FACTOR = 2.0


class TokenBucket:
    """A token bucket: tokens accrue at a steady rate up to a capacity.

    Args:
        capacity: Maximum number of tokens.
        now_s: Monotonic time of creation, in seconds; the bucket starts full.
    """

    __slots__ = ("_refilled_at_s", "tokens")

    def __init__(self, capacity: float, now_s: float) -> None:
        self.tokens = capacity
        self._refilled_at_s = now_s

    def refill(self, now_s: float, rate_per_s: float, capacity: float) -> None:
        """Add the tokens that accrued since the last refill."""
        self.tokens = min(capacity, self.tokens + (now_s - self._refilled_at_s) * rate_per_s)
        self._refilled_at_s = now_s

    def try_take(self) -> bool:
        """Take one token if available; return whether one was taken."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class _CallerUsage:
    __slots__ = ("bucket", "in_flight")

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self.in_flight = 0


class CallerLimits:
    """Enforces this daemon's share of each caller's rate and concurrency limits.

    The load balancer distributes a caller's requests unevenly over the daemons, so the share is
    twice the even one, and at most the whole limit.
    """

    __slots__ = ("_usage_by_caller",)

    def __init__(self) -> None:
        self._usage_by_caller: dict[tuple[str, str], _CallerUsage] = {}

    def admit(self, environment: str, spec: CallerSpec, daemons: int, now_s: float) -> None:
        """Admit a request.

        Raises:
            RateLimited: The caller has exceeded its request rate or concurrency.
        """
        share = min(1.0, _LOAD_IMBALANCE_FACTOR / daemons)
        rate_per_s = spec.rate_per_s * share
        capacity = max(1.0, spec.rate_per_s * _BURST_S)
        usage = self._usage_by_caller.get((environment, spec.name))
        if usage is None:
            usage = _CallerUsage(TokenBucket(capacity, now_s))
            self._usage_by_caller[(environment, spec.name)] = usage
        if usage.in_flight >= math.ceil(spec.max_concurrency * share):
            raise RateLimited(
                f"caller {spec.name!r} has {usage.in_flight} requests in flight, "
                f"its limit is {spec.max_concurrency} across all daemons",
                retry_after_s=1.0,
            )
        usage.bucket.refill(now_s, rate_per_s, capacity)
        if not usage.bucket.try_take():
            raise RateLimited(
                f"caller {spec.name!r} exceeds its rate of {spec.rate_per_s} requests per second",
                retry_after_s=max(
                    _MIN_RETRY_AFTER_S, round((1.0 - usage.bucket.tokens) / rate_per_s, 3)
                ),
            )
        usage.in_flight += 1

    def release(self, environment: str, caller: str) -> None:
        """Record that an admitted request has ended."""
        usage = self._usage_by_caller.get((environment, caller))
        if usage is not None:
            usage.in_flight -= 1
