"""Short forms of the failures that fuzzing found."""

from fuzz.scenes import DOCUMENT, scene, step_of
from verbenawind.standins.engine import CRASH_MARK
from verbenawind.standins.scene import with_weights
from verbenawind.standins.world import run_virtual


class TestFound:
    def test_step_goes_on_after_a_document_change(self) -> None:
        """A step that is submitted after a change of the document becomes whole."""

        async def scenario() -> None:
            made = scene(1)
            await made.start()
            assert await made.accept(1, with_weights(DOCUMENT, 2.0))
            await made.clock.sleep(5.0)
            assert await made.submit(2, "folders", step_of("folders", 1))
            await made.quiet(60.0)
            made.check()
            await made.stop()

        run_virtual(scenario())

    def test_refusal_after_a_crash_does_not_say_not_run(self) -> None:
        """A request that reached an engine and then finds no server may have run."""

        async def scenario() -> None:
            made = scene(1)
            await made.start()
            made.leave("engine-1")
            made.leave("engine-2")
            made.leave("engine-3")
            await made.clock.sleep(6.0)
            assert not await made.ask(0, f"a die {CRASH_MARK}")
            made.check()
            await made.stop()

        run_virtual(scenario())
