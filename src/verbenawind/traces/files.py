"""Reads and writes traces as JSON lines."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from verbenawind.errors import InvalidRequest
from verbenawind.traces.types import Event, Header, Stated

__all__ = ["Trace", "encode_event", "read_trace", "write_trace"]


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """A whole trace: its header, its events in order of time, its stated outcome."""

    header: Header
    events: tuple[Event, ...]
    stated: Stated


def encode_event(event: Event) -> bytes:
    """Return an event's line."""
    return msgspec.json.encode(event) + b"\n"


def read_trace(path: Path) -> Trace:
    """Read a trace.

    Raises:
        InvalidRequest: A line is malformed, or the first line is no header.
    """
    events: list[Event] = []
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        try:
            events.append(msgspec.json.decode(line, type=Event))
        except msgspec.DecodeError as error:
            raise InvalidRequest(f"trace {path.name}, line {number}: {error}") from error
    header, *rest = events or [Stated()]
    if not isinstance(header, Header):
        raise InvalidRequest(f"trace {path.name} does not begin with a header")
    stated = rest.pop() if rest and isinstance(rest[-1], Stated) else Stated()
    assert isinstance(stated, Stated)
    return Trace(header=header, events=tuple(sorted(rest, key=_at_s)), stated=stated)


def write_trace(path: Path, header: Header, events: Iterable[Event], stated: Stated) -> None:
    """Write a trace."""
    path.write_bytes(b"".join(map(encode_event, [header, *events, stated])))


def _at_s(event: Event) -> float:
    return event.at_s
