"""Configures structured logging: JSON lines, or a console format on a terminal."""

import logging
import sys
import time
from collections.abc import Mapping, MutableMapping
from typing import Any, TextIO, cast

import structlog

from verbenawind.decisions import record_decision_line
from verbenawind.log_output import EventRateLimiter, NonBlockingOutput

__all__ = ["LogCounts", "configure_logs"]


class LogCounts:
    """Counts of log lines that were not written.

    Args:
        output: Counts lines dropped because the output was blocked or closed.
        limiter: Counts lines omitted by the rate limit.
    """

    __slots__ = ("_limiter", "_output")

    def __init__(self, output: NonBlockingOutput, limiter: EventRateLimiter) -> None:
        self._output = output
        self._limiter = limiter

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the output was blocked or closed."""
        return self._output.dropped

    @property
    def omitted(self) -> Mapping[str, int]:
        """Number of lines omitted by the rate limit, by event."""
        return self._limiter.omitted

    def drain(self) -> None:
        """Write queued lines, as far as the output accepts them."""
        self._output.drain()


def configure_logs(level: str, **context: str) -> LogCounts:
    """Write log lines of *level* and above to standard output, each with *context*.

    Lines of level info and above are recorded for ``explain`` even if *level* is higher.

    Returns:
        Counts of dropped and omitted lines, for the metrics.
    """
    output = NonBlockingOutput(sys.stdout.fileno())
    limiter = EventRateLimiter(time.monotonic)
    threshold = logging.getLevelNamesMapping()[level.upper()]
    renderer: structlog.typing.Processor
    if sys.stdout.isatty():
        renderer = structlog.dev.ConsoleRenderer()
    else:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            record_decision_line,
            _LevelFilter(threshold),
            limiter,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(min(threshold, logging.INFO)),
        logger_factory=structlog.WriteLoggerFactory(cast(TextIO, output)),
    )
    # HTTP libraries log each call at level INFO through the logging module.
    logging.getLogger().setLevel(logging.WARNING)
    structlog.contextvars.bind_contextvars(**context)
    _redirect_libraries(max(threshold, logging.WARNING), renderer, output)
    return LogCounts(output, limiter)


def _redirect_libraries(
    threshold: int, renderer: structlog.typing.Processor, output: NonBlockingOutput
) -> None:
    """Write lines that libraries log through the logging module in the same format."""
    formatter = structlog.stdlib.ProcessorFormatter(
        foreign_pre_chain=[
            structlog.contextvars.merge_contextvars,
            structlog.stdlib.add_logger_name,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
        ],
        processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, renderer],
    )
    handler = logging.StreamHandler(output)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(threshold)


class _LevelFilter:
    """A structlog processor that drops lines below a level."""

    __slots__ = ("_threshold",)

    def __init__(self, threshold: int) -> None:
        self._threshold = threshold

    def __call__(
        self, _logger: Any, _method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, or drop it if its level is too low."""
        if logging.getLevelNamesMapping()[str(line["level"]).upper()] < self._threshold:
            raise structlog.DropEvent
        return line
