"""Tests of monitoring many engines with few daemons."""

import asyncio

from verbenawind.standins.deployment import Deployment, run_virtual


class TestManyEngines:
    def test_one_daemon_learns_the_state_of_all_engines(self) -> None:
        """The only daemon of a zone has a status of each of its 150 engines within 5 s."""

        async def scenario() -> int:
            deployment = Deployment(regions=("bangkok",))
            for index in range(150):
                deployment.add_engine(f"engine-{index}", "pool", {"model": 0})
            core = deployment.add_daemon("daemon-0")
            await core.start()
            await asyncio.sleep(5.0)
            reported = sum(view.status is not None for view in core.fleet.all())
            await deployment.stop()
            return reported

        assert run_virtual(scenario()) == 150
