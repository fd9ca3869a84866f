"""Structured logs: JSON lines, or a console form on a terminal."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

from verbenawind.decisions import keep_decisions

__all__ = ["configure_logs"]


def configure_logs(level: str, **context: str) -> None:
    """Write log lines of *level* and above to standard error, each with *context*.

    Lines of level info are kept for ``explain`` even where *level* writes fewer.
    """
    threshold = logging.getLevelNamesMapping()[level.upper()]
    renderer: structlog.typing.Processor
    if sys.stderr.isatty():
        renderer = structlog.dev.ConsoleRenderer()
    else:
        renderer = structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            keep_decisions,
            _LevelFilter(threshold),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(min(threshold, logging.INFO)),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
    # Libraries log through the standard library, where each HTTP call is a line of level INFO.
    logging.getLogger().setLevel(logging.WARNING)
    structlog.contextvars.bind_contextvars(**context)
    _redirect_libraries(max(threshold, logging.WARNING), renderer)


def _redirect_libraries(threshold: int, renderer: structlog.typing.Processor) -> None:
    """Write what libraries log through the standard module in the same form."""
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
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(threshold)


class _LevelFilter:
    """Drops lines below a level; a structlog processor."""

    __slots__ = ("_threshold",)

    def __init__(self, threshold: int) -> None:
        self._threshold = threshold

    def __call__(
        self, _logger: Any, _method: str, line: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, or drop it."""
        if logging.getLevelNamesMapping()[str(line["level"]).upper()] < self._threshold:
            raise structlog.DropEvent
        return line
