"""Tests of the HTTP client, also against servers that violate the protocol."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from verbenawind.clock import SystemClock
from verbenawind.errors import BackendServerFailed, BackendServerUnreachable
from verbenawind.plugins.http1_client import Http1Client, Http1Request, Http1Response

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def encode_response(name: str, body: str, *extra: str) -> bytes:
    """Return a complete response that echoes an id."""
    lines = ["HTTP/1.1 200 OK", f"X-Id: {name}", f"Content-Length: {len(body)}", *extra]
    return "\r\n".join([*lines, "", body]).encode()


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of one request."""
    return await reader.readuntil(b"\r\n\r\n")


class ClientAndServer:
    """A client and a raw TCP server."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self.client = Http1Client(SystemClock(), 0.5)
        self.address = ""

    async def __aenter__(self) -> "ClientAndServer":
        self._server = await asyncio.start_server(self._handler, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self._server.close()

    async def send(self, name: str) -> Http1Response:
        """Send a request whose response must echo *name*."""
        request = Http1Request(
            method="GET", target="/", headers=[("Host", "h")], echo=("X-Id", name)
        )
        return await self.client.send(self.address, request)

    async def body(self, name: str) -> bytes:
        """Send a request and return the body of the response."""
        response = await self.send(name)
        await response.head()
        return await response.body()


class TestConnections:
    def test_connection_is_reused(self) -> None:
        """Consecutive requests use one connection."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for name in ("a", "b", "c"):
                await read_head(reader)
                writer.write(encode_response(name, name))

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                assert [await pair.body(name) for name in "abc"] == [b"a", b"b", b"c"]
                assert pair.client.connections_opened == 1

        asyncio.run(scenario())

    def test_keep_alive_timeout_is_respected(self) -> None:
        """A connection is not reused after its keep-alive timeout: the server may be closing it."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await read_head(reader)
            name = "a" if b"GET" in head else "b"
            writer.write(encode_response(name, name, "Keep-Alive: timeout=0"))

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                await pair.body("a")
                await pair.body("a")
                assert pair.client.connections_opened == 2

        asyncio.run(scenario())

    def test_refused_connection_is_unreachable(self) -> None:
        """A refused connection raises BackendServerUnreachable: nothing was sent."""

        async def scenario() -> None:
            client = Http1Client(SystemClock(), 0.5)
            request = Http1Request(method="GET", target="/", headers=[])
            with pytest.raises(BackendServerUnreachable):
                await client.send("127.0.0.1:9", request)

        asyncio.run(scenario())


class TestUnexpectedBytes:
    def test_duplicate_response_to_an_earlier_request_is_skipped(self) -> None:
        """A duplicate response to an earlier request is not taken for the expected one."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(encode_response("a", "first"))
            await read_head(reader)
            writer.write(encode_response("a", "first again") + encode_response("b", "second"))

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                assert await pair.body("a") == b"first"
                assert await pair.body("b") == b"second"

        asyncio.run(scenario())

    def test_bytes_after_a_response_close_the_connection(self) -> None:
        """A connection with unexpected bytes after a response is not reused."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await read_head(reader)
            assert head
            writer.write(encode_response("a", "whole") + encode_response("a", "extra"))

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                assert await pair.body("a") == b"whole"
                assert await pair.body("a") == b"whole"
                assert pair.client.connections_opened == 2

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        "data",
        [
            encode_response("a", "cut short")[:-3],
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"no response at all\r\n\r\n",
            b"",
        ],
    )
    def test_broken_response_is_an_error(self, data: bytes) -> None:
        """A response that is truncated or malformed never counts as complete."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(data)
            await writer.drain()
            writer.close()

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                with pytest.raises(BackendServerFailed):
                    await pair.body("a")

        asyncio.run(scenario())

    def test_response_without_length_ends_with_the_connection(self) -> None:
        """A response without a length is complete when the server closes the connection cleanly."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it")
            await writer.drain()
            writer.close()

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                assert await pair.body("a") == b"all of it"

        asyncio.run(scenario())

    def test_informational_responses_are_skipped(self) -> None:
        """An informational response before the final one is skipped."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + encode_response("a", "done"))

        async def scenario() -> None:
            async with ClientAndServer(handle) as pair:
                assert await pair.body("a") == b"done"

        asyncio.run(scenario())
