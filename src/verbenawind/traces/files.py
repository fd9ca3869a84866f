"""Reads and writes traces as JSON Lines files."""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from verbenawind.errors import InvalidRequest
from verbenawind.traces.types import Event, ExpectedOutcome, Header

__all__ = ["Trace", "encode_event", "read_trace", "write_trace"]


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """A complete trace: its header, its events in chronological order and its expected outcome."""

    header: Header
    events: tuple[Event, ...]
    stated: ExpectedOutcome


def encode_event(event: Event) -> bytes:
    """Return an event encoded as one line."""
    return msgspec.json.encode(event) + b"\n"


def read_trace(path: Path) -> Trace:
    """Read a trace from a file.

    Raises:
        InvalidRequest: A line is malformed, or the first line is not a header.
    """
    events: list[Event] = []
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        try:
            events.append(msgspec.json.decode(line, type=Event))
        except msgspec.DecodeError as error:
            raise InvalidRequest(f"trace {path.name}, line {number}: {error}") from error
    header, *rest = events or [ExpectedOutcome()]
    if not isinstance(header, Header):
        raise InvalidRequest(f"trace {path.name} does not start with a header")
    stated = rest.pop() if rest and isinstance(rest[-1], ExpectedOutcome) else ExpectedOutcome()
    assert isinstance(stated, ExpectedOutcome)
    return Trace(header=header, events=tuple(sorted(rest, key=_at_s)), stated=stated)


def write_trace(
    path: Path, header: Header, events: Iterable[Event], stated: ExpectedOutcome
) -> None:
    """Write a trace to a file."""
    path.write_bytes(b"".join(map(encode_event, [header, *events, stated])))


def _at_s(event: Event) -> float:
    return event.at_s
