"""Tests of the probe that distinguishes a host without a daemon from an unreachable host."""

import asyncio
import socket
from collections.abc import Callable

from ports import own_ports
from verbenawind.kernel.probe_ports import ProbeResult
from verbenawind.plugins.tcp_probe import TcpProbe


class TestTcpProbe:
    def test_listening_daemon_accepts(self) -> None:
        """An accepted connection shows that a daemon is running."""

        async def scenario() -> None:
            async def read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.read()
                writer.close()

            server = await asyncio.start_server(read, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            result = await TcpProbe(5.0).connect(f"127.0.0.1:{port}")
            assert result is ProbeResult.ACCEPTED
            server.close()
            await server.wait_closed()

        asyncio.run(scenario())

    def test_port_without_a_daemon_refuses(self) -> None:
        """A running host without a listener on the port refuses the connection."""
        result = asyncio.run(TcpProbe(5.0).connect(f"127.0.0.1:{own_ports().take()}"))
        assert result is ProbeResult.REFUSED

    def test_proxy_without_a_process_closes(self) -> None:
        """A connection that is accepted and closed, or reset, without a word."""

        async def scenario(close: Callable[[asyncio.StreamWriter], None]) -> ProbeResult:
            server = await asyncio.start_server(lambda _, writer: close(writer), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            result = await TcpProbe(5.0).connect(f"127.0.0.1:{port}")
            server.close()
            await server.wait_closed()
            return result

        closed = asyncio.run(scenario(lambda writer: writer.close()))
        reset = asyncio.run(scenario(lambda writer: writer.transport.abort()))
        assert closed is ProbeResult.CLOSED
        assert reset is ProbeResult.CLOSED

    def test_unresponsive_host_is_inconclusive(self) -> None:
        """A listener with a full accept queue does not respond, so the probe is inconclusive."""

        async def scenario() -> ProbeResult:
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                address = listener.getsockname()
                pending = [socket.socket() for _ in range(4)]
                for client in pending:
                    client.setblocking(False)
                    client.connect_ex(address)
                try:
                    return await TcpProbe(0.2).connect(f"127.0.0.1:{address[1]}")
                finally:
                    for client in pending:
                        client.close()

        assert asyncio.run(scenario()) is ProbeResult.NONE
