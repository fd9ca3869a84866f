"""Tracks which callers' requests were on a server when its process ended."""

from collections.abc import Callable

import structlog

from verbenawind.gateway.directory import Backend
from verbenawind.gateway.fingerprints import request_fingerprint
from verbenawind.gateway.ports import CallerRequest
from verbenawind.gateway.server_ends import ServerEnd, ServerEndMonitor, UnansweredSend

__all__ = ["CrashGuard", "GuardedRequest"]


class CrashGuard:
    """Follows callers' requests and the ends of the servers that run them.

    Args:
        monitor: Decides whether a server's process has ended.
        store_ms: Returns the store's time.
    """

    __slots__ = ("_log", "_monitor", "_store_ms")

    def __init__(self, monitor: ServerEndMonitor, store_ms: Callable[[], int]) -> None:
        self._monitor = monitor
        self._store_ms = store_ms
        self._log = structlog.get_logger("crash_guard")
        monitor.on_end(self._server_ended)

    def open(self, request: CallerRequest) -> "GuardedRequest":
        """Return the request as it is tracked across its sends."""
        return GuardedRequest(request, self._monitor, self._store_ms)

    def _server_ended(self, end: ServerEnd) -> None:
        for send in end.sends:
            self._log.info("request_suspected", fingerprint=send.fingerprint, crash=end.incarnation)


class GuardedRequest:
    """A caller's request across its sends.

    Args:
        request: The request.
        monitor: Decides whether a server's process has ended.
        store_ms: Returns the store's time.
    """

    __slots__ = ("_fingerprint", "_monitor", "_request", "_store_ms")

    def __init__(
        self, request: CallerRequest, monitor: ServerEndMonitor, store_ms: Callable[[], int]
    ) -> None:
        self._request = request
        self._monitor = monitor
        self._store_ms = store_ms
        self._fingerprint = ""

    @property
    def fingerprint(self) -> str:
        """The digest that all repeats of the request share; computed on first use."""
        self._fingerprint = self._fingerprint or request_fingerprint(self._request)
        return self._fingerprint

    def broke(self, backend: Backend, sent_ms: int) -> None:
        """Record that a send broke after the server may have run the request."""
        self._monitor.send_broke(backend, self._send(sent_ms))

    def unanswered(self, backend: Backend, sent_ms: int) -> None:
        """Record that a send was given up without an answer."""
        self._monitor.send_unanswered(backend, self._send(sent_ms))

    def now_ms(self) -> int:
        """Return the store's time, which hosts can compare."""
        return self._store_ms()

    def _send(self, sent_ms: int) -> UnansweredSend:
        return UnansweredSend(fingerprint=self.fingerprint, sent_ms=sent_ms)
