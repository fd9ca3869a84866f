"""Captures log lines in tests, where only errors are logged by default."""

import logging
from collections.abc import Iterator, MutableMapping
from contextlib import contextmanager
from typing import Any

import structlog

__all__ = ["capture_log_lines"]


@contextmanager
def capture_log_lines() -> Iterator[list[MutableMapping[str, Any]]]:
    """Capture the log lines of all levels, which tests otherwise filter out."""
    previous = structlog.get_config()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG))
    try:
        with structlog.testing.capture_logs() as lines:
            yield lines
    finally:
        structlog.configure(**previous)
