"""Answers trainers' polls: records a delivery first, then sends it."""

from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, TrainerSpec
from verbenawind.errors import ConditionFailed, StoreUnavailable, UnknownResource
from verbenawind.ids import digest_hex
from verbenawind.kernel.ports import ObjectStore, TableStore
from verbenawind.kernel.rollouts import (
    DeliveredGrade,
    DeliveredGroup,
    PollRequest,
    PollResponse,
)
from verbenawind.metrics import Metrics
from verbenawind.rollout.plan import acknowledge, live_units, plan_delivery
from verbenawind.rollout.records import (
    BatchRecord,
    DeliveryRecord,
    GradeBatchRecord,
    decode_grades,
    decode_units,
    delivery_key,
)
from verbenawind.rollout.rows import TrainerRows, commit_rows, conditional
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.rollout.versions import VersionBook

__all__ = ["DemandListener", "Poller"]

_POLL_PERIOD_S = 0.25
_ACKNOWLEDGE_AFTER_S = 0.5
_CONTENTION_DELAY_S = 0.02
_STORE_RETRY_S = 1.0

DemandListener = Callable[[EnvironmentRevision, TrainerSpec, str], Awaitable[None]]


class _Superseded(Exception):
    """Raised when the rows moved on while a delivery was being put together."""


class Poller:
    """Serves the polls that reach this daemon.

    Args:
        table: The table service's client.
        objects: The object store's client.
        versions: The newest weight versions.
        clock: Time source.
        rng: Jitter of retries.
        on_waiting: Told when a trainer waits for samples; gets the holder's daemon id.
        metrics: Counts idle time and staleness.
    """

    __slots__ = (
        "_clock",
        "_log",
        "_metrics",
        "_objects",
        "_on_waiting",
        "_rng",
        "_stopping",
        "_table",
        "_versions",
    )

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        versions: VersionBook,
        clock: Clock,
        rng: Random,
        on_waiting: DemandListener,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._objects = objects
        self._versions = versions
        self._clock = clock
        self._rng = rng
        self._on_waiting = on_waiting
        self._metrics = metrics
        self._stopping = False
        self._log = structlog.get_logger("rollout")

    def stop(self) -> None:
        """Let every waiting poll return at its next look."""
        self._stopping = True

    async def poll(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, request: PollRequest
    ) -> PollResponse:
        """Return what follows the cursor, waiting up to ``wait_s`` for something."""
        model = revision.document.model(trainer.model)
        if model is None:
            raise UnknownResource(f"environment {revision.name} has no model {trainer.model!r}")
        one = _OnePoll(self, revision, trainer, model, request)
        started_s, counted_s = self._clock.monotonic_s(), 0.0
        while True:
            waited_s = self._clock.monotonic_s() - started_s
            self._metrics.add_trainer_idle(revision.name, trainer.name, waited_s - counted_s)
            counted_s = waited_s
            last = waited_s >= request.wait_s or self._stopping
            try:
                answer = await one.attempt(waited_s, last=last)
            except (ConditionFailed, _Superseded):
                await self._pause(_CONTENTION_DELAY_S)
                continue
            except StoreUnavailable:
                if last:
                    raise
                await self._pause(_STORE_RETRY_S)
                continue
            if answer is not None:
                return answer
            if last:
                return PollResponse(cursor=request.cursor)
            await self._clock.sleep(min(_POLL_PERIOD_S, max(0.0, request.wait_s - waited_s)))

    async def _pause(self, mean_s: float) -> None:
        await self._clock.sleep(self._rng.uniform(0.5, 1.5) * mean_s)


class _OnePoll:
    """One poll while it waits."""

    __slots__ = ("_model", "_parts", "_request", "_revision", "_trainer")

    def __init__(
        self,
        parts: Poller,
        revision: EnvironmentRevision,
        trainer: TrainerSpec,
        model: ModelSpec,
        request: PollRequest,
    ) -> None:
        self._parts = parts
        self._revision = revision
        self._trainer = trainer
        self._model = model
        self._request = request

    async def attempt(self, waited_s: float, *, last: bool) -> PollResponse | None:
        """Return an answer, or None when there is nothing to send yet.

        Raises:
            ConditionFailed: Another daemon wrote the delivery record first.
            StoreUnavailable: The platform's stores gave no answer.
        """
        rows = await self._read()
        bound = self._bound(rows.delivery)
        plan = plan_delivery(self._request, rows.delivery, rows.work, rows.grades, bound)
        record = plan.record
        if record is not None:
            await self._write(record, rows)
            self._parts._log.info(
                "delivery_recorded",
                trainer=self._trainer.name,
                cursor=record.cursor,
                after=record.after,
                newest_version=bound.newest_version,
                units=record.end - record.start,
                void=len(record.void),
                reason=plan.reason,
            )
        if plan.send:
            answer = await self._answer(record or rows.delivery, rows)
            if record is not None:
                self._observe(answer, bound)
            return answer
        await self._wait(rows, waited_s, last=last)
        return None

    async def _wait(self, rows: TrainerRows, waited_s: float, *, last: bool) -> None:
        """Tell the holder that the trainer waits, and record a late acknowledgement."""
        await self._parts._on_waiting(self._revision, self._trainer, rows.work.holder)
        record = rows.delivery
        if self._request.cursor != record.cursor or record.cursor == record.after:
            return
        is_awaited = bool(record.whole_steps) or self._trainer.scoring_service is not None
        if is_awaited and (last or waited_s >= _ACKNOWLEDGE_AFTER_S):
            await self._write(acknowledge(record), rows)

    async def _answer(self, record: DeliveryRecord, rows: TrainerRows) -> PollResponse:
        groups = await self._groups(record, rows)
        grades = await self._grades(record, rows)
        bound = self._bound(record)
        if not all(bound.allows(sample.oldest_version) for g in groups for sample in g.samples):
            raise _Superseded
        return PollResponse(
            cursor=record.cursor,
            groups=tuple(groups),
            grades=tuple(grades),
            whole_steps=record.whole_steps,
        )

    def _observe(self, answer: PollResponse, bound: StalenessBound) -> None:
        metrics, name, trainer = self._parts._metrics, self._revision.name, self._trainer.name
        ages: Counter[int] = Counter()
        for group in answer.groups:
            oldest = [sample.oldest_version for sample in group.samples]
            ages.update(max(0, bound.newest_version - version) for version in oldest)
            superseded_at_s = bound.superseded_at_s(min(oldest))
            age_s = 0.0 if superseded_at_s is None else bound.now_s - superseded_at_s
            metrics.observe_group_age(name, trainer, age_s)
        metrics.add_samples(name, trainer, ages)

    async def _groups(self, record: DeliveryRecord, rows: TrainerRows) -> list[DeliveredGroup]:
        wanted = {ordinal for ordinal, _ in live_units(rows.work, record, record.start, record.end)}
        groups: list[DeliveredGroup] = []
        for batch in rows.work.batches:
            ordinals = range(batch.first_ordinal, batch.last_ordinal + 1)
            if wanted.isdisjoint(ordinals):
                continue
            units = decode_units(await self._object(batch)).units
            groups += [
                unit for ordinal, unit in zip(ordinals, units, strict=True) if ordinal in wanted
            ]
        return groups

    async def _grades(self, record: DeliveryRecord, rows: TrainerRows) -> list[DeliveredGrade]:
        grades: list[DeliveredGrade] = []
        for batch in rows.grades.batches:
            if record.grade_start < batch.ordinal <= record.grade_end:
                grades += decode_grades(await self._object(batch))
        return grades

    async def _object(self, batch: BatchRecord | GradeBatchRecord) -> bytes:
        data = await self._parts._objects.get(batch.object_key)
        if data is None or digest_hex(data) != batch.digest:
            raise _Superseded
        return data

    async def _read(self) -> TrainerRows:
        rows = await TrainerRows.read(
            self._parts._table, self._revision.name, self._trainer.name, self._model.name
        )
        self._parts._versions.learn_rows(self._revision.name, self._model.name, rows.rows)
        return rows

    async def _write(self, record: DeliveryRecord, rows: TrainerRows) -> None:
        key = delivery_key(self._revision.name, self._trainer.name)
        await commit_rows(self._parts._table, conditional(key, record, rows.delivery_version))

    def _bound(self, record: DeliveryRecord) -> StalenessBound:
        declared = max(self._request.current_version, record.declared_version)
        return self._parts._versions.bound(self._revision.name, self._model, declared)
