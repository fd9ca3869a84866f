"""Bounded in-memory record of recent log lines by request, for the ``explain`` command."""

from collections import OrderedDict
from collections.abc import MutableMapping, Sequence
from contextvars import ContextVar
from typing import Any

import msgspec

__all__ = ["DecisionRecord", "record_decision_line", "record_decisions_in"]

_MAX_LINES_PER_REQUEST = 64
_RECORD: ContextVar["DecisionRecord | None"] = ContextVar("decision_record", default=None)


class DecisionRecord:
    """Keeps the log lines of recent requests and evicts the oldest request first.

    Args:
        max_requests: Maximum number of requests that are kept.
    """

    __slots__ = ("_lines", "_max_requests")

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._lines: OrderedDict[str, list[bytes]] = OrderedDict()

    def add(self, request_id: str, line: MutableMapping[str, Any]) -> None:
        """Record a line of a request, up to a limit of lines per request."""
        lines = self._lines.get(request_id)
        if lines is None:
            lines = self._lines[request_id] = []
            if len(self._lines) > self._max_requests:
                self._lines.popitem(last=False)
        if len(lines) < _MAX_LINES_PER_REQUEST:
            lines.append(msgspec.json.encode(line, enc_hook=str))

    def lines(self, request_id: str) -> Sequence[dict[str, Any]]:
        """Return the recorded lines of a request, oldest first."""
        return [msgspec.json.decode(line) for line in self._lines.get(request_id, ())]


def record_decisions_in(record: DecisionRecord) -> None:
    """Record the lines of the current context, and of tasks started from it later, in *record*."""
    _RECORD.set(record)


def record_decision_line(
    _logger: Any, _method: str, line: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Record each line that has a request id; a structlog processor."""
    record = _RECORD.get()
    request_id = line.get("request_id")
    if record is not None and isinstance(request_id, str):
        record.add(request_id, line)
    return line
