"""Persistence of batch jobs in the row store: records with owners, results and partial texts."""

from collections.abc import Sequence

import msgspec

from verbenawind.batches.job_rows import (
    JOBS_TABLE,
    RESULTS_TABLE,
    SUBMISSIONS_TABLE,
    TAILS_TABLE,
    TEXTS_TABLE,
    KeptText,
    StoredJob,
    StoredResult,
    Tail,
    decode_job,
    job_row,
    position_key,
    result_row,
    submission_object,
    submission_row,
    tail_row,
    text_row,
    to_stored_result,
)
from verbenawind.batches.types import (
    BatchSubmission,
    ItemResult,
    JobRecord,
    JobState,
)
from verbenawind.errors import RowConflict, StoreUnavailable, Undecodable
from verbenawind.ids import digest_hex
from verbenawind.kernel.decoding import decode_msgpack
from verbenawind.kernel.http_syntax import parse_decimal
from verbenawind.kernel.row_ports import (
    RowCheck,
    RowId,
    RowStore,
    RowTransaction,
    RowWrite,
    replacement_transaction,
)

__all__ = ["JobStore"]

# Fraction of a row's size limit that results may fill; the rest is left for the encoding.
_MAX_ROW_FILL = 0.9
_MAX_TRANSACTION_BYTES = 400 * 1024
_MAX_TRANSACTION_ROWS = 40
_MAX_PAGE_BYTES = 700 * 1024
# A submission up to this size is stored in rows, in the transaction that records its job.
_MAX_SUBMISSION_BYTES = 400 * 1024
# Number of rows that are deleted in one transaction.
_MAX_DELETED_ROWS = 40
_MAX_END_ATTEMPTS = 5


class JobStore:
    """Reads and writes jobs, results and partial texts.

    All rows of a job share one partition. Every transaction that writes results checks the version
    of the job's row, which names the owner, so that a former owner cannot list any.

    Args:
        store: The row store.
        max_row_bytes: The size limit of a row's value.
    """

    __slots__ = ("_max_row_bytes", "_store")

    def __init__(self, store: RowStore, max_row_bytes: int) -> None:
        self._store = store
        self._max_row_bytes = max_row_bytes

    async def accept(
        self, submission: BatchSubmission, record: JobRecord, timeout_s: float
    ) -> StoredJob:
        """Record a job unless it already exists, and return its current state.

        Raises:
            StoreUnavailable: ``effect_possible`` tells whether the job may have been recorded.
        """
        data = msgspec.msgpack.encode(submission)
        if len(data) <= _MAX_SUBMISSION_BYTES:
            pieces = self._pieces(data)
            record = msgspec.structs.replace(record, submission_rows=len(pieces))
        else:
            pieces = []
            await self._put(submission_object(record.job_id), data, timeout_s)
        writes = [RowWrite(row_id=job_row(record.job_id), value=msgspec.json.encode(record))]
        writes += [
            RowWrite(row_id=submission_row(record.job_id, number), value=piece)
            for number, piece in enumerate(pieces)
        ]
        transaction = RowTransaction(
            checks=tuple(RowCheck(row_id=write.row_id, version=0) for write in writes),
            writes=tuple(writes),
        )
        try:
            version = await self._store.commit(transaction, timeout_s)
        except RowConflict:
            existing = await self.job(record.job_id, timeout_s)
            if existing is None:
                raise StoreUnavailable(
                    f"job {record.job_id} already existed but was deleted", effect_possible=True
                ) from None
            return existing
        return StoredJob(record=record, version=version)

    async def job(self, job_id: str, timeout_s: float) -> StoredJob | None:
        """Return a job's record, or None if there is no such job."""
        page = await self._store.rows(JOBS_TABLE, job_id, timeout_s)
        for row in page.rows:
            if row.value is not None:
                return StoredJob(record=decode_job(row.value), version=row.version)
        return None

    async def submission(self, record: JobRecord, timeout_s: float) -> BatchSubmission:
        """Return a job as submitted."""
        if record.submission_rows:
            data = await self._submission_data(record, timeout_s)
        else:
            data = await self._store.get_object(submission_object(record.job_id), timeout_s)
        if data is None:
            raise StoreUnavailable(
                f"the submission of job {record.job_id} is missing from the store",
                effect_possible=False,
            )
        return decode_msgpack(data, BatchSubmission)

    async def _submission_data(self, record: JobRecord, timeout_s: float) -> bytes | None:
        """Return the joined rows of a submission, or None if one is missing."""
        pieces: list[bytes] = []
        while len(pieces) < record.submission_rows:
            page = await self._store.rows(
                SUBMISSIONS_TABLE,
                record.job_id,
                timeout_s,
                first=position_key(len(pieces)),
            )
            found = [row.value for row in page.rows if row.value is not None]
            if not found:
                return None
            pieces += found
        return b"".join(pieces)

    def _pieces(self, data: bytes) -> list[bytes]:
        """Split data into pieces that fit into rows."""
        size_bytes = int(self._max_row_bytes * _MAX_ROW_FILL)
        return [data[first : first + size_bytes] for first in range(0, len(data), size_bytes)]

    async def update(self, job: StoredJob, record: JobRecord, timeout_s: float) -> StoredJob:
        """Replace a job's record.

        Raises:
            RowConflict: The record has changed since it was read.
        """
        row_id = job_row(record.job_id)
        version = await self._store.commit(
            replacement_transaction(row_id, job.version, msgspec.json.encode(record)), timeout_s
        )
        return StoredJob(record=record, version=version)

    async def end(self, job_id: str, timeout_s: float) -> StoredJob | None:
        """End a job, whoever owns it; return None if there is no such job."""
        for _ in range(_MAX_END_ATTEMPTS):
            job = await self.job(job_id, timeout_s)
            if job is None or job.record.state is JobState.ENDED:
                return job
            ended = msgspec.structs.replace(job.record, state=JobState.ENDED)
            try:
                return await self.update(job, ended, timeout_s)
            except RowConflict:
                continue
        raise StoreUnavailable(
            f"job {job_id} was not ended: its row changed on every attempt",
            effect_possible=False,
        )

    async def tail(self, job_id: str, timeout_s: float) -> Tail:
        """Return the end of a job's result list."""
        page = await self._store.rows(TAILS_TABLE, job_id, timeout_s)
        for row in page.rows:
            if row.value is not None:
                return Tail(listed=int(row.value), version=row.version)
        return Tail()

    async def append(
        self,
        job: StoredJob,
        tail: Tail,
        results: Sequence[ItemResult],
        timeout_s: float,
        *,
        repeated: bool = False,
    ) -> Tail:
        """Append results to the list and return the new tail.

        Only the first results are listed if not all of them fit into one transaction. A *repeated*
        call, which follows one with the same arguments and an unknown outcome, lists no result
        twice.

        Raises:
            RowConflict: The job's owner, state or list has changed.
        """
        job_id = job.record.job_id
        checks = [
            RowCheck(row_id=job_row(job_id), version=job.version),
            RowCheck(row_id=tail_row(job_id), version=tail.version),
        ]
        writes: list[RowWrite] = []
        listed = size_bytes = 0
        while listed < len(results) and len(writes) < _MAX_TRANSACTION_ROWS:
            row, count = await self._pack_row(job_id, results[listed:], timeout_s)
            if writes and size_bytes + len(row) > _MAX_TRANSACTION_BYTES:
                break
            listed += count
            size_bytes += len(row)
            row_id = result_row(job_id, tail.listed + listed - 1)
            checks.append(RowCheck(row_id=row_id, version=0))
            writes.append(RowWrite(row_id=row_id, value=row))
        total = tail.listed + listed
        writes.append(RowWrite(row_id=tail_row(job_id), value=str(total).encode()))
        version = await self._store.commit(
            RowTransaction(checks=tuple(checks), writes=tuple(writes)),
            timeout_s,
            repeated=repeated,
        )
        return Tail(listed=total, version=version)

    async def keep_texts(
        self,
        job: StoredJob,
        texts: Sequence[KeptText],
        timeout_s: float,
        *,
        repeated: bool = False,
    ) -> int:
        """Write pieces of partial texts, as many as fit, and return how many were written.

        A *repeated* call follows one with the same arguments and an unknown outcome.

        Raises:
            RowConflict: The job's row has changed, or a piece was already written.
        """
        job_id = job.record.job_id
        checks = [RowCheck(row_id=job_row(job_id), version=job.version)]
        writes: list[RowWrite] = []
        size_bytes = 0
        for text in texts:
            value = msgspec.msgpack.encode(text)
            too_large = len(value) > self._max_row_bytes
            if too_large or (writes and size_bytes + len(value) > _MAX_TRANSACTION_BYTES):
                break
            row_id = text_row(job_id, text)
            checks.append(RowCheck(row_id=row_id, version=0))
            writes.append(RowWrite(row_id=row_id, value=value))
            size_bytes += len(value)
        if writes:
            await self._store.commit(
                RowTransaction(checks=tuple(checks), writes=tuple(writes)),
                timeout_s,
                repeated=repeated,
            )
        return len(writes)

    async def kept_texts(self, job_id: str, timeout_s: float) -> Sequence[KeptText]:
        """Return the persisted pieces of partial texts, in order for each item."""
        found: list[KeptText] = []
        first, more = "", True
        while more:
            page = await self._store.rows(TEXTS_TABLE, job_id, timeout_s, first=first)
            found += [
                decode_msgpack(row.value, KeptText) for row in page.rows if row.value is not None
            ]
            more = page.has_more and bool(page.rows)
            first = page.rows[-1].row_id.key + "\0" if page.rows else ""
        return found

    async def results(
        self, job_id: str, after: int, timeout_s: float, *, limit: int = 100
    ) -> Sequence[ItemResult]:
        """Return listed results from a position on, as many as fit into one response."""
        page = await self._store.rows(
            RESULTS_TABLE, job_id, timeout_s, first=position_key(after), limit=limit
        )
        found: list[ItemResult] = []
        size_bytes = 0
        for row in page.rows:
            if row.value is None:
                continue
            stored = decode_msgpack(row.value, list[StoredResult])
            last = parse_decimal(row.row_id.key)
            if last is None:
                raise Undecodable(f"job {job_id}: {row.row_id.key!r} is not a position")
            first = last - len(stored) + 1
            for result in stored[max(0, after - first) :]:
                text = await self._load_text(result, timeout_s)
                size_bytes += len(text)
                if found and size_bytes > _MAX_PAGE_BYTES:
                    return found
                found.append(
                    ItemResult(
                        item_id=result.item_id,
                        state=result.state,
                        text=text,
                        versions=result.versions,
                        score=result.score,
                    )
                )
        return found

    async def remove(self, job: StoredJob, timeout_s: float) -> None:
        """Delete everything stored for a job.

        The job's own row is deleted last, so that an interrupted removal is tried again.

        Raises:
            RowConflict: The job has changed since it was read.
        """
        job_id = job.record.job_id
        for table in (RESULTS_TABLE, TEXTS_TABLE, TAILS_TABLE, SUBMISSIONS_TABLE):
            while rows := (
                await self._store.rows(table, job_id, timeout_s, limit=_MAX_DELETED_ROWS)
            ).rows:
                for result in rows:
                    await self._drop_text_objects(table, result.value, timeout_s)
                await self._delete([(row.row_id, row.version) for row in rows], timeout_s)
        if not job.record.submission_rows:
            await self._store.delete_object(submission_object(job_id), timeout_s)
        await self._delete([(job_row(job_id), job.version)], timeout_s)

    async def _delete(self, rows: Sequence[tuple[RowId, int]], timeout_s: float) -> None:
        checks = tuple(RowCheck(row_id=row_id, version=version) for row_id, version in rows)
        writes = tuple(RowWrite(row_id=row_id, value=None) for row_id, _ in rows)
        await self._store.commit(RowTransaction(checks=checks, writes=writes), timeout_s)

    async def _drop_text_objects(self, table: str, value: bytes | None, timeout_s: float) -> None:
        """Delete the objects of texts that were too large for a result row."""
        if table != RESULTS_TABLE or value is None:
            return
        for result in decode_msgpack(value, list[StoredResult]):
            if result.text_object:
                await self._store.delete_object(result.text_object, timeout_s)

    async def _pack_row(
        self, job_id: str, results: Sequence[ItemResult], timeout_s: float
    ) -> tuple[bytes, int]:
        """Return a row's value with as many of the results as fit, and their number."""
        room_bytes = int(self._max_row_bytes * _MAX_ROW_FILL)
        row: list[StoredResult] = []
        encoded = b""
        for result in results:
            stored = to_stored_result(result)
            if len(msgspec.msgpack.encode([stored])) > room_bytes:
                stored = await self._store_as_object(job_id, stored, timeout_s)
            candidate = msgspec.msgpack.encode([*row, stored])
            if row and len(candidate) > room_bytes:
                break
            row.append(stored)
            encoded = candidate
        return encoded, len(row)

    async def _store_as_object(
        self, job_id: str, stored: StoredResult, timeout_s: float
    ) -> StoredResult:
        data = stored.text.encode()
        name = f"text-{job_id}-{stored.item_id}-{digest_hex(data)[:16]}"
        await self._put(name, data, timeout_s)
        return msgspec.structs.replace(stored, text="", text_object=name)

    async def _load_text(self, result: StoredResult, timeout_s: float) -> str:
        if not result.text_object:
            return result.text
        data = await self._store.get_object(result.text_object, timeout_s)
        if data is None:
            raise StoreUnavailable(
                f"text object {result.text_object} is missing from the store", effect_possible=False
            )
        return data.decode()

    async def _put(self, name: str, data: bytes, timeout_s: float) -> None:
        """Store an object; an unknown outcome is reported as having no effect."""
        try:
            await self._store.put_object(name, data, timeout_s)
        except StoreUnavailable as error:
            # An object has no effect until a row refers to it.
            raise StoreUnavailable(error.message, effect_possible=False) from error
