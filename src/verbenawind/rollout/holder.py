"""Holds a trainer's steps under a lease: has missing units made and commits them in batches."""

import asyncio
import functools
from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.document import EnvironmentRevision, ModelSpec, TrainerSpec
from verbenawind.errors import ConditionFailed, LeaseLost, StoreUnavailable, VerbenawindError
from verbenawind.kernel.rollouts import Sample, StepSubmission
from verbenawind.rollout.commits import BatchCommitter, FinishedUnit, TrainerContext
from verbenawind.rollout.drafts import UnitJob
from verbenawind.rollout.holder_parts import HolderParts
from verbenawind.rollout.lengths import LengthEstimator
from verbenawind.rollout.pacer import Pacer
from verbenawind.rollout.progress import (
    NeededUnit,
    is_finished,
    needed_units,
    undelivered_units,
)
from verbenawind.rollout.records import StepRecord
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.rollout.start_decision import StartDecision, decide_start
from verbenawind.rollout.tenure import ACQUIRE_PERIOD_S, Tenure
from verbenawind.rollout.units import StepUnits

__all__ = ["StepHolder"]

_LOOK_PERIOD_S = 0.5
_TURN_PERIOD_S = 0.1
_MIN_TURN_PERIOD_S = 0.02
_STORE_RETRY_S = 2.0
_MAX_UNCOMMITTED_SAMPLES = 4096
_MAX_UNCOMMITTED_TOKENS = 1_000_000


class _Step:
    """An unfinished step in memory; the submission is loaded when work on it starts."""

    __slots__ = ("record", "submission", "units")

    def __init__(self, record: StepRecord) -> None:
        self.record = record
        self.units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
        self.submission: StepSubmission | None = None


class StepHolder:
    """Works on one trainer's steps whenever it holds the trainer's lease.

    Args:
        revision: The revision that the work runs under.
        trainer: The trainer.
        model: The model that it trains.
        parts: What all holders share.
    """

    def __init__(
        self,
        revision: EnvironmentRevision,
        trainer: TrainerSpec,
        model: ModelSpec,
        parts: HolderParts,
    ) -> None:
        self._parts = parts
        self._context = TrainerContext(revision, trainer, model)
        self._committer = BatchCommitter(
            self._context, parts.table, parts.objects, parts.peers.peer_id
        )
        self._pacer = Pacer(parts.clock, parts.policy.fixed_ahead_steps)
        self._lengths = LengthEstimator()
        self._log = structlog.get_logger("rollout")
        self._tenure = Tenure(self._context, parts)
        self._records: Sequence[StepRecord] = ()
        self._steps: dict[int, _Step] = {}
        self._running: dict[tuple[int, int], asyncio.Task[None]] = {}
        self._partial: dict[tuple[int, int], dict[tuple[int, int], Sample]] = {}
        self._running_samples = 0
        self._wake = asyncio.Event()
        self._draining = False
        self._min_version = 0
        self._next_look_s = 0.0

    def configure(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, model: ModelSpec
    ) -> None:
        """Go on under another revision."""
        self._context.revision, self._context.trainer, self._context.model = (
            revision,
            trainer,
            model,
        )

    def record_waiting(self) -> None:
        """Take in that the trainer waits for samples now."""
        if not self._pacer.is_trainer_waiting:
            self._next_look_s = 0.0
        self._pacer.record_waiting()
        self._wake.set()

    def record_submission(self) -> None:
        """Look for a new step at once."""
        self._next_look_s = 0.0
        self._wake.set()

    async def run(self) -> None:
        """Work until cancelled, or until drained after :meth:`drain`."""
        try:
            while not (self._draining and self._is_drained()):
                await self._guarded_turn()
                await self._rest()
        finally:
            for task in self._running.values():
                task.cancel()
        await self._tenure.release()

    def drain(self) -> None:
        """Start nothing new; finish and commit what runs, then give the lease back."""
        self._draining = True
        self._wake.set()

    def _is_drained(self) -> bool:
        return not self._running and (not self._committer.pending or not self._tenure.is_held)

    async def _rest(self) -> None:
        period_s = _TURN_PERIOD_S if self._tenure.is_held else ACQUIRE_PERIOD_S
        self._wake.clear()
        await self._parts.clock.sleep(_MIN_TURN_PERIOD_S)
        waiting = asyncio.ensure_future(self._wake.wait())
        sleeping = asyncio.ensure_future(self._parts.clock.sleep(period_s))
        try:
            await asyncio.wait({waiting, sleeping}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waiting.cancel()
            sleeping.cancel()

    async def _guarded_turn(self) -> None:
        """Take a turn; a fault of our own must not stop the trainer's work for good."""
        try:
            await self._turn()
        except Exception:
            self._log.exception("turn_failed", trainer=self._context.trainer.name)
            self._committer.mark_stale()
            await self._parts.clock.sleep(_STORE_RETRY_S)

    async def _turn(self) -> None:
        if not await self._hold():
            return
        try:
            await self._look()
            await self._commit()
        except (ConditionFailed, LeaseLost) as error:
            self._log.info("rows_changed", trainer=self._context.trainer.name, error=error.message)
            self._committer.mark_stale()
            self._next_look_s = 0.0
        except StoreUnavailable as error:
            delay_s = self._parts.rng.uniform(0.5, 1.5) * _STORE_RETRY_S
            self._next_look_s = self._parts.clock.monotonic_s() + delay_s
            self._log.warning("store_unavailable", error=error.message, retry_in_s=delay_s)
        if self._tenure.is_held and not self._draining:
            await self._dispatch()

    async def _hold(self) -> bool:
        if self._tenure.is_held:
            return True
        if self._tenure.notice_lapse():
            self._committer.mark_stale()
        if self._draining or not self._tenure.is_due():
            return False
        if not await self._tenure.acquire():
            await self._give_up_if_replaced()
            return False
        self._next_look_s = 0.0
        return True

    async def _give_up_if_replaced(self) -> None:
        """Drop the work in progress once another holder has committed."""
        if not self._running and not self._committer.pending:
            return
        try:
            rows, _ = await self._committer.read()
        except StoreUnavailable:
            return
        if rows.work.epoch <= self._tenure.epoch:
            return
        for task in self._running.values():
            task.cancel()
        self._committer.pending.clear()
        self._log.warning(
            "work_dropped",
            trainer=self._context.trainer.name,
            epoch=rows.work.epoch,
            reason="another daemon holds the steps",
        )

    async def _look(self) -> None:
        now_s = self._parts.clock.monotonic_s()
        if now_s < self._next_look_s and self._committer.is_current:
            return
        rows, records = await self._committer.read()
        self._parts.versions.update_from_rows(
            self._context.environment, self._context.model.name, rows.rows
        )
        self._next_look_s = now_s + _LOOK_PERIOD_S
        self._records = records
        open_records = [
            record for record in records if not is_finished(record.step, rows.work, rows.delivery)
        ]
        self._steps = {
            record.step: self._steps.get(record.step) or _Step(record) for record in open_records
        }
        self._cancel_finished()
        largest = max((step.units.count for step in self._steps.values()), default=1)
        self._pacer.update(
            rows.delivery, self._context.revision.document, self._context.model, largest
        )
        if self._context.trainer.scoring_service is not None:
            self._parts.scorer.schedule(self._context, rows)

    def _cancel_finished(self) -> None:
        for step, unit in [key for key in self._running if key[0] not in self._steps]:
            self._running[step, unit].cancel()
        for key in [key for key in self._partial if key[0] not in self._steps]:
            del self._partial[key]

    async def _commit(self) -> None:
        lease = self._tenure.lease
        assert lease is not None
        if not self._committer.is_current:
            return
        bound = self._parts.versions.bound(
            self._context.environment,
            self._context.model,
            self._committer.rows.delivery.declared_version,
        )
        for finished in self._committer.remove_expired(bound):
            self._keep_fresh(finished, bound)
        idle = not self._running
        graded = self._parts.scorer.graded_ordinal(self._context)
        if await self._committer.commit_due(
            lease,
            self._parts.clock.monotonic_s(),
            flush=self._draining or idle,
            graded_ordinal=graded,
            step_records=self._records,
        ):
            self._wake.set()

    def _keep_fresh(self, finished: FinishedUnit, bound: StalenessBound) -> None:
        """Keep the members of an expired unit that need not be made again."""
        self._partial[finished.step, finished.unit] = {
            (sample.group, sample.index): sample
            for sample in finished.samples
            if bound.allows(sample.oldest_version)
        }

    async def _dispatch(self) -> None:
        if not self._committer.has_rows:
            return
        pool = self._context.model.pool
        self._parts.dispatcher.refresh_slots(pool)
        room = self._parts.dispatcher.total_free_slots(pool)
        room = min(room, _MAX_UNCOMMITTED_SAMPLES - self._uncommitted_samples())
        decision = self._freshness()
        if not decision.start:
            return
        self._min_version = decision.min_version
        if self._committer.pending_tokens >= _MAX_UNCOMMITTED_TOKENS:
            return
        awaited = self._awaited_step()
        for number in sorted(self._steps):
            needed = self._needed(self._steps[number])
            if needed:
                room = await self._start_units(self._steps[number], needed, room, awaited)
            if room <= 0:
                return

    def _awaited_step(self) -> int | None:
        """Return the step that the trainer waits for, None while it has no need of one."""
        if not self._pacer.is_trainer_waiting:
            return None
        undelivered = {step for step, _ in self._ahead_units()}
        open_steps = [
            number
            for number in sorted(self._steps)
            if number in undelivered or self._needed(self._steps[number])
        ]
        return open_steps[0] if open_steps else None

    def _freshness(self) -> StartDecision:
        """Decide whether to wait for engines that still change to the newest version."""
        context, clock = self._context, self._parts.clock
        bound = self._parts.versions.bound(
            context.environment, context.model, self._committer.rows.delivery.declared_version
        )
        return decide_start(
            bound,
            self._parts.active_versions(context.model),
            clock.now().timestamp(),
            context.revision.document,
        )

    def _uncommitted_samples(self) -> int:
        return self._running_samples + self._committer.pending_samples

    def _ahead_units(self) -> list[tuple[int, int]]:
        """Return the (step, unit) of all that is made or being made but not delivered."""
        rows = self._committer.rows
        return [
            *undelivered_units(rows.work, rows.delivery),
            *((entry.step, entry.unit) for entry in self._committer.pending),
            *self._running,
        ]

    def _needed(self, step: _Step) -> list[NeededUnit]:
        rows, number = self._committer.rows, step.record.step
        taken = {entry.unit for entry in self._committer.pending if entry.step == number}
        return [
            unit
            for unit in needed_units(number, step.units, rows.work, rows.delivery)
            if unit.unit not in taken and (number, unit.unit) not in self._running
        ]

    async def _start_units(
        self, step: _Step, needed: list[NeededUnit], room: int, awaited: int | None
    ) -> int:
        """Start what the pacing allows and return the room that is left, in samples."""
        submission = await self._submission(step)
        if submission is None:
            return room
        number = step.record.step
        allowed = len(needed)
        if number != awaited:
            ahead = [key for key in self._ahead_units() if key[0] != awaited]
            allowed = self._pacer.allowed_units(step.units.count, len(ahead))
        jobs = [self._job(step, submission, unit.unit, unit.generation) for unit in needed]
        if self._parts.policy.longest_first:
            jobs.sort(key=lambda job: -job.expected_tokens)
        for job in jobs[:allowed]:
            if room <= 0:
                return 0
            room -= len(job.members)
            self._start(job)
        return room if allowed >= len(jobs) else 0

    async def _submission(self, step: _Step) -> StepSubmission | None:
        if step.submission is None:
            data = await self._parts.objects.get(step.record.object_key)
            if data is None:
                self._log.error("step_object_missing", step=step.record.step)
                return None
            step.submission = msgspec.json.decode(data, type=StepSubmission)
        return step.submission

    def _job(self, step: _Step, submission: StepSubmission, unit: int, generation: int) -> UnitJob:
        kept = self._partial.get((step.record.step, unit), {})
        members = [member for member in step.units.members(unit) if member not in kept]
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
            expected_tokens=self._lengths.expected_tokens(prompt),
            declared_version=self._committer.rows.delivery.declared_version,
            min_version=self._min_version,
        )

    def _start(self, job: UnitJob) -> None:
        task = asyncio.get_running_loop().create_task(self._make(job))
        key = (job.step, job.unit)
        self._running[key] = task
        self._running_samples += len(job.members)
        task.add_done_callback(functools.partial(self._finished, key, len(job.members)))

    def _finished(self, key: tuple[int, int], samples: int, _: asyncio.Task[None]) -> None:
        self._running.pop(key, None)
        self._running_samples -= samples
        self._wake.set()

    async def _make(self, job: UnitJob) -> None:
        try:
            made = await self._parts.dispatcher.generate_samples(job)
        except VerbenawindError as error:
            self._log.warning("unit_failed", step=job.step, unit=job.unit, error=error.message)
            return
        except ExceptionGroup as group:
            self._log.warning("unit_failed", step=job.step, unit=job.unit, error=str(group))
            return
        kept = self._partial.pop((job.step, job.unit), {})
        samples = sorted([*kept.values(), *made], key=lambda sample: (sample.group, sample.index))
        self._lengths.record_length(job.prompt, max(len(sample.token_ids) for sample in samples))
        self._committer.add(
            FinishedUnit(
                step=job.step,
                unit=job.unit,
                generation=job.generation,
                group=samples[0].group,
                samples=tuple(
                    msgspec.structs.replace(sample, generation=job.generation) for sample in samples
                ),
                finished_at_s=self._parts.clock.monotonic_s(),
            )
        )
