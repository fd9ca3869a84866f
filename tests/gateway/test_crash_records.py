"""Tests of the rows through which hosts share servers' ends, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from random import Random

from verbenawind.clock import LoopClock
from verbenawind.gateway import CrashHistory, CrashRecords
from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.kernel.row_ports import RowId, StoredRow
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.row_store import MemoryRowStore

TABLE = "hosts"


class Sharing:
    """A store, and the records of one host whose feed the test passes on by hand."""

    def __init__(self) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryRowStore(Random(1))
        self.history, self.records = self.host("a#1")
        self.task = asyncio.ensure_future(self.records.run())

    def host(self, owner: str) -> tuple[CrashHistory, CrashRecords]:
        """Return the history and the records of a host."""
        history = CrashHistory()
        records = CrashRecords(
            history,
            self.store.view(),
            TABLE,
            owner,
            clock=self.clock,
            store_ms=self.store.store_ms,
        )
        return history, records

    def rows(self) -> tuple[StoredRow, ...]:
        """Return the stored rows."""
        return self.store.page(TABLE, "", "", 1000).rows

    def send(self, fingerprint: str = "f") -> UnansweredSend:
        return UnansweredSend(fingerprint=fingerprint, sent_ms=self.store.store_ms())


def run_sharing(work: Callable[[Sharing], Awaitable[None]]) -> None:
    async def run() -> None:
        sharing = Sharing()
        await work(sharing)
        sharing.task.cancel()

    run_virtual(run())


class TestCrashRecords:
    def test_late_feed_undoes_no_withdrawal(self) -> None:
        """The feed brings the first version of a report after its request was taken out."""

        async def work(sharing: Sharing) -> None:
            sharing.records.report("s.1", "desk", [sharing.send()])
            await sharing.clock.sleep(0.1)
            (first,) = sharing.rows()
            sharing.records.withdraw("f")
            sharing.records.apply_row(first)
            assert not sharing.history.fingerprints()
            sharing.records.wake()
            await sharing.clock.sleep(0.1)
            sharing.records.apply_row(first)
            assert not sharing.history.fingerprints()
            (second,) = sharing.rows()
            assert b"fingerprint" not in (second.value or b"")

        run_sharing(work)

    def test_late_feed_brings_no_revoked_report_back(self) -> None:
        """The feed brings a report after this host deleted its row."""

        async def work(sharing: Sharing) -> None:
            sharing.records.report("s.1", "desk", [sharing.send()])
            await sharing.clock.sleep(0.1)
            (row,) = sharing.rows()
            sharing.records.revoke("s.1")
            await sharing.clock.sleep(0.1)
            assert not sharing.rows()
            sharing.records.apply_row(row)
            assert sharing.history.empty
            # The server ends later on, and is reported again.
            sharing.records.report("s.1", "desk", [sharing.send()])
            await sharing.clock.sleep(0.1)
            assert len(sharing.rows()) == 1

        run_sharing(work)

    def test_only_one_of_two_hosts_claims_a_trial(self) -> None:
        """Both claim with the version that they know; lost answers change nothing."""

        async def work(sharing: Sharing) -> None:
            sharing.store.faults.lost_answers = 0.5
            for number in range(20):
                hosts = [sharing.host(f"{name}#1")[1] for name in "abc"]
                claims = await asyncio.gather(
                    *(host.claim(f"f{number}", doubtful=False) for host in hosts)
                )
                assert sum(claims) <= 1

        run_sharing(work)

    def test_given_back_trial_overrules_no_later_claim(self) -> None:
        """Another host claims the next trial before this one's release is written."""

        async def work(sharing: Sharing) -> None:
            assert await sharing.records.claim("f", doubtful=False)
            (claimed,) = sharing.rows()
            sharing.store.faults.down = True
            sharing.records.release("f")
            await sharing.clock.sleep(0.1)
            other = b'{"claim_id":"x","claimed_ms":9,"terms":{"":{"trials":2,"until_ms":99}}}'
            sharing.store.put(RowId(table=TABLE, key=claimed.row_id.key), other)
            sharing.store.faults.down = False
            await sharing.clock.sleep(5.0)
            (row,) = sharing.rows()
            assert row.value == other

        run_sharing(work)

    def test_unreadable_row_is_skipped(self) -> None:
        """A row of another writer changes nothing and stops nothing."""

        async def work(sharing: Sharing) -> None:
            row_id = RowId(table=TABLE, key="crash/report/x/y")
            sharing.records.apply_row(StoredRow(row_id=row_id, value=b"{", version=1))
            assert sharing.history.empty

        run_sharing(work)
