"""The platform's metadata store over HTTP: the only client of it."""

import asyncio
import base64
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import quote, urlencode

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    BackendServerFailed,
    BackendServerUnreachable,
    HistoryLost,
    RowConflict,
    StoreUnavailable,
)
from verbenawind.kernel.row_ports import (
    Changes,
    RowId,
    RowPage,
    RowTransaction,
    StoredRow,
)
from verbenawind.plugins.http1_client import Http1Client, Http1Request
from verbenawind.state.relay import RelayClient, StoreCall, StoreReply
from verbenawind.timings import Timing, Timings

__all__ = ["PlatformStore"]

_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
# The store states with these that nothing was done.
_NOT_DONE = frozenset({429, 503})
# How long the feed's own wait may be overstayed before the call counts as lost.
_FEED_SLACK_S = 1.0


class _WireRow(msgspec.Struct):
    """A row on the wire: ``ver`` is the store's counter at its last write."""

    table: str
    key: str
    part: str = ""
    value: str = ""
    ver: int = 0
    removed: bool = False

    def decode(self) -> StoredRow:
        return StoredRow(
            row_id=RowId(table=self.table, part=self.part, key=self.key),
            value=None if self.removed else base64.b64decode(self.value),
            version=self.ver,
        )


class _WirePage(msgspec.Struct, rename="kebab"):
    """An answer about rows: ``ver`` is the store's newest version, ``now_ms`` its clock."""

    rows: list[_WireRow] = []
    has_more: bool = False
    ver: int = 0
    now_ms: int = 0


class _WireParts(msgspec.Struct, rename="kebab"):
    parts: list[str] = []
    has_more: bool = False


class PlatformStore:
    """Implements the RowStore port.

    Args:
        address: The store's ``IP:port``.
        client: Connections.
        clock: Time source.
        direct_timeout_s: How long a direct call may take before a peer is asked.
        timings: Takes in how long calls take.
    """

    def __init__(
        self,
        address: str,
        client: Http1Client,
        clock: Clock,
        direct_timeout_s: float,
        timings: Timings,
    ) -> None:
        self._address = address
        self._client = client
        self._clock = clock
        self._direct_timeout_s = direct_timeout_s
        self._timings = timings
        self._direct_bad_until_s = 0.0
        self._reachable = True
        self._log = structlog.get_logger("store")
        self._store_ms = 0
        self._store_ms_at_s = clock.monotonic_s()
        self.via: RelayClient | None = None
        self.calls: dict[str, int] = {}

    def redirect(self, address: str) -> None:
        """Make direct calls to another address from now on."""
        self._address = address

    def store_ms(self) -> int:
        """Return the store's clock, as far as its last answer tells."""
        return self._store_ms + int((self._clock.monotonic_s() - self._store_ms_at_s) * 1000)

    # The RowStore port.

    async def commit(
        self, transaction: RowTransaction, timeout_s: float, *, repeated: bool = False
    ) -> int:
        """Apply a transaction and return the version of the rows that it wrote."""
        body = msgspec.json.encode(_wire_transaction(transaction))
        call = StoreCall(method="POST", target="/api/rows-tx", headers=_JSON, body=body)
        reply, unsure = await self._call(call, timeout_s, writes=True)
        page = self._page(reply.body)
        if reply.status == _OK:
            return page.ver
        current = {row.row_id: row for row in (wire.decode() for wire in page.rows)}
        if (unsure or repeated) and _already_applied(transaction, current):
            return max(row.version for row in current.values())
        versions = {
            check.row_id.key: current[check.row_id].version if check.row_id in current else 0
            for check in transaction.checks
        }
        raise RowConflict(f"rows have other versions than expected: {versions}", versions)

    async def rows(
        self, table: str, part: str, timeout_s: float, *, first: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows of a partition in key order."""
        query: dict[str, Any] = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        reply, _ = await self._call(_get("/api/rows-get", query), timeout_s)
        page = self._page(reply.body)
        return RowPage(
            rows=tuple(row.decode() for row in page.rows),
            version=page.ver,
            store_ms=page.now_ms,
            has_more=page.has_more,
        )

    async def parts(self, table: str, timeout_s: float) -> Sequence[str]:
        """Return the partitions of a table that hold rows."""
        parts: list[str] = []
        while True:
            query = {"table": table} | ({"after": parts[-1]} if parts else {})
            reply, _ = await self._call(_get("/api/rows-parts", query), timeout_s)
            found = msgspec.json.decode(reply.body, type=_WireParts)
            parts += found.parts
            if not found.has_more or not found.parts:
                return parts

    async def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what has changed in a table since a version."""
        query = {"table": table, "after": after, "wait-ms": int(wait_s * 1000)}
        call = _get("/api/rows-feed", query)
        reply, _ = await self._try(call, wait_s + _FEED_SLACK_S, direct_s=wait_s + _FEED_SLACK_S)
        if reply.status == _GONE:
            raise HistoryLost(f"the feed of {table} cannot go on after {after}")
        page = self._page(reply.body)
        return Changes(
            rows=tuple(row.decode() for row in page.rows), version=page.ver, store_ms=page.now_ms
        )

    async def put_object(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object that is absent; one that is there stays as it is."""
        call = StoreCall(
            method="PUT",
            target=f"/api/blob-put/{quote(name, safe='')}",
            headers=(("If-None-Match", "*"), ("Content-Type", "application/octet-stream")),
            body=data,
        )
        await self._call(call, timeout_s, direct_s=2 * self._direct_timeout_s, writes=True)

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object's bytes, None where there is none."""
        call = StoreCall(method="GET", target=f"/api/blob-get/{quote(name, safe='')}")
        reply, _ = await self._call(call, timeout_s, direct_s=2 * self._direct_timeout_s)
        return None if reply.status == _NOT_FOUND else reply.body

    async def drop_object(self, name: str, timeout_s: float) -> None:
        """Remove an object; one that is absent is passed over."""
        call = StoreCall(method="DELETE", target=f"/api/blob-drop/{quote(name, safe='')}")
        await self._call(call, timeout_s, direct_s=2 * self._direct_timeout_s, writes=True)

    # Ways to the store.

    async def direct(self, call: StoreCall) -> StoreReply:
        """Make one call over this host's own connection.

        Raises:
            StoreUnavailable: No usable answer came in the call's time.
        """
        kind = call.target.split("?")[0].split("/")[2]
        request = Http1Request(
            method=call.method,
            target=call.target,
            headers=[("Host", self._address), *call.headers],
            body=call.body,
        )
        sent = False
        response = None
        try:
            async with asyncio.timeout(call.timeout_s):
                response = await self._client.send(self._address, request)
                sent = True
                await response.head()
                body = await response.body()
        except (BackendServerUnreachable, BackendServerFailed, TimeoutError) as error:
            if response is not None:
                response.close()
            self._count(kind, "lost")
            reason = getattr(error, "message", "no answer in time")
            raise StoreUnavailable(f"{kind}: {reason}", effect_possible=sent) from error
        except asyncio.CancelledError:
            if response is not None:
                response.close()
            raise
        self._count(kind, str(response.status))
        if response.status in _NOT_DONE or response.status >= 500:
            raise StoreUnavailable(
                f"{kind}: the store answered {response.status}",
                effect_possible=response.status not in _NOT_DONE,
            )
        return StoreReply(status=response.status, body=body)

    async def _call(
        self, call: StoreCall, timeout_s: float, *, direct_s: float = 0.0, writes: bool = False
    ) -> tuple[StoreReply, bool]:
        """Make a call of the store that should be answered at once, and measure it."""
        started_s = self._clock.monotonic_s()
        try:
            return await self._try(call, timeout_s, direct_s=direct_s, writes=writes)
        finally:
            self._timings.observe(Timing.STORE_CALL, self._clock.monotonic_s() - started_s)

    async def _try(
        self, call: StoreCall, timeout_s: float, *, direct_s: float, writes: bool = False
    ) -> tuple[StoreReply, bool]:
        """Try the direct way and peers in turn until the time is over.

        Returns:
            The reply, and whether an earlier try may have taken effect.
        """
        ends_at_s = self._clock.monotonic_s() + timeout_s
        unsure = False
        error = StoreUnavailable("no time was left", effect_possible=False)
        tries = 0
        while (left_s := ends_at_s - self._clock.monotonic_s()) > _LEAST_TRY_S:
            relayed = self._prefers_relay(tries)
            own_s = direct_s or self._direct_timeout_s * (1 if tries == 0 else 3)
            limited = msgspec.structs.replace(call, timeout_s=min(left_s, own_s))
            try:
                reply = await (self._relayed(limited) if relayed else self.direct(limited))
            except StoreUnavailable as failure:
                error = failure
                unsure = unsure or failure.effect_possible
                self._note(not relayed, failure.message)
            else:
                if not relayed:
                    self._note_direct_good()
                return self._checked(reply, call), unsure
            tries += 1
            pause_s = _PAUSES_S[min(tries, len(_PAUSES_S)) - 1]
            left_s = ends_at_s - self._clock.monotonic_s()
            if left_s > 0:
                await self._clock.sleep(min(pause_s, left_s))
        raise StoreUnavailable(error.message, effect_possible=writes and unsure)

    def _prefers_relay(self, tries: int) -> bool:
        if self.via is None:
            return False
        bad = self._clock.monotonic_s() < self._direct_bad_until_s
        return (tries % 2 == 0) if bad else (tries % 2 == 1)

    async def _relayed(self, call: StoreCall) -> StoreReply:
        assert self.via is not None
        reply = await self.via.relay(call)
        self._count(call.target.split("?")[0].split("/")[2], f"relayed_{reply.status}")
        if reply.status in _NOT_DONE or reply.status >= 500:
            raise StoreUnavailable(
                f"a peer's call was answered {reply.status}",
                effect_possible=reply.status not in _NOT_DONE,
            )
        return reply

    def _note(self, direct: bool, reason: str) -> None:
        if not direct:
            return
        self._direct_bad_until_s = self._clock.monotonic_s() + _DIRECT_RETRY_S
        if self._reachable:
            self._reachable = False
            self._log.warning("store_lost", reason=reason)

    def _note_direct_good(self) -> None:
        self._direct_bad_until_s = 0.0
        if not self._reachable:
            self._reachable = True
            self._log.info("store_regained")

    def _checked(self, reply: StoreReply, call: StoreCall) -> StoreReply:
        if reply.status in (_OK, 201, 204, _NOT_FOUND, _GONE, _PRECONDITION_FAILED):
            return reply
        raise StoreUnavailable(
            f"{call.target}: the store refused the call with {reply.status}: {reply.body[:200]!r}",
            effect_possible=False,
        )

    def _page(self, body: bytes) -> _WirePage:
        try:
            page = msgspec.json.decode(body, type=_WirePage)
        except msgspec.MsgspecError as error:
            raise StoreUnavailable(f"answer: {error}", effect_possible=True) from error
        if page.now_ms >= self._store_ms:
            self._store_ms, self._store_ms_at_s = page.now_ms, self._clock.monotonic_s()
        return page

    def _count(self, kind: str, outcome: str) -> None:
        name = f"{kind} {outcome}"
        self.calls[name] = self.calls.get(name, 0) + 1


# Less time than this is not enough for a try.
_LEAST_TRY_S = 0.002
_JSON = (("Content-Type", "application/json"),)
# Pauses between tries of one call.
_PAUSES_S = (0.02, 0.1, 0.2, 0.3)
# After a direct call has failed, peers are asked first for so long.
_DIRECT_RETRY_S = 1.0


def _get(path: str, query: Mapping[str, Any]) -> StoreCall:
    return StoreCall(method="GET", target=f"{path}?{urlencode(query)}")


def _wire_id(row_id: RowId) -> dict[str, Any]:
    return {"table": row_id.table, "part": row_id.part, "key": row_id.key}


def _wire_transaction(transaction: RowTransaction) -> dict[str, Any]:
    return {
        "expect": [
            {**_wire_id(check.row_id), "ver": check.version} for check in transaction.checks
        ],
        "writes": [
            {**_wire_id(write.row_id), "value": base64.b64encode(write.value).decode()}
            for write in transaction.writes
            if write.value is not None
        ],
        "deletes": [_wire_id(write.row_id) for write in transaction.writes if write.value is None],
    }


def _already_applied(transaction: RowTransaction, current: Mapping[RowId, StoredRow]) -> bool:
    """Return whether every written row holds just what an earlier try wrote."""
    checked = {check.row_id for check in transaction.checks}
    settled = [write for write in transaction.writes if write.row_id in checked]
    return bool(settled) and all(
        write.row_id in current and current[write.row_id].value == write.value for write in settled
    )
