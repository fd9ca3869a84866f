"""Runs the items of the jobs that this daemon owns, and lists their results."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import msgspec
import structlog

from verbenawind.batches.engine_selection import EngineSelector
from verbenawind.batches.item_run import RunLimits, RunnerCounts, run_item
from verbenawind.batches.job_registry import JobRegistry
from verbenawind.batches.job_rows import StoredJob
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.listing import ResultLister
from verbenawind.batches.loading import JobLoader
from verbenawind.batches.ordering import EngineChoice, Rank
from verbenawind.batches.outcomes import OutcomeHandler
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.partial_texts import PartialTextWriter
from verbenawind.batches.retained_work import RetainedWork
from verbenawind.batches.scoring import RequestForwarder, ScoreOutcome, ScoringStage
from verbenawind.batches.types import ItemResult, JobState
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable
from verbenawind.gateway import (
    Allowances,
    Backend,
    BackendPort,
    Directory,
    Permit,
    Route,
    RouteKind,
    RouteTable,
    service_of,
)
from verbenawind.timings import Timing, Timings

__all__ = ["BatchRunner"]

_HAND_OVER_TIMEOUT_S = 3.0
# Interval between checks for waiting items while jobs are open and no event wakes the runner.
_POLL_PERIOD_S = 0.05
# How long an engine may send nothing, before and after its first event, until an item is moved.
_FIRST_EVENT_S = 1.0
_STALL_S = 0.6
# Age at which an item is terminated if its route sets no retention period.
_DEFAULT_RETENTION_S = 3600.0
# Maximum number of moves of one item to faster engines.
_MAX_MOVES = 3


class BatchRunner:
    """Runs owned jobs.

    Args:
        owner: This daemon's incarnation.
        job_store: Persistent record of jobs.
        job_registry: Known jobs.
        directory: Known engines.
        port: Sends requests to engines.
        forwarder: Sends the scoring calls of complete texts.
        routes: Returns the current routes, None while there are none.
        newest_version: Returns the newest published version of a model.
        current_engines: Returns the engines of a service that are kept up to date with a model.
        loads_soon: Returns whether an engine is about to load newer weights of a model.
        allowances: Gives items their turns at engines that limit them.
        store_ms: Returns the store's time.
        timings: Records durations for the metrics.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        owner: str,
        job_store: JobStore,
        job_registry: JobRegistry,
        directory: Directory,
        port: BackendPort,
        forwarder: RequestForwarder,
        routes: Callable[[], RouteTable | None],
        newest_version: Callable[[str], int],
        current_engines: Callable[[str, str], frozenset[str]],
        loads_soon: Callable[[str, str], bool],
        allowances: Allowances,
        store_ms: Callable[[], int],
        timings: Timings,
        clock: Clock,
    ) -> None:
        self.owner = owner
        self._job_store = job_store
        self._job_registry = job_registry
        self._directory = directory
        self._port = port
        self._routes = routes
        self._newest_version = newest_version
        self._store_ms = store_ms
        self._timings = timings
        self._clock = clock
        self.jobs: dict[str, OwnedJob] = {}
        self._loading: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._engines = EngineSelector(
            directory, newest_version, current_engines, loads_soon, allowances, clock
        )
        self._text_writer = PartialTextWriter(job_store, clock)
        self._job_loader = JobLoader(job_store, clock)
        self._result_lister = ResultLister(
            job_store, job_registry, clock, self._drop, self._record_listing
        )
        self._retained_work = RetainedWork()
        self.counts = RunnerCounts()
        self._outcomes = OutcomeHandler(self._engines, newest_version, clock)
        self.scoring = ScoringStage(
            forwarder,
            directory,
            on_outcome=self._score_call_ended,
            create_task=self._create_task,
            timings=timings,
            clock=clock,
        )
        self.stopping = False
        self._log = structlog.get_logger("batches")
        job_registry.on_change(self._job_changed)
        directory.on_change(self._wake.set)
        allowances.on_available(self._wake.set)

    @property
    def results_listed(self) -> int:
        """Number of results that this daemon has listed."""
        return self._result_lister.listed

    @property
    def busy(self) -> bool:
        """Whether this daemon runs or loads any job."""
        return bool(self.jobs or self._loading)

    def owns(self, job_id: str) -> bool:
        """Return whether this daemon runs or loads the job."""
        return job_id in self.jobs or job_id in self._loading

    async def run(self) -> None:
        """Start items and list results until cancelled."""
        while True:
            self._list_results()
            self._start_items()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_POLL_PERIOD_S if self.jobs else 1.0):
                    await self._wake.wait()
            self._wake.clear()

    def start_job(self, stored: StoredJob, *, fresh: bool = False) -> None:
        """Start running a job that this daemon owns; a *fresh* job has no stored results."""
        if self.owns(stored.record.job_id) or self.stopping:
            return
        self._loading.add(stored.record.job_id)
        self._create_task(self._load(stored, fresh))

    async def hand_over(self, timeout_s: float) -> None:
        """Stop all runs and release the jobs, so that other daemons can continue them."""
        self.stopping = True
        jobs = list(self.jobs.values())
        for job in jobs:
            for work in job.unfinished.values():
                if work.task is not None:
                    work.task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await asyncio.gather(*(self._hand_over_job(job) for job in jobs))

    def abandon(self) -> None:
        """Stop immediately, without releasing the jobs in the store."""
        for job in list(self.jobs.values()):
            self._drop(job, "the daemon stops")
        for task in self._tasks:
            task.cancel()

    # Starting and releasing jobs.

    async def _load(self, stored: StoredJob, fresh: bool) -> None:
        """Load a job and make its items available to run."""
        record = stored.record
        job_id = record.job_id
        try:
            loaded = await self._job_loader.load(stored, fresh=fresh)
        finally:
            self._loading.discard(job_id)
        known = self._job_registry.get(job_id)
        if known is not None and known.job.version > stored.version:
            stored = known.job
        if stored.record.owner != self.owner or stored.record.state is not JobState.OPEN:
            return
        items = loaded.submission.items
        carried_over_groups = self._retained_work.groups_submitted_again(items)
        job = OwnedJob(
            stored,
            loaded.submission,
            listed=loaded.listed,
            tail=loaded.tail,
            partial=self._retained_work.pop_texts(items, record.min_version),
            kept=loaded.kept,
            carried_over_groups=carried_over_groups,
        )
        self.jobs[job_id] = job
        self._log.info(
            "job_begun",
            job_id=job_id,
            epoch=record.epoch,
            items=record.total,
            listed=len(loaded.listed),
            kept_texts=len(loaded.kept),
            carried_over=len(carried_over_groups),
            step=record.step,
            model=record.model,
            min_version=record.min_version,
            age_s=round(self._age_s(job), 3),
        )
        self._wake.set()

    def _job_changed(self, stored: StoredJob) -> None:
        """Update a job's record, and stop the job if it is closed or has another owner."""
        record = stored.record
        job = self.jobs.get(record.job_id)
        if job is None or stored.version <= job.stored.version:
            return
        if record.owner == self.owner and record.state is JobState.OPEN:
            job.stored = stored
            return
        reason = "it has another owner" if record.owner != self.owner else f"it is {record.state}"
        self._drop(job, reason)

    def _drop(self, job: OwnedJob, reason: str) -> None:
        self.jobs.pop(job.job_id, None)
        self._log.info(
            "job_dropped",
            job_id=job.job_id,
            epoch=job.stored.record.epoch,
            reason=reason,
            listed=job.tail.listed,
            unlisted=len(job.finished),
            unfinished=len(job.unfinished),
            age_s=round(self._age_s(job), 3),
        )
        self._retained_work.add(job)
        job.cancel()

    async def _hand_over_job(self, job: OwnedJob) -> None:
        while job.job_id in self.jobs and (job.finished or job.commit_task is not None):
            if job.commit_task is None:
                job.commit_task = self._create_task(self._commit(job))
            await asyncio.wait({job.commit_task})
        if job.job_id not in self.jobs:
            return
        if job.write_task is not None:
            await asyncio.wait({job.write_task})
        if job.unconfirmed_texts:
            await self._text_writer.write(job)
        await self._text_writer.write(job, min_new_events=1)
        released = msgspec.structs.replace(job.stored.record, owner="")
        try:
            self._job_registry.put(
                await self._job_store.update(job.stored, released, _HAND_OVER_TIMEOUT_S)
            )
        except (RowConflict, StoreUnavailable) as error:
            self._log.warning("job_not_handed_over", job_id=job.job_id, reason=error.message)
            self._drop(job, "the daemon stops")

    # Running items.

    def _start_items(self) -> None:
        table = self._routes()
        if table is None or self.stopping:
            return
        self._start_scoring(table)
        now_s = self._clock.monotonic_s()
        candidates: list[tuple[int, float, Rank, OwnedJob, ItemWork]] = []
        for job in self.jobs.values():
            due_ms = self._due_ms(job, table)
            candidates += [
                (work.rank.awaited, due_ms, work.rank, job, work)
                for work in job.waiting
                if work.not_before_s <= now_s
            ]
        candidates.sort(key=lambda entry: entry[:3])
        models_without_slots: set[tuple[str, int]] = set()
        for _, _, _, job, work in candidates:
            record = job.stored.record
            if (record.model, record.min_version) in models_without_slots and not work.excluded:
                continue
            takes_any_engine = not work.excluded and not work.partial.versions
            started = self._start(table, job, work, len(candidates))
            if not started and takes_any_engine:
                models_without_slots.add((record.model, record.min_version))

    def _due_ms(self, job: OwnedJob, table: RouteTable) -> float:
        route = table.match(job.submission.host, job.submission.path)
        return job.stored.record.submitted_ms + (route.result_deadline_s * 1000 if route else 0.0)

    def _start(self, table: RouteTable, job: OwnedJob, work: ItemWork, waiting: int) -> bool:
        """Start or terminate an item, or return False if no engine has a free slot for it."""
        record = job.stored.record
        route = _batch_route(table, job, work)
        if route is None:
            self._outcomes.terminate(job, work, "its route was removed")
            return True
        remaining_s = self._check_retention_s(job, work, route)
        if remaining_s <= 0:
            return True
        service = service_of(route, record.job_id)
        engines = self._engines.engines(
            service, record.model, work, single_version=route.single_version
        )
        choice = self._engines.choose(engines, service, record, work, waiting=waiting)
        if choice is None:
            return False
        backend = engines[choice.instance_id]
        permit = self._engines.take_permit(backend)
        work.task = self._create_task(
            self._run_item(job, work, route, backend, choice, remaining_s, list(engines), permit)
        )
        if not work.was_started:
            work.was_started = True
            self._timings.observe(Timing.ITEM_WAIT, self._age_s(job))
        # Count the run now, so that the choice for the next item takes its load into account.
        backend.begin()
        work.task.add_done_callback(lambda _: backend.end())
        return True

    def _check_retention_s(self, job: OwnedJob, work: ItemWork, route: Route) -> float:
        """Return how long an item may still take, and terminate it if no time is left."""
        if not route.retention_s:
            return _DEFAULT_RETENTION_S
        remaining_s = route.retention_s - self._age_s(job)
        if remaining_s <= 0:
            self._outcomes.terminate(job, work, f"older than {route.retention_s} s")
        return remaining_s

    def _start_scoring(self, table: RouteTable) -> None:
        """Start the scoring calls of complete texts."""

        def time_for_call_s(job: OwnedJob, work: ItemWork) -> float:
            """Settle an item that needs no call or may have none; return 0 for these."""
            route = _batch_route(table, job, work)
            # Whether a removed route allowed several versions is not known any more.
            single_version = route is None or route.single_version
            if not work.partial.satisfies(job.stored.record.min_version, single_version):
                work.partial.clear()
                return 0.0
            if work.item.scoring is None:
                self._outcomes.finish(job, work)
                return 0.0
            if route is not None:
                return self._check_retention_s(job, work, route)
            call = work.item.scoring
            if table.match(call.host, call.path.partition("?")[0]) is None:
                self._outcomes.terminate(job, work, "its route and that of its score were removed")
                return 0.0
            return _DEFAULT_RETENTION_S

        self.scoring.start_calls(list(self.jobs.values()), table, time_for_call_s)

    def _score_call_ended(self, job: OwnedJob, work: ItemWork, outcome: ScoreOutcome) -> None:
        if self.jobs.get(job.job_id) is job:
            self._outcomes.handle_score(job, work, outcome)
        self._wake.set()

    async def _run_item(
        self,
        job: OwnedJob,
        work: ItemWork,
        route: Route,
        backend: Backend,
        choice: EngineChoice,
        remaining_s: float,
        engines: Sequence[str],
        permit: Permit | None,
    ) -> None:
        record = job.stored.record
        started_s = self._clock.monotonic_s()
        resumed_from, events_before = work.partial.last_event, len(work.partial.events)
        expected_version = None
        if choice.probing:
            expected_version = self._newest_version(record.model)
        elif route.single_version and work.partial.versions:
            expected_version = next(iter(work.partial.versions))
        limits = RunLimits(
            remaining_s=remaining_s,
            first_event_s=_FIRST_EVENT_S,
            stall_s=_STALL_S,
            min_version=record.min_version,
            single_version=route.single_version,
            expect_version=expected_version,
        )
        others = [name for name in engines if name != backend.instance.instance_id]
        try:
            outcome = await run_item(
                work.item,
                job.submission.host,
                work.partial,
                backend,
                limits,
                port=self._port,
                clock=self._clock,
                paces=self._engines.paces,
                should_move=lambda pace: (
                    work.moves < _MAX_MOVES
                    and self._engines.should_move(pace, others, record, len(work.partial.events))
                ),
                on_accepted=lambda: self._engine_accepted(backend),
                permit=permit,
            )
        finally:
            work.task = None
            self._wake.set()
        self._log.info(
            "item_run",
            job_id=record.job_id,
            request_id=work.item.item_id,
            group=work.item.group,
            server=backend.instance.instance_id,
            choice=choice.reason,
            end=outcome.end.value,
            detail=outcome.detail,
            resumed_after=resumed_from,
            events=len(work.partial.events),
            versions=sorted(work.partial.versions),
            took_s=round(self._clock.monotonic_s() - started_s, 3),
        )
        self.counts.runs[outcome.end] += 1
        if self.jobs.get(job.job_id) is job:
            self._outcomes.handle(job, work, route, backend, choice, outcome, events_before)

    def _engine_accepted(self, backend: Backend) -> None:
        """Wake the runner when an engine accepts items again after a refusal."""
        if self._engines.record_acceptance(backend.instance.instance_id):
            self._wake.set()

    def _list_results(self) -> None:
        if self.stopping:
            return
        for job in list(self.jobs.values()):
            if self._result_lister.is_due(job):
                job.commit_task = self._create_task(self._commit(job))
            if self._text_writer.is_due(job):
                job.write_task = self._create_task(self._text_writer.write(job))

    def _record_listing(self, job: OwnedJob, results: Sequence[ItemResult]) -> None:
        """Record metrics for newly listed results."""
        now_s = self._clock.monotonic_s()
        self._timings.observe(Timing.RESULT_LISTING, max(0.0, now_s - job.finished_since_s))
        table = self._routes()
        route = table.match(job.submission.host, job.submission.path) if table else None
        for _ in job.complete_groups(results):
            age_s = self._age_s(job)
            self._timings.observe(Timing.GROUP_COMPLETION, age_s)
            if route is not None and route.result_deadline_s:
                self._timings.observe(Timing.GROUP_DEADLINE, age_s / route.result_deadline_s)

    def _age_s(self, job: OwnedJob) -> float:
        return max(0.0, job.stored.record.age_s(self._store_ms()))

    async def _commit(self, job: OwnedJob) -> None:
        await self._result_lister.commit(job)
        self._wake.set()

    def _create_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.error("batch_task_failed", exc_info=error)


def _batch_route(table: RouteTable, job: OwnedJob, work: ItemWork) -> Route | None:
    """Return the route of an item, None if its path has none for batch jobs any more."""
    route = table.match(job.submission.host, work.item.path.partition("?")[0])
    return route if route is not None and route.kind is RouteKind.BATCH else None
