"""Plain servers of the soak, which end under some requests and leave."""

import asyncio
import time
from collections.abc import Iterator
from typing import ClassVar

from on_platform.harness import PlatformHarness
from on_platform.stubs import StubServer
from soak.proxy import FaultyProxy

__all__ = ["PlainServer"]

_BACK_AFTER_S = 1.5


class PlainServer(StubServer):
    """A server whose process ends under requests with ``CRASH_BODY``, and is back after a while.

    A process is known by the server's id and its start. Its name is in the header ``X-Own`` of
    its answers.

    Attributes:
        ends: Targets and times of the requests that ended a process.

    Args:
        instance_id: The server's id.
        harness: Registers the server.
        back_after_s: Time from the end of a process to the start of the next one.
    """

    CRASH_BODY: ClassVar[bytes] = b"ends its server"

    def __init__(
        self, instance_id: str, harness: PlatformHarness, back_after_s: float = _BACK_AFTER_S
    ) -> None:
        super().__init__(instance_id)
        self.crash_body = self.CRASH_BODY
        self.ends: list[tuple[str, float]] = []
        self._back_after_s = back_after_s
        self._harness = harness
        self._link: FaultyProxy | None = None
        self._born = 1
        # The process and number of the first request after each start.
        self._starts: list[tuple[str, int]] = [(self.process_name, 0)]

    @property
    def process_name(self) -> str:
        """The name of the current process."""
        return f"{self.instance_id}.{self._born}"

    @property
    def own_header(self) -> str:
        """The value of the header ``X-Own`` of the answers."""
        return self.process_name

    def put_behind(self, link: FaultyProxy) -> None:
        """Register the server under the address of its proxy."""
        self._link = link
        self._harness.register(self, "plain", address=link.address, born=self._born)

    async def end_process(self, target: str) -> None:
        """Reset all connections and refuse new ones until the next process starts."""
        assert self._link is not None
        if self._link.down:
            return
        self.ends.append((target, time.monotonic()))
        self._link.down = True
        self._link.reset()
        asyncio.get_running_loop().call_later(self._back_after_s, self.restart)

    def restart(self) -> None:
        """Start a new process, which registers."""
        assert self._link is not None
        self._born += 1
        self._starts.append((self.process_name, len(self.seen)))
        self.leaving = False
        self._link.reset()
        self._link.down = False
        self._harness.register(self, "plain", address=self._link.address, born=self._born)

    def requests(self) -> Iterator[tuple[str, str]]:
        """Yield the process and the request id of each request."""
        ends = [first for _, first in self._starts[1:]] + [len(self.seen)]
        for (process, first), end in zip(self._starts, ends, strict=True):
            for _, _, headers, _ in self.seen[first:end]:
                yield process, headers["x-verbenawind-attempt-id"]
