"""The platform's metadata store: rows, transactions, feed and objects, as PROTOCOL.md tells.

Operators, trainers and engines of a case write rows with ``put``; engines that run as processes of
their own use ``POST /standin/put`` for it.
"""

import asyncio
import base64
import json
import time

from standin_http import Server


class Store:
    """Rows by table, part and key. ``on_call`` may delay a call, or answer it itself.

    It gets the call's name and the request, and returns True if the store shall do nothing more.
    """

    ANSWER_S = 0.004

    def __init__(self):
        self.rows, self.history, self.objects = {}, [], {}
        self.ver = 0
        self.on_call = None
        self.server = Server(self._handle)
        self._changed = asyncio.Event()
        self._started = time.monotonic()

    async def start(self):
        await self.server.start()

    @property
    def address(self):
        return self.server.address

    def now_ms(self):
        return int((time.monotonic() - self._started) * 1000) + 1

    def put(self, table, key, value, part=""):
        """Write a row; a value that isn't bytes is written as JSON. Returns its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._write([((table, part, key), data)])

    def drop(self, table, key, part=""):
        return self._write([((table, part, key), None)])

    def get(self, table, key, part=""):
        row = self.rows.get((table, part, key))
        return None if row is None else row[0]

    def _write(self, writes):
        self.ver += 1
        for row_id, data in writes:
            if data is None:
                self.rows.pop(row_id, None)
            else:
                self.rows[row_id] = (data, self.ver)
            self.history.append((self.ver, row_id, data))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.ver

    async def _handle(self, request):
        name = request.path.split("/")[2]
        if request.path == "/standin/put":
            wire = request.json()
            if wire["value"] is None:
                self.drop(wire["table"], wire["key"])
            else:
                self.put(wire["table"], wire["key"], wire["value"])
            await request.answer(200, {})
            return
        if self.on_call is not None and await self.on_call(name, request):
            return
        await asyncio.sleep(self.ANSWER_S)
        status, body = await getattr(self, "_" + name.replace("-", "_"))(request)
        await request.answer(status, body, [("Content-Type", "application/json")])

    def _page(self, rows, more=False):
        wire = []
        for (table, part, key), data, ver in rows:
            row = {"table": table, "part": part, "key": key, "ver": ver}
            if data is None:
                row |= {"value": "", "removed": True}
            else:
                row["value"] = base64.b64encode(data).decode()
            wire.append(row)
        return {"rows": wire, "has-more": more, "ver": self.ver, "now-ms": self.now_ms()}

    async def _rows_tx(self, request):
        wire = request.json()

        def row_id(row):
            return row["table"], row.get("part", ""), row["key"]

        expected = [(row_id(row), row["ver"]) for row in wire.get("expect", [])]
        if any(self.rows.get(key, (b"", 0))[1] != ver for key, ver in expected):
            found = [(key, *self.rows[key]) for key, _ in expected if key in self.rows]
            return 412, self._page(found)
        writes = [(row_id(row), base64.b64decode(row["value"])) for row in wire.get("writes", [])]
        writes += [(row_id(row), None) for row in wire.get("deletes", [])]
        self._write(writes)
        return 200, self._page([])

    async def _rows_get(self, request):
        query = request.query
        table, part = query["table"], query.get("part", "")
        limit = min(500, int(query.get("limit", "500")))
        found = sorted(
            (key, *row)
            for key, row in self.rows.items()
            if key[:2] == (table, part)
            and key[2] >= query.get("from", "")
            and ("to" not in query or key[2] < query["to"])
        )
        return 200, self._page(found[:limit], len(found) > limit)

    async def _rows_parts(self, request):
        after = request.query.get("after")
        parts = sorted({key[1] for key in self.rows if key[0] == request.query["table"]})
        parts = [part for part in parts if after is None or part > after]
        return 200, {"parts": parts[:1000], "has-more": len(parts) > 1000}

    async def _rows_feed(self, request):
        table, after = request.query["table"], int(request.query["after"])
        ends = time.monotonic() + int(request.query["wait-ms"]) / 1000
        while True:
            changed = self._changed
            rows = [
                (key, data, ver) for ver, key, data in self.history if ver > after and key[0] == table
            ]
            left_s = ends - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._page(rows)
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    async def _blob_put(self, request):
        name = request.path.split("/")[3]
        if name in self.objects:
            return 412, b""
        self.objects[name] = request.body
        return 200, b""

    async def _blob_get(self, request):
        name = request.path.split("/")[3]
        return (200, self.objects[name]) if name in self.objects else (404, b"")

    async def _blob_drop(self, request):
        self.objects.pop(request.path.split("/")[3], None)
        return 200, b""
