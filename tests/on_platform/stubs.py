"""Stubs of the platform's store and backend servers, served with its HTTP formats on loopback."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable, MutableMapping
from random import Random
from typing import Any
from urllib.parse import parse_qs

from verbenawind.errors import HistoryLost, RowConflict
from verbenawind.http_server import HttpServer
from verbenawind.kernel.row_ports import RowCheck, RowId, RowTransaction, RowWrite, StoredRow
from verbenawind.standins.row_store import MemoryRowStore

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class ConnectionDropped(Exception):
    """Raised by a stub to close the connection without a response."""


async def read_body(receive: Receive) -> bytes:
    """Return the complete body of a request."""
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


async def answer(send: Send, status: int, body: bytes = b"", **headers: str) -> None:
    """Send a complete response; underscores in header names become dashes."""
    raw = [(b"content-length", str(len(body)).encode())]
    raw += [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": raw})
    await send({"type": "http.response.body", "body": body})


class StubApp:
    """Base class of an ASGI application served on a loopback socket."""

    def __init__(self) -> None:
        self._server = HttpServer(self, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """The address of the server."""
        return self._server.address

    async def start(self) -> None:
        """Start the server."""
        await self._server.start()

    async def stop(self) -> None:
        """Close every connection."""
        await self._server.kill()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        raise AssertionError("subclasses must override __call__")


class StubStore(StubApp):
    """A stub of the metadata store.

    While ``busy`` is set, calls get status 503. ``drop_next`` is the number of next writes whose
    responses are lost after they have taken effect.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows = MemoryRowStore(Random(1))
        self.busy = False
        self.drop_next = 0
        self.calls: list[str] = []

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, with *value* as JSON unless it is bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows.put(RowId(table=table, key=key), data)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive)
        call = scope["path"].split("/")[2]
        self.calls.append(call)
        if self.busy:
            await answer(send, 503)
            return
        query = {
            name: values[0] for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        status, data = await self._serve(call, scope, query, body)
        if self.drop_next and call in ("rows-tx", "blob-put"):
            self.drop_next -= 1
            raise ConnectionDropped
        await answer(send, status, data, content_type="application/json")

    async def _serve(
        self, call: str, scope: Scope, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        name = scope["path"].split("/")[-1]
        objects = self.rows.objects()
        if call == "rows-tx":
            return self._transact(json.loads(body))
        if call == "rows-get":
            page = self.rows.page(
                query["table"], query.get("part", ""), query.get("from", ""), int(query["limit"])
            )
            return 200, self._page(page.rows, page.has_more)
        if call == "rows-parts":
            parts = self.rows.table_parts(query["table"])
            return 200, json.dumps({"parts": parts, "has-more": False}).encode()
        if call == "rows-feed":
            try:
                changes = await self.rows.wait_for_changes(
                    query["table"], int(query["after"]), int(query["wait-ms"]) / 1000
                )
            except HistoryLost:
                return 410, b"{}"
            return 200, self._page(changes.rows, False)
        if call == "blob-put":
            known = name in objects
            objects.setdefault(name, body)
            return (412 if known else 200), b""
        if call == "blob-get":
            return (200, objects[name]) if name in objects else (404, b"")
        if call == "blob-drop":
            objects.pop(name, None)
            return 200, b""
        return 400, b""

    def _transact(self, wire: Any) -> tuple[int, bytes]:
        checks = tuple(RowCheck(row_id=_id(row), version=row["ver"]) for row in wire["expect"])
        writes = [
            RowWrite(row_id=_id(row), value=base64.b64decode(row["value"]))
            for row in wire["writes"]
        ]
        writes += [RowWrite(row_id=_id(row), value=None) for row in wire["deletes"]]
        try:
            version = self.rows.apply(RowTransaction(checks=checks, writes=tuple(writes)))
        except RowConflict:
            found = [self.rows.row(check.row_id) for check in checks]
            return 412, self._page([row for row in found if row is not None], False)
        return 200, json.dumps({"ver": version, "now-ms": self.rows.store_ms()}).encode()

    def _page(self, rows: Any, more: bool) -> bytes:
        return json.dumps(
            {
                "rows": [_wire_row(row) for row in rows],
                "has-more": more,
                "ver": self.rows.version,
                "now-ms": self.rows.store_ms(),
            }
        ).encode()


def _id(row: Any) -> RowId:
    return RowId(table=row["table"], part=row.get("part", ""), key=row["key"])


def _wire_row(row: StoredRow) -> dict[str, Any]:
    wire: dict[str, Any] = {
        "table": row.row_id.table,
        "part": row.row_id.part,
        "key": row.row_id.key,
        "ver": row.version,
    }
    if row.value is None:
        return wire | {"removed": True}
    return wire | {"value": base64.b64encode(row.value).decode()}


class StubServer(StubApp):
    """A stub of a backend server.

    It echoes plain requests, streams events to requests that name a model, and accepts load orders.
    While ``refusing`` is set, requests get status 503 as not executed. ``drop_next`` is the number
    of next requests whose responses are lost; ``event_s`` is the delay between events and
    ``answer_s`` that of answers to plain requests. Requests
    with the body ``crash_body`` end the server. A ``leaving`` server says so in all its answers,
    and one with a ``limit`` names it there.
    """

    def __init__(self, instance_id: str, version: int = 1) -> None:
        super().__init__()
        self.instance_id = instance_id
        self.version = version
        self.seen: list[tuple[str, str, dict[str, str], bytes]] = []
        self.seen_at_s: list[float] = []
        self.refusing = False
        self.drop_next = 0
        self.event_s = 0.0
        self.answer_s = 0.0
        self.crash_body: bytes | None = None
        self.leaving = False
        self.limit: str | None = None
        self.orders: list[Any] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        async def announce(message: MutableMapping[str, Any]) -> None:
            if self.leaving and message["type"] == "http.response.start":
                message["headers"].append((b"server-leaving", b"1"))
            if self.limit is not None and message["type"] == "http.response.start":
                message["headers"].append((b"server-limit", self.limit.encode()))
            await send(message)

        await self._answer(scope, receive, announce)

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        body = await read_body(receive)
        if scope["path"] == "/api/report":
            models = [{"name": "tuner", "version": self.version, "adapters": []}]
            report = {"models": models, "busy": False, "seq": len(self.orders)}
            await answer(send, 200, json.dumps(report).encode())
            return
        if scope["path"] == "/api/order":
            self.orders.append(json.loads(body))
            self.version = self.orders[-1]["version"]
            await answer(send, 202)
            return
        if headers.get("x-verbenawind-expect-instance") != self.instance_id:
            await answer(send, 421, x_verbenawind_instance_id=self.instance_id)
            return
        if self.refusing:
            await answer(send, 503, x_verbenawind_not_executed="1")
            return
        query = scope["query_string"].decode()
        target = scope["raw_path"].decode() + (f"?{query}" if query else "")
        self.seen.append((scope["method"], target, headers, body))
        self.seen_at_s.append(time.monotonic())
        if self.crashes_under(headers, body):
            await self.end_process(target)
            raise ConnectionDropped
        if self.drop_next:
            self.drop_next -= 1
            raise ConnectionDropped
        own = {
            "x_verbenawind_attempt_id": headers["x-verbenawind-attempt-id"],
            "x_verbenawind_server_stamp": f"stamp-{self.instance_id}",
        }
        if "x-verbenawind-model-name" in headers:
            await self._stream(send, headers, int(body), own)
        else:
            await asyncio.sleep(self.answer_s)
            await answer(send, 200, b"echo " + body, x_own=self.own_header, **own)

    @property
    def own_header(self) -> str:
        """The value of the header ``X-Own`` of the answers to plain requests."""
        return "kept"

    def crashes_under(self, headers: dict[str, str], body: bytes) -> bool:
        """Return whether a request ends the server."""
        return body == self.crash_body

    async def end_process(self, target: str) -> None:
        """End the server under a request to *target* with the ``crash_body``."""
        await self.stop()

    async def _stream(
        self, send: Send, headers: dict[str, str], count: int, own: dict[str, str]
    ) -> None:
        first = int(headers.get("last-event-id", "0")) + 1
        raw = [(name.replace("_", "-").encode(), value.encode()) for name, value in own.items()]
        raw.append((b"x-verbenawind-weight-versions", str(self.version).encode()))
        raw.append((b"content-type", b"text/event-stream"))
        await send({"type": "http.response.start", "status": 200, "headers": raw})
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: {headers['x-verbenawind-attempt-id']}.{number}\n\n"
            await send({"type": "http.response.body", "body": event.encode(), "more_body": True})
            await asyncio.sleep(self.event_s)
        await send({"type": "http.response.body", "body": b""})
