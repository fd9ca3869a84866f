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


class TestUnusableEntries:
    @pytest.mark.parametrize(
        ("key", "change"),
        [
            ("i-foreign", {"address": "127.0.0.1:70000"}),
            ("i-foreign", {"address": "127.0.0.1:0"}),
            ("i-foreign", {"address": "127.0.0.1:\u00b2"}),
            ("i-foreign", {"address": "no host:80"}),
            ("i-foreign", {"slots": 10**30}),
            ("i-foreign", {"born": 10**30}),
            ("i-é", {}),
            ("i-日本", {}),
            ("i\r\nX: y", {}),
        ],
        ids=str,
    )
    def test_entry_that_no_request_can_use_names_no_server(
        self, key: str, change: dict[str, object]
    ) -> None:
        """A field that passes the decoder must not fail each request that considers the server.

        Its address, or the key that travels in a header, fails in the client; before, every
        request of the service got 500, with sound servers beside it.
        """

        async def work(harness: PlatformHarness) -> None:
            entry = {
                "service": "plain",
                "address": harness.plain[0].address,
                "zone": "a",
                "slots": 1000,
                "state": "ready",
                "born": 1,
            }
            with capture_log_lines() as lines:
                harness.store.put("servers", key, entry | change)
                await harness.until(
                    lambda: any(
                        line["event"] in ("server_entry_unusable", "server_registered")
                        and line["server"] == key
                        for line in lines
                    )
                )
            statuses = [
                (await harness.call("POST", "/plain/x", b"b", request_id=f"r{index}")).status
                for index in range(8)
            ]
            assert statuses == [200] * 8
            backends = harness.daemons[0].node.directory.backends("plain")
            assert {backend.instance.instance_id for backend in backends} == {"p0", "p1"}

        run_with_harness(work)
