"""Breaks the mechanism of each promise on purpose; the oracle must see it, and only then."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any

import msgspec
import pytest

from fuzz.scenes import DOCUMENT, scene, step_of
from verbenawind.errors import Outcome, StreamTruncated
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import EngineEvent, TokensGenerated
from verbenawind.rollout import delivery, grades, plan, sample_generation
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.routing import dispatcher, runs
from verbenawind.routing.claims import Claims
from verbenawind.standins.engine import CRASH_MARK
from verbenawind.standins.network import PLATFORM
from verbenawind.standins.oracle import Promise
from verbenawind.standins.scene import Scene, with_weights
from verbenawind.standins.world import run_virtual
from verbenawind.state import ConfigurationStore

Patch = pytest.MonkeyPatch
Scenario = Callable[[Scene], Awaitable[None]]

_HALF_MADE_S = 0.4

# Scenarios.


async def step_under_a_swap(made: Scene) -> None:
    """A step is generated while a new version reaches the engines."""
    await made.submit(0, "folders", step_of("folders", 1))
    await made.clock.sleep(_HALF_MADE_S)
    await made.publish(0, "folders")
    await made.quiet()


async def late_poll(made: Scene) -> None:
    """A trainer polls a finished step two versions later."""
    await made.submit(0, "folders", step_of("folders", 1))
    await made.clock.sleep(20.0)
    for _ in range(2):
        await made.publish(1, "folders")
        await made.clock.sleep(4.0)
    await made.quiet(60.0)


async def two_polls(made: Scene) -> None:
    """A trainer polls twice for two steps."""
    for step in (1, 2):
        await made.submit(0, "folders", step_of("folders", step))
        await made.clock.sleep(15.0)
        await made.poll(0, "folders")
    await made.poll(1, "folders")


async def grade_twice(made: Scene) -> None:
    """A trainer whose acknowledgement is lost sends its grades again."""
    await made.submit(0, "folders", step_of("folders", 1))
    await made.quiet()
    await made.grade(0, "folders")
    made.trainers["folders"].graded.clear()
    await made.grade(1, "folders")
    for _ in range(4):
        await made.poll(0, "folders")


async def truncated_streams(made: Scene) -> None:
    """Engines drop their end marks while a caller asks."""
    for engine in made.world.engines.values():
        engine.faults.drop_end_mark = True
    asked = made.ask(0, "which die")
    await made.clock.sleep(2.0)
    for engine in made.world.engines.values():
        engine.faults.drop_end_mark = False
    await asked


async def crash_in_mid_answer(made: Scene) -> None:
    """Every engine but one crashes while callers are being answered."""
    asked = [made.ask(index % 3, f"die {index}", max_tokens=400) for index in range(8)]
    await made.clock.sleep(0.2)
    for name in ("engine-0", "engine-1", "engine-2"):
        made.world.engines[name].crash()
    await asyncio.wait(asked)


async def crashing_request(made: Scene) -> None:
    """A caller's request crashes engines until it is refused."""
    await made.ask(0, f"a die {CRASH_MARK}")


async def doubled_booking(made: Scene) -> None:
    """A caller books at one daemon and repeats it at another at once."""
    booked = [
        made.book(0, "pallet", "window envelopes"),
        made.book(1, "pallet", "window envelopes"),
    ]
    await asyncio.wait(booked)


async def leaving_engine(made: Scene) -> None:
    """Callers ask after an engine began to leave."""
    made.leave("engine-1")
    await made.clock.sleep(8.0)
    asked = [made.ask(index % 3, f"job {index}") for index in range(12)]
    await asyncio.wait(asked)


async def shutdown_under_load(made: Scene) -> None:
    """A daemon shuts down while it answers callers."""
    asked = [made.ask(0, f"job {index}", max_tokens=300) for index in range(4)]
    await made.clock.sleep(0.1)
    await made.stop_daemon(0)
    await asyncio.wait(asked)


async def late_table_answer(made: Scene) -> None:
    """An answer of the table that was read before a change arrives after it."""
    world, zone = made.world, made.world.locations[2].zone
    usual = world.network._delay_s
    world.network._delay_s = lambda a, b: 1.2 if (a, b) == (PLATFORM, zone) else usual(a, b)
    for number in range(12):
        await made.accept(0, with_weights(DOCUMENT, 2.0 + number))
        for _ in range(5):
            await made.clock.sleep(0.1)
            made.look()


async def changed_document(made: Scene) -> None:
    """An operator changes the document."""
    await made.accept(0, with_weights(DOCUMENT, 2.0))
    await made.clock.sleep(8.0)


async def racing_operators(made: Scene) -> None:
    """Two operators change the document at once."""
    await asyncio.gather(
        *(made.accept(index, with_weights(DOCUMENT, 2.0 + index)) for index in (0, 1))
    )


# Breaks.


def label_with_the_newest_version(patch: Patch) -> None:
    """Label samples with the version that was ordered instead of the engine's word."""
    add = sample_generation.PartialSample.add

    def mutant(self: sample_generation.PartialSample, event: TokensGenerated) -> None:
        add(self, msgspec.structs.replace(event, version=1))

    patch.setattr(sample_generation.PartialSample, "add", mutant)


def skip_the_staleness_check(patch: Patch) -> None:
    """Judge no age at delivery."""
    patch.setattr(StalenessBound, "allows", lambda _self, _version: True)


def forget_what_was_delivered(patch: Patch) -> None:
    """Acknowledge a cursor without moving past its units."""

    def mutant(record: Any) -> Any:
        return msgspec.structs.replace(
            record, after=record.cursor, end=record.start, delivered={}, whole_steps=()
        )

    patch.setattr(plan, "acknowledge", mutant)
    patch.setattr(delivery, "acknowledge", mutant)


def forget_known_grades(patch: Patch) -> None:
    """Take every grade for a new one."""

    async def mutant(self: Any, _table: Any, addresses: Any) -> None:
        for address in addresses:
            self._entries[self._shard_key(address.step, self._sample_index(address))] = {}

    patch.setattr(grades._GradeChange, "read_shards", mutant)
    patch.setattr(grades._GradeChange, "shard_writes", lambda _self: [])


def skip_the_end_mark(patch: Patch) -> None:
    """Take the end of a stream for the end of the answer."""
    stream = runs.stream

    async def mutant(*args: Any) -> AsyncGenerator[EngineEvent, None]:
        events = stream(*args)
        try:
            async for event in events:
                yield event
        except StreamTruncated:
            return
        finally:
            await events.aclose()

    patch.setattr(runs, "stream", mutant)


def restart_instead_of_resuming(patch: Patch) -> None:
    """Draw an answer again from its first token after a crash."""
    from verbenawind.routing import attempts

    attempt_of = attempts.attempt_of

    def mutant(request: Any, answer: Any) -> Any:
        return msgspec.structs.replace(attempt_of(request, answer), held_token_ids=())

    patch.setattr(attempts, "attempt_of", mutant)
    patch.setattr(attempts, "check_event", lambda *_: None)


def claim_that_nothing_ran(patch: Patch) -> None:
    """Call every failed generation not run."""
    patch.setattr(runs.Run, "outcome", lambda _self: Outcome.NOT_RUN)


def grant_every_claim(patch: Patch) -> None:
    """Let everybody who asks dispatch a booking."""
    claim = Claims.claim

    async def mutant(self: Claims, request: Any, operation_id: str) -> Any:
        return msgspec.structs.replace(await claim(self, request, operation_id), held=True)

    patch.setattr(Claims, "claim", mutant)


def ignore_leaving_servers(patch: Patch) -> None:
    """Hear nothing of servers that leave."""
    patch.setattr(Fleet, "mark_leaving", lambda *_: None)


def stop_without_draining(patch: Patch) -> None:
    """End a daemon without waiting for its requests."""

    async def mutant(_self: Any) -> None:
        return None

    patch.setattr(dispatcher.Dispatcher, "drain", mutant)


def learn_older_revisions(patch: Patch) -> None:
    """Put whatever revision arrives last into force."""
    learn = ConfigurationStore.learn

    def mutant(self: ConfigurationStore, revision: Any, *source: str) -> bool:
        self._current.pop((revision.environment, str(revision.stage)), None)
        return learn(self, revision, *source)

    patch.setattr(ConfigurationStore, "learn", mutant)


def learn_nothing_from_others(patch: Patch) -> None:
    """Keep the first revision that a daemon hears of, unless its own operator changes it."""
    learn = ConfigurationStore.learn

    def mutant(self: ConfigurationStore, revision: Any, source: str = "table") -> bool:
        if source != "the operator" and revision.revision > 1:
            return False
        return learn(self, revision, source)

    patch.setattr(ConfigurationStore, "learn", mutant)


def accept_without_a_condition(patch: Patch) -> None:
    """Write revisions without comparing what is there."""
    commit = ConfigurationStore._commit

    async def mutant(self: ConfigurationStore, revision: Any, head: Any) -> None:
        table = self._table

        class Unconditional:
            async def commit(self, transaction: Any) -> None:
                writes = tuple(
                    msgspec.structs.replace(write, expect_version=None)
                    for write in transaction.writes
                )
                await table.commit(msgspec.structs.replace(transaction, writes=writes))

        self._table = Unconditional()  # type: ignore[assignment]
        try:
            await commit(self, revision, head)
        finally:
            self._table = table

    patch.setattr(ConfigurationStore, "_commit", mutant)


CHECKS = [
    (Promise.LABELS, step_under_a_swap, label_with_the_newest_version),
    (Promise.STALENESS, late_poll, skip_the_staleness_check),
    (Promise.EXACTLY_ONCE, two_polls, forget_what_was_delivered),
    (Promise.EXACTLY_ONCE, grade_twice, forget_known_grades),
    (Promise.WHOLE_ANSWERS, truncated_streams, skip_the_end_mark),
    (Promise.WHOLE_ANSWERS, crash_in_mid_answer, restart_instead_of_resuming),
    (Promise.NOT_RUN, crashing_request, claim_that_nothing_ran),
    (Promise.AT_MOST_ONCE, doubled_booking, grant_every_claim),
    (Promise.LEAVING, leaving_engine, ignore_leaving_servers),
    (Promise.GRACEFUL_SHUTDOWN, shutdown_under_load, stop_without_draining),
    (Promise.CONFIGURATION, late_table_answer, learn_older_revisions),
    (Promise.CONFIGURATION, changed_document, learn_nothing_from_others),
    (Promise.CONFIGURATION, racing_operators, accept_without_a_condition),
]
IDS = [check[2].__name__ for check in CHECKS]


def broken_promises(scenario: Scenario) -> set[Promise]:
    """Run a scenario and return the promises that it broke."""

    async def run() -> set[Promise]:
        made = scene(1)
        await made.start()
        try:
            await scenario(made)
            made.collect()
            made.look()
            return {violation.promise for violation in made.oracle.judge()}
        finally:
            await made.stop()

    return run_virtual(run())


@pytest.mark.parametrize(("promise", "scenario", "mutate"), CHECKS, ids=IDS)
class TestMutations:
    def test_scenario_is_clean(
        self, promise: Promise, scenario: Scenario, mutate: Callable[[Patch], None]
    ) -> None:
        """The scenario breaks no promise while the mechanism works."""
        assert broken_promises(scenario) == set()

    def test_break_is_found(
        self,
        promise: Promise,
        scenario: Scenario,
        mutate: Callable[[Patch], None],
        monkeypatch: Patch,
    ) -> None:
        """The broken mechanism shows as a broken promise."""
        mutate(monkeypatch)
        assert promise in broken_promises(scenario)
