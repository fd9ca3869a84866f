"""Mutation tests of the oracle: it must report a promise whose mechanism is disabled.

Each mutation runs in a scenario that violates no promise while the mechanism works.
"""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any

import msgspec
import pytest

from fuzz.scenes import DOCUMENT, make_scene, step_of
from verbenawind.errors import Outcome, StreamTruncated
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import EngineEvent, TokensGenerated
from verbenawind.rollout import delivery, grades, plan, sample_generation
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.routing import dispatcher, runs
from verbenawind.routing.claims import Claims
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.engine import CRASH_MARKER
from verbenawind.standins.network import PLATFORM
from verbenawind.standins.oracle import Guarantee
from verbenawind.standins.simulation import Simulation, with_idle_weight
from verbenawind.state import ConfigurationStore

Patch = pytest.MonkeyPatch
Scenario = Callable[[Simulation], Awaitable[None]]

_SWAP_DELAY_S = 0.4

# Scenarios.


async def step_during_swap(scene: Simulation) -> None:
    """The engines swap to a new version while a step is generated."""
    await scene.submit(0, "folders", step_of("folders", 1))
    await scene.clock.sleep(_SWAP_DELAY_S)
    await scene.publish(0, "folders")
    await scene.wait_until_settled()


async def late_poll(scene: Simulation) -> None:
    """A trainer polls for a step after publishing two newer versions."""
    await scene.submit(0, "folders", step_of("folders", 1))
    await scene.clock.sleep(20.0)
    for _ in range(2):
        await scene.publish(1, "folders")
        await scene.clock.sleep(4.0)
    await scene.wait_until_settled(60.0)


async def two_polls(scene: Simulation) -> None:
    """A trainer polls for two steps one after the other."""
    for step in (1, 2):
        await scene.submit(0, "folders", step_of("folders", step))
        await scene.clock.sleep(15.0)
        await scene.poll(0, "folders")
    await scene.poll(1, "folders")


async def repeated_grades(scene: Simulation) -> None:
    """A trainer sends its grades again after losing the acknowledgement."""
    await scene.submit(0, "folders", step_of("folders", 1))
    await scene.wait_until_settled()
    await scene.grade(0, "folders")
    scene.trainers["folders"].graded.clear()
    await scene.grade(1, "folders")
    for _ in range(4):
        await scene.poll(0, "folders")


async def truncated_streams(scene: Simulation) -> None:
    """Engines omit the end marker of their streams."""
    for engine in scene.deployment.engines.values():
        engine.faults.drop_end_marker = True
    calls = scene.ask(0, "which die")
    await scene.clock.sleep(2.0)
    for engine in scene.deployment.engines.values():
        engine.faults.drop_end_marker = False
    await calls


async def crash_while_streaming(scene: Simulation) -> None:
    """All engines but one crash while they stream answers."""
    calls = [scene.ask(index % 3, f"die {index}", max_tokens=400) for index in range(8)]
    await scene.clock.sleep(0.2)
    for name in ("engine-0", "engine-1", "engine-2"):
        scene.deployment.engines[name].crash()
    await asyncio.wait(calls)


async def crashing_request(scene: Simulation) -> None:
    """A request crashes the engines that it runs on until it is refused."""
    await scene.ask(0, f"a die {CRASH_MARKER}")


async def duplicate_booking(scene: Simulation) -> None:
    """A caller sends the same booking to two daemons at once."""
    calls = [
        scene.book(0, "pallet", "window envelopes"),
        scene.book(1, "pallet", "window envelopes"),
    ]
    await asyncio.wait(calls)


async def leaving_engine(scene: Simulation) -> None:
    """Callers send requests after an engine was listed as leaving."""
    scene.leave("engine-1")
    await scene.clock.sleep(8.0)
    calls = [scene.ask(index % 3, f"job {index}") for index in range(12)]
    await asyncio.wait(calls)


async def shutdown_under_load(scene: Simulation) -> None:
    """A daemon shuts down while it streams answers."""
    calls = [scene.ask(0, f"job {index}", max_tokens=300) for index in range(4)]
    await scene.clock.sleep(0.1)
    await scene.stop_daemon(0)
    await asyncio.wait(calls)


async def delayed_table_response(scene: Simulation) -> None:
    """Slow table responses reach one daemon after newer revisions."""
    deployment, zone = scene.deployment, scene.deployment.locations[2].zone
    original_delay_s = deployment.network._delay_s
    deployment.network._delay_s = lambda a, b: (
        1.2 if (a, b) == (PLATFORM, zone) else original_delay_s(a, b)
    )
    for number in range(12):
        await scene.accept(0, with_idle_weight(DOCUMENT, 2.0 + number))
        for _ in range(5):
            await scene.clock.sleep(0.1)
            scene.observe_revisions()


async def changed_document(scene: Simulation) -> None:
    """An operator changes the document."""
    await scene.accept(0, with_idle_weight(DOCUMENT, 2.0))
    await scene.clock.sleep(8.0)


async def concurrent_operators(scene: Simulation) -> None:
    """Two operators change the document at once."""
    await asyncio.gather(
        *(scene.accept(index, with_idle_weight(DOCUMENT, 2.0 + index)) for index in (0, 1))
    )


# Mutations.


def label_with_ordered_version(patch: Patch) -> None:
    """Label tokens with the ordered version instead of the one that the engine reports."""
    original_add = sample_generation.PartialSample.add

    def mutant(self: sample_generation.PartialSample, event: TokensGenerated) -> None:
        original_add(self, msgspec.structs.replace(event, version=1))

    patch.setattr(sample_generation.PartialSample, "add", mutant)


def skip_staleness_check(patch: Patch) -> None:
    """Deliver samples of any staleness."""
    patch.setattr(StalenessBound, "allows", lambda _self, _version: True)


def redeliver_acknowledged_units(patch: Patch) -> None:
    """Acknowledge a cursor without advancing past its units."""

    def mutant(record: Any) -> Any:
        return msgspec.structs.replace(
            record, after=record.cursor, end=record.start, delivered={}, whole_steps=()
        )

    patch.setattr(plan, "acknowledge", mutant)
    patch.setattr(delivery, "acknowledge", mutant)


def treat_every_grade_as_new(patch: Patch) -> None:
    """Ignore the grades that are already stored."""

    async def mutant(self: Any, _table: Any, addresses: Any) -> None:
        for address in addresses:
            self._entries[self._shard_key(address.step, self._sample_index(address))] = {}

    patch.setattr(grades._GradeChange, "read_shards", mutant)
    patch.setattr(grades._GradeChange, "shard_writes", lambda _self: [])


def accept_truncated_streams(patch: Patch) -> None:
    """Treat a truncated stream as a complete answer."""
    original_stream = runs.stream

    async def mutant(*args: Any) -> AsyncGenerator[EngineEvent, None]:
        events = original_stream(*args)
        try:
            async for event in events:
                yield event
        except StreamTruncated:
            return
        finally:
            await events.aclose()

    patch.setattr(runs, "stream", mutant)


def restart_instead_of_resuming(patch: Patch) -> None:
    """Generate an answer from its first token again after a crash."""
    from verbenawind.routing import attempts

    original_attempt_of = attempts.attempt_of

    def mutant(request: Any, answer: Any) -> Any:
        return msgspec.structs.replace(original_attempt_of(request, answer), held_token_ids=())

    patch.setattr(attempts, "attempt_of", mutant)
    patch.setattr(attempts, "check_event", lambda *_: None)


def report_every_failure_as_not_run(patch: Patch) -> None:
    """Report that failed generations did not run."""
    patch.setattr(runs.Run, "outcome", lambda _self: Outcome.NOT_RUN)


def grant_every_claim(patch: Patch) -> None:
    """Grant the claim of a booking to every daemon that asks."""
    original_claim = Claims.claim

    async def mutant(self: Claims, request: Any, operation_id: str) -> Any:
        return msgspec.structs.replace(await original_claim(self, request, operation_id), held=True)

    patch.setattr(Claims, "claim", mutant)


def ignore_leaving_servers(patch: Patch) -> None:
    """Ignore that a server is leaving."""
    patch.setattr(Fleet, "mark_leaving", lambda *_: None)


def stop_without_draining(patch: Patch) -> None:
    """Stop a daemon without waiting for its requests."""

    async def mutant(_self: Any) -> None:
        return None

    patch.setattr(dispatcher.Dispatcher, "drain", mutant)


def accept_older_revisions(patch: Patch) -> None:
    """Activate the revision that arrives last, even an older one."""
    original_apply = ConfigurationStore.apply_revision

    def mutant(self: ConfigurationStore, revision: Any, *source: str) -> bool:
        self._current.pop((revision.environment, str(revision.stage)), None)
        return original_apply(self, revision, *source)

    patch.setattr(ConfigurationStore, "apply_revision", mutant)


def ignore_revisions_of_other_operators(patch: Patch) -> None:
    """Ignore later revisions that were not submitted to this daemon by an operator."""
    original_apply = ConfigurationStore.apply_revision

    def mutant(self: ConfigurationStore, revision: Any, source: str = "table") -> bool:
        if source != "the operator" and revision.revision > 1:
            return False
        return original_apply(self, revision, source)

    patch.setattr(ConfigurationStore, "apply_revision", mutant)


def commit_revisions_unconditionally(patch: Patch) -> None:
    """Write revisions without checking the current one."""
    original_commit = ConfigurationStore._commit

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
            await original_commit(self, revision, head)
        finally:
            self._table = table

    patch.setattr(ConfigurationStore, "_commit", mutant)


CHECKS = [
    (Guarantee.LABELS, step_during_swap, label_with_ordered_version),
    (Guarantee.STALENESS, late_poll, skip_staleness_check),
    (Guarantee.EXACTLY_ONCE, two_polls, redeliver_acknowledged_units),
    (Guarantee.EXACTLY_ONCE, repeated_grades, treat_every_grade_as_new),
    (Guarantee.WHOLE_ANSWERS, truncated_streams, accept_truncated_streams),
    (Guarantee.WHOLE_ANSWERS, crash_while_streaming, restart_instead_of_resuming),
    (Guarantee.NOT_RUN, crashing_request, report_every_failure_as_not_run),
    (Guarantee.AT_MOST_ONCE, duplicate_booking, grant_every_claim),
    (Guarantee.LEAVING, leaving_engine, ignore_leaving_servers),
    (Guarantee.GRACEFUL_SHUTDOWN, shutdown_under_load, stop_without_draining),
    (Guarantee.CONFIGURATION, delayed_table_response, accept_older_revisions),
    (Guarantee.CONFIGURATION, changed_document, ignore_revisions_of_other_operators),
    (Guarantee.CONFIGURATION, concurrent_operators, commit_revisions_unconditionally),
]
CHECK_IDS = [check[2].__name__ for check in CHECKS]


def violated_promises(scenario: Scenario) -> set[Guarantee]:
    """Run a scenario and return the promises that it violated."""

    async def run() -> set[Guarantee]:
        running_scene = make_scene(1)
        await running_scene.start()
        try:
            await scenario(running_scene)
            running_scene.collect()
            running_scene.observe_revisions()
            return {violation.promise for violation in running_scene.oracle.find_violations()}
        finally:
            await running_scene.stop()

    return run_virtual(run())


@pytest.mark.parametrize(("promise", "scenario", "mutate"), CHECKS, ids=CHECK_IDS)
class TestMutations:
    def test_scenario_violates_nothing(
        self, promise: Guarantee, scenario: Scenario, mutate: Callable[[Patch], None]
    ) -> None:
        """The scenario violates no promise while the mechanism works."""
        assert violated_promises(scenario) == set()

    def test_mutation_is_detected(
        self,
        promise: Guarantee,
        scenario: Scenario,
        mutate: Callable[[Patch], None],
        monkeypatch: Patch,
    ) -> None:
        """The oracle reports the promise whose mechanism is disabled."""
        mutate(monkeypatch)
        assert promise in violated_promises(scenario)
