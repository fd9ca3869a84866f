"""Tests of failure detection by heartbeat rows in the store."""

from node.fleet import Fleet, run_fleet
from verbenawind.kernel.row_ports import RowId
from verbenawind.state.heartbeats import HOSTS_TABLE


class TestMissedHeartbeats:
    def test_silent_owner_is_gone_after_two_seconds(self) -> None:
        """A host without heartbeats is presumed gone within 2.5 s, but not after a missed one."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            owner = first.node.runner.owner
            await fleet.until(lambda: second.node.heartbeats.others())
            fleet.kill(first.name)
            since_s = fleet.clock.monotonic_s()
            took_s = await fleet.until(lambda: second.node.heartbeats.is_gone(owner, since_s))
            assert 1.0 < took_s < 2.5

        run_fleet(work)

    def test_no_host_is_gone_during_a_table_outage(self) -> None:
        """During an outage of the table, and shortly after it, no host is presumed gone."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            owner = first.node.runner.owner
            since_s = fleet.clock.monotonic_s()
            fleet.store.faults.down = True
            for _ in range(60):
                await fleet.clock.sleep(0.1)
                assert not second.node.heartbeats.is_gone(owner, since_s)
            fleet.store.faults.down = False
            for _ in range(10):
                await fleet.clock.sleep(0.1)
                assert not second.node.heartbeats.is_gone(owner, since_s)

        run_fleet(work)


class TestIncarnations:
    def test_replaced_process_is_gone_at_once(self) -> None:
        """A process is presumed gone once its successor on the host has written a heartbeat."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            owner = first.node.runner.owner
            await fleet.until(lambda: second.node.heartbeats.others())
            fleet.kill(first.name)
            fleet.add_host(first.name)
            took_s = await fleet.until(
                lambda: second.node.heartbeats.is_gone(owner, fleet.clock.monotonic_s())
            )
            assert took_s < 0.6

        run_fleet(work)

    def test_process_whose_first_heartbeat_is_late_is_not_gone(self) -> None:
        """A new process that owns work before its first heartbeat arrives is not presumed gone."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            await fleet.until(lambda: second.node.heartbeats.others())
            newer = f"{first.name}#newer"
            since_s = fleet.clock.monotonic_s()
            assert not second.node.heartbeats.is_gone(newer, since_s)
            await fleet.clock.sleep(1.0)
            assert not second.node.heartbeats.is_gone(newer, since_s)

        run_fleet(work)

    def test_leaving_host_is_gone_at_once(self) -> None:
        """A host that announces its departure is presumed gone at once."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=2)
            first, second = fleet.members.values()
            owner = first.node.runner.owner
            await first.node.heartbeats.write(leaving=True)
            took_s = await fleet.until(
                lambda: second.node.heartbeats.is_gone(owner, fleet.clock.monotonic_s())
            )
            assert took_s < 0.6

        run_fleet(work)


class TestWrites:
    def test_idle_hosts_write_rarely(self) -> None:
        """Hosts without work write a row every few seconds, not several per second."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=4)
            row_ids = [RowId(table=HOSTS_TABLE, key=name) for name in fleet.members]
            await fleet.clock.sleep(1.0)
            before = [fleet.store.row(row_id) for row_id in row_ids]
            await fleet.clock.sleep(2.0)
            after = [fleet.store.row(row_id) for row_id in row_ids]
            changed = sum(
                a.version != b.version for a, b in zip(after, before, strict=True) if a and b
            )
            assert changed <= 3

        run_fleet(work)
