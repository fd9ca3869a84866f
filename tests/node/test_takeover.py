"""Tests of how soon jobs of a failed owner are taken over, and that live owners keep theirs."""

import pytest

from node.fleet import Fleet, check_complete, job, run_fleet
from verbenawind.batches import BatchSubmission


async def run_job(
    fleet: Fleet, *, hosts: int = 5, events: int, before_s: float = 1.0
) -> tuple[BatchSubmission, str]:
    """Start a fleet and a job, wait for *before_s*, and return the job and its owner."""
    await fleet.start(hosts=hosts, engines=3)
    first, *_ = fleet.members.values()
    submission = job(groups=2, events=events)
    await fleet.submit(first, submission)
    owner = await fleet.owner_of(submission.job_id)
    await fleet.clock.sleep(before_s)
    return submission, owner


def other_owner(fleet: Fleet, job_id: str, former: str) -> bool:
    """Return whether a host other than *former* runs a job."""
    return any(
        name != former and job_id in member.node.runner.jobs
        for name, member in fleet.members.items()
    )


class TestLostOwner:
    @pytest.mark.parametrize("seed", range(4))
    def test_job_of_killed_daemon_is_taken_over_within_1_2_s(self, seed: int) -> None:
        """If the owner's host refuses connections, no heartbeat timeout is awaited."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=150, before_s=1.0 + seed * 0.13)
            fleet.kill(owner)
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert took_s < 1.2
            reader = next(iter(fleet.members.values()))
            check_complete(submission, await fleet.collect(reader, submission))

        run_fleet(work, seed=seed)

    def test_owner_killed_just_after_a_store_outage(self) -> None:
        """An owner killed just after a store outage of 7 s is replaced as soon as without one."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=400)
            fleet.store.faults.down = True
            await fleet.clock.sleep(7.0)
            fleet.store.faults.down = False
            await fleet.clock.sleep(0.07)
            fleet.kill(owner)
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert took_s < 1.2
            reader = next(iter(fleet.members.values()))
            check_complete(submission, await fleet.collect(reader, submission))

        run_fleet(work)

    @pytest.mark.parametrize("outage_s", [0.0, 7.0])
    def test_job_of_unreachable_host_is_taken_over_after_the_shorter_timeout(
        self, outage_s: float
    ) -> None:
        """A host without heartbeats that does not respond to probes has a shorter timeout."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=400)
            fleet.store.faults.down = outage_s > 0
            await fleet.clock.sleep(outage_s)
            fleet.store.faults.down = False
            await fleet.clock.sleep(0.07)
            fleet.power_off(owner)
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert took_s < 1.9
            reader = next(iter(fleet.members.values()))
            check_complete(submission, await fleet.collect(reader, submission))

        run_fleet(work)

    def test_silent_owner_that_accepts_connections_has_the_longer_timeout(self) -> None:
        """An owner that cannot write heartbeats but accepts connections keeps its job longer."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=150)
            fleet.members[owner].view.cut = True
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert 1.4 < took_s < 3.5

        run_fleet(work)


class TestLiveOwner:
    def test_store_outage_takes_no_job_from_a_live_owner(self) -> None:
        """During a store outage owners are probed, accept connections and keep their jobs."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, hosts=4, events=400, before_s=0.0)
            fleet.store.faults.down = True
            await fleet.clock.sleep(6.0)
            assert owner in fleet.probed_hosts
            fleet.store.faults.down = False
            reader = next(iter(fleet.members.values()))
            check_complete(submission, await fleet.collect(reader, submission))
            known = reader.node.job_registry.get(submission.job_id)
            assert known is not None and known.record.epoch == 1

        run_fleet(work)

    def test_few_hosts_probe(self) -> None:
        """In a large fleet only the first claimants of a job probe its owner, at a bounded rate."""

        async def work(fleet: Fleet) -> None:
            await run_job(fleet, hosts=20, events=400)
            fleet.store.faults.down = True
            await fleet.clock.sleep(4.0)
            fleet.store.faults.down = False
            # Three hosts probe every 0.3 s for 3.2 s.
            assert 0 < len(fleet.probed_hosts) <= 3 * 11

        run_fleet(work)
