"""Structured logs: JSON lines, or a console form on a terminal."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(level: str, **context: str) -> None:
    """Write log lines of *level* and above to standard error, each with *context*."""
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
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(**context)
