"""Adapters for the platform's table service, object store, host list and weight store."""

from collections.abc import Mapping, Sequence

import httpx
import msgspec

from verbenawind.errors import ConditionFailed, StoreUnavailable
from verbenawind.kernel.messages import HostEntry, WeightManifest
from verbenawind.kernel.ports import Row, Transaction
from verbenawind.plugins.http_bounds import send_bounded
from verbenawind.plugins.http_errors import store_errors

__all__ = ["HttpHostList", "HttpObjectStore", "HttpTableStore", "HttpWeightStore"]

_TIMEOUT_S = 5.0
_CONFLICT = 409
# An object holds a whole batch of samples.
_MAX_ANSWER_BYTES = 32 * 1024 * 1024


class _PlatformClient:
    """Base class of the platform adapters; each instance has its own HTTP client."""

    __slots__ = ("_client",)

    def __init__(self, base_url: str, *, timeout_s: float = _TIMEOUT_S) -> None:
        self._client = httpx.AsyncClient(base_url=base_url, timeout=timeout_s, trust_env=False)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        content: bytes | None = None,
        params: Mapping[str, str | int] | None = None,
    ) -> httpx.Response:
        operation = f"platform {method} {path}"
        with store_errors(operation):
            request = self._client.build_request(method, path, content=content, params=params)
            response = await send_bounded(self._client, request, max_bytes=_MAX_ANSWER_BYTES)
        if response.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
            raise StoreUnavailable(
                f"{operation}: status {response.status_code}", effect_possible=True
            )
        return response


class HttpTableStore(_PlatformClient):
    """HTTP client of the table service; implements the TableStore port."""

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing rows among *keys*."""
        response = await self._call("POST", "/table/read", content=msgspec.json.encode(list(keys)))
        rows = msgspec.json.decode(response.content, type=list[Row])
        return {row.key: row for row in rows}

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return up to *limit* rows with the key prefix *prefix* after *after*."""
        params: dict[str, str | int] = {"prefix": prefix, "after": after, "limit": limit}
        response = await self._call("GET", "/table/scan", params=params)
        return msgspec.json.decode(response.content, type=list[Row])

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction atomically."""
        content = msgspec.json.encode(transaction)
        response = await self._call("POST", "/table/commit", content=content)
        if response.status_code == _CONFLICT:
            raise ConditionFailed(msgspec.json.decode(response.content, type=list[str]))


class HttpObjectStore(_PlatformClient):
    """HTTP client of the object store; implements the ObjectStore port."""

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*."""
        await self._call("PUT", f"/objects/{key}", content=data)

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        response = await self._call("GET", f"/objects/{key}")
        return None if response.status_code == httpx.codes.NOT_FOUND else response.content

    async def delete(self, key: str) -> None:
        """Delete an object, if it exists."""
        await self._call("DELETE", f"/objects/{key}")


class HttpHostList(_PlatformClient):
    """HTTP client of the host list; implements the HostList port."""

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the hosts known to the platform."""
        response = await self._call("GET", "/hosts")
        return msgspec.json.decode(response.content, type=list[HostEntry])


class HttpWeightStore(_PlatformClient):
    """HTTP client of the weight store; implements the WeightStore port."""

    async def manifest(self, model: str, version: int) -> WeightManifest | None:
        """Return the manifest of a version, or None if the store does not have it."""
        response = await self._call("GET", f"/weights/{model}/{version}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return msgspec.json.decode(response.content, type=WeightManifest)
