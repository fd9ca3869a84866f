"""Processes the steps of a trainer under a lease: generates and commits missing units."""

import asyncio
import functools
from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.document import EnvironmentRevision, ModelSpec, TrainerSpec
from verbenawind.errors import ConditionFailed, LeaseLost, StoreUnavailable, VerbenawindError
from verbenawind.kernel.rollouts import Sample, StepSubmission
from verbenawind.rollout.commits import BatchCommitter, FinishedUnit, TrainerContext
from verbenawind.rollout.holder_dependencies import HolderDependencies
from verbenawind.rollout.lengths import LengthEstimator
from verbenawind.rollout.pacer import Pacer
from verbenawind.rollout.progress import (
    NeededUnit,
    is_finished,
    needed_units,
    undelivered_units,
)
from verbenawind.rollout.records import StepRecord
from verbenawind.rollout.sample_generation import UnitJob
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.rollout.start_decision import StartDecision, decide_start
from verbenawind.rollout.trainer_lease import ACQUIRE_PERIOD_S, TrainerLease
from verbenawind.rollout.units import StepUnits

__all__ = ["StepHolder"]

_REFRESH_PERIOD_S = 0.5
_ITERATION_PERIOD_S = 0.1
_MIN_ITERATION_PERIOD_S = 0.02
_STORE_RETRY_S = 2.0
_MAX_UNCOMMITTED_SAMPLES = 4096
_MAX_UNCOMMITTED_TOKENS = 1_000_000


class _OpenStep:
    """An unfinished step; its submission is loaded when its first unit starts."""

    __slots__ = ("record", "submission", "units")

    def __init__(self, record: StepRecord) -> None:
        self.record = record
        self.units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
        self.submission: StepSubmission | None = None


class StepHolder:
    """Processes the steps of one trainer while it holds the lease of the trainer.

    Each iteration acquires or checks the lease, reads the rows if they are due, commits finished
    units and starts new ones.

    Args:
        revision: The revision in force.
        trainer: The trainer.
        model: The model that it trains.
        dependencies: Services shared by all holders of this daemon.
    """

    def __init__(
        self,
        revision: EnvironmentRevision,
        trainer: TrainerSpec,
        model: ModelSpec,
        dependencies: HolderDependencies,
    ) -> None:
        self._dependencies = dependencies
        self._context = TrainerContext(revision, trainer, model)
        self._committer = BatchCommitter(
            self._context, dependencies.table, dependencies.objects, dependencies.peers.peer_id
        )
        self._pacer = Pacer(dependencies.clock, dependencies.policy.fixed_ahead_steps)
        self._length_estimator = LengthEstimator()
        self._log = structlog.get_logger("rollout")
        self._trainer_lease = TrainerLease(self._context, dependencies)
        self._records: Sequence[StepRecord] = ()
        self._steps: dict[int, _OpenStep] = {}
        self._running: dict[tuple[int, int], asyncio.Task[None]] = {}
        self._retained_samples: dict[tuple[int, int], dict[tuple[int, int], Sample]] = {}
        self._running_samples = 0
        self._wake = asyncio.Event()
        self._draining = False
        self._min_version = 0
        self._next_refresh_s = 0.0

    def configure(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, model: ModelSpec
    ) -> None:
        """Continue under another revision."""
        self._context.revision, self._context.trainer, self._context.model = (
            revision,
            trainer,
            model,
        )

    def record_waiting(self) -> None:
        """Record that the trainer waits for samples, and wake the loop."""
        if not self._pacer.is_trainer_waiting:
            self._next_refresh_s = 0.0
        self._pacer.record_waiting()
        self._wake.set()

    def record_submission(self) -> None:
        """Wake the loop and make it read the rows, as a step was submitted."""
        self._next_refresh_s = 0.0
        self._wake.set()

    async def run(self) -> None:
        """Run until cancelled, or until the work is drained after :meth:`drain`."""
        try:
            while not (self._draining and self._is_drained()):
                await self._iterate_safely()
                await self._wait_for_next_iteration()
        finally:
            for task in self._running.values():
                task.cancel()
        await self._trainer_lease.release()

    def drain(self) -> None:
        """Stop starting units; finish and commit running ones, then release the lease."""
        self._draining = True
        self._wake.set()

    def _is_drained(self) -> bool:
        return not self._running and (
            not self._committer.pending or not self._trainer_lease.is_held
        )

    async def _wait_for_next_iteration(self) -> None:
        period_s = _ITERATION_PERIOD_S if self._trainer_lease.is_held else ACQUIRE_PERIOD_S
        self._wake.clear()
        await self._dependencies.clock.sleep(_MIN_ITERATION_PERIOD_S)
        waiting = asyncio.ensure_future(self._wake.wait())
        sleeping = asyncio.ensure_future(self._dependencies.clock.sleep(period_s))
        try:
            await asyncio.wait({waiting, sleeping}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            sleeping.cancel()

    async def _iterate_safely(self) -> None:
        """Run an iteration; an unexpected exception must not end the loop."""
        try:
            await self._iterate()
        except Exception:
            self._log.exception("turn_failed", trainer=self._context.trainer.name)
            self._committer.mark_stale()
            await self._dependencies.clock.sleep(_STORE_RETRY_S)

    async def _iterate(self) -> None:
        if not await self._ensure_lease():
            return
        try:
            await self._refresh()
            await self._commit()
        except (ConditionFailed, LeaseLost) as error:
            self._log.info("rows_changed", trainer=self._context.trainer.name, error=error.message)
            self._committer.mark_stale()
            self._next_refresh_s = 0.0
        except StoreUnavailable as error:
            delay_s = self._dependencies.rng.uniform(0.5, 1.5) * _STORE_RETRY_S
            self._next_refresh_s = self._dependencies.clock.monotonic_s() + delay_s
            self._log.warning("store_unavailable", error=error.message, retry_in_s=delay_s)
        if self._trainer_lease.is_held and not self._draining:
            await self._dispatch()

    async def _ensure_lease(self) -> bool:
        if self._trainer_lease.is_held:
            return True
        if self._trainer_lease.drop_expired():
            self._committer.mark_stale()
        if self._draining or not self._trainer_lease.should_acquire():
            return False
        if not await self._trainer_lease.acquire():
            await self._discard_if_superseded()
            return False
        self._next_refresh_s = 0.0
        return True

    async def _discard_if_superseded(self) -> None:
        """Discard the work in progress if another holder has committed since."""
        if not self._running and not self._committer.pending:
            return
        try:
            rows, _ = await self._committer.read()
        except StoreUnavailable:
            return
        if rows.work.epoch <= self._trainer_lease.epoch:
            return
        for task in self._running.values():
            task.cancel()
        self._committer.pending.clear()
        self._log.warning(
            "work_dropped",
            trainer=self._context.trainer.name,
            epoch=rows.work.epoch,
            reason="another daemon acquired the lease and committed",
        )

    async def _refresh(self) -> None:
        now_s = self._dependencies.clock.monotonic_s()
        if now_s < self._next_refresh_s and self._committer.is_current:
            return
        rows, records = await self._committer.read()
        self._dependencies.versions.update_from_rows(
            self._context.environment, self._context.model.name, rows.rows
        )
        self._next_refresh_s = now_s + _REFRESH_PERIOD_S
        self._records = records
        open_records = [
            record for record in records if not is_finished(record.step, rows.work, rows.delivery)
        ]
        self._steps = {
            record.step: self._steps.get(record.step) or _OpenStep(record)
            for record in open_records
        }
        self._cancel_finished()
        largest = max((step.units.count for step in self._steps.values()), default=1)
        self._pacer.update(
            rows.delivery, self._context.revision.document, self._context.model, largest
        )
        if self._context.trainer.scoring_service is not None:
            self._dependencies.scorer.schedule(self._context, rows)

    def _cancel_finished(self) -> None:
        for step, unit in [key for key in self._running if key[0] not in self._steps]:
            self._running[step, unit].cancel()
        for key in [key for key in self._retained_samples if key[0] not in self._steps]:
            del self._retained_samples[key]

    async def _commit(self) -> None:
        lease = self._trainer_lease.lease
        assert lease is not None
        if not self._committer.is_current:
            return
        bound = self._dependencies.versions.bound(
            self._context.environment,
            self._context.model,
            self._committer.rows.delivery.declared_version,
        )
        for finished in self._committer.remove_expired(bound):
            self._retain_unexpired(finished, bound)
        idle = not self._running
        graded = self._dependencies.scorer.graded_ordinal(self._context)
        if await self._committer.commit_due(
            lease,
            self._dependencies.clock.monotonic_s(),
            flush=self._draining or idle,
            graded_ordinal=graded,
            step_records=self._records,
        ):
            self._wake.set()

    def _retain_unexpired(self, finished: FinishedUnit, bound: StalenessBound) -> None:
        """Keep the samples of an expired unit that are within the bound themselves."""
        self._retained_samples[finished.step, finished.unit] = {
            (sample.group, sample.index): sample
            for sample in finished.samples
            if bound.allows(sample.oldest_version)
        }

    async def _dispatch(self) -> None:
        if not self._committer.has_rows:
            return
        pool = self._context.model.pool
        self._dependencies.dispatcher.refresh_slots(pool)
        capacity = self._dependencies.dispatcher.total_free_slots(pool)
        capacity = min(capacity, _MAX_UNCOMMITTED_SAMPLES - self._uncommitted_samples())
        decision = self._decide_start()
        if not decision.start:
            return
        self._min_version = decision.min_version
        if self._committer.pending_tokens >= _MAX_UNCOMMITTED_TOKENS:
            return
        awaited = self._awaited_step()
        for number in sorted(self._steps):
            needed = self._needed_units(self._steps[number])
            if needed:
                capacity = await self._start_units(self._steps[number], needed, capacity, awaited)
            if capacity <= 0:
                return

    def _awaited_step(self) -> int | None:
        """Return the step that the trainer waits for, or None if there is none."""
        if not self._pacer.is_trainer_waiting:
            return None
        undelivered = {step for step, _ in self._units_ahead()}
        open_steps = [
            number
            for number in sorted(self._steps)
            if number in undelivered or self._needed_units(self._steps[number])
        ]
        return open_steps[0] if open_steps else None

    def _decide_start(self) -> StartDecision:
        """Decide whether to wait for engines that are loading the newest version."""
        context, clock = self._context, self._dependencies.clock
        bound = self._dependencies.versions.bound(
            context.environment, context.model, self._committer.rows.delivery.declared_version
        )
        return decide_start(
            bound,
            self._dependencies.active_versions(context.model),
            clock.now().timestamp(),
            context.revision.document,
        )

    def _uncommitted_samples(self) -> int:
        return self._running_samples + self._committer.pending_samples

    def _units_ahead(self) -> list[tuple[int, int]]:
        """Return the (step, unit) of all generated or running units that are not delivered."""
        rows = self._committer.rows
        return [
            *undelivered_units(rows.work, rows.delivery),
            *((entry.step, entry.unit) for entry in self._committer.pending),
            *self._running,
        ]

    def _needed_units(self, step: _OpenStep) -> list[NeededUnit]:
        rows, number = self._committer.rows, step.record.step
        pending_units = {entry.unit for entry in self._committer.pending if entry.step == number}
        return [
            unit
            for unit in needed_units(number, step.units, rows.work, rows.delivery)
            if unit.unit not in pending_units and (number, unit.unit) not in self._running
        ]

    async def _start_units(
        self, step: _OpenStep, needed: list[NeededUnit], capacity: int, awaited: int | None
    ) -> int:
        """Start the units that pacing allows; return the remaining capacity in samples."""
        submission = await self._submission(step)
        if submission is None:
            return capacity
        number = step.record.step
        allowed = len(needed)
        if number != awaited:
            ahead = [key for key in self._units_ahead() if key[0] != awaited]
            allowed = self._pacer.allowed_units(step.units.count, len(ahead))
        jobs = [self._create_job(step, submission, unit.unit, unit.generation) for unit in needed]
        if self._dependencies.policy.longest_first:
            jobs.sort(key=lambda job: -job.expected_tokens)
        for job in jobs[:allowed]:
            if capacity <= 0:
                return 0
            capacity -= len(job.members)
            self._start_job(job)
        return capacity if allowed >= len(jobs) else 0

    async def _submission(self, step: _OpenStep) -> StepSubmission | None:
        if step.submission is None:
            data = await self._dependencies.objects.get(step.record.object_key)
            if data is None:
                self._log.error("step_object_missing", step=step.record.step)
                return None
            step.submission = msgspec.json.decode(data, type=StepSubmission)
        return step.submission

    def _create_job(
        self, step: _OpenStep, submission: StepSubmission, unit: int, generation: int
    ) -> UnitJob:
        retained = self._retained_samples.get((step.record.step, unit), {})
        members = [member for member in step.units.members(unit) if member not in retained]
        prompt = submission.groups[step.units.members(unit)[0][0]].prompt
        return UnitJob(
            environment=self._context.environment,
            trainer=self._context.trainer.name,
            caller=self._context.trainer.caller,
            model=self._context.model,
            step=step.record.step,
            unit=unit,
            generation=generation,
            members=tuple(members),
            prompt=prompt,
            sampling=submission.sampling,
            timeout_s=self._context.trainer.step_timeout_s,
            expected_tokens=self._length_estimator.expected_tokens(prompt),
            declared_version=self._committer.rows.delivery.declared_version,
            min_version=self._min_version,
        )

    def _start_job(self, job: UnitJob) -> None:
        task = asyncio.get_running_loop().create_task(self._run_job(job))
        key = (job.step, job.unit)
        self._running[key] = task
        self._running_samples += len(job.members)
        task.add_done_callback(functools.partial(self._on_job_done, key, len(job.members)))

    def _on_job_done(self, key: tuple[int, int], samples: int, _: asyncio.Task[None]) -> None:
        self._running.pop(key, None)
        self._running_samples -= samples
        self._wake.set()

    async def _run_job(self, job: UnitJob) -> None:
        try:
            generated = await self._dependencies.dispatcher.generate_samples(job)
        except VerbenawindError as error:
            self._log.warning("unit_failed", step=job.step, unit=job.unit, error=error.message)
            return
        except ExceptionGroup as group:
            self._log.warning("unit_failed", step=job.step, unit=job.unit, error=str(group))
            return
        retained = self._retained_samples.pop((job.step, job.unit), {})
        samples = sorted(
            [*retained.values(), *generated], key=lambda sample: (sample.group, sample.index)
        )
        self._length_estimator.record_length(
            job.prompt, max(len(sample.token_ids) for sample in samples)
        )
        self._committer.add(
            FinishedUnit(
                step=job.step,
                unit=job.unit,
                generation=job.generation,
                group=samples[0].group,
                samples=tuple(
                    msgspec.structs.replace(sample, generation=job.generation) for sample in samples
                ),
                finished_at_s=self._dependencies.clock.monotonic_s(),
            )
        )
