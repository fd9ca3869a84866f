"""Tests of where new jobs go after hosts were lost.

The pattern: a host, or all of them, lose power, and trainers submit their next steps within
seconds. A job that is placed on a host that is gone waits for a takeover, a second or more of the
seven that a step has.
"""

from node.fleet import Fleet, check_complete, job, run_fleet
from verbenawind.batches import JobRecord
from verbenawind.kernel.row_ports import RowId


async def placed_on(fleet: Fleet, host: str, job_id: str, *, events: int = 10) -> JobRecord:
    """Submit a job at a host and return the record that its acceptance made."""
    member = fleet.members[host]
    await fleet.submit(member, job(job_id, events=events))
    known = member.node.job_registry.get(job_id)
    assert known is not None
    return known.record


def owners_in(fleet: Fleet) -> set[str]:
    """Return the incarnations that run."""
    return {member.node.runner.owner for member in fleet.members.values()}


class TestPlacementAfterLosses:
    def test_restarted_host_places_nothing_on_a_host_lost_before(self) -> None:
        """A host that starts reads the rows of lost hosts, and does not take them for live ones."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=4)
            await fleet.clock.sleep(5.0)
            first = await placed_on(fleet, "host-0", "job-1")
            owner = first.owner.partition("#")[0]
            await fleet.collect(fleet.members["host-0"], job("job-1"))
            await fleet.clock.sleep(1.0)
            fleet.power_off(owner)
            await fleet.clock.sleep(2.0)
            fresh = fleet.add_host("host-9")
            await fleet.until(lambda: fresh.node.ready)
            assert (await placed_on(fleet, "host-9", "job-2")).owner in owners_in(fleet)

        run_fleet(work)

    def test_no_job_is_placed_on_a_former_incarnation_after_the_loss_of_all(self) -> None:
        """The first hosts that are back place jobs on themselves, not on hosts still down."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=4)
            await fleet.clock.sleep(5.0)
            await placed_on(fleet, "host-0", "job-1")
            await fleet.clock.sleep(0.3)
            for name in list(fleet.members):
                fleet.power_off(name)
            fleet.powered_off.clear()
            await fleet.clock.sleep(1.5)
            for index in range(2):
                fleet.add_host(f"host-{index}")
            await fleet.until(lambda: all(m.node.ready for m in fleet.members.values()))
            for index in range(2):
                record = await placed_on(fleet, f"host-{index}", f"job-{index + 2}")
                assert record.owner in owners_in(fleet)

        run_fleet(work)

    def test_busy_host_that_missed_two_heartbeats_gets_no_job(self) -> None:
        """A host that owns jobs announces frequent heartbeats; silence counts after two of them."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=4)
            await fleet.clock.sleep(5.0)
            record = await placed_on(fleet, "host-0", "job-1", events=200)
            owner = record.owner.partition("#")[0]
            await fleet.clock.sleep(1.0)
            fleet.power_off(owner)
            await fleet.clock.sleep(1.5)
            other = next(name for name in fleet.members)
            assert (await placed_on(fleet, other, "job-2")).owner in owners_in(fleet)
            submission = job("job-2")
            check_complete(submission, await fleet.collect(fleet.members[other], submission))

        run_fleet(work)

    def test_busy_host_that_becomes_idle_still_gets_jobs(self) -> None:
        """After its last job a host is given the next one of the model, also seconds later."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=4)
            await fleet.clock.sleep(5.0)
            record = await placed_on(fleet, "host-0", "job-1")
            await fleet.collect(fleet.members["host-0"], job("job-1"))
            for index in range(6):
                await fleet.clock.sleep(0.7)
                again = await placed_on(fleet, "host-0", f"job-{index + 2}")
                assert again.owner == record.owner
                await fleet.collect(fleet.members["host-0"], job(f"job-{index + 2}"))

        run_fleet(work)

    def test_reading_the_table_anew_revives_no_host(self) -> None:
        """After a loss of the store's history all rows are read again; a lost host stays lost."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            await fleet.clock.sleep(5.0)
            fleet.power_off("host-2")
            observer = fleet.members["host-0"].node.heartbeats
            for _ in range(7):
                await fleet.clock.sleep(1.0)
                # The followers have not read this change when its history is gone.
                fleet.store.put(RowId(table="other", key="row"), b"")
                fleet.store.truncate_history()
            await fleet.clock.sleep(0.5)
            assert "host-2" not in {heartbeat.host for heartbeat in observer.live_zone_peers()}

        run_fleet(work)
