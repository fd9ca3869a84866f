"""Tests of rows in the platform's store that another program has written."""

import pytest

from log_lines import capture_log_lines
from on_platform.harness import PlatformHarness, run_with_harness
from verbenawind.kernel.row_ports import RowId

NESTED = b"[" * 2000
UNREADABLE = {
    "nested": NESTED,
    "nested in a field": b'{"service":' + NESTED,
    "not text": b"\xff\xfe",
    "empty": b"",
    "another type": b"7",
}
# Rows of each kind that a daemon follows, with the event that tells that one cannot be read.
ROWS = {
    RowId(table="servers", key="i-foreign"): "server_entry_unusable",
    RowId(table="op", key="config"): "operator_row_unreadable",
    RowId(table="op", key="version/tuner"): "operator_row_unreadable",
    RowId(table="hosts", key="host-9"): "beat_unreadable",
    RowId(table="hosts", key="lease/orders"): "lease_row_unreadable",
    RowId(table="hosts", key="crash/report/x/y"): "crash_row_unreadable",
    RowId(table="hosts", key="limit/x"): "limit_row_unreadable",
    RowId(table="batch-jobs", part="j9", key="job"): "job_unreadable",
}


class TestUnreadableRows:
    @pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE.keys())
    @pytest.mark.parametrize("row_id", ROWS, ids=lambda row_id: f"{row_id.table}/{row_id.key}")
    def test_unreadable_row_ends_no_feed(self, row_id: RowId, value: bytes) -> None:
        """Once a row is unreadable, later rows of every table are applied and requests served."""

        async def work(harness: PlatformHarness) -> None:
            node = harness.daemons[0].node
            with capture_log_lines() as lines:
                harness.store.rows.put(row_id, value)
                await harness.until(lambda: ROWS[row_id] in {line["event"] for line in lines})
            events = {line["event"] for line in lines}
            assert not events & {"background_work_failed", "feed_row_not_applied"}
            harness.register(harness.plain[0], "plain", state="draining")
            harness.configure(version=5)
            await harness.until(lambda: len(node.directory.backends("plain")) == 1)
            await harness.until(lambda: node.routes and node.routes.configuration.version == 5)
            response = await harness.call("POST", "/plain/x", b"b")
            assert response.status == 200
            assert not harness.plain[0].seen

        run_with_harness(work)

    def test_daemon_starts_beside_unreadable_rows(self) -> None:
        """A daemon that starts while the rows are there gets ready."""

        async def work(harness: PlatformHarness) -> None:
            for row_id in ROWS:
                if row_id.table != "op":
                    harness.store.rows.put(row_id, NESTED)
            await harness.add_daemon("host-1")
            response = await harness.call("POST", "/plain/x", b"b", daemon=1)
            assert response.status == 200

        run_with_harness(work)

    def test_entry_that_becomes_unreadable_names_no_server(self) -> None:
        """A server whose entry is overwritten gets no requests until it registers again."""

        async def work(harness: PlatformHarness) -> None:
            directory = harness.daemons[0].node.directory
            harness.store.put("servers", "p0", NESTED)
            await harness.until(lambda: len(directory.backends("plain")) == 1)
            assert harness.daemons[0].node.unusable_servers == {"p0"}
            harness.register(harness.plain[0], "plain")
            await harness.until(lambda: len(directory.backends("plain")) == 2)
            assert not harness.daemons[0].node.unusable_servers

        run_with_harness(work)
