"""Commits finished units in batches, in transactions that check the lease of the holder."""

from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.document import EnvironmentRevision, ModelSpec, TrainerSpec
from verbenawind.errors import StoreUnavailable
from verbenawind.ids import digest_hex
from verbenawind.kernel.ports import Lease, ObjectStore, TableStore, Write
from verbenawind.kernel.rollouts import DeliveredGroup, Sample
from verbenawind.rollout.grades import SAMPLES_PER_SHARD
from verbenawind.rollout.progress import WorkChange, is_finished, needed_units, next_work
from verbenawind.rollout.records import (
    BatchRecord,
    StepRecord,
    UnitPayload,
    UnitRecord,
    grade_shard_key,
    step_key,
    step_prefix,
    trainer_prefix,
    work_key,
)
from verbenawind.rollout.rows import TrainerRows, commit_rows, conditional
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.rollout.units import StepUnits

__all__ = ["BatchCommitter", "FinishedUnit", "TrainerContext"]

_MIN_BATCH_SAMPLES = 32
_MAX_BATCH_SAMPLES = 512
_BATCHES_PER_STEP = 3
_MAX_PENDING_S = 30.0
_MAX_PENDING_SAMPLES = 2048
_MAINTENANCE_PERIOD_S = 30.0
_MAX_DELETIONS = 64


class TrainerContext:
    """A trainer, its model and the environment revision in force.

    Args:
        revision: The revision in force.
        trainer: The trainer.
        model: The model that it trains.
    """

    __slots__ = ("model", "revision", "trainer")

    def __init__(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, model: ModelSpec
    ) -> None:
        self.revision = revision
        self.trainer = trainer
        self.model = model

    @property
    def environment(self) -> str:
        """The environment and stage as ``name/stage``."""
        return self.revision.name


class FinishedUnit(msgspec.Struct, frozen=True, kw_only=True):
    """A unit whose samples are complete but not committed yet."""

    step: int
    unit: int
    generation: int
    group: int
    samples: tuple[Sample, ...]
    finished_at_s: float

    @property
    def oldest_version(self) -> int:
        """The oldest weight version of any sample in the unit."""
        return min(sample.oldest_version for sample in self.samples)


class BatchCommitter:
    """Buffers the finished units of one trainer and commits them in batches.

    Args:
        context: The trainer.
        table: Client of the table service.
        objects: Client of the object store.
        daemon_id: Identifier of this daemon.
    """

    def __init__(
        self, context: TrainerContext, table: TableStore, objects: ObjectStore, daemon_id: str
    ) -> None:
        self._context = context
        self._table = table
        self._objects = objects
        self._daemon_id = daemon_id
        self._rows: TrainerRows | None = None
        self._attempt = 0
        self._abandoned_keys: list[str] = []
        self._deleted_keys: set[str] = set()
        self._last_commit_s = 0.0
        self._log = structlog.get_logger("rollout")
        self.is_current = False
        self.pending: list[FinishedUnit] = []

    @property
    def has_rows(self) -> bool:
        """Whether the rows have been read at least once."""
        return self._rows is not None

    @property
    def rows(self) -> TrainerRows:
        """The rows as last read or written."""
        assert self._rows is not None
        return self._rows

    @property
    def pending_samples(self) -> int:
        """The number of finished samples that are not committed yet."""
        return sum(len(entry.samples) for entry in self.pending)

    @property
    def pending_tokens(self) -> int:
        """The total number of tokens of the pending samples."""
        return sum(len(sample.token_ids) for entry in self.pending for sample in entry.samples)

    def add(self, finished: FinishedUnit) -> None:
        """Add a finished unit to the buffer."""
        self.pending.append(finished)

    def mark_stale(self) -> None:
        """Mark the rows as outdated until they are read again."""
        self.is_current = False

    async def read(self) -> tuple[TrainerRows, Sequence[StepRecord]]:
        """Read the rows and steps; drop pending units that are no longer needed."""
        name, trainer = self._context.environment, self._context.trainer.name
        found = await self._table.scan(step_prefix(name, trainer))
        records = [msgspec.json.decode(row.value, type=StepRecord) for row in found]
        rows = await TrainerRows.read(self._table, name, trainer, self._context.model.name)
        self._rows = rows
        self.is_current = True
        self.pending = _still_needed(self.pending, records, rows)
        return rows, records

    def remove_expired(self, bound: StalenessBound) -> list[FinishedUnit]:
        """Remove and return the pending units that exceed the staleness bound."""
        expired = [entry for entry in self.pending if not bound.allows(entry.oldest_version)]
        if expired:
            self.pending = [entry for entry in self.pending if entry not in expired]
            self._log.info(
                "units_expired",
                trainer=self._context.trainer.name,
                units=len(expired),
                newest_version=bound.newest_version,
                reason="exceeded the staleness bound before commit",
            )
        return expired

    async def commit_due(
        self,
        lease: Lease,
        now_s: float,
        *,
        flush: bool,
        graded_ordinal: int | None,
        step_records: Sequence[StepRecord],
    ) -> bool:
        """Commit a batch or a maintenance update if one is due; return whether it was.

        A maintenance update only removes acknowledged batches and deleted objects from the
        work record.

        Raises:
            ConditionFailed: The rows changed, or another daemon acquired the lease.
            LeaseLost: The lease expired.
            StoreUnavailable: The stores did not respond.
        """
        selected = self._select(now_s, step_records, flush=flush)
        if not selected and not self._needs_maintenance(now_s, graded_ordinal):
            return False
        lease.check()
        batch = await self._store_batch(selected, lease) if selected else None
        change = next_work(
            self.rows.work,
            self.rows.delivery,
            epoch=lease.fencing_number,
            holder=self._daemon_id,
            batch=batch,
            step_records=step_records,
            graded_ordinal=graded_ordinal,
            abandoned_keys=self._abandoned_keys,
            deleted_keys=self._deleted_keys,
        )
        await self._write(change, lease)
        self.pending = [entry for entry in self.pending if entry not in selected]
        self._last_commit_s = now_s
        self._abandoned_keys.clear()
        self._log.info(
            "batch_committed",
            trainer=self._context.trainer.name,
            epoch=lease.fencing_number,
            units=len(selected),
            samples=sum(len(entry.samples) for entry in selected),
            reason="batch full, overdue or flushed" if selected else "maintenance",
        )
        await self._delete_garbage()
        return True

    def _select(
        self, now_s: float, records: Sequence[StepRecord], *, flush: bool
    ) -> list[FinishedUnit]:
        if not self.pending:
            return []
        is_full = self.pending_samples >= _MAX_PENDING_SAMPLES
        ready = self.pending if flush or is_full else self._pending_in_step_order(records)
        if not ready:
            return []
        largest = max((record.samples_expected for record in records), default=0)
        target_samples = min(
            _MAX_BATCH_SAMPLES, max(_MIN_BATCH_SAMPLES, largest // _BATCHES_PER_STEP)
        )
        is_overdue = now_s - ready[0].finished_at_s >= _MAX_PENDING_S
        samples = sum(len(entry.samples) for entry in ready)
        if not (flush or is_overdue or samples >= target_samples or self._completes_step(records)):
            return []
        selected: list[FinishedUnit] = []
        for entry in sorted(ready, key=lambda one: one.step):
            if sum(len(one.samples) for one in selected) >= _MAX_BATCH_SAMPLES:
                break
            selected.append(entry)
        return selected

    def _pending_in_step_order(self, records: Sequence[StepRecord]) -> list[FinishedUnit]:
        """Return pending units, in step order, up to the first step that needs other units too.

        Units are delivered in the order in which they are committed. Committing them in step
        order delays the staleness check of later steps until the trainer gets to them.
        """
        ready: list[FinishedUnit] = []
        for record in sorted(records, key=lambda one: one.step):
            if is_finished(record.step, self.rows.work, self.rows.delivery):
                continue
            pending_of_step = [entry for entry in self.pending if entry.step == record.step]
            ready += pending_of_step
            pending_units = {entry.unit for entry in pending_of_step}
            units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
            needed = needed_units(record.step, units, self.rows.work, self.rows.delivery)
            if any(unit.unit not in pending_units for unit in needed):
                break
        return ready

    def _completes_step(self, records: Sequence[StepRecord]) -> bool:
        """Return whether the pending units complete any step."""
        for record in records:
            if is_finished(record.step, self.rows.work, self.rows.delivery):
                continue
            pending_units = {entry.unit for entry in self.pending if entry.step == record.step}
            if not pending_units:
                continue
            units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
            needed = needed_units(record.step, units, self.rows.work, self.rows.delivery)
            if all(unit.unit in pending_units for unit in needed):
                return True
        return False

    def _needs_maintenance(self, now_s: float, graded_ordinal: int | None) -> bool:
        if now_s - self._last_commit_s < _MAINTENANCE_PERIOD_S:
            return False
        last_releasable = self.rows.delivery.acknowledged_ordinal
        if graded_ordinal is not None:
            last_releasable = min(last_releasable, graded_ordinal)
        return bool(self.rows.work.garbage) or any(
            batch.last_ordinal <= last_releasable for batch in self.rows.work.batches
        )

    async def _store_batch(self, selected: Sequence[FinishedUnit], lease: Lease) -> BatchRecord:
        payload = UnitPayload(
            units=tuple(
                DeliveredGroup(
                    step=entry.step,
                    group=entry.group,
                    generation=entry.generation,
                    samples=entry.samples,
                )
                for entry in selected
            )
        )
        data = msgspec.msgpack.encode(payload)
        self._attempt += 1
        ordinal = self.rows.work.next_ordinal
        name = f"batch/{ordinal:012}-{lease.fencing_number}-{self._attempt}"
        object_key = (
            f"{trainer_prefix(self._context.environment, self._context.trainer.name)}{name}"
        )
        self._abandoned_keys.append(object_key)
        await self._objects.put(object_key, data)
        return BatchRecord(
            first_ordinal=ordinal,
            object_key=object_key,
            digest=digest_hex(data),
            units=tuple(
                UnitRecord(
                    step=entry.step,
                    unit=entry.unit,
                    generation=entry.generation,
                    oldest_version=entry.oldest_version,
                )
                for entry in selected
            ),
        )

    async def _write(self, change: WorkChange, lease: Lease) -> None:
        key = work_key(self._context.environment, self._context.trainer.name)
        live = {batch.object_key for batch in change.record.batches}
        garbage = tuple(entry for entry in change.record.garbage if entry not in live)
        record = msgspec.structs.replace(change.record, garbage=garbage)
        guard = Write(key=lease.row_key, expect_version=lease.row_version, check_only=True)
        lease.check()
        self.is_current = False
        writes = [conditional(key, record, self.rows.work_version), guard]
        await commit_rows(self._table, *writes, *self._deletions(change))
        self._rows = msgspec.structs.replace(
            self.rows, work=record, work_version=self.rows.work_version + 1
        )
        self.is_current = True

    def _deletions(self, change: WorkChange) -> list[Write]:
        name, trainer = self._context.environment, self._context.trainer.name
        max_shards = -(-self._context.trainer.max_samples_per_step // SAMPLES_PER_SHARD)
        keys = [
            key
            for step in change.dropped_steps
            for key in (
                step_key(name, trainer, step),
                *(grade_shard_key(name, trainer, step, shard) for shard in range(max_shards)),
            )
        ]
        return [Write(key=key, value=None) for key in keys]

    async def _delete_garbage(self) -> None:
        """Delete the objects listed as garbage by the last commit; the next one drops them."""
        self._deleted_keys.intersection_update(self.rows.work.garbage)
        undeleted = [key for key in self.rows.work.garbage if key not in self._deleted_keys]
        for key in undeleted[:_MAX_DELETIONS]:
            try:
                await self._objects.delete(key)
            except StoreUnavailable:
                return
            self._deleted_keys.add(key)


def _still_needed(
    pending: Sequence[FinishedUnit], records: Sequence[StepRecord], rows: TrainerRows
) -> list[FinishedUnit]:
    kept: list[FinishedUnit] = []
    for record in records:
        pending_of_step = [entry for entry in pending if entry.step == record.step]
        if not pending_of_step or is_finished(record.step, rows.work, rows.delivery):
            continue
        units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
        needed = {
            unit.unit: unit.generation
            for unit in needed_units(record.step, units, rows.work, rows.delivery)
        }
        kept += [entry for entry in pending_of_step if needed.get(entry.unit) == entry.generation]
    return kept
