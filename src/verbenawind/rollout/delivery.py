"""Answers polls of trainers; every delivery is recorded before it is sent."""

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
from verbenawind.rollout.versions import VersionRegistry

__all__ = ["PollHandler", "WaitingCallback"]

_ATTEMPT_PERIOD_S = 0.25
_ACKNOWLEDGE_AFTER_S = 0.5
_CONTENTION_DELAY_S = 0.02
_STORE_RETRY_S = 1.0

WaitingCallback = Callable[[EnvironmentRevision, TrainerSpec, str], Awaitable[None]]


class _Superseded(Exception):
    """Raised if a delivery became invalid while it was assembled: rows changed or units expired."""


class PollHandler:
    """Handles the polls that reach this daemon.

    Args:
        table: Client of the table service.
        objects: Client of the object store.
        versions: The newest weight versions.
        clock: Time source.
        rng: Source of retry jitter.
        on_waiting: Called when a trainer waits for samples, with the daemon id of the holder.
        metrics: Records trainer idle time and staleness.
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
        versions: VersionRegistry,
        clock: Clock,
        rng: Random,
        on_waiting: WaitingCallback,
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
        """Make every waiting poll return at its next attempt."""
        self._stopping = True

    async def poll(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, request: PollRequest
    ) -> PollResponse:
        """Return the delivery after the cursor, waiting up to ``wait_s`` for one."""
        model = revision.document.model(trainer.model)
        if model is None:
            raise UnknownResource(f"environment {revision.name} has no model {trainer.model!r}")
        active_poll = _ActivePoll(self, revision, trainer, model, request)
        started_s, reported_s = self._clock.monotonic_s(), 0.0
        while True:
            waited_s = self._clock.monotonic_s() - started_s
            self._metrics.add_trainer_idle(revision.name, trainer.name, waited_s - reported_s)
            reported_s = waited_s
            is_last = waited_s >= request.wait_s or self._stopping
            try:
                response = await active_poll.attempt(waited_s, is_last=is_last)
            except (ConditionFailed, _Superseded):
                await self._sleep_with_jitter(_CONTENTION_DELAY_S)
                continue
            except StoreUnavailable:
                if is_last:
                    raise
                await self._sleep_with_jitter(_STORE_RETRY_S)
                continue
            if response is not None:
                return response
            if is_last:
                return PollResponse(cursor=request.cursor)
            await self._clock.sleep(min(_ATTEMPT_PERIOD_S, max(0.0, request.wait_s - waited_s)))

    async def _sleep_with_jitter(self, mean_s: float) -> None:
        await self._clock.sleep(self._rng.uniform(0.5, 1.5) * mean_s)


class _ActivePoll:
    """A poll in progress."""

    __slots__ = ("_handler", "_model", "_request", "_revision", "_trainer")

    def __init__(
        self,
        handler: PollHandler,
        revision: EnvironmentRevision,
        trainer: TrainerSpec,
        model: ModelSpec,
        request: PollRequest,
    ) -> None:
        self._handler = handler
        self._revision = revision
        self._trainer = trainer
        self._model = model
        self._request = request

    async def attempt(self, waited_s: float, *, is_last: bool) -> PollResponse | None:
        """Return a response, or None if there is nothing to send yet.

        Raises:
            ConditionFailed: Another daemon changed the delivery record concurrently.
            StoreUnavailable: The stores of the platform did not respond.
        """
        rows = await self._read_rows()
        bound = self._bound(rows.delivery)
        plan = plan_delivery(self._request, rows.delivery, rows.work, rows.grades, bound)
        record = plan.record
        if record is not None:
            await self._write(record, rows)
            self._handler._log.info(
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
            response = await self._response(record or rows.delivery, rows)
            if record is not None:
                self._record_metrics(response, bound)
            return response
        await self._handle_waiting(rows, waited_s, is_last=is_last)
        return None

    async def _handle_waiting(self, rows: TrainerRows, waited_s: float, *, is_last: bool) -> None:
        """Notify the holder that the trainer waits, and record an acknowledgement if needed.

        An acknowledgement is normally recorded with the next delivery. While there is none to
        send, it is recorded alone if it completes a step or a scoring service waits for it.
        """
        await self._handler._on_waiting(self._revision, self._trainer, rows.work.holder)
        record = rows.delivery
        if self._request.cursor != record.cursor or record.cursor == record.after:
            return
        needs_acknowledgement = (
            bool(record.whole_steps) or self._trainer.scoring_service is not None
        )
        if needs_acknowledgement and (is_last or waited_s >= _ACKNOWLEDGE_AFTER_S):
            await self._write(acknowledge(record), rows)

    async def _response(self, record: DeliveryRecord, rows: TrainerRows) -> PollResponse:
        groups = await self._load_groups(record, rows)
        grades = await self._load_grades(record, rows)
        bound = self._bound(record)
        if not all(bound.allows(sample.oldest_version) for g in groups for sample in g.samples):
            raise _Superseded
        return PollResponse(
            cursor=record.cursor,
            groups=tuple(groups),
            grades=tuple(grades),
            whole_steps=record.whole_steps,
        )

    def _record_metrics(self, response: PollResponse, bound: StalenessBound) -> None:
        metrics, name, trainer = self._handler._metrics, self._revision.name, self._trainer.name
        ages: Counter[int] = Counter()
        for group in response.groups:
            oldest = [sample.oldest_version for sample in group.samples]
            ages.update(max(0, bound.newest_version - version) for version in oldest)
            superseded_at_s = bound.superseded_at_s(min(oldest))
            age_s = 0.0 if superseded_at_s is None else bound.now_s - superseded_at_s
            metrics.observe_group_age(name, trainer, age_s)
        metrics.add_samples(name, trainer, ages)

    async def _load_groups(self, record: DeliveryRecord, rows: TrainerRows) -> list[DeliveredGroup]:
        ordinals_to_send = {
            ordinal for ordinal, _ in live_units(rows.work, record, record.start, record.end)
        }
        groups: list[DeliveredGroup] = []
        for batch in rows.work.batches:
            ordinals = range(batch.first_ordinal, batch.last_ordinal + 1)
            if ordinals_to_send.isdisjoint(ordinals):
                continue
            units = decode_units(await self._load_object(batch)).units
            groups += [
                unit
                for ordinal, unit in zip(ordinals, units, strict=True)
                if ordinal in ordinals_to_send
            ]
        return groups

    async def _load_grades(self, record: DeliveryRecord, rows: TrainerRows) -> list[DeliveredGrade]:
        grades: list[DeliveredGrade] = []
        for batch in rows.grades.batches:
            if record.grade_start < batch.ordinal <= record.grade_end:
                grades += decode_grades(await self._load_object(batch))
        return grades

    async def _load_object(self, batch: BatchRecord | GradeBatchRecord) -> bytes:
        data = await self._handler._objects.get(batch.object_key)
        if data is None or digest_hex(data) != batch.digest:
            raise _Superseded
        return data

    async def _read_rows(self) -> TrainerRows:
        rows = await TrainerRows.read(
            self._handler._table, self._revision.name, self._trainer.name, self._model.name
        )
        self._handler._versions.update_from_rows(self._revision.name, self._model.name, rows.rows)
        return rows

    async def _write(self, record: DeliveryRecord, rows: TrainerRows) -> None:
        key = delivery_key(self._revision.name, self._trainer.name)
        await commit_rows(self._handler._table, conditional(key, record, rows.delivery_version))

    def _bound(self, record: DeliveryRecord) -> StalenessBound:
        declared = max(self._request.current_version, record.declared_version)
        return self._handler._versions.bound(self._revision.name, self._model, declared)
