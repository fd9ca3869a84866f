"""Tests of the directory of registered servers."""

import msgspec

from batches.test_paces import ManualClock
from verbenawind.gateway import Directory, Instance
from verbenawind.kernel.messages import Location


def instance(**changes: object) -> Instance:
    """Return a server's registry entry."""
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
    def test_draining_server_stays_draining(self) -> None:
        """A draining server gets no requests until it registers a new incarnation."""
        directory = Directory(ManualClock())
        directory.put(instance())
        assert directory.backends("pool")
        directory.put(instance(draining=True))
        directory.put(instance(draining=False))
        assert not directory.backends("pool")
        directory.put(instance(started_ms=2))
        assert directory.backends("pool")

    def test_new_incarnation_starts_without_history(self) -> None:
        """A server that restarts under the same id has no outstanding requests or failures."""
        directory = Directory(ManualClock())
        directory.put(instance())
        before = directory.backends("pool")[0]
        before.begin()
        before.failed()
        directory.put(instance(started_ms=2))
        (after,) = directory.backends("pool")
        assert after is not before and after.outstanding == 0 and not after.suspected

    def test_removed_server_gets_no_requests(self) -> None:
        """While the registry feed works, a removed entry takes effect at once."""
        directory = Directory(ManualClock())
        directory.put(instance())
        directory.remove("s1")
        assert not directory.backends("pool")

    def test_entry_removed_after_an_outage_is_kept_for_two_seconds(self) -> None:
        """An entry that expired in an outage may return, so it is removed after two seconds."""
        clock = ManualClock()
        directory = Directory(clock)
        directory.put(instance())
        clock.now_s = 10.0
        directory.feed_recovered(5.0)
        directory.remove("s1")
        clock.now_s = 11.9
        assert directory.backends("pool")
        clock.now_s = 12.1
        assert not directory.backends("pool")

    def test_entry_that_is_registered_again_stays(self) -> None:
        """An expired entry that is registered again is no longer pending removal."""
        clock = ManualClock()
        directory = Directory(clock)
        directory.put(instance())
        directory.feed_recovered(5.0)
        directory.remove("s1")
        clock.now_s = 1.0
        directory.put(instance())
        clock.now_s = 9.0
        assert directory.backends("pool")


class TestHealth:
    def test_suspicion_grows_and_is_cleared(self) -> None:
        """Consecutive failures extend the suspicion; an answer clears it."""
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
