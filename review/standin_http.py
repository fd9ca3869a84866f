"""A small HTTP/1.1 server and client over asyncio streams, on loopback addresses."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qs

REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Request:
    """A request that has been read completely."""

    def __init__(self, method, target, headers, body, writer):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.writer = writer
        self.path, _, query = target.partition("?")
        self.query = {name: values[0] for name, values in parse_qs(query).items()}

    def json(self):
        return json.loads(self.body)

    async def answer(self, status, body=b"", headers=()):
        """Send a complete answer; a body that isn't bytes is sent as JSON."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()

    async def start_chunked(self, status, headers=()):
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append("Transfer-Encoding: chunked")
        self.writer.write("\r\n".join([*lines, "", ""]).encode())
        await self.writer.drain()

    async def chunk(self, data):
        self.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
        await self.writer.drain()


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body; raises IncompleteReadError if it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([data async for data in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serves one handler; the handler may close the connection instead of an answer."""

    def __init__(self, handler, port=0):
        self.handler, self.port = handler, port
        self._server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=512, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handler(Request(method, target, headers, body, writer))
                if writer.is_closing():
                    break
        writer.close()


class Answer:
    """An answer as a client sees it; ``complete`` tells whether its end arrived."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def json(self):
        return json.loads(self.body)


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection; None if no complete head came in time."""
    host, _, port = address.rpartition(":")
    status, found, parts, complete, writer = 0, {}, [], False, None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            head = await read_head(reader)
            if head is None:
                return None
            first, found = head
            status = int(first.split(" ")[1])
            if found.get("transfer-encoding", "").lower() == "chunked":
                async for data in read_chunks(reader):
                    parts.append(data)
            else:
                parts.append(await reader.readexactly(int(found.get("content-length", "0"))))
            complete = True
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        if not status:
            return None
    finally:
        if writer is not None:
            writer.close()
    return Answer(status, found, b"".join(parts), complete)
