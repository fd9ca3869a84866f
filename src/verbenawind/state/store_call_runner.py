"""Store calls with a concurrency limit, a deadline, a circuit breaker and retries."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import ConditionFailed, StoreUnavailable

__all__ = ["CircuitBreaker", "RejectedAfterLostReply", "RetryBudget", "StoreCallRunner"]

T = TypeVar("T")

_MAX_CONCURRENT_CALLS = 64
_ATTEMPT_TIMEOUT_S = 4.0
_CALL_TIMEOUT_S = 8.0
_ATTEMPTS = 4
_BACKOFF_S = 0.05
_MAX_BUDGET_TOKENS = 20.0
_TOKENS_PER_CALL = 0.5
_FAILURES_TO_OPEN = 8
_MIN_OPEN_S = 0.5
_MAX_OPEN_S = 5.0


class RejectedAfterLostReply(Exception):
    """Raised when a commit is rejected after the response to an earlier attempt was lost.

    Args:
        rejection: The rejection; an earlier attempt that was applied may have caused it.
    """

    def __init__(self, rejection: ConditionFailed) -> None:
        super().__init__(rejection.message)
        self.rejection = rejection


class RetryBudget:
    """Token bucket that limits retries to a fraction of the calls, with a small burst."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = _MAX_BUDGET_TOKENS

    def record_call(self) -> None:
        """Add the tokens that one call earns."""
        self._tokens = min(_MAX_BUDGET_TOKENS, self._tokens + _TOKENS_PER_CALL)

    def try_spend(self) -> bool:
        """Consume the token of one retry; return False if the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class CircuitBreaker:
    """Rejects calls for a time after consecutive failures, then lets one probe through.

    Args:
        clock: Time source.
        rng: Random source for jitter, so that daemons do not all retry a store at the same time.
    """

    __slots__ = ("_clock", "_failures", "_open_s", "_open_until_s", "_probing", "_rng")

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._open_s = _MIN_OPEN_S
        self._open_until_s = 0.0
        self._probing = False

    def wait_s(self) -> float:
        """Return for how many more seconds calls are rejected; 0 if a call is allowed."""
        if self._failures < _FAILURES_TO_OPEN:
            return 0.0
        if self._probing:
            return self._open_s
        return max(0.0, self._open_until_s - self._clock.monotonic_s())

    def started(self) -> None:
        """Record the start of a call; while the breaker is open it is the only probe."""
        self._probing = self._failures >= _FAILURES_TO_OPEN

    def succeeded(self) -> None:
        """Record a success, which closes the breaker."""
        self._failures = 0
        self._open_s = _MIN_OPEN_S
        self._probing = False

    def failed(self) -> None:
        """Record a failure; too many in a row open the breaker."""
        self._failures += 1
        self._probing = False
        if self._failures < _FAILURES_TO_OPEN:
            return
        jittered_s = self._open_s * self._rng.uniform(0.5, 1.0)
        self._open_until_s = self._clock.monotonic_s() + jittered_s
        self._open_s = min(_MAX_OPEN_S, 2 * self._open_s)

    def cancelled(self) -> None:
        """Record that a call was cancelled, which says nothing about the store's health."""
        self._probing = False


class StoreCallRunner:
    """Runs all calls to one store under shared limits.

    Args:
        store: Name of the store in errors and logs.
        clock: Time source.
        rng: Random source for retry jitter.
    """

    __slots__ = ("_breaker", "_budget", "_clock", "_log", "_rng", "_slots", "_store")

    def __init__(self, store: str, clock: Clock, rng: Random) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._breaker = CircuitBreaker(clock, rng)
        self._budget = RetryBudget()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        self._log = structlog.get_logger("state")

    async def call(
        self, what: str, attempt: Callable[[], Awaitable[T]], *, writes: bool = False
    ) -> T:
        """Run *attempt* with retries until the store responds.

        Args:
            what: The call's description in errors and logs.
            attempt: Sends the call once.
            writes: Whether the call may change the store.

        Raises:
            StoreUnavailable: No response; ``effect_possible`` tells whether any attempt of a call
                that writes may have been applied.
            RejectedAfterLostReply: A condition failed after the response to an earlier attempt
                was lost.
            ConditionFailed: A condition failed and no earlier attempt can have been applied.
        """
        uncertain = False
        ends_at_s = self._clock.monotonic_s() + _CALL_TIMEOUT_S
        self._budget.record_call()
        for number in range(_ATTEMPTS):
            remaining_s = ends_at_s - self._clock.monotonic_s()
            if number > 0 and (remaining_s <= 0 or not self._budget.try_spend()):
                break
            try:
                return await self._attempt(what, attempt, remaining_s)
            except StoreUnavailable as error:
                uncertain = uncertain or (writes and error.effect_possible)
                reason, retry_after_s = error.message, error.retry_after_s
            except ConditionFailed as error:
                if uncertain:
                    raise RejectedAfterLostReply(error) from error
                raise
            if retry_after_s is not None:
                break
            await self._clock.sleep(self._rng.uniform(0.0, _BACKOFF_S * 2**number))
        self._log.info("store_call_failed", store=self._store, what=what, reason=reason)
        raise StoreUnavailable(
            f"{what}: no response from the {self._store} ({reason})",
            effect_possible=uncertain,
            retry_after_s=retry_after_s,
        )

    async def _attempt(self, what: str, attempt: Callable[[], Awaitable[T]], limit_s: float) -> T:
        wait_s = self._breaker.wait_s()
        if wait_s > 0:
            raise StoreUnavailable(
                f"{what}: circuit breaker of the {self._store} is open for {wait_s:.2f} s",
                effect_possible=False,
                retry_after_s=wait_s,
            )
        await self._acquire_slot(what, limit_s)
        try:
            return await self._run(what, attempt, limit_s)
        finally:
            self._slots.release()

    async def _acquire_slot(self, what: str, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await self._slots.acquire()
        except TimeoutError as error:
            raise StoreUnavailable(
                f"{what}: {_MAX_CONCURRENT_CALLS} concurrent calls did not finish in time",
                effect_possible=False,
            ) from error

    async def _run(self, what: str, attempt: Callable[[], Awaitable[T]], limit_s: float) -> T:
        timeout_s = min(_ATTEMPT_TIMEOUT_S, limit_s)
        self._breaker.started()
        try:
            async with asyncio.timeout(timeout_s):
                result = await attempt()
        except TimeoutError as error:
            self._breaker.failed()
            raise StoreUnavailable(
                f"{what}: no response within {timeout_s:.1f} s", effect_possible=True
            ) from error
        except StoreUnavailable:
            self._breaker.failed()
            raise
        except asyncio.CancelledError:
            self._breaker.cancelled()
            raise
        except Exception:
            self._breaker.succeeded()
            raise
        self._breaker.succeeded()
        return result
