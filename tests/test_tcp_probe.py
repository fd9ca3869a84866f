"""Tests of the probe that tells a host without a daemon from one that cannot be reached."""

import asyncio
import socket

from verbenawind.batches import ProbeResult
from verbenawind.plugins.tcp_probe import TcpProbe


def free_port() -> int:
    """Return a port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class TestProbe:
    def test_listening_daemon_does_not_refuse(self) -> None:
        """A connection that is accepted is closed again and says that a daemon is there."""

        async def work() -> None:
            server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            answer = await TcpProbe(5.0).connect(f"127.0.0.1:{port}")
            assert answer is ProbeResult.ACCEPTED
            server.close()
            await server.wait_closed()

        asyncio.run(work())

    def test_port_without_a_daemon_refuses(self) -> None:
        """A host that lives and has nobody at the port refuses."""
        answer = asyncio.run(TcpProbe(5.0).connect(f"127.0.0.1:{free_port()}"))
        assert answer is ProbeResult.REFUSED

    def test_host_that_does_not_answer_proves_nothing(self) -> None:
        """A listener whose queue is full answers no connection; the probe gives up, undecided."""

        async def work() -> ProbeResult:
            with socket.socket() as listener:
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                address = listener.getsockname()
                waiting = [socket.socket() for _ in range(4)]
                for client in waiting:
                    client.setblocking(False)
                    client.connect_ex(address)
                try:
                    return await TcpProbe(0.2).connect(f"127.0.0.1:{address[1]}")
                finally:
                    for client in waiting:
                        client.close()

        assert asyncio.run(work()) is ProbeResult.NONE
