"""Tests of backend server discovery and monitoring, under injected failures."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from verbenawind.daemon import Core
from verbenawind.kernel.messages import EngineOrder, OrderKind
from verbenawind.kernel.ports import SpreadItem
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.network import PLATFORM

LEAVING_S = 3.0


def run_deployment(work: Callable[[Deployment, list[Core]], Awaitable[Any]]) -> Any:
    async def scenario() -> Any:
        deployment = Deployment()
        for index in range(6):
            deployment.add_engine(f"engine-{index}", "tuning", {"tuner": 3}, zone_index=index)
        cores = [deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(9)]
        for core in cores:
            await core.start()
        await asyncio.sleep(10.0)
        result = await work(deployment, cores)
        await deployment.stop()
        return result

    return run_virtual(scenario())


def leaving_everywhere(cores: list[Core], server_id: str) -> bool:
    return all(core.fleet.view(server_id).leaving for core in cores)  # type: ignore[union-attr]


def version(core: Core, server_id: str) -> int | None:
    view = core.fleet.view(server_id)
    model = view.status.model("tuner") if view and view.status else None
    return model.active_version if model else None


class TestLeaving:
    def test_own_report_reaches_all_daemons(self) -> None:
        """An engine that reports itself as leaving is marked so by all daemons within 3 s."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            deployment.engines["engine-0"].leaving = True
            await asyncio.sleep(LEAVING_S)
            assert leaving_everywhere(cores, "engine-0")

        run_deployment(work)

    def test_host_list_reaches_all_daemons(self) -> None:
        """A server listed as leaving is marked so by all daemons within 3 s of the list's lag."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            deployment.hosts.mark_leaving("engine-1")
            await asyncio.sleep(deployment.hosts.lag_s + LEAVING_S)
            assert leaving_everywhere(cores, "engine-1")

        run_deployment(work)

    def test_drain_is_sticky_for_a_late_daemon(self) -> None:
        """A drained server is also marked as leaving by a daemon that starts later."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            item = SpreadItem(kind="leaving", key="engine-2", rank=(1,), body=b"")
            cores[4].peers.spread(item)
            await asyncio.sleep(LEAVING_S)
            assert leaving_everywhere(cores, "engine-2")
            late = deployment.add_daemon("daemon-late")
            await late.start()
            await asyncio.sleep(5.0)
            assert leaving_everywhere([late], "engine-2")

        run_deployment(work)


class TestProbing:
    def test_each_engine_has_two_watchers(self) -> None:
        """The probe rate of an engine matches two watchers, however many daemons run."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            engine = deployment.engines["engine-0"]
            probes = 0
            original = engine.status

            async def counted() -> Any:
                nonlocal probes
                probes += 1
                return await original()

            engine.status = counted  # type: ignore[method-assign]
            await asyncio.sleep(20.0)
            assert 20 * 4 <= probes <= 20 * 9

        run_deployment(work)

    def test_crashed_engine_is_suspected_until_it_returns(self) -> None:
        """A crashed engine is unusable for all daemons in 3 s, and usable 5 s after its restart."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            engine = deployment.engines["engine-3"]
            engine.crash()
            await asyncio.sleep(3.0)
            now_s = deployment.clock.monotonic_s()
            assert not any(core.fleet.view("engine-3").usable(now_s) for core in cores)  # type: ignore[union-attr]
            engine.restart()
            await asyncio.sleep(5.0)
            now_s = deployment.clock.monotonic_s()
            views = [core.fleet.view("engine-3") for core in cores]
            assert all(view is not None and view.usable(now_s) for view in views)
            assert {view.server.incarnation for view in views if view} == {2}

        run_deployment(work)

    def test_result_of_an_order_is_known_everywhere_at_once(self) -> None:
        """The version activated by an order is in every daemon's view within a second."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            deployment.weights.put("tuner", 4)
            view = cores[0].fleet.view("engine-0")
            assert view is not None
            client = cores[0].dependencies.clients.engine(view.server)
            order = EngineOrder(
                order_id="o",
                kind=OrderKind.ACTIVATE,
                model="tuner",
                version=4,
                fencing_number=9,
                weights_uri="weights://tuner/4",
                timeout_s=30.0,
            )
            cores[0].fleet.observe(await client.order(order))
            assert version(cores[0], "engine-0") == 4
            await asyncio.sleep(1.0)
            assert {version(core, "engine-0") for core in cores} == {4}

        run_deployment(work)


class TestHostList:
    def test_emptied_list_is_not_applied_at_once(self) -> None:
        """If the host list suddenly becomes empty, the servers stay in use."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            async def empty_list() -> tuple[()]:
                return ()

            deployment.hosts.hosts = empty_list  # type: ignore[method-assign]
            await asyncio.sleep(8.0)
            assert all(len(core.fleet.all()) == 6 for core in cores)

        run_deployment(work)

    def test_removed_and_new_servers_are_followed(self) -> None:
        """All daemons drop a server removed from the list and add a new one."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            deployment.engines["engine-5"].crash()
            deployment.engines["engine-5"].restart()
            await asyncio.sleep(5.0)
            deployment.hosts.remove("engine-5")
            deployment.add_engine("engine-6", "tuning", {"tuner": 3}, zone_index=1)
            await asyncio.sleep(deployment.hosts.lag_s + 8.0)
            for core in cores:
                assert core.fleet.view("engine-5") is None
                assert version(core, "engine-6") == 3

        run_deployment(work)

    def test_daemon_cut_off_at_start_learns_from_peers(self) -> None:
        """A daemon started in a zone cut off from the platform learns the zone's engines."""

        async def work(deployment: Deployment, cores: list[Core]) -> None:
            zone = cores[0].settings.zone
            for other in [PLATFORM, *(location.zone for location in deployment.locations)]:
                if other != zone:
                    deployment.network.cut(zone, other)
            fresh = deployment.add_daemon("daemon-fresh", zone_index=0)
            await fresh.start()
            await asyncio.sleep(5.0)
            assert version(fresh, "engine-0") == 3
            assert version(fresh, "engine-3") == 3

        run_deployment(work)
