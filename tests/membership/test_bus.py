"""Tests of membership and gossip between daemons on virtual time, under injected failures."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from random import Random
from typing import Any

import pytest

from verbenawind.clock import LoopClock
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.messages import Location
from verbenawind.kernel.ports import SpreadItem
from verbenawind.membership import GossipBus
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.network import PausableClock, Process, StandinNetwork
from verbenawind.standins.peer_network import NetworkTransport

KEY = b"a-shared-key-of-all-daemons"


class Cluster:
    """Peer buses in one process, without complete daemons."""

    def __init__(self, sizes: dict[str, int], seed: int = 1) -> None:
        self.rng = Random(seed)
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.network = StandinNetwork(self.clock, self.rng)
        self.addresses: dict[str, str] = {}
        self.zones = {f"{zone}-{n}": zone for zone, size in sizes.items() for n in range(size)}
        for peer_id in self.zones:
            self.addresses[peer_id] = self.network.new_address()
        self.buses: dict[str, GossipBus] = {}
        self.processes: dict[str, Process] = {}

    def make(
        self,
        peer_id: str,
        *,
        zone: str | None = None,
        key: bytes = KEY,
        address: str | None = None,
        skew_s: float = 0.0,
    ) -> GossipBus:
        zone = zone or self.zones[peer_id]
        process = Process(self.network, zone)
        bus = GossipBus(
            peer_id=peer_id,
            location=Location(zone=zone, region=zone),
            listen=address or self.addresses[peer_id],
            key=key,
            seeds=tuple(self.addresses.values())[:3],
            transport=NetworkTransport(process),
            clock=PausableClock(LoopClock(datetime(2026, 1, 1, tzinfo=UTC), skew_s), process),
            rng=Random(self.rng.random()),
        )
        self.buses[peer_id] = bus
        self.processes[peer_id] = process
        return bus

    async def start(self) -> None:
        for peer_id in self.zones:
            await self.make(peer_id).start()
        await self.until(lambda: self.complete(self.zones), 20.0)

    def complete(self, ids: Any) -> bool:
        wanted = set(ids)
        return all(
            {peer.peer_id for peer in self.buses[peer_id].peers()} == wanted - {peer_id}
            for peer_id in wanted
        )

    def lists(self, peer_id: str, observers: Any) -> bool:
        return any(
            peer.peer_id == peer_id for other in observers for peer in self.buses[other].peers()
        )

    async def until(self, condition: Callable[[], bool], limit_s: float) -> float:
        started_s = self.clock.monotonic_s()
        while not condition():
            passed_s = self.clock.monotonic_s() - started_s
            assert passed_s < limit_s, f"condition not met within {limit_s} s"
            await asyncio.sleep(0.05)
        return self.clock.monotonic_s() - started_s

    async def stop(self) -> None:
        for bus in self.buses.values():
            await bus.kill()


def run_cluster(
    sizes: dict[str, int], work: Callable[[Cluster], Awaitable[Any]], seed: int = 1
) -> Any:
    async def scenario() -> Any:
        cluster = Cluster(sizes, seed)
        await cluster.start()
        result = await work(cluster)
        await cluster.stop()
        return result

    return run_virtual(scenario())


def _item(kind: str, rank: int, body: bytes = b"x") -> SpreadItem:
    return SpreadItem(kind=kind, key="k", rank=(rank,), body=body)


class TestDetection:
    @pytest.mark.parametrize("silent", [False, True])
    def test_crash_is_seen_by_the_zone_within_5_s(self, silent: bool) -> None:
        """A killed process or silent host is removed by all daemons of its zone within 5 s."""

        async def work(cluster: Cluster) -> float:
            victim, others = "a-3", [name for name in cluster.zones if name[0] == "a"]
            others.remove(victim)
            if silent:
                cluster.processes[victim].pause()
            else:
                await cluster.buses[victim].kill()
            return await cluster.until(lambda: not cluster.lists(victim, others), 5.0)

        run_cluster({"a": 12, "b": 3}, work)

    def test_leave_is_seen_within_2_s(self) -> None:
        """A daemon that stops gracefully is removed by its zone within 2 s."""

        async def work(cluster: Cluster) -> None:
            await cluster.buses["a-0"].stop()
            others = [name for name in cluster.zones if name not in ("a-0",) and name[0] == "a"]
            await cluster.until(lambda: not cluster.lists("a-0", others), 2.0)

        run_cluster({"a": 12, "b": 3}, work)

    def test_no_false_death_with_a_tenth_of_messages_lost(self) -> None:
        """With 10% of messages lost, no daemon is falsely declared dead in five minutes."""

        async def work(cluster: Cluster) -> None:
            cluster.network.loss_rate = 0.1
            for _ in range(600):
                await asyncio.sleep(0.5)
                assert cluster.complete(cluster.zones)

        run_cluster({"a": 8, "b": 2}, work)

    def test_resumed_process_rejoins_without_false_deaths(self) -> None:
        """A process paused for a minute is listed again and does not declare others dead."""

        async def work(cluster: Cluster) -> None:
            others = [name for name in cluster.zones if name != "a-1"]
            cluster.processes["a-1"].pause()
            await cluster.until(lambda: not cluster.lists("a-1", others), 10.0)
            await asyncio.sleep(60.0)
            cluster.processes["a-1"].resume()
            for _ in range(200):
                await asyncio.sleep(0.1)
                assert cluster.complete(others) or cluster.lists("a-1", others)
            assert cluster.complete(cluster.zones)

        run_cluster({"a": 5}, work)


class TestIncarnations:
    @pytest.mark.parametrize("skew_s", [0.0, -3600.0])
    def test_return_at_the_same_address(self, skew_s: float) -> None:
        """A crashed daemon rejoins at its old address, even if its clock stepped back."""

        async def work(cluster: Cluster) -> None:
            await cluster.buses["a-2"].kill()
            others = [name for name in cluster.zones if name != "a-2"]
            await cluster.until(lambda: not cluster.lists("a-2", others), 6.0)
            await cluster.make("a-2", skew_s=skew_s).start()
            await cluster.until(lambda: cluster.complete(cluster.zones), 10.0)

        run_cluster({"a": 5}, work)

    def test_return_within_a_second_at_another_address(self) -> None:
        """A daemon replaced immediately at another address is listed there by all others."""

        async def work(cluster: Cluster) -> None:
            await cluster.buses["a-2"].kill()
            address = cluster.network.new_address()
            await cluster.make("a-2", address=address).start()
            await cluster.until(
                lambda: all(
                    any(peer.address == address for peer in cluster.buses[other].peers())
                    for other in cluster.zones
                    if other != "a-2"
                ),
                10.0,
            )

        run_cluster({"a": 5}, work)

    def test_duplicate_id_is_resolved(self) -> None:
        """Exactly one of two daemons with one id is superseded, and incarnations stop changing."""

        async def work(cluster: Cluster) -> None:
            first = cluster.buses["a-1"]
            second = cluster.make("a-1", address=cluster.network.new_address())
            await second.start()
            await cluster.until(lambda: first.superseded or second.superseded, 30.0)
            await asyncio.sleep(5.0)
            incarnations = (first.roster.incarnation, second.roster.incarnation)
            await asyncio.sleep(30.0)
            assert first.superseded != second.superseded
            assert incarnations == (first.roster.incarnation, second.roster.incarnation)
            await first.kill()

        run_cluster({"a": 4}, work)


class TestLinks:
    def test_daemon_with_another_key_is_refused(self) -> None:
        """A daemon with a different key is not listed and receives no items."""

        async def work(cluster: Cluster) -> None:
            address = cluster.network.new_address()
            unauthorized = cluster.make("x-0", zone="a", key=b"another-key", address=address)
            cluster.buses["a-0"].spread(_item("revision", 7))
            await unauthorized.start()
            await asyncio.sleep(20.0)
            assert unauthorized.peers() == ()
            assert unauthorized.items("revision") == ()
            assert not cluster.lists("x-0", cluster.zones)

        run_cluster({"a": 3}, work)

    def test_number_of_links_stays_small(self) -> None:
        """No daemon in a zone of 40 keeps more than twelve links."""

        async def work(cluster: Cluster) -> None:
            await asyncio.sleep(30.0)
            assert max(len(bus.links()) for bus in cluster.buses.values()) <= 12

        run_cluster({"a": 40, "b": 4}, work)


class TestPartition:
    @pytest.mark.parametrize("both_ways", [True, False])
    def test_items_converge_after_a_partition(self, both_ways: bool) -> None:
        """Items spread on both sides of a partition reach all daemons soon after it heals."""

        async def work(cluster: Cluster) -> None:
            cluster.network.cut("a", "b", both_ways=both_ways)
            await asyncio.sleep(30.0)
            cluster.buses["a-0"].spread(_item("revision", 5))
            cluster.buses["b-0"].spread(_item("leaving", 1))
            await asyncio.sleep(5.0)
            assert cluster.complete(cluster.zones)
            cluster.network.heal()
            await cluster.until(
                lambda: all(
                    bus.items("revision") and bus.items("leaving") for bus in cluster.buses.values()
                ),
                15.0,
            )

        run_cluster({"a": 4, "b": 4}, work)


class TestSpreading:
    def test_highest_rank_wins_everywhere(self) -> None:
        """All daemons converge to the highest rank, regardless of the order of spreading."""

        async def work(cluster: Cluster) -> None:
            cluster.network.loss_rate = 0.1
            for rank, peer_id in ((2, "a-0"), (3, "b-1"), (1, "a-4")):
                cluster.buses[peer_id].spread(_item("revision", rank, b"y" * 5000))
            await asyncio.sleep(5.0)
            for bus in cluster.buses.values():
                assert [item.rank for item in bus.items("revision")] == [(3,)]

        run_cluster({"a": 6, "b": 3}, work)

    def test_new_daemon_gets_everything(self) -> None:
        """A daemon that joins late receives every item, including bulk ones."""

        async def work(cluster: Cluster) -> None:
            for number in range(200):
                item = SpreadItem(kind="engine", key=f"e-{number}", rank=(1,), body=b"s" * 40)
                cluster.buses["a-0"].spread(item)
            cluster.buses["a-1"].spread(_item("revision", 4, b"z" * 20_000))
            await asyncio.sleep(5.0)
            cluster.zones["a-9"] = "a"
            cluster.addresses["a-9"] = cluster.network.new_address()
            late = cluster.make("a-9")
            await late.start()
            await cluster.until(
                lambda: len(late.items("engine")) == 200 and len(late.items("revision")) == 1, 5.0
            )

        run_cluster({"a": 5}, work)

    def test_lost_bulk_items_are_repaired(self) -> None:
        """With 10% of messages lost the latest bulk items still reach the whole zone."""

        async def work(cluster: Cluster) -> None:
            cluster.network.loss_rate = 0.1
            for number in range(300):
                item = SpreadItem(kind="engine", key=f"e-{number % 50}", rank=(number,), body=b"")
                cluster.buses[f"a-{number % 8}"].spread(item)
                await asyncio.sleep(0.05)
            cluster.network.loss_rate = 0.0
            newest = {f"e-{number % 50}": (number,) for number in range(300)}
            await cluster.until(
                lambda: all(
                    {item.key: item.rank for item in bus.items("engine")} == newest
                    for bus in cluster.buses.values()
                ),
                30.0,
            )

        run_cluster({"a": 8}, work)

    def test_undecodable_items_are_ignored(self) -> None:
        """An item whose body cannot be decoded affects neither links nor other items."""

        async def work(cluster: Cluster) -> None:
            item = SpreadItem(kind="member", key="m", rank=(1, 0, 0), body=b"\xff")
            cluster.buses["a-0"].spread(item)
            cluster.buses["a-0"].spread(_item("revision", 2))
            await asyncio.sleep(10.0)
            assert cluster.complete(cluster.zones)
            assert all(bus.items("revision") for bus in cluster.buses.values())

        run_cluster({"a": 3}, work)

    def test_expired_items_are_removed(self) -> None:
        """An item disappears after its expiry, and peers do not restore it."""

        async def work(cluster: Cluster) -> None:
            expires_at_s = cluster.clock.now().timestamp() + 3.0
            cluster.buses["a-0"].spread(
                SpreadItem(kind="suspect", key="k", rank=(1,), body=b"", expires_at_s=expires_at_s)
            )
            await asyncio.sleep(1.0)
            assert all(bus.items("suspect") for bus in cluster.buses.values())
            await asyncio.sleep(3.0)
            assert not any(bus.items("suspect") for bus in cluster.buses.values())

        run_cluster({"a": 3}, work)


class TestCalls:
    def test_call_is_answered_by_the_peer(self) -> None:
        """A call reaches the handler of the named peer, and an unknown kind is rejected."""

        async def work(cluster: Cluster) -> None:
            async def answer(body: bytes) -> bytes:
                return body + b"!"

            cluster.buses["b-0"].on_call("echo", answer)
            assert await cluster.buses["a-0"].call("b-0", "echo", b"hi", 2.0) == b"hi!"
            with pytest.raises(PeerUnreachable, match="no handler"):
                await cluster.buses["a-0"].call("b-0", "nothing", b"", 2.0)

        run_cluster({"a": 2, "b": 2}, work)

    def test_call_to_a_dead_peer_fails(self) -> None:
        """A call whose peer dies while it runs raises PeerUnreachable before its timeout."""

        async def work(cluster: Cluster) -> None:
            async def never(_: bytes) -> bytes:
                await asyncio.sleep(1000.0)
                return b""

            cluster.buses["a-1"].on_call("hang", never)
            call = asyncio.ensure_future(cluster.buses["a-0"].call("a-1", "hang", b"", 100.0))
            await asyncio.sleep(1.0)
            await cluster.buses["a-1"].kill()
            with pytest.raises(PeerUnreachable):
                async with asyncio.timeout(5.0):
                    await call

        run_cluster({"a": 2}, work)
