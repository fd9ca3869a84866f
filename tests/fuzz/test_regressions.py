"""Regression tests reduced from failures that fuzzing found."""

from fuzz.simulations import DOCUMENT, make_simulation, step_of
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.engine import CRASH_MARKER
from verbenawind.standins.simulation import with_idle_weight


class TestRegressions:
    def test_step_completes_after_a_document_change(self) -> None:
        """A step submitted after a document change completes."""

        async def scenario() -> None:
            simulation = make_simulation(1)
            await simulation.start()
            assert await simulation.accept(1, with_idle_weight(DOCUMENT, 2.0))
            await simulation.clock.sleep(5.0)
            assert await simulation.submit(2, "folders", step_of("folders", 1))
            await simulation.wait_until_settled(60.0)
            simulation.check()
            await simulation.stop()

        run_virtual(scenario())

    def test_refusal_after_a_crash_does_not_say_not_run(self) -> None:
        """A request refused for lack of a server, after it reached an engine, may have run."""

        async def scenario() -> None:
            simulation = make_simulation(1)
            await simulation.start()
            simulation.leave("engine-1")
            simulation.leave("engine-2")
            simulation.leave("engine-3")
            await simulation.clock.sleep(6.0)
            assert not await simulation.ask(0, f"a die {CRASH_MARKER}")
            simulation.check()
            await simulation.stop()

        run_virtual(scenario())
