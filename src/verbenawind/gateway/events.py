"""Incremental parser for ``text/event-stream`` bodies."""

from collections.abc import Sequence

from verbenawind.errors import BackendServerFailed
from verbenawind.kernel.messages import Value

__all__ = ["EventReader", "StreamEvent"]

# Without an end of event within this size, the body is not an event stream.
_MAX_EVENT_BYTES = 4 * 1024 * 1024


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

    __slots__ = ("_buffer", "_version_field")

    def __init__(self, version_field: str) -> None:
        self._buffer = b""
        self._version_field = version_field

    @property
    def pending(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> Sequence[StreamEvent]:
        """Parse *data* and return the events that it completes.

        Raises:
            BackendServerFailed: The body is not a valid event stream.
        """
        self._buffer += data.replace(b"\r\n", b"\n") if b"\r" in data else data
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise BackendServerFailed("an event of the stream exceeds the size limit")
        return [self._parse(block) for block in blocks if block.strip(b"\n")]

    def _parse(self, block: bytes) -> StreamEvent:
        event_id: int | None = None
        version: int | None = None
        data: list[str] = []
        try:
            for line in block.strip(b"\n").decode().split("\n"):
                name, _, value = line.partition(":")
                value = value.removeprefix(" ")
                if name == "id":
                    event_id = int(value)
                elif name == "data":
                    data.append(value)
                elif name == self._version_field:
                    version = int(value)
        except ValueError as error:
            raise BackendServerFailed(f"malformed event in the stream: {error}") from error
        if event_id is None:
            raise BackendServerFailed("event without an id in the stream")
        return StreamEvent(
            event_id=event_id, data="\n".join(data), version=version, raw=block + b"\n\n"
        )
