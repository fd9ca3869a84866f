"""Tests of what a host makes of the ends of servers that others report."""

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

from gateway.guards import create_guard
from gateway.test_server_ends import registration
from verbenawind.clock import LoopClock
from verbenawind.gateway import Backend, CrashGuard, Directory
from verbenawind.gateway.crash_rows import CrashReport
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

    def report_end(self) -> None:
        """Report the server's end as another host does."""
        report = CrashReport(
            incarnation="s1.1", service="desk", ended_ms=self.guard.now_ms(), sends=()
        )
        self.guard.history.put_report("s1.1/h2", report)


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
