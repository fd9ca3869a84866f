"""HTTP client of the platform's metadata store; no other module calls the store."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    BackendServerFailed,
    BackendServerUnreachable,
    HistoryLost,
    RequestUnsendable,
    RowConflict,
    StoreUnavailable,
    Undecodable,
)
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.row_ports import (
    RowChanges,
    RowPage,
    RowTransaction,
)
from verbenawind.platform.store_rows import (
    WirePage,
    WireParts,
    already_applied,
    wire_transaction,
)
from verbenawind.plugins.http1_client import Http1Client, Http1Request
from verbenawind.state.relay import RelayClient, StoreCall, StoreReply
from verbenawind.timings import Timing, Timings

__all__ = ["PlatformStore"]

T = TypeVar("T")

_OK = 200
_NOT_FOUND = 404
_GONE = 410
# A page has 500 rows or 1 MB of values, which are encoded in base64.
_MAX_PAGE_BYTES = 4 * 1024 * 1024
_DEFAULT_OBJECT_BYTES = 8 * 1024 * 1024
_PRECONDITION_FAILED = 412
# Statuses by which the store guarantees that the call had no effect.
_NO_EFFECT_STATUSES = frozenset({429, 503})
# How long after the requested long-poll wait a feed call is considered lost.
_FEED_TIMEOUT_MARGIN_S = 1.0


class PlatformStore:
    """Implements the RowStore port.

    A call that fails over the direct connection is retried through another host, and the reverse,
    until it succeeds or its time is over.

    Args:
        address: The store's ``IP:port``.
        client: HTTP client.
        clock: Time source.
        direct_timeout_s: Timeout of a direct call, after which the call is relayed by a peer.
        timings: Records the duration of calls.
        max_object_bytes: The largest object that the store keeps.
    """

    def __init__(
        self,
        address: str,
        client: Http1Client,
        clock: Clock,
        direct_timeout_s: float,
        timings: Timings,
        *,
        max_object_bytes: int = _DEFAULT_OBJECT_BYTES,
    ) -> None:
        self._max_object_bytes = max_object_bytes
        self._address = address
        self._client = client
        self._clock = clock
        self._direct_timeout_s = direct_timeout_s
        self._timings = timings
        self._prefer_relay_until_s = 0.0
        self._reachable = True
        self._log = structlog.get_logger("store")
        self._store_ms = 0
        self._store_ms_at_s = clock.monotonic_s()
        self.relay_client: RelayClient | None = None
        self.calls: dict[str, int] = {}

    def set_address(self, address: str) -> None:
        """Use another address for direct calls from now on."""
        self._address = address

    def store_ms(self) -> int:
        """Return the store's clock in ms, extrapolated from its last response."""
        return self._store_ms + int((self._clock.monotonic_s() - self._store_ms_at_s) * 1000)

    # The RowStore port.

    async def commit(
        self, transaction: RowTransaction, timeout_s: float, *, repeated: bool = False
    ) -> int:
        """Apply a transaction and return the version of the rows that it wrote.

        Args:
            transaction: The checks and writes.
            timeout_s: Total time limit, retries included.
            repeated: Whether an earlier call may already have applied the transaction.

        Raises:
            RowConflict: A check failed, and the rows do not show that an earlier attempt applied
                the transaction.
            StoreUnavailable: No usable response arrived in time.
        """
        body = msgspec.json.encode(wire_transaction(transaction))
        call = StoreCall(method="POST", target="/api/rows-tx", headers=_JSON, body=body)
        reply, may_have_applied = await self._call(call, timeout_s, writes=True)
        page = self._decode_page(reply.body)
        if reply.status == _OK:
            return page.ver
        current = {row.row_id: row for row in (wire.decode() for wire in page.rows)}
        if (may_have_applied or repeated) and already_applied(transaction, current):
            return max(row.version for row in current.values())
        versions = {
            check.row_id.key: current[check.row_id].version if check.row_id in current else 0
            for check in transaction.checks
        }
        values = {row_id.key: row.value for row_id, row in current.items()}
        raise RowConflict(
            f"row versions differ from the expected ones: {versions}", versions, values
        )

    async def rows(
        self, table: str, part: str, timeout_s: float, *, first: str = "", limit: int = 500
    ) -> RowPage:
        """Return up to *limit* rows of a partition in key order, starting at key *first*."""
        query: dict[str, Any] = {"table": table, "part": part, "limit": limit}
        if first:
            query["from"] = first
        reply, _ = await self._call(_get("/api/rows-get", query), timeout_s)
        page = self._decode_page(reply.body)
        return RowPage(
            rows=tuple(row.decode() for row in page.rows),
            version=page.ver,
            store_ms=page.now_ms,
            has_more=page.has_more,
        )

    async def parts(self, table: str, timeout_s: float) -> Sequence[str]:
        """Return the non-empty partitions of a table."""
        parts: list[str] = []
        while True:
            query = {"table": table} | ({"after": parts[-1]} if parts else {})
            reply, _ = await self._call(_get("/api/rows-parts", query), timeout_s)
            page = self._decode(reply.body, WireParts)
            parts += page.parts
            if not page.has_more or not page.parts:
                return parts

    async def changes(self, table: str, after: int, wait_s: float) -> RowChanges:
        """Long-poll for the changes to a table after a version.

        Raises:
            HistoryLost: The store no longer has the changes since that version.
            StoreUnavailable: No usable response arrived in time.
        """
        query = {"table": table, "after": after, "wait-ms": int(wait_s * 1000)}
        call = _get("/api/rows-feed", query)
        reply, _ = await self._call_with_retries(
            call, wait_s + _FEED_TIMEOUT_MARGIN_S, attempt_limit_s=wait_s + _FEED_TIMEOUT_MARGIN_S
        )
        if reply.status == _GONE:
            raise HistoryLost(f"the store has no history of {table} since version {after}")
        page = self._decode_page(reply.body)
        return RowChanges(
            rows=tuple(row.decode() for row in page.rows), version=page.ver, store_ms=page.now_ms
        )

    async def put_object(self, name: str, data: bytes, timeout_s: float) -> None:
        """Create an object; an object that exists is left unchanged."""
        call = StoreCall(
            method="PUT",
            target=f"/api/blob-put/{quote(name, safe='')}",
            headers=(("If-None-Match", "*"), ("Content-Type", "application/octet-stream")),
            body=data,
        )
        await self._call(call, timeout_s, attempt_limit_s=2 * self._direct_timeout_s, writes=True)

    async def get_object(self, name: str, timeout_s: float) -> bytes | None:
        """Return an object's content, None if it does not exist."""
        call = StoreCall(method="GET", target=f"/api/blob-get/{quote(name, safe='')}")
        reply, _ = await self._call(call, timeout_s, attempt_limit_s=2 * self._direct_timeout_s)
        return None if reply.status == _NOT_FOUND else reply.body

    async def delete_object(self, name: str, timeout_s: float) -> None:
        """Delete an object if it exists."""
        call = StoreCall(method="DELETE", target=f"/api/blob-drop/{quote(name, safe='')}")
        await self._call(call, timeout_s, attempt_limit_s=2 * self._direct_timeout_s, writes=True)

    # Direct and relayed calls.

    async def direct(self, call: StoreCall) -> StoreReply:
        """Make a single call over this host's own connection.

        Raises:
            StoreUnavailable: No usable response arrived within the call's timeout.
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
                body = await response.body(self._max_body_bytes(kind))
        except (BackendServerUnreachable, BackendServerFailed, TimeoutError) as error:
            if response is not None:
                response.close()
            self._count(kind, "lost")
            reason = getattr(error, "message", "no response in time")
            raise StoreUnavailable(f"{kind}: {reason}", effect_possible=sent) from error
        except RequestUnsendable as error:
            self._count(kind, "unsendable")
            raise StoreUnavailable(f"{kind}: {error.message}", effect_possible=False) from error
        except asyncio.CancelledError:
            if response is not None:
                response.close()
            raise
        self._count(kind, str(response.status))
        if response.status in _NO_EFFECT_STATUSES or response.status >= 500:
            raise StoreUnavailable(
                f"{kind}: the store responded with status {response.status}",
                effect_possible=response.status not in _NO_EFFECT_STATUSES,
            )
        return StoreReply(status=response.status, body=body)

    async def _call(
        self,
        call: StoreCall,
        timeout_s: float,
        *,
        attempt_limit_s: float = 0.0,
        writes: bool = False,
    ) -> tuple[StoreReply, bool]:
        """Make a call that does not wait at the store, and record its duration."""
        started_s = self._clock.monotonic_s()
        try:
            return await self._call_with_retries(
                call, timeout_s, attempt_limit_s=attempt_limit_s, writes=writes
            )
        finally:
            self._timings.observe(Timing.STORE_CALL, self._clock.monotonic_s() - started_s)

    async def _call_with_retries(
        self, call: StoreCall, timeout_s: float, *, attempt_limit_s: float, writes: bool = False
    ) -> tuple[StoreReply, bool]:
        """Alternate between direct and relayed attempts until one succeeds or time is over.

        Args:
            call: The call; its own timeout is replaced.
            timeout_s: Total time limit.
            attempt_limit_s: Timeout of each attempt, 0 for the default.
            writes: Whether the call writes, so that a failed one may still have taken effect.

        Returns:
            The response, and whether an earlier attempt may have taken effect.
        """
        deadline_s = self._clock.monotonic_s() + timeout_s
        may_have_applied = False
        error = StoreUnavailable("no time was left for the call", effect_possible=False)
        attempts = 0
        while (left_s := deadline_s - self._clock.monotonic_s()) > _MIN_ATTEMPT_S:
            relayed = self._prefers_relay(attempts)
            attempt_timeout_s = attempt_limit_s or self._direct_timeout_s * (
                1 if attempts == 0 else 3
            )
            limited = msgspec.structs.replace(call, timeout_s=min(left_s, attempt_timeout_s))
            try:
                reply = await (self._relayed(limited) if relayed else self.direct(limited))
            except StoreUnavailable as failure:
                error = failure
                may_have_applied = may_have_applied or failure.effect_possible
                self._record_failure(not relayed, failure.message)
            else:
                if not relayed:
                    self._record_direct_success()
                return self._check_status(reply, call), may_have_applied
            attempts += 1
            delay_s = _RETRY_DELAYS_S[min(attempts, len(_RETRY_DELAYS_S)) - 1]
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s > 0:
                await self._clock.sleep(min(delay_s, left_s))
        raise StoreUnavailable(error.message, effect_possible=writes and may_have_applied)

    def _prefers_relay(self, attempts: int) -> bool:
        if self.relay_client is None:
            return False
        direct_failed_recently = self._clock.monotonic_s() < self._prefer_relay_until_s
        return (attempts % 2 == 0) if direct_failed_recently else (attempts % 2 == 1)

    async def _relayed(self, call: StoreCall) -> StoreReply:
        assert self.relay_client is not None
        reply = await self.relay_client.relay(call)
        self._count(call.target.split("?")[0].split("/")[2], f"relayed_{reply.status}")
        if reply.status in _NO_EFFECT_STATUSES or reply.status >= 500:
            raise StoreUnavailable(
                f"the store responded to a relayed call with status {reply.status}",
                effect_possible=reply.status not in _NO_EFFECT_STATUSES,
            )
        return reply

    def _record_failure(self, direct: bool, reason: str) -> None:
        if not direct:
            return
        self._prefer_relay_until_s = self._clock.monotonic_s() + _PREFER_RELAY_S
        if self._reachable:
            self._reachable = False
            self._log.warning("store_lost", reason=reason)

    def _record_direct_success(self) -> None:
        self._prefer_relay_until_s = 0.0
        if not self._reachable:
            self._reachable = True
            self._log.info("store_regained")

    def _check_status(self, reply: StoreReply, call: StoreCall) -> StoreReply:
        if reply.status in (_OK, 201, 204, _NOT_FOUND, _GONE, _PRECONDITION_FAILED):
            return reply
        raise StoreUnavailable(
            f"{call.target}: the store refused the call with status {reply.status}: "
            f"{reply.body[:200]!r}",
            effect_possible=False,
        )

    def _decode_page(self, body: bytes) -> WirePage:
        page = self._decode(body, WirePage)
        if page.now_ms >= self._store_ms:
            self._store_ms, self._store_ms_at_s = page.now_ms, self._clock.monotonic_s()
        return page

    @staticmethod
    def _decode(body: bytes, kind: type[T]) -> T:
        try:
            return decode_json(body, kind)
        except Undecodable as error:
            raise StoreUnavailable(
                f"invalid response: {error.message}", effect_possible=True
            ) from error

    def _max_body_bytes(self, kind: str) -> int:
        """Return the size beyond which an answer to a kind of call is an error."""
        return self._max_object_bytes if kind == "blob-get" else _MAX_PAGE_BYTES

    def _count(self, kind: str, outcome: str) -> None:
        name = f"{kind} {outcome}"
        self.calls[name] = self.calls.get(name, 0) + 1


# No attempt is started with less time than this left.
_MIN_ATTEMPT_S = 0.002
_JSON = (("Content-Type", "application/json"),)
# Delays between the attempts of a call; the last one repeats.
_RETRY_DELAYS_S = (0.02, 0.1, 0.2, 0.3)
# For this long after a failed direct call, the first attempt of a call is relayed by a peer.
_PREFER_RELAY_S = 1.0


def _get(path: str, query: Mapping[str, Any]) -> StoreCall:
    return StoreCall(method="GET", target=f"{path}?{urlencode(query)}")
