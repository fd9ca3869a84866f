"""Tests of the HTTP client against servers that break the protocol."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from verbenawind.clock import SystemClock
from verbenawind.errors import BackendServerFailed, BackendServerUnreachable
from verbenawind.plugins.http1_client import Http1Client, Http1Request, Http1Response

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def reply(name: str, body: str, *extra: str) -> bytes:
    """Return a whole response that echoes an id."""
    lines = ["HTTP/1.1 200 OK", f"X-Id: {name}", f"Content-Length: {len(body)}", *extra]
    return "\r\n".join([*lines, "", body]).encode()


async def head_of(reader: asyncio.StreamReader) -> bytes:
    """Read one request's head."""
    return await reader.readuntil(b"\r\n\r\n")


class Ask:
    """A client and one raw server."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self.client = Http1Client(SystemClock(), 0.5)
        self.address = ""

    async def __aenter__(self) -> "Ask":
        self._server = await asyncio.start_server(self._handler, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        self._server.close()

    async def send(self, name: str) -> Http1Response:
        """Send a request that expects its id back."""
        request = Http1Request(
            method="GET", target="/", headers=[("Host", "h")], echo=("X-Id", name)
        )
        return await self.client.send(self.address, request)

    async def body(self, name: str) -> bytes:
        """Return the body of the response to a request."""
        response = await self.send(name)
        await response.head()
        return await response.body()


class TestConnections:
    def test_connection_is_kept(self) -> None:
        """Requests after each other use one connection."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for name in ("a", "b", "c"):
                await head_of(reader)
                writer.write(reply(name, name))

        async def work() -> None:
            async with Ask(handle) as ask:
                assert [await ask.body(name) for name in "abc"] == [b"a", b"b", b"c"]
                assert ask.client.opened == 1

        asyncio.run(work())

    def test_stated_idle_time_is_kept_to(self) -> None:
        """A connection that the server may close at any moment is not used again."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await head_of(reader)
            name = "a" if b"GET" in head else "b"
            writer.write(reply(name, name, "Keep-Alive: timeout=0"))

        async def work() -> None:
            async with Ask(handle) as ask:
                await ask.body("a")
                await ask.body("a")
                assert ask.client.opened == 2

        asyncio.run(work())

    def test_nothing_listens(self) -> None:
        """Without a connection nothing was sent, and that is said."""

        async def work() -> None:
            client = Http1Client(SystemClock(), 0.5)
            request = Http1Request(method="GET", target="/", headers=[])
            with pytest.raises(BackendServerUnreachable):
                await client.send("127.0.0.1:9", request)

        asyncio.run(work())


class TestWrongBytes:
    def test_second_response_of_an_earlier_request_is_passed_over(self) -> None:
        """A response with another id, where the next one is due, is not the answer."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            writer.write(reply("a", "first"))
            await head_of(reader)
            writer.write(reply("a", "first again") + reply("b", "second"))

        async def work() -> None:
            async with Ask(handle) as ask:
                assert await ask.body("a") == b"first"
                assert await ask.body("b") == b"second"

        asyncio.run(work())

    def test_bytes_after_a_response_end_the_connection(self) -> None:
        """A connection with bytes that nobody asked for is not used again."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await head_of(reader)
            assert head
            writer.write(reply("a", "whole") + reply("a", "extra"))

        async def work() -> None:
            async with Ask(handle) as ask:
                assert await ask.body("a") == b"whole"
                assert await ask.body("a") == b"whole"
                assert ask.client.opened == 2

        asyncio.run(work())

    @pytest.mark.parametrize(
        "data",
        [
            reply("a", "cut short")[:-3],
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"no response at all\r\n\r\n",
            b"",
        ],
    )
    def test_broken_response_is_an_error(self, data: bytes) -> None:
        """A response that ends early never looks whole."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            writer.write(data)
            await writer.drain()
            writer.close()

        async def work() -> None:
            async with Ask(handle) as ask:
                with pytest.raises(BackendServerFailed):
                    await ask.body("a")

        asyncio.run(work())

    def test_response_without_length_ends_with_its_connection(self) -> None:
        """A response that states no length is whole when the server closes in good order."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it")
            await writer.drain()
            writer.close()

        async def work() -> None:
            async with Ask(handle) as ask:
                assert await ask.body("a") == b"all of it"

        asyncio.run(work())

    def test_informational_responses_are_passed_over(self) -> None:
        """A 100 before the response is not the response."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await head_of(reader)
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + reply("a", "done"))

        async def work() -> None:
            async with Ask(handle) as ask:
                assert await ask.body("a") == b"done"

        asyncio.run(work())
