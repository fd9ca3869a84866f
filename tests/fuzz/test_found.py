"""Regression tests reduced from failures that fuzzing found."""

from fuzz.scenes import DOCUMENT, make_scene, step_of
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.engine import CRASH_MARKER
from verbenawind.standins.simulation import with_idle_weight


class TestRegressions:
    def test_step_completes_after_a_document_change(self) -> None:
        """A step submitted after a document change completes."""

        async def scenario() -> None:
            running_scene = make_scene(1)
            await running_scene.start()
            assert await running_scene.accept(1, with_idle_weight(DOCUMENT, 2.0))
            await running_scene.clock.sleep(5.0)
            assert await running_scene.submit(2, "folders", step_of("folders", 1))
            await running_scene.wait_until_settled(60.0)
            running_scene.check()
            await running_scene.stop()

        run_virtual(scenario())

    def test_refusal_after_a_crash_does_not_say_not_run(self) -> None:
        """A request refused for lack of a server, after it reached an engine, may have run."""

        async def scenario() -> None:
            running_scene = make_scene(1)
            await running_scene.start()
            running_scene.leave("engine-1")
            running_scene.leave("engine-2")
            running_scene.leave("engine-3")
            await running_scene.clock.sleep(6.0)
            assert not await running_scene.ask(0, f"a die {CRASH_MARKER}")
            running_scene.check()
            await running_scene.stop()

        run_virtual(scenario())
