"""Tests of what a daemon believes of registered servers."""

import msgspec

from batches.test_paces import ManualClock
from verbenawind.gateway import Directory, Instance
from verbenawind.kernel.messages import Location


def instance(**changes: object) -> Instance:
    """Return a server's entry."""
    entry = Instance(
        instance_id="s1",
        service="pool",
        address="10.0.0.1:80",
        location=Location(zone="a", region="a"),
        slots=4,
        draining=False,
        started_ms=1,
        versions={"m": 1},
    )
    return msgspec.structs.replace(entry, **changes)


class TestEntries:
    def test_leaving_server_gets_no_work_and_stays_leaving(self) -> None:
        """A server that has said that it leaves is not believed to be back in one incarnation."""
        directory = Directory(ManualClock())
        directory.put(instance())
        assert directory.backends("pool")
        directory.put(instance(draining=True))
        directory.put(instance(draining=False))
        assert not directory.backends("pool")
        directory.put(instance(started_ms=2))
        assert directory.backends("pool")

    def test_new_incarnation_knows_nothing_of_before(self) -> None:
        """A server that started again under its id has no load and no past failures."""
        directory = Directory(ManualClock())
        directory.put(instance())
        before = directory.backends("pool")[0]
        before.begin()
        before.failed()
        directory.put(instance(started_ms=2))
        (after,) = directory.backends("pool")
        assert after is not before and after.outstanding == 0 and not after.suspected

    def test_removed_entry_is_gone_at_once(self) -> None:
        """While the registry is heard, a removed entry means a server that has left."""
        directory = Directory(ManualClock())
        directory.put(instance())
        directory.remove("s1")
        assert not directory.backends("pool")

    def test_entry_that_lapsed_in_an_outage_has_two_seconds(self) -> None:
        """Right after an outage a removed entry may come back; after two seconds it is gone."""
        clock = ManualClock()
        directory = Directory(clock)
        directory.put(instance())
        clock.now_s = 10.0
        directory.feed_returned(5.0)
        directory.remove("s1")
        clock.now_s = 11.9
        assert directory.backends("pool")
        clock.now_s = 12.1
        assert not directory.backends("pool")

    def test_entry_that_comes_back_stays(self) -> None:
        """A lapsed entry that is written again is an ordinary one."""
        clock = ManualClock()
        directory = Directory(clock)
        directory.put(instance())
        directory.feed_returned(5.0)
        directory.remove("s1")
        clock.now_s = 1.0
        directory.put(instance())
        clock.now_s = 9.0
        assert directory.backends("pool")


class TestHealth:
    def test_suspicion_grows_and_ends(self) -> None:
        """Failures in a row make a server suspect for longer; an answer clears it."""
        clock = ManualClock()
        directory = Directory(clock)
        directory.put(instance())
        (server,) = directory.backends("pool")
        server.failed()
        clock.now_s += 0.6
        assert not server.suspected
        server.failed()
        clock.now_s += 0.6
        assert server.suspected
        server.succeeded(0.04)
        assert not server.suspected
