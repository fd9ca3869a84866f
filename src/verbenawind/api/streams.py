"""Server-sent event responses, and cancellation of work when the caller disconnects."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Coroutine
from typing import Any, TypeVar

from litestar import Response
from litestar.types import ASGIApp, Receive, Scope, Send

from verbenawind.errors import CallerDisconnected, Outcome

__all__ = ["EventStream", "run_until_disconnect"]

T = TypeVar("T")

_HEADERS = [
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
]


async def run_until_disconnect(receive: Receive, work: Coroutine[Any, Any, T]) -> T:
    """Return the result of *work*; cancel it when the caller closes its connection.

    Raises:
        CallerDisconnected: The caller disconnected before the work was done.
    """
    loop = asyncio.get_running_loop()
    work_task = loop.create_task(work)
    disconnect_task = loop.create_task(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((work_task, disconnect_task), return_when=asyncio.FIRST_COMPLETED)
        if not work_task.done():
            raise CallerDisconnected(
                "the caller closed its connection", outcome=Outcome.MAY_HAVE_RUN
            )
        return work_task.result()
    finally:
        for task in (work_task, disconnect_task):
            task.cancel()
        await asyncio.gather(work_task, disconnect_task, return_exceptions=True)


class EventStream(Response[bytes]):
    """A response of server-sent events.

    All events are generated in one task, because ``asyncio.timeout`` must be entered and left in
    the same task. The status line is sent with the first event, so that a failure before it still
    gets an ordinary error response.

    Args:
        events: The encoded events; closed when the caller disconnects.
    """

    def __init__(self, events: AsyncGenerator[bytes, None]) -> None:
        super().__init__(b"")
        self._events = events

    def to_asgi_response(self, *_: Any, **__: Any) -> ASGIApp:  # type: ignore[override]
        """Return the ASGI application that sends the events."""
        return self._serve

    async def _serve(self, _: Scope, receive: Receive, send: Send) -> None:
        with contextlib.suppress(CallerDisconnected):
            await run_until_disconnect(receive, self._send_all(send))

    async def _send_all(self, send: Send) -> None:
        started = False
        async with contextlib.aclosing(self._events) as events:
            async for event in events:
                if not started:
                    await send({"type": "http.response.start", "status": 200, "headers": _HEADERS})
                    started = True
                await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        continue
