"""Tests of peer links over real WebSockets on the loopback interface."""

import asyncio
from collections.abc import Sequence
from random import Random

from verbenawind.clock import SystemClock
from verbenawind.kernel.messages import Location
from verbenawind.membership import GossipBus
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport

LIMIT_S = 10.0
POLLS = 500


def make_bus(peer_id: str, seeds: Sequence[str], key: bytes = b"the-shared-key") -> GossipBus:
    return GossipBus(
        peer_id=peer_id,
        location=Location(zone="a", region="a"),
        listen="127.0.0.1:0",
        key=key,
        seeds=seeds,
        transport=WebSocketPeerTransport(),
        clock=SystemClock(),
        rng=Random(peer_id),
    )


class TestWebSocketLinks:
    def test_peers_connect_and_one_with_another_key_is_refused(self) -> None:
        """Daemons with the shared key list and call each other; one with another key is refused."""

        async def scenario() -> None:
            first = make_bus("a-0", ())
            await first.start()
            second = make_bus("a-1", (first.address,))
            unauthorized = make_bus("x-0", (first.address,), b"another-key")
            await second.start()
            await unauthorized.start()

            async def echo(body: bytes) -> bytes:
                return body

            second.on_call("echo", echo)
            for _ in range(POLLS):
                if first.peers() and second.peers() and first.rejected_links:
                    break
                await asyncio.sleep(LIMIT_S / POLLS)
            assert first.rejected_links > 0
            assert [peer.peer_id for peer in first.peers()] == ["a-1"]
            assert await first.call("a-1", "echo", b"hello", LIMIT_S) == b"hello"
            assert unauthorized.peers() == ()
            for bus in (unauthorized, second, first):
                await bus.stop()

        asyncio.run(scenario())
