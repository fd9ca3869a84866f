"""Bounds what a server may send beside the body that its client reads.

A server that sends bytes without end costs no more than a bound and one read from the socket.
"""

__all__ = ["MessageSizes", "ResponseTooLong"]

_MAX_HEAD_BYTES = 64 * 1024
_MAX_SKIPPED_MESSAGES = 16
_MAX_SKIPPED_BYTES = 1024 * 1024
# Chunk sizes, chunk extensions and trailers beyond a head's size, for each byte of the body.
_MAX_OVERHEAD_PER_BYTE = 16


class ResponseTooLong(Exception):
    """Raised for a part of a response that exceeds its limit; the message names both."""


class MessageSizes:
    """The sizes of the message that a connection receives, and of those skipped before it.

    A parser that calls these methods wraps what they raise, so that the reason is kept in
    ``excess``.
    """

    __slots__ = (
        "_body_bytes",
        "_header_bytes",
        "_received_bytes",
        "_skipped_bytes",
        "_skipped_messages",
        "excess",
        "in_head",
    )

    def __init__(self) -> None:
        self.in_head = True
        self.excess = ""
        self._header_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._skipped_messages = 0
        self._skipped_bytes = 0

    def begin_request(self) -> None:
        """Start counting the messages that are skipped for a request."""
        self._skipped_messages = self._skipped_bytes = 0

    def begin_message(self) -> None:
        """Start counting a message's head."""
        self.in_head = True
        self._header_bytes = self._received_bytes = self._body_bytes = 0

    def end_head(self) -> None:
        """Start counting what surrounds the body."""
        self.in_head = False
        self._header_bytes = self._received_bytes = 0

    def received(self, size_bytes: int) -> None:
        """Count bytes that are about to be parsed."""
        self._received_bytes += size_bytes

    def add_header(self, size_bytes: int) -> None:
        """Count a header line or trailer."""
        self._header_bytes += size_bytes
        if self._header_bytes > _MAX_HEAD_BYTES:
            self._exceed("the response's header lines", _MAX_HEAD_BYTES)

    def add_body(self, size_bytes: int, *, skipped: bool) -> None:
        """Count a part of a body, which nobody reads if the message is *skipped*."""
        self._body_bytes += size_bytes
        if not skipped:
            return
        self._skipped_bytes += size_bytes
        if self._skipped_bytes > _MAX_SKIPPED_BYTES:
            self._exceed("messages before the response", _MAX_SKIPPED_BYTES)

    def skip_message(self) -> None:
        """Count a message that is skipped."""
        self._skipped_messages += 1
        if self._skipped_messages > _MAX_SKIPPED_MESSAGES:
            self._exceed("the number of messages before the response", _MAX_SKIPPED_MESSAGES)

    def check_unfinished(self) -> None:
        """Check the size of what a parser keeps for itself between two reads."""
        if self.in_head:
            if self._received_bytes > _MAX_HEAD_BYTES:
                self._exceed("the response's head", _MAX_HEAD_BYTES)
            return
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > _MAX_HEAD_BYTES + _MAX_OVERHEAD_PER_BYTE * self._body_bytes:
            self._exceed("what surrounds the response's body", _MAX_HEAD_BYTES)

    def _exceed(self, what: str, limit: int) -> None:
        self.excess = f"{what} exceeded the limit of {limit}"
        raise ResponseTooLong(self.excess)
