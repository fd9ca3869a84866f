"""Ports towards the platform's stores and lists."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from verbenawind.kernel.messages import HostEntry, Value, WeightManifest

__all__ = ["HostList", "ObjectStore", "Row", "TableStore", "Transaction", "WeightStore", "Write"]


class Row(Value, frozen=True, kw_only=True):
    """One row of the table service; ``version`` rises by one with each write of the key."""

    key: str
    value: bytes
    version: int
    operation_id: str


class Write(Value, frozen=True, kw_only=True):
    """One conditional write.

    ``expect_version`` is the row's version before (0: absent; None: any). ``value`` None
    deletes the row, and with ``check_only`` the row is only compared.
    """

    key: str
    value: bytes | None = None
    expect_version: int | None = None
    check_only: bool = False


class Transaction(Value, frozen=True, kw_only=True):
    """Writes that take effect together or not at all; each written row keeps the operation id."""

    operation_id: str
    writes: tuple[Write, ...]


class TableStore(Protocol):
    """The platform's transactional table service.

    Every method raises StoreUnavailable when no answer came; a commit without an answer may
    have taken effect.
    """

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist among *keys*, in one consistent read."""

    async def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> Sequence[Row]:
        """Return rows whose key starts with *prefix* and sorts after *after*, in key order."""

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction.

        Raises:
            ConditionFailed: A row did not have its expected version; nothing was written.
        """


class ObjectStore(Protocol):
    """The platform's object store; raises StoreUnavailable when no answer came."""

    async def put(self, key: str, data: bytes) -> None:
        """Store *data* under *key*, replacing what was there."""

    async def get(self, key: str) -> bytes | None:
        """Return the object's bytes, or None when there is none."""

    async def delete(self, key: str) -> None:
        """Remove an object; absent ones are ignored."""


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the hosts as the platform sees them."""


class WeightStore(Protocol):
    """The platform's rate-limited weight store."""

    async def manifest(self, model: str, version: int) -> WeightManifest | None:
        """Return what the store holds of a version, None when it is absent."""
