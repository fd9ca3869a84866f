"""Tests of what refusals say of engines while new weights are loaded.

During a wave of loads an engine refuses every item for about a second; it looks idle and fast.
"""

import asyncio
from datetime import UTC, datetime

import pytest

from node.fleet import MODEL, job
from verbenawind.batches.engine_view import EngineView
from verbenawind.batches.item_run import HeldText, RunEnd, RunOutcome
from verbenawind.batches.journal import StoredJob
from verbenawind.batches.leftovers import Leftovers
from verbenawind.batches.ordering import EngineChoice, rank_items
from verbenawind.batches.outcomes import ItemOutcomes
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.paces import RunPace
from verbenawind.batches.types import JobRecord
from verbenawind.clock import LoopClock
from verbenawind.gateway import Directory, Instance, Route, RouteKind
from verbenawind.kernel.messages import Location
from verbenawind.standins.world import run_virtual

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
    """Engines by pace, and a view of them; make it inside a virtual loop."""

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
        self.due: set[str] = set()
        self.view = EngineView(
            self.directory,
            lambda _: 1,
            lambda _model, _service: frozenset(paces_s),
            lambda _model, name: name in self.due,
            self.clock,
        )
        for name, pace_s in paces_s.items():
            self.view.paces.learn(name, pace_s)
        submission = job(groups=2)
        ranks = rank_items(submission, ())
        self.works = [ItemWork(i, ranks[i.item_id], HeldText()) for i in submission.items]
        self.job = OwnedJob(StoredJob(record=RECORD, version=1), submission)
        self.outcomes = ItemOutcomes(self.view, lambda _: 1, Leftovers(), self.clock)

    def choose(self, work: ItemWork) -> str | None:
        """Return the engine that an item would start at."""
        engines = self.view.engines(SERVICE, MODEL, work, single_version=False)
        choice = self.view.choose(engines, SERVICE, RECORD, work)
        return choice.instance_id if choice else None

    def end(self, work: ItemWork, engine: str, end: RunEnd) -> None:
        """Take in how a run has ended."""
        backend = self.directory.get(engine)
        assert backend is not None
        choice = EngineChoice(instance_id=engine, reason="soonest")
        self.outcomes.learn(self.job, work, ROUTE, backend, choice, RunOutcome(end=end), 0)

    async def slow_run(self, pace_s: float) -> RunPace:
        """Return the pace of a run that has made some events."""
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
        """A run stays where it works until the fast engine has had time to load."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05)
            pace = await pool.slow_run(0.05)
            assert pool.view.should_move(pace, ["fast"], RECORD, 40)
            pool.view.refused("fast", probing=False)
            await asyncio.sleep(0.5)
            assert not pool.view.should_move(pace, ["fast"], RECORD, 40)
            await asyncio.sleep(0.6)
            assert pool.view.should_move(pace, ["fast"], RECORD, 40)

        run_virtual(work())

    def test_no_run_moves_to_an_engine_that_is_about_to_load(self) -> None:
        """As soon as a version is named, runs keep off the engines that load it first."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05, other=0.02)
            pace = await pool.slow_run(0.05)
            pool.due = {"fast", "other"}
            assert not pool.view.should_move(pace, ["fast", "other"], RECORD, 40)
            pool.due = {"fast"}
            assert pool.view.should_move(pace, ["fast", "other"], RECORD, 40)

        run_virtual(work())

    def test_run_that_was_moved_in_vain_goes_back(self) -> None:
        """An item that left a slow engine and was refused elsewhere may go on where it was."""

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
        """A refusal elsewhere does not bring an item back to an engine that failed it."""

        async def work() -> None:
            pool = Pool(fast=0.01, slow=0.05)
            item, *_ = pool.works
            pool.end(item, "slow", end)
            pool.end(item, "fast", RunEnd.REFUSED)
            assert pool.choose(item) is None

        run_virtual(work())

    def test_one_item_at_a_time_tries_an_engine_that_refuses(self) -> None:
        """While an engine loads, its queue of items sends one in a while, not all at once."""

        async def work() -> None:
            pool = Pool(only=0.02)
            pool.view.refused("only", probing=False)
            tries = 0
            for _ in range(20):
                await asyncio.sleep(0.05)
                sent = [item for item in pool.works if pool.choose(item) is not None]
                tries += len(sent)
                for _item in sent:
                    pool.view.refused("only", probing=False)
            # One each 0.08 s at most.
            assert 5 <= tries <= 12

        run_virtual(work())

    def test_engine_that_accepts_is_filled_at_once(self) -> None:
        """The first item that is accepted opens the engine for all."""

        async def work() -> None:
            pool = Pool(only=0.02)
            pool.view.refused("only", probing=False)
            await asyncio.sleep(0.1)
            first, *others = pool.works
            assert pool.choose(first) == "only" and pool.choose(others[0]) is None
            pool.view.accepted("only")
            assert {pool.choose(item) for item in others} == {"only"}

        run_virtual(work())
