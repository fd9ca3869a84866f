"""Incremental parser for ``text/event-stream`` bodies."""

from collections.abc import Sequence

from verbenawind.errors import BackendServerFailed
from verbenawind.kernel.http_syntax import parse_decimal
from verbenawind.kernel.messages import Value

__all__ = ["EventReader", "StreamEvent"]

# Without an end of event within this size, the body is not an event stream.
_MAX_EVENT_BYTES = 256 * 1024


_END = b"\n\n"
_MAX_QUOTED_LENGTH = 40


class StreamEvent(Value, frozen=True, kw_only=True):
    """One event. ``version`` is set if the server's weights changed before it."""

    event_id: int
    data: str
    version: int | None
    raw: bytes


class EventReader:
    """Splits a body into events. An incomplete event is never returned.

    Args:
        version_field: Name of the field that carries a weight version, in lower case.
    """

    __slots__ = ("_parts", "_size_bytes", "_tail", "_version_field")

    def __init__(self, version_field: str) -> None:
        # Pieces of an incomplete event; ``_tail`` may be the beginning of its end.
        self._parts: list[bytes] = []
        self._size_bytes = 0
        self._tail = b""
        self._version_field = version_field

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return any(part.strip() for part in (*self._parts, self._tail))

    def feed(self, data: bytes) -> Sequence[StreamEvent]:
        """Parse *data* and return the events that it completes.

        Raises:
            BackendServerFailed: The body is not a valid event stream.
        """
        data = self._tail + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        if _END not in data:
            # Only the end of the piece is looked at again, so that a long event costs linear time.
            self._keep(data)
            return []
        first, *blocks, rest = data.split(_END)
        blocks.insert(0, b"".join([*self._parts, first]))
        self._parts, self._size_bytes, self._tail = [], 0, b""
        self._keep(rest)
        return [self._parse(block) for block in blocks if block.strip(b"\n")]

    def _keep(self, data: bytes) -> None:
        """Keep the beginning of an incomplete event."""
        kept, self._tail = data[: -len(_END)], data[-len(_END) :]
        if kept:
            self._parts.append(kept)
            self._size_bytes += len(kept)
        if self._size_bytes > _MAX_EVENT_BYTES:
            raise BackendServerFailed(
                f"an event of the stream exceeded the limit of {_MAX_EVENT_BYTES} bytes"
            )

    def _parse(self, block: bytes) -> StreamEvent:
        event_id: int | None = None
        version: int | None = None
        data: list[str] = []
        try:
            for line in block.strip(b"\n").decode().split("\n"):
                name, _, value = line.partition(":")
                value = value.removeprefix(" ")
                if name == "id":
                    event_id = _number(value)
                elif name == "data":
                    data.append(value)
                elif name == self._version_field:
                    version = _number(value)
        except ValueError as error:
            raise BackendServerFailed(f"malformed event in the stream: {error}") from error
        if event_id is None:
            raise BackendServerFailed("event without an id in the stream")
        return StreamEvent(
            event_id=event_id, data="\n".join(data), version=version, raw=block + b"\n\n"
        )


def _number(text: str) -> int:
    number = parse_decimal(text)
    if number is None:
        raise ValueError(f"{text[:_MAX_QUOTED_LENGTH]!r} is not a number")
    return number
