"""Tests that no background task of a host ends for good when it fails once."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from log_lines import capture_log_lines
from node.fleet import Fleet, check_complete, job, run_fleet
from verbenawind.batches import BatchRunner, JobSweeper, JobTakeover
from verbenawind.gateway import CrashGuard, CrashRecords, LimitRecords
from verbenawind.state.heartbeats import HostHeartbeats
from verbenawind.state.row_lease import RowLease
from verbenawind.state.table_follower import TableFollower
from verbenawind.weights.load_scheduler import LoadScheduler

# The classes whose ``run`` a host starts, and the names of their tasks in the log.
TASKS: dict[type[Any], set[str]] = {
    TableFollower: {"operator_feed", "servers_feed", "hosts_feed", "jobs_feed"},
    HostHeartbeats: {"beats"},
    BatchRunner: {"runner"},
    JobTakeover: {"keeper"},
    JobSweeper: {"sweeper"},
    CrashRecords: {"crash_records"},
    CrashGuard: {"crash_guard"},
    LimitRecords: {"limit_records"},
    RowLease: {"lease"},
    LoadScheduler: {"desk"},
}


def failing_once(run: Callable[[Any], Awaitable[None]]) -> Callable[[Any], Awaitable[None]]:
    """Return a method that raises at the first call for each instance."""
    failed: set[int] = set()

    async def run_or_fail(self: Any) -> None:
        if id(self) not in failed:
            failed.add(id(self))
            raise RecursionError("fails once")
        await run(self)

    return run_or_fail


class TestBackgroundWork:
    def test_every_task_is_restarted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Each task that a host starts fails once; all are logged, restarted, and do their work."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, second = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            check_complete(submission, await fleet.collect(second, submission))
            names = {task.get_coro().cr_frame.f_locals["name"] for task in first.node._tasks}
            assert names == {name for found in TASKS.values() for name in found}
            assert not any(task.done() for task in first.node._tasks)

        for kind in TASKS:
            monkeypatch.setattr(kind, "run", failing_once(kind.run))
        with capture_log_lines() as lines:
            run_fleet(work)
        failed = [line["work"] for line in lines if line["event"] == "background_work_failed"]
        expected = [name for found in TASKS.values() for name in found]
        assert sorted(failed) == sorted(2 * expected)
