"""Tests of the conditions in the transactions on a job, one for each.

A daemon that was frozen or cut off acts on what it knew before: each of its writes must conflict
once the job has another owner, another state or other results.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import pytest

from node.fleet import job
from verbenawind.batches import ItemResult, JobRecord, JobState, JobStore, ResultState, StoredJob
from verbenawind.batches.job_rows import RESULTS_TABLE, KeptText, Tail
from verbenawind.errors import RowConflict, Undecodable
from verbenawind.kernel.row_ports import RowId
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.row_store import MemoryRowStore

TIMEOUT_S = 1.0
SUBMISSION = job()
RECORD = JobRecord(
    job_id=SUBMISSION.job_id,
    host=SUBMISSION.host,
    path=SUBMISSION.path,
    model=SUBMISSION.model,
    step=1,
    min_version=1,
    total=len(SUBMISSION.items),
    submitted_ms=0,
    owner="a#1",
    epoch=1,
)
RESULT = ItemResult(
    item_id=SUBMISSION.items[0].item_id, state=ResultState.COMPLETED, text="x", versions=(1,)
)
OTHER_RESULT = ItemResult(
    item_id=SUBMISSION.items[1].item_id, state=ResultState.COMPLETED, text="y", versions=(1,)
)
TEXT = KeptText(
    item_id=RESULT.item_id, first=0, events=("e",), last_event=1, versions=(1,), last_version=1
)


def with_job(work: Callable[[JobStore, StoredJob], Awaitable[None]]) -> None:
    """Run *work* with a store that holds a job of owner ``a#1``."""

    async def run() -> None:
        store = JobStore(MemoryRowStore(Random(1)).view(), 65536)
        await work(store, await store.accept(SUBMISSION, RECORD, TIMEOUT_S))

    run_virtual(run())


async def take_over(store: JobStore, stored: StoredJob) -> StoredJob:
    """Give the job to another owner, which has not listed anything yet."""
    record = msgspec.structs.replace(stored.record, owner="b#1", epoch=2)
    return await store.update(stored, record, TIMEOUT_S)


class TestFormerOwner:
    def test_lists_nothing_after_a_takeover(self) -> None:
        """The job's row is checked: the tail alone is still as the former owner knows it."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            taken = await take_over(store, stored)
            with pytest.raises(RowConflict):
                await store.append(stored, Tail(), [RESULT], TIMEOUT_S)
            assert await store.results(SUBMISSION.job_id, 0, TIMEOUT_S) == []
            await store.append(taken, Tail(), [OTHER_RESULT], TIMEOUT_S)

        with_job(work)

    def test_lists_nothing_after_the_end(self) -> None:
        """An ended job gets no further result from its owner."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            await store.end(SUBMISSION.job_id, TIMEOUT_S)
            with pytest.raises(RowConflict):
                await store.append(stored, Tail(), [RESULT], TIMEOUT_S)

        with_job(work)

    def test_keeps_no_text_after_a_takeover(self) -> None:
        """A piece of a former owner could leave a gap in the next owner's text."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            await take_over(store, stored)
            with pytest.raises(RowConflict):
                await store.keep_texts(stored, [TEXT], TIMEOUT_S)

        with_job(work)

    def test_closes_nothing_after_a_takeover(self) -> None:
        """A record is replaced only as it was read."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            await take_over(store, stored)
            done = msgspec.structs.replace(stored.record, state=JobState.DONE)
            with pytest.raises(RowConflict):
                await store.update(stored, done, TIMEOUT_S)

        with_job(work)


class TestOneOwner:
    def test_second_transaction_of_the_same_owner_conflicts(self) -> None:
        """The tail is checked: two transactions of one owner cannot fill the same positions."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            await store.append(stored, Tail(), [RESULT, OTHER_RESULT], TIMEOUT_S)
            with pytest.raises(RowConflict):
                await store.append(stored, Tail(), [RESULT], TIMEOUT_S)

        with_job(work)

    def test_piece_of_a_text_is_written_once(self) -> None:
        """A second piece at the same place conflicts, and the first one stays."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            await store.keep_texts(stored, [TEXT], TIMEOUT_S)
            other = msgspec.structs.replace(TEXT, events=("f",))
            with pytest.raises(RowConflict):
                await store.keep_texts(stored, [other], TIMEOUT_S)
            (kept,) = await store.kept_texts(SUBMISSION.job_id, TIMEOUT_S)
            assert kept == TEXT

        with_job(work)


class TestAcceptance:
    def test_job_is_accepted_once(self) -> None:
        """A second acceptance returns the first one's record, whoever it would have made owner."""

        async def work(store: JobStore, stored: StoredJob) -> None:
            other = msgspec.structs.replace(RECORD, owner="c#1")
            again = await store.accept(SUBMISSION, other, TIMEOUT_S)
            assert again.record.owner == "a#1"
            assert again.version == stored.version
            await asyncio.sleep(0)

        with_job(work)


class TestForeignRows:
    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("²", msgspec.msgpack.encode([("i", "completed", "x", (1,))])),
            ("00000000", msgspec.msgpack.encode([("i", "unknown", "x", (1,))])),
            ("00000000", b"\x91" * 5000),
        ],
        ids=["position", "state", "nested"],
    )
    def test_row_that_is_no_result_is_undecodable(self, key: str, value: bytes) -> None:
        """A reader gets an error that promises nothing, rather than a fault of the daemon."""

        async def work() -> None:
            rows = MemoryRowStore(Random(1))
            rows.put(RowId(table=RESULTS_TABLE, part="job-1", key=key), value)
            with pytest.raises(Undecodable):
                await JobStore(rows.view(), 65536).results("job-1", 0, TIMEOUT_S)

        run_virtual(work())
