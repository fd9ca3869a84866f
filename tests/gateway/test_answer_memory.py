"""Tests of the number of answers that a host remembers for each request."""

from datetime import UTC, datetime

from verbenawind.clock import LoopClock
from verbenawind.gateway.answer_memory import AnswerMemory
from verbenawind.standins.deployment import run_virtual


class TestAnswerMemory:
    def test_answers_count_for_a_caller_and_for_all_callers(self) -> None:
        """Answers of two callers of the same request are counted apart and together."""

        async def work() -> None:
            answers = AnswerMemory(LoopClock(datetime(2026, 1, 1, tzinfo=UTC)))
            for name in ("f.x", "f.x", "f.y"):
                answers.add(name)
            assert [answers.count(name) for name in ("f.x", "f.y", "f", "g")] == [2, 1, 3, 0]

        run_virtual(work())

    def test_answers_are_forgotten_after_a_minute(self) -> None:
        """An answer counts for a minute; of many requests the latest are remembered."""

        async def work() -> None:
            clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
            answers = AnswerMemory(clock)
            answers.add("f.x")
            await clock.sleep(40.0)
            answers.add("f.x")
            await clock.sleep(21.0)
            assert answers.count("f.x") == 1
            for number in range(2000):
                answers.add(f"other {number}")
            assert answers.count("f.x") == 0

        run_virtual(work())
