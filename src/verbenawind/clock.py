"""The clock interface, through which all components read time."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "LoopClock", "SystemClock", "boot_time_s"]


class Clock(Protocol):
    """Reads wall-clock and monotonic time, and sleeps."""

    def now(self) -> datetime:
        """Return the current wall-clock time in UTC."""

    def monotonic_s(self) -> float:
        """Return monotonic time in seconds from an arbitrary origin."""

    async def sleep(self, duration_s: float) -> None:
        """Suspend the calling task for *duration_s* seconds."""


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def now(self) -> datetime:
        """Return the current wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the operating system's monotonic time in seconds."""
        return time.monotonic()

    async def sleep(self, duration_s: float) -> None:
        """Suspend the calling task for *duration_s* seconds."""
        await asyncio.sleep(duration_s)


def boot_time_s() -> float:
    """Return seconds since the host booted, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock:
    """A clock based on the running event loop, so that a virtual-time loop advances both times.

    Args:
        epoch: Wall-clock time at loop time zero.
        skew_s: Constant offset of the wall clock, in seconds.
    """

    __slots__ = ("_epoch", "skew_s")

    def __init__(self, epoch: datetime, skew_s: float = 0.0) -> None:
        self._epoch = epoch
        self.skew_s = skew_s

    def now(self) -> datetime:
        """Return the epoch plus the loop's time and the skew."""
        return self._epoch + timedelta(seconds=self.monotonic_s() + self.skew_s)

    def monotonic_s(self) -> float:
        """Return the running loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, duration_s: float) -> None:
        """Suspend the calling task for *duration_s* seconds of the loop's time."""
        await asyncio.sleep(duration_s)
