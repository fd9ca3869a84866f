"""Ports for the platform's stores and host list."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from verbenawind.kernel.messages import HostEntry, Value, WeightManifest

__all__ = ["HostList", "ObjectStore", "Row", "TableStore", "Transaction", "WeightStore", "Write"]


class Row(Value, frozen=True, kw_only=True):
    """A row of the table service; each write of the key increments ``version`` by one."""

    key: str
    value: bytes
    version: int
    operation_id: str


class Write(Value, frozen=True, kw_only=True):
    """A conditional write.

    ``expect_version`` is the row's required current version (0: absent; None: any). A ``value`` of
    None deletes the row. With ``check_only`` the version is checked and nothing is written.
    """

    key: str
    value: bytes | None = None
    expect_version: int | None = None
    check_only: bool = False


class Transaction(Value, frozen=True, kw_only=True):
    """An atomic set of writes; each written row stores the operation id."""

    operation_id: str
    writes: tuple[Write, ...]


class TableStore(Protocol):
    """The platform's transactional table service.

    Every method raises StoreUnavailable if no response arrives; a commit without a response may
    have taken effect.
    """

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing rows among *keys* in one consistent read."""

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return up to *limit* rows with the key prefix *prefix*, in key order after *after*."""

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction atomically.

        Raises:
            ConditionFailed: A row does not have its expected version; nothing was written.
        """


class ObjectStore(Protocol):
    """The platform's object store; raises StoreUnavailable if no response arrives."""

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*, replacing any existing object."""

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist."""

    async def delete(self, key: str) -> None:
        """Delete an object, if it exists."""


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which lags behind the real state."""

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the hosts known to the platform."""


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def manifest(self, model: str, version: int) -> WeightManifest | None:
        """Return the manifest of a version, or None if the store does not have it."""
