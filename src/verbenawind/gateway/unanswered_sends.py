"""What is followed of requests that servers have not answered, and of the ends of these servers."""

import math
from enum import StrEnum

from verbenawind.gateway.directory import Backend
from verbenawind.kernel.messages import Value
from verbenawind.kernel.wire_types import Int64

__all__ = ["EndEvidence", "SendInFlight", "ServerEnd", "UnansweredSend"]


class EndEvidence(StrEnum):
    """What shows whether a watched process has ended."""

    REFUSED = "its address refuses connections"
    REPLACED = "a later process registered in its place"
    REPORTED = "another host found that it ended"
    EXPIRED = "its registration expired and its address does not answer"
    LEAVING = "it had announced that it leaves"
    ANSWERED = "it answered again"
    REGISTERED = "the same process is registered again"
    SILENT = "its address does not answer"
    CLOSED = "its address closes connections at once"
    UNKNOWN = "nothing shows that it ended"


class UnansweredSend(Value, frozen=True, kw_only=True):
    """A request that a server did not answer.

    ``sent_ms`` and ``broke_ms`` are the store's times at which it was sent and at which its
    connection broke, the latter None if it was given up.
    """

    fingerprint: str
    sent_ms: Int64
    broke_ms: Int64 | None = None


class ServerEnd(Value, frozen=True, kw_only=True):
    """The end of a server's process without notice, and the sends that it left unanswered.

    An end that is not ``certain`` is that of a process that does not respond to connections.
    ``answered_s`` is the monotonic time of its latest answer to this host, None if it gave none.
    """

    incarnation: str
    server: str
    service: str
    sends: tuple[UnansweredSend, ...]
    certain: bool = True
    answered_s: float | None = None


class SendInFlight:
    """A request that a server has not answered yet.

    Args:
        backend: The server.
        send: The request, and when it was sent.
        began_at_s: Monotonic time at which it was sent.
        overdue_at_s: Monotonic time after which its server is watched.
    """

    __slots__ = ("backend", "began_at_s", "overdue_at_s", "send")

    def __init__(
        self,
        backend: Backend,
        send: UnansweredSend,
        *,
        began_at_s: float = 0.0,
        overdue_at_s: float = math.inf,
    ) -> None:
        self.backend = backend
        self.send = send
        self.began_at_s = began_at_s
        self.overdue_at_s = overdue_at_s

    def progressed(self) -> None:
        """Record a part of the answer, so that the send is no longer overdue."""
        self.overdue_at_s = math.inf
