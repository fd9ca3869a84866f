"""Mutation tests of the oracle: it must report a promise whose mechanism is disabled.

Each mutation runs in a scenario that violates no promise while the mechanism works.
"""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any

import msgspec
import pytest

from fuzz.simulations import DOCUMENT, make_simulation, step_of
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


async def step_during_swap(simulation: Simulation) -> None:
    """The engines swap to a new version while a step is generated."""
    await simulation.submit(0, "folders", step_of("folders", 1))
    await simulation.clock.sleep(_SWAP_DELAY_S)
    await simulation.publish(0, "folders")
    await simulation.wait_until_settled()


async def late_poll(simulation: Simulation) -> None:
    """A trainer polls for a step after publishing two newer versions."""
    await simulation.submit(0, "folders", step_of("folders", 1))
    await simulation.clock.sleep(20.0)
    for _ in range(2):
        await simulation.publish(1, "folders")
        await simulation.clock.sleep(4.0)
    await simulation.wait_until_settled(60.0)


async def two_polls(simulation: Simulation) -> None:
    """A trainer polls for two steps one after the other."""
    for step in (1, 2):
        await simulation.submit(0, "folders", step_of("folders", step))
        await simulation.clock.sleep(15.0)
        await simulation.poll(0, "folders")
    await simulation.poll(1, "folders")


async def repeated_grades(simulation: Simulation) -> None:
    """A trainer sends its grades again after losing the acknowledgement."""
    await simulation.submit(0, "folders", step_of("folders", 1))
    await simulation.wait_until_settled()
    await simulation.grade(0, "folders")
    simulation.trainers["folders"].graded.clear()
    await simulation.grade(1, "folders")
    for _ in range(4):
        await simulation.poll(0, "folders")


async def truncated_streams(simulation: Simulation) -> None:
    """Engines omit the end marker of their streams."""
    for engine in simulation.deployment.engines.values():
        engine.faults.drop_end_marker = True
    calls = simulation.ask(0, "which die")
    await simulation.clock.sleep(2.0)
    for engine in simulation.deployment.engines.values():
        engine.faults.drop_end_marker = False
    await calls


async def crash_while_streaming(simulation: Simulation) -> None:
    """All engines but one crash while they stream answers."""
    calls = [simulation.ask(index % 3, f"die {index}", max_tokens=400) for index in range(8)]
    await simulation.clock.sleep(0.2)
    for name in ("engine-0", "engine-1", "engine-2"):
        simulation.deployment.engines[name].crash()
    await asyncio.wait(calls)


async def crashing_request(simulation: Simulation) -> None:
    """A request crashes the engines that it runs on until it is refused."""
    await simulation.ask(0, f"a die {CRASH_MARKER}")


async def duplicate_booking(simulation: Simulation) -> None:
    """A caller sends the same booking to two daemons at once."""
    calls = [
        simulation.book(0, "pallet", "window envelopes"),
        simulation.book(1, "pallet", "window envelopes"),
    ]
    await asyncio.wait(calls)


async def leaving_engine(simulation: Simulation) -> None:
    """Callers send requests after an engine was listed as leaving."""
    simulation.leave("engine-1")
    await simulation.clock.sleep(8.0)
    calls = [simulation.ask(index % 3, f"job {index}") for index in range(12)]
    await asyncio.wait(calls)


async def shutdown_under_load(simulation: Simulation) -> None:
    """A daemon shuts down while it streams answers."""
    calls = [simulation.ask(0, f"job {index}", max_tokens=300) for index in range(4)]
    await simulation.clock.sleep(0.1)
    await simulation.stop_daemon(0)
    await asyncio.wait(calls)


async def delayed_table_response(simulation: Simulation) -> None:
    """Slow table responses reach one daemon after newer revisions."""
    deployment, zone = simulation.deployment, simulation.deployment.locations[2].zone
    original_delay_s = deployment.network._delay_s
    deployment.network._delay_s = lambda a, b: (
        1.2 if (a, b) == (PLATFORM, zone) else original_delay_s(a, b)
    )
    for number in range(12):
        await simulation.accept(0, with_idle_weight(DOCUMENT, 2.0 + number))
        for _ in range(5):
            await simulation.clock.sleep(0.1)
            simulation.observe_revisions()


async def changed_document(simulation: Simulation) -> None:
    """An operator changes the document."""
    await simulation.accept(0, with_idle_weight(DOCUMENT, 2.0))
    await simulation.clock.sleep(8.0)


async def concurrent_operators(simulation: Simulation) -> None:
    """Two operators change the document at once."""
    await asyncio.gather(
        *(simulation.accept(index, with_idle_weight(DOCUMENT, 2.0 + index)) for index in (0, 1))
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
        simulation = make_simulation(1)
        await simulation.start()
        try:
            await scenario(simulation)
            simulation.collect()
            simulation.observe_revisions()
            return {violation.promise for violation in simulation.oracle.find_violations()}
        finally:
            await simulation.stop()

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
