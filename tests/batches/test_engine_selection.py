"""Tests of engine selection while engines load new weights.

An engine that loads weights refuses every item for about a second, and meanwhile looks idle and
fast.
"""

import asyncio
from datetime import UTC, datetime

import pytest

from gateway.guards import create_allowances
from node.fleet import MODEL, job
from verbenawind.batches.engine_selection import EngineSelector
from verbenawind.batches.item_run import PartialText, RunEnd, RunOutcome
from verbenawind.batches.job_rows import StoredJob
from verbenawind.batches.ordering import EngineChoice, rank_items
from verbenawind.batches.outcomes import OutcomeHandler
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.paces import RunPace
from verbenawind.batches.types import JobRecord
from verbenawind.clock import LoopClock
from verbenawind.gateway import Directory, Instance, Route, RouteKind, ServerLimits
from verbenawind.kernel.messages import Location
from verbenawind.standins.deployment import run_virtual

SERVICE = "engines"
RECORD = JobRecord(
    job_id="job-1",
    host="h",
    path="/",
    model=MODEL,
    step=1,
    min_version=1,
    total=8,
    submitted_ms=0,
    owner="host-0#1",
    epoch=1,
)


class Pool:
    """Engines with given paces and a selector over them; create it inside a virtual event loop."""

    def __init__(self, **paces_s: float) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.directory = Directory(self.clock)
        for name in paces_s:
            self.directory.put(
                Instance(
                    instance_id=name,
                    service=SERVICE,
                    address="10.0.0.1:80",
                    location=Location(zone="a", region="a"),
                    slots=8,
                    draining=False,
                    started_ms=1,
                    versions={MODEL: 1},
                )
            )
        self.loading_soon: set[str] = set()
        self.limits = ServerLimits(self.clock, lambda: int(self.clock.monotonic_s() * 1000))
        self.allowances = create_allowances(self.clock, self.limits)
        self.selector = EngineSelector(
            self.directory,
            lambda _: 1,
            lambda _model, _service: frozenset(paces_s),
            lambda _model, name: name in self.loading_soon,
            self.allowances,
            self.clock,
        )
        for name, pace_s in paces_s.items():
            self.selector.paces.observe(name, pace_s)
        submission = job(groups=2)
        ranks = rank_items(submission, ())
        self.works = [ItemWork(i, ranks[i.item_id], PartialText()) for i in submission.items]
        self.job = OwnedJob(StoredJob(record=RECORD, version=1), submission)
        self.outcomes = OutcomeHandler(self.selector, lambda _: 1, self.clock)

    def choose(self, work: ItemWork) -> str | None:
        """Return the engine on which an item would start."""
        engines = self.selector.engines(SERVICE, MODEL, work, single_version=False)
        choice = self.selector.choose(engines, SERVICE, RECORD, work, waiting=1)
        return choice.instance_id if choice else None

    def end(self, work: ItemWork, engine: str, end: RunEnd) -> None:
        """Report the end of a run."""
        backend = self.directory.get(engine)
        assert backend is not None
        choice = EngineChoice(instance_id=engine, reason="soonest")
        self.outcomes.handle(self.job, work, ROUTE, backend, choice, RunOutcome(end=end), 0)

    async def slow_run(self, pace_s: float) -> RunPace:
        """Return the pace of a run that has produced some events."""
        pace = RunPace()
        for _ in range(8):
            await asyncio.sleep(pace_s)
            pace.add_events(self.clock.monotonic_s(), 1)
        return pace


ROUTE = Route(
    name="batch",
    host="h",
    path_prefix="/",
    kind=RouteKind.BATCH,
    timeout_s=10.0,
    target_latency_s=0.4,
    max_attempts=3,
    priority=1,
    services=(),
)


class TestRefusals:
    def test_no_run_moves_to_an_engine_that_loads(self) -> None:
        """A run stays on its engine until the faster one has had time to load its weights."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05)
            pace = await pool.slow_run(0.05)
            assert pool.selector.should_move(pace, ["fast"], RECORD, 40)
            pool.selector.record_refusal("fast", probing=False)
            await asyncio.sleep(0.5)
            assert not pool.selector.should_move(pace, ["fast"], RECORD, 40)
            await asyncio.sleep(0.6)
            assert pool.selector.should_move(pace, ["fast"], RECORD, 40)

        run_virtual(work())

    def test_no_run_moves_to_an_engine_that_is_about_to_load(self) -> None:
        """Once a version is published, no run moves to the engines that load it first."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05, other=0.02)
            pace = await pool.slow_run(0.05)
            pool.loading_soon = {"fast", "other"}
            assert not pool.selector.should_move(pace, ["fast", "other"], RECORD, 40)
            pool.loading_soon = {"fast"}
            assert pool.selector.should_move(pace, ["fast", "other"], RECORD, 40)

        run_virtual(work())

    def test_run_returns_to_its_slow_engine_after_a_refusal(self) -> None:
        """An item that left a slow engine and was refused elsewhere may return to it."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05)
            item, *_ = pool.works
            pool.end(item, "slow", RunEnd.SLOW)
            assert pool.choose(item) == "fast"
            pool.end(item, "fast", RunEnd.REFUSED)
            assert pool.choose(item) == "slow"

        run_virtual(work())

    @pytest.mark.parametrize("end", [RunEnd.BROKEN, RunEnd.STALLED, RunEnd.FAILED])
    def test_engine_that_failed_an_item_stays_excluded(self, end: RunEnd) -> None:
        """An item refused by one engine does not return to another on which it failed."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05)
            item, *_ = pool.works
            pool.end(item, "slow", end)
            pool.end(item, "fast", RunEnd.REFUSED)
            assert pool.choose(item) is None

        run_virtual(work())

    def test_no_more_turns_are_reserved_than_items_wait(self) -> None:
        """One item waits for any of many limited engines: turns of the others would be lost."""

        async def work() -> None:
            await asyncio.sleep(10.0)
            pool = Pool(**{f"engine-{number}": 0.01 for number in range(6)})
            engines = list(pool.directory.backends(SERVICE))
            for engine in engines:
                pool.limits.answered(engine.instance, 1.0, 0, ends_limit=False)
            assert pool.choose(pool.works[0]) is None
            await asyncio.sleep(0.3)
            reserved = [e for e in engines if pool.allowances.available(e.instance)]
            assert len(reserved) == 1

        run_virtual(work())

    def test_one_item_at_a_time_tries_an_engine_that_refuses(self) -> None:
        """While an engine loads, waiting items are sent to it one per interval, not all at once."""

        async def work() -> None:
            pool = Pool(only=0.02)
            pool.selector.record_refusal("only", probing=False)
            attempts = 0
            for _ in range(20):
                await asyncio.sleep(0.05)
                sent = [item for item in pool.works if pool.choose(item) is not None]
                attempts += len(sent)
                for _item in sent:
                    pool.selector.record_refusal("only", probing=False)
            # At most one per 0.08 s.
            assert 5 <= attempts <= 12

        run_virtual(work())

    def test_engine_that_accepts_is_filled_at_once(self) -> None:
        """Once an engine accepts one item, all waiting items may start on it."""

        async def work() -> None:
            pool = Pool(only=0.02)
            pool.selector.record_refusal("only", probing=False)
            await asyncio.sleep(0.1)
            first, *others = pool.works
            assert pool.choose(first) == "only" and pool.choose(others[0]) is None
            pool.selector.record_acceptance("only")
            assert {pool.choose(item) for item in others} == {"only"}

        run_virtual(work())
