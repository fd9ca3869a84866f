"""Tests of the change feed of a table whose rows other programs write."""

import asyncio
from datetime import UTC, datetime
from random import Random

from log_lines import capture_log_lines
from verbenawind.clock import LoopClock
from verbenawind.kernel.row_ports import RowId, StoredRow
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.row_store import MemoryRowStore
from verbenawind.state.table_follower import TableFollower


class TestRowsThatFail:
    def test_rows_after_one_that_fails_are_applied(self) -> None:
        """A listener that raises for one row must not keep the feed at that row for ever.

        Both when the table is read at the start and when the row arrives as a change.
        """

        async def work() -> None:
            clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
            store = MemoryRowStore(Random(1))
            applied: list[str] = []

            def apply(row: StoredRow) -> None:
                if row.value == b"bad":
                    raise RecursionError("nested too deeply")
                applied.append(row.row_id.key)

            follower = TableFollower(store.view(), "t", apply, clock=clock, rng=Random(1))
            store.put(RowId(table="t", key="a"), b"bad")
            store.put(RowId(table="t", key="b"), b"good")
            task = asyncio.get_running_loop().create_task(follower.run())
            await clock.sleep(1.0)
            assert applied == ["b"]
            store.put(RowId(table="t", key="c"), b"bad")
            store.put(RowId(table="t", key="d"), b"good")
            await clock.sleep(1.0)
            assert applied == ["b", "d"]
            assert follower.rows_failed == 2 and follower.informed
            task.cancel()

        with capture_log_lines() as lines:
            run_virtual(work())
        failures = [line for line in lines if line["event"] == "feed_row_not_applied"]
        assert [line["key"] for line in failures] == ["a", "c"]
        assert all(isinstance(line["exc_info"], RecursionError) for line in failures)
