"""Restarts background tasks of a daemon after unexpected failures."""

from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from verbenawind.clock import Clock

__all__ = ["supervise"]

_RESTART_DELAY_S = 1.0


async def supervise(name: str, work: Callable[[], Coroutine[Any, Any, None]], clock: Clock) -> None:
    """Run *work* until it returns or is cancelled; restart it after a delay if it raises.

    Args:
        name: Name of the work in the log.
        work: Creates the coroutine to run.
        clock: Time source of the delay.
    """
    log = structlog.get_logger("daemon")
    while True:
        try:
            await work()
            return
        except Exception as error:
            log.error("background_work_failed", work=name, exc_info=error)
        await clock.sleep(_RESTART_DELAY_S)
