"""Interfaces to the backend servers."""

from collections.abc import Sequence
from typing import Protocol

from verbenawind.gateway.events import StreamEvent
from verbenawind.gateway.server_limits import Permit
from verbenawind.gateway.types import Instance
from verbenawind.kernel.messages import Value

__all__ = ["Attempt", "BackendPort", "BackendResponse", "CallerRequest"]

Header = tuple[str, str]


class CallerRequest(Value, frozen=True, kw_only=True):
    """A caller's request as received, without the connection-specific headers.

    ``deadline_s`` is the monotonic time at which the caller stops waiting. An ``owed`` request
    belongs to work that was accepted earlier, and so may not be refused for the servers that ended
    under it. ``caller`` is the same for all requests of a caller, and empty if it isn't known.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    arrived_s: float
    deadline_s: float
    resume_after: int | None = None
    owed: bool = False
    caller: str = ""


class Attempt(Value, frozen=True, kw_only=True):
    """One attempt to send a request to a server.

    ``resume_after`` is the id of the last event already received. ``expect_version`` is the only
    weight version that the request may start with. ``permit`` is the reserved turn at a server that
    limits the requests that it takes.
    """

    request: CallerRequest
    remaining_s: float
    resume_after: int | None = None
    expect_version: int | None = None
    fresh_connection: bool = False
    permit: Permit | None = None


class BackendResponse(Protocol):
    """A backend server's response, whose body may still be arriving."""

    status: int
    headers: Sequence[Header]

    @property
    def refused(self) -> bool:
        """Whether the server reports that it did not run the request."""

    @property
    def signed(self) -> bool:
        """Whether the response carries the server's signature header."""

    @property
    def signature(self) -> str:
        """The server's signature, empty if the response carries none."""

    @property
    def leaving(self) -> bool:
        """Whether the server announces that it leaves; its work under way goes on."""

    @property
    def limit_per_s(self) -> float | None:
        """The request rate that the server names as its limit, None if it names none.

        NaN if the response names one that cannot be read.
        """

    @property
    def answered_by(self) -> str:
        """The id of the server that answered, empty if the response doesn't name it."""

    @property
    def version(self) -> int | None:
        """The weight version at the start of the response."""

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or empty bytes at its end."""

    async def events(self) -> Sequence[StreamEvent] | None:
        """Return the next complete events, or None after the last one."""

    def close(self) -> None:
        """Abandon the response, so that the server stops generating it."""


class BackendPort(Protocol):
    """Sends requests to backend servers."""

    async def send(self, instance: Instance, attempt: Attempt) -> BackendResponse:
        """Send an attempt and return the response once its head has arrived.

        Raises:
            BackendServerUnreachable: Nothing was sent.
            BackendServerFailed: The request may have run.
        """
