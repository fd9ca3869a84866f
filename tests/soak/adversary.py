"""Foreign rows and odd batch jobs, written beside the faults and the load of the soak."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from on_platform.harness import HOST, MODEL, Response
from on_platform.stubs import StubStore
from verbenawind.kernel.row_ports import RowId

__all__ = ["SMUGGLED", "Adversary"]

SMUGGLED = "smuggled"
_SECOND_REQUEST = (
    f"POST /batch/{SMUGGLED} HTTP/1.1\r\nHost: h\r\nX-Verbenawind-Attempt-Id: {SMUGGLED}\r\n"
    "Content-Length: 0\r\n\r\n"
)
_ODD_ITEMS: list[dict[str, Any]] = [
    {"path": f"/batch/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n{_SECOND_REQUEST}"},
    {"path": "/batch/a b"},
    {"headers": {"X-A": f"1\r\nContent-Length: 0\r\n\r\n{_SECOND_REQUEST}"}},
    {"headers": {"X-A": "日本"}},
    {"id": f"i\r\nX-Verbenawind-Attempt-Id: {SMUGGLED}"},
    {"body": "é"},
    {"tokens": 10**30},
]
_ODD_VALUES: list[Any] = [None, -1, 1.5, 10**30, "", "x", "10.0.0.1:70000", [], {}]
_ENTRY = {
    "service": "foreign",
    "address": "127.0.0.1:1",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 0,
    "born": 1,
    "seq": 1,
}
# Rows that no other part of the soak writes.
_ROWS = [
    RowId(table="servers", key="i-foreign"),
    RowId(table="servers", key="i-é"),
    RowId(table="op", key="version/foreign"),
    RowId(table="hosts", key="host-foreign"),
    RowId(table="hosts", key="crash/report/foreign/x"),
    RowId(table="hosts", key="limit/foreign"),
    RowId(table="batch-jobs", part="foreign", key="job"),
]


class Adversary:
    """Writes what no daemon can use, and remembers what was accepted of it.

    Args:
        store: The store of the daemons.
        post: Sends a request to a random host.
        seed: Seed of what is written.
    """

    def __init__(
        self,
        store: StubStore,
        post: Callable[[bytes], Awaitable[Response | None]],
        seed: int,
    ) -> None:
        self._store = store
        self._post = post
        # Of its own, so that the faults of a seed stay as they were.
        self._rng = Random(seed)
        self._number = 0
        self.rows = 0
        self.violations: list[str] = []

    async def run(self, is_active: Callable[[], bool]) -> None:
        """Write rows and submit jobs while *is_active*."""
        while is_active():
            self._write_row()
            await self._submit()
            await asyncio.sleep(self._rng.uniform(0.1, 0.5))

    def _write_row(self) -> None:
        self.rows += 1
        self._store.rows.put(self._rng.choice(_ROWS), self._value())

    def _value(self) -> bytes:
        match self._rng.randrange(4):
            case 0:
                return self._rng.choice([b"[", b'{"service":', b'{"a":[']) * 2000
            case 1:
                return self._rng.randbytes(self._rng.randrange(40))
            case _:
                field = self._rng.choice(list(_ENTRY))
                entry = _ENTRY | {field: self._rng.choice(_ODD_VALUES)}
                return json.dumps(entry).encode()

    async def _submit(self) -> None:
        self._number += 1
        job_id = f"odd{self._number}"
        item = {
            "id": f"{job_id}-0",
            "path": f"/batch/x/{job_id}",
            "headers": {"X-Verbenawind-Model-Name": MODEL},
            "body": "MQ==",
            "tokens": 5,
            "group": "g",
        } | self._rng.choice(_ODD_ITEMS)
        body = json.dumps({"model": MODEL, "min-version": 1, "items": [item]}).encode()
        lines = [f"POST /batch/{job_id} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
        lines += [f"X-Verbenawind-Attempt-Id: {job_id}", f"Content-Length: {len(body)}", "\r\n"]
        response = await self._post("\r\n".join(lines).encode() + body)
        if response is not None and response.status not in (400, 503):
            self.violations.append(f"the odd job {item} was answered {response.status}")
