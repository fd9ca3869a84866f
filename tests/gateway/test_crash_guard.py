"""Tests of what a host makes of the ends of servers that others report."""

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

import msgspec

from gateway.guards import create_guard
from gateway.test_server_ends import registration
from verbenawind.clock import LoopClock
from verbenawind.gateway import CRASH_KEY_PREFIX, Backend, CrashGuard, Directory
from verbenawind.gateway.crash_rows import CrashReport
from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.kernel.row_ports import RowId, StoredRow
from verbenawind.standins.deployment import run_virtual


class Service:
    """A service with one server, as a host sees it."""

    def __init__(self) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.directory = Directory(self.clock)
        self.guard: CrashGuard = create_guard(self.directory, self.clock)
        self.directory.put(registration())

    @property
    def server(self) -> Backend:
        backend = self.directory.get("s1")
        assert backend is not None
        return backend

    def report_end(self, host: str = "h2", *, age_ms: int = 0) -> None:
        """Report the server's end as another host does, in a row that this host follows."""
        ended_ms = self.guard.now_ms() - age_ms
        send = UnansweredSend(fingerprint="f.x", sent_ms=ended_ms)
        report = CrashReport(incarnation="s1.1", service="desk", ended_ms=ended_ms, sends=(send,))
        row_id = RowId(table="hosts", key=f"{CRASH_KEY_PREFIX}report/s1.1/{host}")
        row = StoredRow(row_id=row_id, version=1, value=msgspec.json.encode(report))
        self.guard.records.apply_row(row)


def run_service(work: Callable[[Service], Awaitable[None]]) -> None:
    async def run() -> None:
        await work(Service())

    run_virtual(run())


class TestServersLeft:
    def test_reported_end_takes_the_server_away(self) -> None:
        """The service is down until a successor registers."""

        async def work(service: Service) -> None:
            assert not service.guard.is_down("desk")
            service.report_end()
            assert service.guard.is_down("desk")
            service.directory.put(registration(started_ms=2))
            assert not service.guard.is_down("desk")

        run_service(work)

    # Guards against requests refused for servers that only a partitioned host took for ended.
    def test_server_that_has_answered_since_is_left(self) -> None:
        """A host that is cut off reports the end of a server that goes on answering others."""

        async def work(service: Service) -> None:
            service.report_end()
            await service.clock.sleep(0.1)
            service.server.succeeded(0.01)
            assert not service.guard.is_down("desk")

        run_service(work)


class TestSuspicion:
    # Guards against healthy servers that all hosts avoid as one that is cut off reports their ends.
    def test_report_of_one_host_is_short_lived(self) -> None:
        """Several hosts that find the same confirm each other."""

        async def work(service: Service) -> None:
            service.report_end()
            assert service.server.suspected
            await service.clock.sleep(1.1)
            assert not service.server.suspected
            service.report_end("h3")
            await service.clock.sleep(3.9)
            assert service.server.suspected

        run_service(work)

    def test_server_that_has_answered_since_is_not_suspected(self) -> None:
        """The answer came after the finding, and before the report of it."""

        async def work(service: Service) -> None:
            await service.clock.sleep(1.0)
            service.server.succeeded(0.01)
            service.report_end(age_ms=100)
            assert not service.server.suspected

        run_service(work)
