"""Tests of streams that are resumed on another server."""

import asyncio
from collections.abc import Sequence
from datetime import UTC, datetime

import pytest

from gateway.guards import create_allowances, create_guard
from verbenawind.clock import LoopClock
from verbenawind.errors import BackendServerFailed, VerbenawindError
from verbenawind.gateway import (
    Attempt,
    BackendResponse,
    CallerRequest,
    Directory,
    Instance,
    Route,
    RouteKind,
    ServiceShare,
    StreamForwarder,
)
from verbenawind.gateway.events import StreamEvent
from verbenawind.kernel.messages import Location
from verbenawind.standins.deployment import run_virtual

SERVICE = "engines"
HERE = Location(zone="a", region="a")


class ScriptedResponse:
    """A response with these event ids, then a broken connection unless it is complete."""

    def __init__(
        self, status: int, event_ids: Sequence[int] = (), *, complete: bool, body: bytes = b""
    ) -> None:
        self.status = status
        self.headers: Sequence[tuple[str, str]] = ()
        self.refused = False
        self.signed = True
        self.signature = "stamp"
        self.leaving = False
        self.limit_per_s: float | None = None
        self.answered_by = ""
        self.version: int | None = 1
        self._event_ids = list(event_ids)
        self._complete = complete
        self._body = body

    async def chunk(self) -> bytes:
        body, self._body = self._body, b""
        if not body and not self._complete:
            raise BackendServerFailed("connection lost")
        return body

    async def events(self) -> Sequence[StreamEvent] | None:
        await asyncio.sleep(0.01)
        if self._event_ids:
            number = self._event_ids.pop(0)
            raw = f"id: {number}\ndata: x\n\n".encode()
            return [StreamEvent(event_id=number, data="x", version=None, raw=raw)]
        if not self._complete:
            raise BackendServerFailed("connection lost")
        return None

    def close(self) -> None:
        """Nothing is left to close."""


class ScriptedServers:
    """Servers that answer one send after the other as scripted; implements the BackendPort port."""

    def __init__(self, script: Sequence[ScriptedResponse]) -> None:
        self.script = script
        self.attempts: list[Attempt] = []

    async def send(self, instance: Instance, attempt: Attempt) -> BackendResponse:
        self.attempts.append(attempt)
        return self.script[len(self.attempts) - 1]


class StreamResult:
    """What a caller got: the first head's status, the body, and the error that ended it."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        self.body = b""
        self.error: VerbenawindError | None = None

    @property
    def event_ids(self) -> list[int]:
        """The ids of the events in the body."""
        lines = self.body.decode().splitlines()
        return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def stream(script: Sequence[ScriptedResponse]) -> tuple[StreamResult, ScriptedServers]:
    """Forward a resumable stream over servers that answer as scripted."""
    servers = ScriptedServers(script)
    result = StreamResult()

    async def work() -> None:
        clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        directory = Directory(clock)
        for index in range(4):
            directory.put(
                Instance(
                    instance_id=f"server-{index}",
                    service=SERVICE,
                    address="10.0.0.1:80",
                    location=HERE,
                    slots=4,
                    draining=False,
                    started_ms=1,
                    versions={},
                )
            )
        route = Route(
            name="route",
            host="h",
            path_prefix="/",
            kind=RouteKind.STREAMING,
            timeout_s=3.0,
            target_latency_s=0.4,
            max_attempts=3,
            priority=0,
            services=(ServiceShare(service=SERVICE, weight=1.0),),
            resumable=True,
        )
        now_s = clock.monotonic_s()
        request = CallerRequest(
            request_id="r",
            method="POST",
            host="h",
            target="/x",
            headers=(),
            body=b"",
            arrived_s=now_s,
            deadline_s=now_s + 3.0,
        )
        guard = create_guard(directory, clock)
        allowances = create_allowances(clock)
        forwarder = StreamForwarder(directory, servers, HERE, clock, guard, allowances)
        try:
            async for part in forwarder.forward(request, route, SERVICE):
                if isinstance(part, bytes):
                    result.body += part
                else:
                    result.statuses.append(part.status)
        except VerbenawindError as error:
            result.error = error

    run_virtual(work())
    return result, servers


class TestResumedStreams:
    @pytest.mark.parametrize("status", [204, 400, 404, 422, 500, 504])
    def test_stream_that_no_server_resumes_does_not_end_as_complete(self, status: int) -> None:
        """A server is killed, and the next answers the resumed stream with an error, no events.

        The caller must not take the events that it has for the whole stream.
        """
        result, servers = stream(
            [
                ScriptedResponse(200, [1, 2], complete=False),
                ScriptedResponse(status, complete=True),
                ScriptedResponse(status, complete=True),
            ]
        )
        assert result.statuses == [200]
        assert result.event_ids == [1, 2]
        assert isinstance(result.error, BackendServerFailed)
        assert len(servers.attempts) == 3

    def test_stream_goes_on_after_a_server_that_did_not_resume_it(self) -> None:
        """A server that answers with an error counts as an attempt; the next one is asked."""
        result, servers = stream(
            [
                ScriptedResponse(200, [1, 2], complete=False),
                ScriptedResponse(500, complete=True),
                ScriptedResponse(200, [3, 4], complete=True),
            ]
        )
        assert result.error is None
        assert result.event_ids == [1, 2, 3, 4]
        assert [attempt.resume_after for attempt in servers.attempts] == [None, 2, 2]

    def test_error_body_is_not_continued_by_a_stream(self) -> None:
        """A server is lost within its error response; no other's events may follow under it."""
        result, servers = stream(
            [
                ScriptedResponse(500, complete=False, body=b"out of"),
                ScriptedResponse(200, [1, 2], complete=True),
            ]
        )
        assert result.statuses == [500]
        assert result.body == b"out of"
        assert isinstance(result.error, BackendServerFailed)
        assert len(servers.attempts) == 1

    def test_whole_stream_without_its_end_is_complete_if_a_server_says_so(self) -> None:
        """The connection is lost after the last event; the next server has nothing to add."""
        result, _ = stream(
            [
                ScriptedResponse(200, [1, 2], complete=False),
                ScriptedResponse(200, complete=True),
            ]
        )
        assert result.error is None
        assert result.event_ids == [1, 2]
