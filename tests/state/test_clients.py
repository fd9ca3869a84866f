"""Tests of the store clients under injected failures."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from random import Random
from typing import Any

import pytest

from verbenawind.clock import LoopClock
from verbenawind.errors import ConditionFailed, StoreUnavailable
from verbenawind.kernel.ports import Row, Transaction, Write
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.platform import StandinTable
from verbenawind.state import TableClient
from verbenawind.state.clients import Effect, infer_effect


class InterferingTable(StandinTable):
    """A table that runs another write between an attempt and its retry."""

    between: Callable[[], Awaitable[None]] | None = None

    async def commit(self, transaction: Transaction) -> None:
        try:
            await super().commit(transaction)
        except StoreUnavailable:
            if self.between is not None:
                between, self.between = self.between, None
                await between()
            raise


def with_table(work: Callable[[InterferingTable, TableClient], Awaitable[Any]]) -> Any:
    async def scenario() -> Any:
        clock, rng = LoopClock(datetime(2026, 1, 1, tzinfo=UTC)), Random(1)
        table = InterferingTable(clock, rng)
        return await work(table, TableClient(table, clock, rng))

    return run_virtual(scenario())


def transaction(operation_id: str, *writes: Write) -> Transaction:
    return Transaction(operation_id=operation_id, writes=writes)


def write(key: str, expect_version: int | None, value: bytes = b"v") -> Write:
    return Write(key=key, value=value, expect_version=expect_version)


class TestLostAnswers:
    def test_lost_response_to_an_applied_commit_is_success(self) -> None:
        """A commit whose response is lost after it was applied succeeds, and is applied once."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            table.faults.lose_next_answers = 1
            await client.commit(transaction("op-1", write("a", 0)))
            assert table.rows["a"].version == 1

        with_table(work)

    def test_overwritten_commit_is_proved_by_another_row(self) -> None:
        """If one row was overwritten, another row of a commit proves that it was applied."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            async def other() -> None:
                await table.commit(transaction("op-2", write("head", 1)))

            table.faults.lose_next_answers = 1
            table.between = other
            await client.commit(transaction("op-1", write("head", 0), write("log/1", 0)))
            assert table.rows["log/1"].operation_id == "op-1"

        with_table(work)

    def test_hidden_effect_is_unknown(self) -> None:
        """If a later write hides whether a commit was applied, its effect is possible."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            async def other() -> None:
                await table.commit(transaction("op-2", write("head", 1)))

            table.faults.lose_next_answers = 1
            table.between = other
            with pytest.raises(StoreUnavailable) as caught:
                await client.commit(transaction("op-1", write("head", 0)))
            assert caught.value.effect_possible

        with_table(work)

    def test_commit_overtaken_before_it_was_applied_is_rejected(self) -> None:
        """A commit lost on its way and then overtaken by another is reported as rejected."""

        class Losing(StandinTable):
            lost = False

            async def commit(self, transaction: Transaction) -> None:
                if transaction.operation_id == "op-1" and not self.lost:
                    self.lost = True
                    await super().commit(
                        Transaction(operation_id="op-2", writes=(write("head", 0),))
                    )
                    raise StoreUnavailable("no answer", effect_possible=True)
                await super().commit(transaction)

        async def scenario() -> None:
            clock, rng = LoopClock(datetime(2026, 1, 1, tzinfo=UTC)), Random(1)
            table = Losing(clock, rng)
            with pytest.raises(ConditionFailed):
                await TableClient(table, clock, rng).commit(
                    transaction("op-1", write("head", 0), write("log/1", 0))
                )
            assert "log/1" not in table.rows

        run_virtual(scenario())

    def test_failed_read_back_is_unknown(self) -> None:
        """If the store goes down before the read-back, the effect is reported as possible."""

        class GoingDown(StandinTable):
            async def commit(self, transaction: Transaction) -> None:
                try:
                    await super().commit(transaction)
                except ConditionFailed:
                    self.faults.down = True
                    raise

        async def scenario() -> None:
            clock, rng = LoopClock(datetime(2026, 1, 1, tzinfo=UTC)), Random(1)
            table = GoingDown(clock, rng)
            table.faults.lose_next_answers = 1
            with pytest.raises(StoreUnavailable) as caught:
                await TableClient(table, clock, rng).commit(transaction("op-1", write("a", 0)))
            assert caught.value.effect_possible

        run_virtual(scenario())

    def test_unavailable_store_has_no_effect(self) -> None:
        """If the store is down for every attempt, no effect is reported as possible."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            table.faults.down = True
            with pytest.raises(StoreUnavailable) as caught:
                await client.commit(transaction("op-1", write("a", 0)))
            assert not caught.value.effect_possible

        with_table(work)


class TestEffect:
    @pytest.mark.parametrize(
        ("version", "operation_id", "expected"),
        [
            (3, "other", Effect.NOT_APPLIED),
            (4, "op", Effect.APPLIED),
            (4, "other", Effect.NOT_APPLIED),
            (5, "other", Effect.UNKNOWN),
        ],
    )
    def test_effect_is_inferred_from_versions(
        self, version: int, operation_id: str, expected: Effect
    ) -> None:
        """The row's version relative to the expected one determines the inferred effect."""
        row = Row(key="a", value=b"", version=version, operation_id=operation_id)
        assert infer_effect(transaction("op", write("a", 3)), {"a": row}) is expected


class TestProtection:
    def test_breaker_opens_and_closes_again(self) -> None:
        """A store that is down is called rarely, and is used again soon after it recovers."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            asked = 0
            original = table._run_with_faults

            async def counted(what: str, effect: Any) -> Any:
                nonlocal asked
                asked += 1
                return await original(what, effect)

            table._run_with_faults = counted  # type: ignore[method-assign]
            table.faults.down = True
            for _ in range(600):
                with pytest.raises(StoreUnavailable):
                    await client.read(["a"])
                await asyncio.sleep(0.1)
            assert asked < 60
            table.faults.down = False
            await asyncio.sleep(6.0)
            await client.read(["a"])

        with_table(work)

    def test_slow_store_is_available(self) -> None:
        """A store that takes three seconds per response is not reported as unavailable."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            table.faults.delay_s = 3.0
            await client.commit(transaction("op-1", write("a", 0)))
            assert (await client.read(["a"]))["a"].version == 1

        with_table(work)

    def test_number_of_concurrent_calls_is_limited(self) -> None:
        """However many calls wait, the store receives no more than the limit concurrently."""

        async def work(table: InterferingTable, client: TableClient) -> None:
            running = most = 0

            async def slow(keys: Any) -> dict[str, Row]:
                nonlocal running, most
                running += 1
                most = max(most, running)
                await asyncio.sleep(0.1)
                running -= 1
                return {}

            table.read = slow  # type: ignore[method-assign, assignment]
            await asyncio.gather(*(client.read([str(number)]) for number in range(500)))
            assert most == 64

        with_table(work)
