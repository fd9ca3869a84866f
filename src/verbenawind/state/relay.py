"""Relays store calls through a peer, for a host that cannot reach the store itself."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from typing import TypeVar

import cbor2
import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable, StoreUnavailable, Undecodable
from verbenawind.kernel.decoding import convert_value
from verbenawind.kernel.peer_ports import PeerChannel, PeerTransport

__all__ = [
    "RelayClient",
    "RelayRequest",
    "RelayResponse",
    "RelayServer",
    "StoreCall",
    "StoreReply",
    "decode_call",
    "decode_reply",
]

_CONNECT_TIMEOUT_S = 0.5
# For this long after a failed call a peer is used only if no other is available.
_PEER_COOLDOWN_S = 1.5
_REPLY_MARGIN_S = 0.1
_MAX_CONCURRENT_CALLS = 64
_STORE_METHODS = frozenset({"GET", "PUT", "POST", "DELETE"})
_STORE_PATH_PREFIX = "/api/"
# A call waits at the store for at most half a minute.
_MAX_TIMEOUT_S = 60.0

T = TypeVar("T")


class StoreCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call to the store.

    A relayed call carries its preconditions, so repeating it is harmless.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float = 1.0


class StoreReply(msgspec.Struct, frozen=True, kw_only=True):
    """The store's response."""

    status: int
    body: bytes


class RelayRequest(msgspec.Struct, array_like=True):
    """A peer's call."""

    number: int
    call: StoreCall


class RelayResponse(msgspec.Struct, array_like=True):
    """The peer's response.

    Without a reply the peer got none either, and ``effect_possible`` tells whether the call may
    have been applied.
    """

    number: int
    reply: StoreReply | None = None
    effect_possible: bool = True


class RelayServer:
    """Serves relayed calls over this host's own connection, never through another peer.

    Args:
        call_store: Sends a call directly to the store.
    """

    __slots__ = ("_call_store", "_log", "relayed")

    def __init__(self, call_store: Callable[[StoreCall], Awaitable[StoreReply]]) -> None:
        self._call_store = call_store
        self._log = structlog.get_logger("relay")
        self.relayed = 0

    async def serve(self, channel: PeerChannel) -> None:
        """Serve a peer's calls until it closes the channel."""
        slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        try:
            async with asyncio.TaskGroup() as tasks:
                while True:
                    data = await channel.receive()
                    request = decode_call(data)
                    await slots.acquire()
                    tasks.create_task(self._handle(channel, request, slots))
        except* PeerUnreachable as group:
            self._log.debug("relay_channel_closed", reason=str(group.exceptions[0]))
        except* Undecodable as group:
            self._log.warning("relay_request_malformed", reason=str(group.exceptions[0]))

    async def _handle(
        self, channel: PeerChannel, request: RelayRequest, slots: asyncio.Semaphore
    ) -> None:
        try:
            self.relayed += 1
            response = RelayResponse(request.number, await self._call_store(request.call))
        except StoreUnavailable as error:
            response = RelayResponse(request.number, None, error.effect_possible)
        finally:
            slots.release()
        await channel.send(_encode(response))


class _PeerLink:
    """A channel to one peer and its calls that are pending."""

    def __init__(self, channel: PeerChannel) -> None:
        self.channel = channel
        self.pending: dict[int, asyncio.Future[RelayResponse]] = {}
        self.open = True
        self.reader = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        try:
            while True:
                data = await self.channel.receive()
                response = decode_reply(data)
                future = self.pending.get(response.number)
                if future is not None and not future.done():
                    future.set_result(response)
        except (PeerUnreachable, Undecodable) as error:
            self._close(PeerUnreachable(f"relay link: {error}"))

    def _close(self, error: PeerUnreachable) -> None:
        self.open = False
        for future in self.pending.values():
            if not future.done():
                future.set_exception(error)

    async def aclose(self) -> None:
        """Close the channel."""
        self.open = False
        self.reader.cancel()
        await self.channel.aclose()


class RelayClient:
    """Sends store calls through peers.

    Args:
        transport: Opens channels to peers.
        peers: Returns the addresses of the peers believed to be alive.
        clock: Time source.
        rng: Random source for choosing a peer.
    """

    __slots__ = (
        "_clock",
        "_cooldown_until_s",
        "_links",
        "_log",
        "_numbers",
        "_peers",
        "_preferred",
        "_rng",
        "_transport",
    )

    def __init__(
        self,
        transport: PeerTransport,
        peers: Callable[[], Sequence[str]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._transport = transport
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._links: dict[str, _PeerLink] = {}
        self._numbers = itertools.count(1)
        self._cooldown_until_s: dict[str, float] = {}
        self._preferred = ""
        self._log = structlog.get_logger("relay")

    async def relay(self, call: StoreCall) -> StoreReply:
        """Send the call through a peer.

        Raises:
            StoreUnavailable: There is no peer, or the chosen one returned no response from the
                store.
        """
        address = self._select_peer()
        if address is None:
            raise StoreUnavailable("no peer is available to relay the call", effect_possible=False)
        sent = False
        try:
            link = await self._link(address)
            number = next(self._numbers)
            future: asyncio.Future[RelayResponse] = asyncio.get_running_loop().create_future()
            link.pending[number] = future
            try:
                async with asyncio.timeout(call.timeout_s + _REPLY_MARGIN_S):
                    sent = True
                    await link.channel.send(_encode(RelayRequest(number, call)))
                    response = await future
            finally:
                del link.pending[number]
        except (PeerUnreachable, TimeoutError) as error:
            self._mark_failed(address)
            raise StoreUnavailable(
                f"peer {address} did not respond to the relayed call: {error!r}",
                effect_possible=sent,
            ) from error
        if response.reply is None:
            self._mark_failed(address)
            raise StoreUnavailable(
                f"peer {address} got no response from the store either",
                effect_possible=response.effect_possible,
            )
        if self._preferred != address:
            self._log.info("relay_chosen", peer=address)
            self._preferred = address
        return response.reply

    async def aclose(self) -> None:
        """Close every channel."""
        for link in self._links.values():
            await link.aclose()

    def _select_peer(self) -> str | None:
        now_s = self._clock.monotonic_s()
        peers = list(self._peers())
        available = [peer for peer in peers if self._cooldown_until_s.get(peer, 0.0) <= now_s]
        if self._preferred in available:
            return self._preferred
        return self._rng.choice(available or peers) if peers else None

    def _mark_failed(self, address: str) -> None:
        self._cooldown_until_s[address] = self._clock.monotonic_s() + _PEER_COOLDOWN_S
        if self._preferred == address:
            self._preferred = ""

    async def _link(self, address: str) -> _PeerLink:
        link = self._links.get(address)
        if link is not None and link.open:
            return link
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            channel = await self._transport.connect(address)
        link = self._links[address] = _PeerLink(channel)
        return link


def _decode(data: bytes, kind: type[T]) -> T:
    try:
        raw = cbor2.loads(data)
    except (cbor2.CBORError, RecursionError, ValueError, OverflowError) as error:
        raise Undecodable(f"not CBOR: {error}") from error
    return convert_value(raw, kind, strict=False)


def decode_call(data: bytes) -> RelayRequest:
    """Decode a peer's request.

    Raises:
        Undecodable: It is malformed, or not a call to the store.
    """
    request = _decode(data, RelayRequest)
    call = request.call
    if call.method not in _STORE_METHODS or not call.target.startswith(_STORE_PATH_PREFIX):
        raise Undecodable(f"{call.method!r} {call.target!r} is not a call to the store")
    if not 0 < call.timeout_s <= _MAX_TIMEOUT_S:
        raise Undecodable(f"a call of {call.timeout_s} s is not within {_MAX_TIMEOUT_S} s")
    return request


def decode_reply(data: bytes) -> RelayResponse:
    """Decode a peer's response.

    Raises:
        Undecodable: It is malformed.
    """
    return _decode(data, RelayResponse)


def _encode(message: RelayRequest | RelayResponse) -> bytes:
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
