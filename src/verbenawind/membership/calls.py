"""Calls between daemons, over dedicated links that are opened on demand."""

import asyncio
from collections.abc import Awaitable, Callable

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable, VerbenawindError
from verbenawind.membership.link import Link
from verbenawind.membership.wire import Call, Message, Reply

__all__ = ["Calls"]

_MAX_LINKS = 32
_IDLE_TIMEOUT_S = 30.0
_MAX_RUNNING_HANDLERS = 64

Handler = Callable[[bytes], Awaitable[bytes]]


class Calls:
    """Sends calls to peers and serves theirs.

    Args:
        clock: Time source.
        dial: Opens an authenticated link to a peer for calls.
    """

    __slots__ = (
        "_clock",
        "_dial",
        "_dialling",
        "_handlers",
        "_last_number",
        "_last_used_at_s",
        "_links",
        "_pending",
        "_tasks",
    )

    def __init__(self, clock: Clock, dial: Callable[[str], Awaitable[Link]]) -> None:
        self._clock = clock
        self._dial = dial
        self._dialling: dict[str, asyncio.Task[Link]] = {}
        self._handlers: dict[str, Handler] = {}
        self._links: dict[str, Link] = {}
        self._last_used_at_s: dict[str, float] = {}
        self._last_number = 0
        self._pending: dict[int, tuple[Link, asyncio.Future[bytes]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def on_call(self, kind: str, handler: Handler) -> None:
        """Answer calls of *kind* with *handler*."""
        self._handlers[kind] = handler

    async def call(self, peer_id: str, kind: str, body: bytes, timeout_s: float) -> bytes:
        """Call a peer and return its reply.

        Raises:
            PeerUnreachable: The call failed or got no reply within *timeout_s*.
        """
        try:
            async with asyncio.timeout(timeout_s):
                link = await self._link(peer_id)
                return await self._send_call(link, kind, body)
        except TimeoutError as error:
            raise PeerUnreachable(
                f"peer {peer_id!r}: call {kind!r} got no reply in {timeout_s} s"
            ) from error

    async def on_message(self, link: Link, message: Message) -> None:
        """Handle a call or a reply; other messages are ignored."""
        if isinstance(message, Call):
            self._start_handler(link, message)
        elif isinstance(message, Reply):
            self._handle_reply(message)

    def link_closed(self, link: Link) -> None:
        """Fail the calls that await replies on a closed link."""
        for number, (used, future) in list(self._pending.items()):
            if used is link:
                del self._pending[number]
                if not future.done():
                    future.set_exception(
                        PeerUnreachable(f"peer {link.peer.peer_id!r}: the link closed")
                    )
        if self._links.get(link.peer.peer_id) is link:
            del self._links[link.peer.peer_id]

    async def close_idle(self) -> None:
        """Close links that no call has used within the idle timeout."""
        now_s = self._clock.monotonic_s()
        for peer_id, link in list(self._links.items()):
            if now_s - self._last_used_at_s.get(peer_id, 0.0) >= _IDLE_TIMEOUT_S:
                await link.aclose()

    async def aclose(self) -> None:
        """Stop the running handlers."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _link(self, peer_id: str) -> Link:
        link = self._links.get(peer_id)
        if link is None or link.closed:
            task = self._dialling.get(peer_id)
            if task is None:
                task = asyncio.get_running_loop().create_task(self._open(peer_id))
                self._dialling[peer_id] = task
                task.add_done_callback(lambda done: self._dial_finished(peer_id, done))
            link = await asyncio.shield(task)
        self._last_used_at_s[peer_id] = self._clock.monotonic_s()
        return link

    async def _open(self, peer_id: str) -> Link:
        link = await self._dial(peer_id)
        self._links[peer_id] = link
        if len(self._links) > _MAX_LINKS:
            oldest = min(self._links, key=lambda name: self._last_used_at_s.get(name, 0.0))
            if oldest != peer_id:
                await self._links[oldest].aclose()
        return link

    def _dial_finished(self, peer_id: str, task: asyncio.Task[Link]) -> None:
        self._dialling.pop(peer_id, None)
        if not task.cancelled():
            task.exception()

    async def _send_call(self, link: Link, kind: str, body: bytes) -> bytes:
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._pending[number] = (link, future)
        try:
            link.post(Call(number=number, kind=kind, body=body))
            return await future
        finally:
            self._pending.pop(number, None)

    def _start_handler(self, link: Link, message: Call) -> None:
        handler = self._handlers.get(message.kind)
        if handler is None or len(self._tasks) >= _MAX_RUNNING_HANDLERS:
            reason = "no handler" if handler is None else "too many calls"
            link.post(Reply(number=message.number, error=f"call {message.kind!r}: {reason}"))
            return
        task = asyncio.get_running_loop().create_task(self._serve(link, message, handler))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: Link, message: Call, handler: Handler) -> None:
        try:
            link.post(Reply(number=message.number, body=await handler(message.body)))
        except VerbenawindError as error:
            link.post(Reply(number=message.number, error=f"{error.code}: {error.message}"))

    def _handle_reply(self, message: Reply) -> None:
        _, future = self._pending.pop(message.number, (None, None))
        if future is None or future.done():
            return
        if message.error:
            future.set_exception(PeerUnreachable(f"call failed at the peer: {message.error}"))
        else:
            future.set_result(message.body)
