"""Links between the daemons of one process: they lose, delay and cut as the network does."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.ports import PeerChannel
from verbenawind.standins.network import CUT_DETECTION_S, Process

__all__ = ["NetworkTransport"]


class _Channel:
    """One end of a link between two processes; implements PeerChannel."""

    def __init__(self, process: Process, remote_zone: str) -> None:
        self._process = process
        self._remote_zone = remote_zone
        self._inbox: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self._closed = False
        self.other: _Channel | None = None

    async def send(self, data: bytes) -> None:
        """Send one message; it may get lost on the way."""
        await self._process.gate()
        if self._closed or self.other is None or self.other._closed:
            raise PeerUnreachable(f"link to zone {self._remote_zone} is closed")
        network = self._process.network
        if not network.reaches(self._process.zone, self._remote_zone):
            return
        if network.rng.random() < network.loss_rate:
            return
        arrival_s = network.clock.monotonic_s() + network._delay_s(
            self._process.zone, self._remote_zone
        )
        self.other._inbox.put_nowait((arrival_s, data))

    async def receive(self) -> bytes:
        """Return the next message that arrives."""
        if self._closed:
            raise PeerUnreachable(f"link to zone {self._remote_zone} is closed")
        arrival_s, data = await self._inbox.get()
        clock = self._process.network.clock
        await clock.sleep(max(0.0, arrival_s - clock.monotonic_s()))
        await self._process.gate()
        if data is None:
            self._closed = True
            raise PeerUnreachable(f"link to zone {self._remote_zone} is closed")
        return data

    async def aclose(self) -> None:
        """Close both ends."""
        self.close()

    def close(self) -> None:
        """Close both ends without waiting."""
        for end in (self, self.other):
            if end is not None and not end._closed:
                end._closed = True
                end._inbox.put_nowait((0.0, None))


class NetworkTransport:
    """Links between the daemons of one process's tests; implements PeerTransport."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._addresses: list[str] = []
        self._channels: set[_Channel] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: str, accept: Callable[[PeerChannel], Awaitable[None]]) -> str:
        """Serve links at *address* and return the bound address."""
        network = self._process.network
        bound = network.new_address() if address.endswith(":0") else address

        async def serve(channel: PeerChannel) -> None:
            assert isinstance(channel, _Channel)
            channel._process = self._process
            self._channels.add(channel)
            try:
                await accept(channel)
            finally:
                channel.close()
                self._channels.discard(channel)

        network.listeners[bound] = (self._process.zone, serve)
        self._addresses.append(bound)
        return bound

    async def connect(self, address: str) -> PeerChannel:
        """Open a link to the daemon at *address*."""
        await self._process.gate()
        network = self._process.network
        zone, serve = network.listeners.get(address, (None, None))
        if zone is None or serve is None:
            await network.clock.sleep(0.001)
            raise PeerUnreachable(f"peer {address}: connection refused")
        there = await network.travel(self._process.zone, zone)
        if not there or not await network.travel(zone, self._process.zone):
            await network.clock.sleep(CUT_DETECTION_S)
            raise PeerUnreachable(f"peer {address}: timed out")
        near = _Channel(self._process, zone)
        far = _Channel(self._process, self._process.zone)
        near.other, far.other = far, near
        self._channels.add(near)
        task = asyncio.get_running_loop().create_task(serve(far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    async def aclose(self) -> None:
        """Stop listening and close every link."""
        for address in self._addresses:
            self._process.network.listeners.pop(address, None)
        for channel in list(self._channels):
            channel.close()
