"""Tests of serving HTTP inside a running loop."""

import asyncio
import socket

from litestar import Litestar

from verbenawind.http_server import HttpServer


class TestHttpServer:
    def test_accepted_connections_have_no_delay(self) -> None:
        """Accepted connections have TCP_NODELAY, as Nagle's algorithm delays responses by 40 ms."""

        async def scenario() -> int:
            server = HttpServer(Litestar([], logging_config=None), "127.0.0.1", 0)
            await server.start()
            host, _, port = server.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\nhost: localhost\r\n\r\n")
            await reader.readline()
            (connection,) = server._server.server_state.connections
            accepted = connection.transport.get_extra_info("socket")
            option: int = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            writer.close()
            await server.kill()
            return option

        assert asyncio.run(asyncio.wait_for(scenario(), timeout=10.0)) != 0
