"""Tests of servers that send bytes without end, in every place where a client keeps some.

The failure: header lines, trailers, interim messages and bodies that are read as a whole were kept
or parsed as long as the server sent them, so that some tens of such answers ended a daemon, and one
endless header, parsed in quadratic time, held its event loop.
"""

import asyncio
import contextlib

import pytest

from test_http1_client import ClientAndServer, read_head
from verbenawind.errors import BackendServerFailed, StoreUnavailable
from verbenawind.gateway.events import EventReader
from verbenawind.kernel.messages import (
    BackendKind,
    BackendServer,
    Location,
    ScoringRequest,
    ServiceRequest,
)
from verbenawind.plugins.platform_http import HttpObjectStore
from verbenawind.plugins.scoring_http import HttpScoringClient
from verbenawind.plugins.service_http import HttpServiceClient

# What a client takes before it closes the connection: its limits, two reads from the socket, and
# the buffers of the operating system.
MAX_TAKEN_BYTES = 8 * 1024 * 1024
SENT_BYTES = 64 * 1024 * 1024
# A guard against a client that never ends, far beyond what any of these tests takes.
HANG_S = 20.0
OK = b"HTTP/1.1 200 OK\r\nX-Id: a\r\n"
PIECE = b"x" * 65536

ENDLESS: dict[str, tuple[bytes, bytes]] = {
    "headers": (OK, b"X-Some: value\r\n" * 4096),
    "one header": (OK + b"X-Some: ", PIECE),
    "a header's name": (OK, PIECE),
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "interim messages": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 2048),
    "answers with another id": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" * 1024,
    ),
    "body of another id": (
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 999999999\r\n\r\n",
        PIECE,
    ),
    "trailers": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Some: value\r\n" * 4096),
    "one trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Some: ", PIECE),
    "chunk extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n1;a=", PIECE),
    "chunked body": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
    "body without length": (OK + b"\r\n", PIECE),
    "body with length": (OK + b"Content-Length: 999999999\r\n\r\n", PIECE),
}


class EndlessServer:
    """Answers each request with a beginning and then one piece again and again."""

    def __init__(self, beginning: bytes, piece: bytes) -> None:
        self._beginning = beginning
        self._piece = piece
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send until the caller closes, or more than any client should take."""
        await read_head(reader)
        with contextlib.suppress(OSError):
            writer.write(self._beginning)
            while self.sent_bytes < SENT_BYTES:
                writer.write(self._piece)
                self.sent_bytes += len(self._piece)
                await writer.drain()
        writer.transport.abort()
        self.closed.set()


class TestHttp1Client:
    @pytest.mark.parametrize("kind", ENDLESS)
    def test_answer_without_end_is_an_error_that_names_the_server(self, kind: str) -> None:
        """The request fails at a limit, and the connection is closed."""
        beginning, piece = ENDLESS[kind]

        async def scenario() -> None:
            server = EndlessServer(beginning, piece)
            async with ClientAndServer(server.handle) as pair, asyncio.timeout(HANG_S):
                with pytest.raises(BackendServerFailed) as caught:
                    await pair.body("a")
                await server.closed.wait()
                assert pair.address in caught.value.message
            assert server.sent_bytes <= MAX_TAKEN_BYTES

        asyncio.run(scenario())

    def test_answer_that_nobody_reads_stops_the_server(self) -> None:
        """A body that is not read is not taken from the socket either."""
        beginning, piece = ENDLESS["chunked body"]

        async def scenario() -> None:
            server = EndlessServer(beginning, piece)
            async with ClientAndServer(server.handle) as pair, asyncio.timeout(HANG_S):
                response = await pair.send("a")
                await response.head()
                await asyncio.sleep(0.3)
                assert response.buffered_bytes <= 1024 * 1024
                assert server.sent_bytes <= MAX_TAKEN_BYTES
                response.close()
                await server.closed.wait()

        asyncio.run(scenario())

    def test_many_small_chunks_are_no_excess(self) -> None:
        """Chunk sizes that are larger than the chunks of a long stream are in order."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n")
            for _ in range(50):
                writer.write(b"1\r\nx\r\n" * 2000)
                await writer.drain()
            writer.write(b"0\r\n\r\n")

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair, asyncio.timeout(HANG_S):
                assert len(await pair.body("a")) == 100_000

        asyncio.run(scenario())

    def test_trailers_are_not_taken_for_headers(self) -> None:
        """A trailer changes nothing about the connection's reuse or the response's headers."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for _ in range(2):
                await read_head(reader)
                writer.write(
                    OK + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Id: other\r\n\r\n"
                )

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair, asyncio.timeout(HANG_S):
                for _ in range(2):
                    response = await pair.send("a")
                    await response.head()
                    assert await response.body() == b"x"
                    assert response.header("X-Id") == "a"
                assert pair.client.connections_opened == 1

        asyncio.run(scenario())


class TestEventReader:
    @pytest.mark.parametrize("piece", [b"x" * 100, b"data: x\n", b"\r", b"data: x\r\n"])
    def test_event_without_end_is_an_error(self, piece: bytes) -> None:
        """An event that does not end fails at the limit, whatever its pieces."""
        reader = EventReader("weights")
        with pytest.raises(BackendServerFailed):
            for _ in range(512 * 1024 // len(piece)):
                reader.feed(piece)

    def test_lines_that_end_in_two_pieces(self) -> None:
        """A line end of two characters may arrive in two pieces."""
        reader = EventReader("weights")
        events = [e for byte in b"id: 1\r\ndata: a\r\n\r\n" for e in reader.feed(bytes([byte]))]
        assert [(event.event_id, event.data) for event in events] == [(1, "a")]


def server_at(address: str) -> BackendServer:
    """Return a backend server at an address."""
    location = Location(zone="z", region="r")
    return BackendServer(
        server_id="s", kind=BackendKind.SERVICE, group="g", address=address, location=location
    )


class TestClientsOfTheProduct:
    @pytest.mark.parametrize("kind", ["chunked body", "body without length", "body with length"])
    @pytest.mark.parametrize("client", ["service", "scoring", "objects"])
    def test_body_without_end_is_an_error(self, kind: str, client: str) -> None:
        """The adapters of the product's own interface read no more than their limits."""
        beginning, piece = ENDLESS[kind]

        async def call(address: str) -> None:
            if client == "service":
                service = HttpServiceClient(server_at(address))
                await service.call(
                    ServiceRequest(
                        request_id="r",
                        environment="e",
                        caller="c",
                        service="g",
                        method="GET",
                        path="/",
                        query="",
                        headers={},
                        body=b"",
                        deadline_s=10.0,
                        idempotent=True,
                    )
                )
            elif client == "scoring":
                scoring = HttpScoringClient(server_at(address))
                await scoring.score(ScoringRequest(sample_id="s", prompt="p", text="t"), 10.0)
            else:
                await HttpObjectStore(f"http://{address}").get("key")

        async def scenario() -> None:
            server = EndlessServer(beginning, piece)
            async with ClientAndServer(server.handle) as pair, asyncio.timeout(HANG_S):
                with pytest.raises((BackendServerFailed, StoreUnavailable)):
                    await call(pair.address)

        asyncio.run(scenario())
