"""A trainer's delivery log: appended by conditional writes, read by cursor."""

from collections.abc import Sequence

import msgspec

from verbenawind.errors import ConditionFailed
from verbenawind.ids import digest_hex, new_id
from verbenawind.kernel.ports import Lease, ObjectStore, TableStore, Transaction, Write
from verbenawind.rollout.records import (
    LogEntry,
    LogHead,
    LogPayload,
    decode_log_head,
    head_key,
    log_key,
    log_prefix,
)

__all__ = ["DeliveryLog"]

_APPEND_ATTEMPTS = 8


class DeliveryLog:
    """One trainer's log.

    Args:
        environment: ``name/stage``.
        trainer: The trainer's name.
        table: The table service's client.
        objects: The object store's client.
    """

    __slots__ = ("_environment", "_objects", "_table", "_trainer")

    def __init__(
        self, environment: str, trainer: str, table: TableStore, objects: ObjectStore
    ) -> None:
        self._environment = environment
        self._trainer = trainer
        self._table = table
        self._objects = objects

    async def append(
        self, payload: LogPayload, *, lease: Lease | None = None, extra: Sequence[Write] = ()
    ) -> int:
        """Append a payload, under *lease* when given, together with *extra* writes.

        Raises:
            ConditionFailed: The lease passed on, or an extra write's condition failed.
        """
        data = msgspec.json.encode(payload)
        object_key = f"rollout/{self._environment}/{self._trainer}/{digest_hex(data)}"
        await self._objects.put(object_key, data)
        groups = tuple((group.step, group.group) for group in payload.groups)
        entry = LogEntry(object_key=object_key, groups=groups)
        head = head_key(self._environment, self._trainer)
        for _ in range(_APPEND_ATTEMPTS):
            row = (await self._table.read([head])).get(head)
            sequence = (decode_log_head(row.value).sequence if row else 0) + 1
            writes = [
                Write(
                    key=head,
                    value=msgspec.json.encode(LogHead(sequence=sequence)),
                    expect_version=row.version if row else 0,
                ),
                Write(
                    key=log_key(self._environment, self._trainer, sequence),
                    value=msgspec.json.encode(entry),
                    expect_version=0,
                ),
                *extra,
            ]
            if lease is not None:
                lease.check()
                writes.append(
                    Write(key=lease.row_key, expect_version=lease.row_version, check_only=True)
                )
            try:
                await self._table.commit(
                    Transaction(operation_id=new_id("op"), writes=tuple(writes))
                )
                return sequence
            except ConditionFailed as error:
                if head not in error.keys:
                    raise
        raise ConditionFailed([head])

    async def entries(self, after: int, limit: int) -> Sequence[tuple[int, LogEntry]]:
        """Return up to *limit* entries whose sequence number exceeds *after*."""
        rows = await self._table.scan(
            log_prefix(self._environment, self._trainer),
            after=log_key(self._environment, self._trainer, after),
            limit=limit,
        )
        return [
            (int(row.key.rpartition("/")[2]), msgspec.json.decode(row.value, type=LogEntry))
            for row in rows
        ]

    async def payload(self, entry: LogEntry) -> LogPayload:
        """Return an entry's payload.

        Raises:
            ConditionFailed: The object is gone.
        """
        data = await self._objects.get(entry.object_key)
        if data is None:
            raise ConditionFailed([entry.object_key])
        return msgspec.json.decode(data, type=LogPayload)
