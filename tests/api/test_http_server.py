"""Tests of the HTTP server's write timeout."""

import asyncio
import socket
from typing import Any

from loopback import TEST_TIMEOUT_S
from verbenawind.api.streams import EventStream
from verbenawind.http_server import HttpServer

CHUNK = b"x" * 65536
SMALL_BUFFER_BYTES = 4096


class TestSlowReader:
    def test_stalled_reader_is_disconnected(self) -> None:
        """A caller that stops reading is disconnected, and its generation is closed."""
        closed = asyncio.Event()

        async def endless() -> Any:
            try:
                while True:
                    yield CHUNK
                    await asyncio.sleep(0)
            finally:
                closed.set()

        async def application(scope: Any, receive: Any, send: Any) -> None:
            await EventStream(endless()).to_asgi_response()(scope, receive, send)

        async def scenario() -> None:
            server = HttpServer(application, "127.0.0.1", 0, write_timeout_s=0.2)
            await server.start()
            host, port = server.address.split(":")
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            client.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(client, (host, int(port)))
            await loop.sock_sendall(client, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await closed.wait()
            client.close()
            await server.kill()

        async def bounded() -> None:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await scenario()

        asyncio.run(bounded())
