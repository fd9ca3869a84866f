"""Tests of how soon a lost owner's jobs go on, and that living owners keep theirs."""

import pytest

from node.fleet import Fleet, check_whole, job, run_fleet
from verbenawind.batches import BatchSubmission


async def run_job(
    fleet: Fleet, *, hosts: int = 5, events: int, before_s: float = 1.0
) -> tuple[BatchSubmission, str]:
    """Start a fleet and a job, and return the job and its owner after some time."""
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
    def test_killed_daemon_is_followed_within_about_a_second(self, seed: int) -> None:
        """A host that refuses connections has no daemon; its jobs go on without further silence."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=150, before_s=1.0 + seed * 0.13)
            fleet.kill(owner)
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert took_s < 1.2
            reader = next(iter(fleet.members.values()))
            check_whole(submission, await fleet.collect(reader, submission))

        run_fleet(work, seed=seed)

    def test_owner_that_is_killed_as_the_store_returns(self) -> None:
        """The store is away for 7 s and the owner is killed just after: no time is lost twice."""

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
            check_whole(submission, await fleet.collect(reader, submission))

        run_fleet(work)

    @pytest.mark.parametrize("outage_s", [0.0, 7.0])
    def test_host_without_power_is_followed_soon(self, outage_s: float) -> None:
        """Neither beats nor answers come: a shorter silence is enough, also after an outage."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=400)
            fleet.store.faults.down = outage_s > 0
            await fleet.clock.sleep(outage_s)
            fleet.store.faults.down = False
            await fleet.clock.sleep(0.07)
            fleet.lose(owner)
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert took_s < 1.9
            reader = next(iter(fleet.members.values()))
            check_whole(submission, await fleet.collect(reader, submission))

        run_fleet(work)

    def test_silent_owner_that_answers_its_peers_is_given_time(self) -> None:
        """An owner that cannot write beats but lives keeps its job for the longer silence."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, events=150)
            fleet.members[owner].view.cut = True
            took_s = await fleet.until(lambda: other_owner(fleet, submission.job_id, owner))
            assert 1.4 < took_s < 3.5

        run_fleet(work)


class TestLivingOwner:
    def test_outage_takes_no_job_from_a_living_owner(self) -> None:
        """While the store is away owners are asked, answer, and keep their jobs."""

        async def work(fleet: Fleet) -> None:
            submission, owner = await run_job(fleet, hosts=4, events=400, before_s=0.0)
            fleet.store.faults.down = True
            await fleet.clock.sleep(6.0)
            assert owner in fleet.asked
            fleet.store.faults.down = False
            reader = next(iter(fleet.members.values()))
            check_whole(submission, await fleet.collect(reader, submission))
            known = reader.node.job_registry.get(submission.job_id)
            assert known is not None and known.record.epoch == 1

        run_fleet(work)

    def test_few_hosts_ask(self) -> None:
        """In a fleet of many hosts only the first claimants of a job ask, a few times a second."""

        async def work(fleet: Fleet) -> None:
            await run_job(fleet, hosts=20, events=400)
            fleet.store.faults.down = True
            await fleet.clock.sleep(4.0)
            fleet.store.faults.down = False
            # Three hosts, each 0.3 s, for 3.2 s.
            assert 0 < len(fleet.asked) <= 3 * 11

        run_fleet(work)
