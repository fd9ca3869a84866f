"""Answers that stream, and work that ends when its caller goes away."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Coroutine
from typing import Any, TypeVar

from litestar import Response
from litestar.types import ASGIApp, Receive, Scope, Send

from verbenawind.errors import CallerDisconnected, Outcome

__all__ = ["EventStream", "until_disconnected"]

T = TypeVar("T")

_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]


async def until_disconnected(receive: Receive, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of *work*, which is cancelled when the caller closes its connection.

    Raises:
        CallerDisconnected: The caller went away first.
    """
    loop = asyncio.get_running_loop()
    running = loop.create_task(work)
    watching = loop.create_task(_disconnected(receive))
    try:
        await asyncio.wait((running, watching), return_when=asyncio.FIRST_COMPLETED)
        if not running.done():
            raise CallerDisconnected(
                "the caller closed its connection", outcome=Outcome.MAY_HAVE_RUN
            )
        return running.result()
    finally:
        for task in (running, watching):
            task.cancel()
        await asyncio.gather(running, watching, return_exceptions=True)


class EventStream(Response[bytes]):
    """A response of server-sent events.

    The events are made in one task from first to last, as their timeouts need it. The answer
    starts with the first event, so what fails before it gets an error answer of its own.

    Args:
        events: The encoded events; closed when the caller goes away.
    """

    def __init__(self, events: AsyncGenerator[bytes, None]) -> None:
        super().__init__(b"")
        self._events = events

    def to_asgi_response(self, *_: Any, **__: Any) -> ASGIApp:  # type: ignore[override]
        """Return the ASGI application that sends the events."""
        return self._serve

    async def _serve(self, _: Scope, receive: Receive, send: Send) -> None:
        with contextlib.suppress(CallerDisconnected):
            await until_disconnected(receive, self._send_all(send))

    async def _send_all(self, send: Send) -> None:
        started = False
        async with contextlib.aclosing(self._events) as events:
            async for event in events:
                if not started:
                    await send({"type": "http.response.start", "status": 200, "headers": _HEADERS})
                    started = True
                await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
