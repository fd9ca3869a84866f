"""Tests of weight updates under failures, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from verbenawind.daemon import Core
from verbenawind.document import EnvironmentRevision, parse_document
from verbenawind.kernel.messages import OrderKind
from verbenawind.kernel.rollouts import PublishedVersion
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.engine import StandinEngine

DOCUMENT = """
{
  "environment": "siam-fold",
  "pools": [{"name": "tuning", "checks_fencing": %(checks)s, "order_timeout_s": 3}],
  "models": [
    {"name": "tuner", "pool": "tuning"},
    {"name": "gluer", "pool": "tuning"}
  ],
  "callers": [%(callers)s],
  "weights": {"activation_delay_s": %(delay_s)s}
}
"""
APPLICATION = """{"name": "shop", "kind": "application", "models": ["tuner"],
    "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"}"""


class ControllerHarness:
    """A simulated zone with engines, one or two daemons and a document in force."""

    def __init__(self, deployment: Deployment, revision: EnvironmentRevision) -> None:
        self.deployment = deployment
        self.revision = revision

    async def publish(self, version: int, model: str = "tuner", *, at: Core | None = None) -> None:
        manifest = self.deployment.weights.put(model, version)
        core = at or next(iter(self.deployment.daemons.values()))
        spec = self.revision.document.model(model)
        assert spec is not None
        await core.rollouts.publish_version(
            self.revision,
            spec,
            PublishedVersion(model=model, version=version, weights_uri=manifest.uri),
        )

    async def until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        ends_at_s = self.deployment.clock.monotonic_s() + limit_s
        while self.deployment.clock.monotonic_s() < ends_at_s:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return condition()

    def all_at(self, version: int, model: str = "tuner") -> bool:
        return all(
            engine.active_version(model) == version for engine in self.deployment.engines.values()
        )


def run_scenario(
    scenario: Callable[[ControllerHarness], Awaitable[None]],
    *,
    engines: int = 3,
    daemons: int = 1,
    checks_fencing: bool = True,
    applications: bool = False,
    activation_delay_s: float = 0.0,
) -> None:
    async def run() -> None:
        deployment = Deployment(regions=("bangkok",))
        for index in range(engines):
            deployment.add_engine(
                f"engine-{index}",
                "tuning",
                {"tuner": 0, "gluer": 0},
                checks_fencing=checks_fencing,
            )
        cores: list[Core] = [deployment.add_daemon(f"daemon-{index}") for index in range(daemons)]
        for core in cores:
            await core.start()
        text = DOCUMENT % {
            "checks": str(checks_fencing).lower(),
            "callers": APPLICATION if applications else "",
            "delay_s": activation_delay_s,
        }
        revision = await deployment.accept(parse_document(text))
        await scenario(ControllerHarness(deployment, revision))
        await deployment.stop()

    run_virtual(run())


class TestWeightsController:
    def test_every_engine_reaches_a_published_version(self) -> None:
        """All engines run a new version within 15 s of its publication."""

        async def scenario(harness: ControllerHarness) -> None:
            await harness.publish(1)
            assert await harness.until(lambda: harness.all_at(1), limit_s=15.0)

        run_scenario(scenario)

    def test_failed_swaps_are_repaired(self) -> None:
        """Engines whose first swaps fail are still updated to the version."""

        async def scenario(harness: ControllerHarness) -> None:
            for engine in list(harness.deployment.engines.values())[::2]:
                engine.faults.fail_next_swaps = 2
            await harness.publish(1)
            assert await harness.until(lambda: harness.all_at(1), limit_s=30.0)

        run_scenario(scenario)

    def test_failing_engine_is_set_aside_and_others_are_updated(self) -> None:
        """An engine that fails every swap blocks neither other engines nor newer versions."""

        async def scenario(harness: ControllerHarness) -> None:
            broken, *others = harness.deployment.engines.values()
            broken.faults.fail_next_swaps = 1000
            await harness.publish(1)
            await harness.until(lambda: False, limit_s=15.0)
            await harness.publish(2)
            assert await harness.until(
                lambda: all(engine.active_version("tuner") == 2 for engine in others), limit_s=60.0
            )
            assert broken.active_version("tuner") is None

        run_scenario(scenario, applications=True)

    def test_restarted_engine_is_updated_again(self) -> None:
        """An engine that restarts with its initial weights is updated to the newest version."""

        async def scenario(harness: ControllerHarness) -> None:
            await harness.publish(1)
            assert await harness.until(lambda: harness.all_at(1), limit_s=15.0)
            engine = harness.deployment.engines["engine-0"]
            engine.crash()
            engine.restart()
            assert engine.active_version("tuner") == 0
            assert await harness.until(lambda: harness.all_at(1), limit_s=30.0)

        run_scenario(scenario)

    @pytest.mark.parametrize("activation_delay_s", [0.0, 30.0])
    def test_application_pool_is_never_swapped_all_at_once(self, activation_delay_s: float) -> None:
        """At least half of an application pool always has a known active version."""
        known_counts: list[int] = []

        async def scenario(harness: ControllerHarness) -> None:
            await harness.publish(1)
            while not harness.all_at(1):
                versions = [
                    engine.active_version("tuner") for engine in harness.deployment.engines.values()
                ]
                known_counts.append(sum(version is not None for version in versions))
                assert harness.deployment.clock.monotonic_s() < activation_delay_s + 60.0
                await asyncio.sleep(0.01)

        run_scenario(scenario, engines=4, applications=True, activation_delay_s=activation_delay_s)
        assert min(known_counts) >= 2

    def test_no_model_starves_while_another_changes_fast(self) -> None:
        """A model reaches its version while another one is published every second."""

        async def scenario(harness: ControllerHarness) -> None:
            await harness.publish(1, model="gluer")
            for version in range(1, 20):
                await harness.publish(version)
                await harness.until(lambda: False, limit_s=1.0)
            assert harness.all_at(1, model="gluer")
            assert (
                min(
                    engine.active_version("tuner") or 0
                    for engine in harness.deployment.engines.values()
                )
                >= 10
            )

        run_scenario(scenario)

    def test_new_holder_waits_for_earlier_orders_without_fencing(self) -> None:
        """Without fencing checks, a new lease holder waits until earlier orders have timed out."""

        async def scenario(harness: ControllerHarness) -> None:
            await harness.publish(1)
            assert await harness.until(lambda: harness.all_at(1), limit_s=30.0)
            (holder,) = [
                core for core in harness.deployment.daemons.values() if core.weights.held_shards()
            ]
            (other,) = [core for core in harness.deployment.daemons.values() if core is not holder]
            await holder.kill()
            assert await harness.until(lambda: bool(other.weights.held_shards()), limit_s=60.0)
            taken_at_s = harness.deployment.clock.monotonic_s()
            counts = orders_by_engine(harness)
            await harness.publish(2, at=other)
            assert await harness.until(lambda: orders_by_engine(harness) != counts, limit_s=60.0)
            assert harness.deployment.clock.monotonic_s() - taken_at_s >= 2.5
            assert await harness.until(lambda: harness.all_at(2), limit_s=60.0)

        run_scenario(scenario, daemons=2, checks_fencing=False, engines=1)

    def test_paused_holder_gives_no_outdated_orders(self) -> None:
        """A holder that resumes after its lease has expired gives no order under it."""

        async def scenario(harness: ControllerHarness) -> None:
            await harness.publish(1)
            assert await harness.until(lambda: harness.all_at(1), limit_s=30.0)
            (paused,) = [
                name
                for name, core in harness.deployment.daemons.items()
                if core.weights.held_shards()
            ]
            (other,) = [core for name, core in harness.deployment.daemons.items() if name != paused]
            harness.deployment.processes[paused].pause()
            assert await harness.until(lambda: bool(other.weights.held_shards()), limit_s=60.0)
            await harness.publish(2, at=other)
            harness.deployment.processes[paused].resume()
            assert await harness.until(lambda: harness.all_at(2), limit_s=60.0)
            for engine in harness.deployment.engines.values():
                numbers = [order.fencing_number for order in engine.orders]
                assert numbers == sorted(numbers)

        run_scenario(scenario, daemons=2, engines=1, checks_fencing=False)


def orders_by_engine(harness: ControllerHarness) -> dict[str, int]:
    return {name: activations(engine) for name, engine in harness.deployment.engines.items()}


def activations(engine: StandinEngine) -> int:
    return sum(order.kind in (OrderKind.STAGE, OrderKind.ACTIVATE) for order in engine.orders)
