"""The port towards backend servers that serve opaque requests."""

from collections.abc import Sequence
from typing import Protocol

from verbenawind.gateway.events import StreamEvent
from verbenawind.gateway.types import Instance
from verbenawind.kernel.messages import Value

__all__ = ["Answer", "Attempt", "BackendPort", "CallerRequest"]

Header = tuple[str, str]


class CallerRequest(Value, frozen=True, kw_only=True):
    """A caller's request as it arrived, without the headers of its connection.

    ``deadline_s`` is monotonic time: when the caller stops waiting.
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


class Attempt(Value, frozen=True, kw_only=True):
    """One send of a request.

    ``resume_after`` is the id of the last event that is held; ``expect_version`` the only weight
    version that the request may begin with.
    """

    request: CallerRequest
    remaining_s: float
    resume_after: int | None = None
    expect_version: int | None = None
    fresh_connection: bool = False


class Answer(Protocol):
    """A backend server's response while it arrives."""

    status: int
    headers: Sequence[Header]

    @property
    def refused(self) -> bool:
        """Whether the server states that it did not run the request."""

    @property
    def signed(self) -> bool:
        """Whether the response bears the server's own mark."""

    @property
    def version(self) -> int | None:
        """The weight version that the response began with."""

    async def chunk(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end."""

    async def events(self) -> Sequence[StreamEvent] | None:
        """Return the next whole events, or None after the last one."""

    def close(self) -> None:
        """Give the response up, so that the server stops its work."""


class BackendPort(Protocol):
    """Sends requests to backend servers."""

    async def send(self, instance: Instance, attempt: Attempt) -> Answer:
        """Return the server's response once its head has arrived.

        Raises:
            BackendServerUnreachable: Nothing was sent.
            BackendServerFailed: The request may have run.
        """
