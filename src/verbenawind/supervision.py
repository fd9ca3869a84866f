"""Keeps a daemon's background work going when it fails unexpectedly."""

from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from verbenawind.clock import Clock

__all__ = ["supervise"]

_RESTART_PAUSE_S = 1.0


async def supervise(name: str, work: Callable[[], Coroutine[Any, Any, None]], clock: Clock) -> None:
    """Run *work* until it returns or is cancelled, and again after a pause when it raises.

    Args:
        name: What the work is, for the log.
        work: Starts the work.
        clock: Time source of the pause.
    """
    log = structlog.get_logger("daemon")
    while True:
        try:
            await work()
            return
        except Exception as error:
            log.error("background_work_failed", work=name, exc_info=error)
        await clock.sleep(_RESTART_PAUSE_S)
