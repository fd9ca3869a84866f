"""In-memory peer links between daemons, subject to the loss, delay and cuts of the network."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.ports import PeerChannel
from verbenawind.standins.network import CUT_DETECTION_S, Process

__all__ = ["NetworkTransport"]


class _Channel:
    """One end of a link between two daemon processes; implements PeerChannel."""

    def __init__(self, process: Process, remote_zone: str) -> None:
        self._process = process
        self._remote_zone = remote_zone
        self._inbox: asyncio.Queue[tuple[float, bytes | None]] = asyncio.Queue()
        self._closed = False
        self.remote_end: _Channel | None = None

    async def send(self, data: bytes) -> None:
        """Send one message, which the network may drop."""
        await self._process.wait_until_running()
        if self._closed or self.remote_end is None or self.remote_end._closed:
            raise PeerUnreachable(f"link to zone {self._remote_zone} is closed")
        network = self._process.network
        if not network.reaches(self._process.zone, self._remote_zone):
            return
        if network.rng.random() < network.loss_rate:
            return
        arrival_s = network.clock.monotonic_s() + network._delay_s(
            self._process.zone, self._remote_zone
        )
        self.remote_end._inbox.put_nowait((arrival_s, data))

    async def receive(self) -> bytes:
        """Return the next message once its delay has passed."""
        if self._closed:
            raise PeerUnreachable(f"link to zone {self._remote_zone} is closed")
        arrival_s, data = await self._inbox.get()
        clock = self._process.network.clock
        await clock.sleep(max(0.0, arrival_s - clock.monotonic_s()))
        await self._process.wait_until_running()
        if data is None:
            self._closed = True
            raise PeerUnreachable(f"link to zone {self._remote_zone} is closed")
        return data

    async def aclose(self) -> None:
        """Close both ends."""
        self.close()

    def close(self) -> None:
        """Close both ends without waiting."""
        for end in (self, self.remote_end):
            if end is not None and not end._closed:
                end._closed = True
                end._inbox.put_nowait((0.0, None))


class NetworkTransport:
    """Opens in-memory links between daemons in one test process; implements PeerTransport."""

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
        await self._process.wait_until_running()
        network = self._process.network
        zone, serve = network.listeners.get(address, (None, None))
        if zone is None or serve is None:
            await network.clock.sleep(0.001)
            raise PeerUnreachable(f"peer {address}: connection refused")
        arrived = await network.transmit(self._process.zone, zone)
        if not arrived or not await network.transmit(zone, self._process.zone):
            await network.clock.sleep(CUT_DETECTION_S)
            raise PeerUnreachable(f"peer {address}: connection timed out")
        local = _Channel(self._process, zone)
        remote = _Channel(self._process, self._process.zone)
        local.remote_end, remote.remote_end = remote, local
        self._channels.add(local)
        task = asyncio.get_running_loop().create_task(serve(remote))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return local

    async def aclose(self) -> None:
        """Stop listening and close every link."""
        for address in self._addresses:
            self._process.network.listeners.pop(address, None)
        for channel in list(self._channels):
            channel.close()
