"""Commits finished units in batches, each in one transaction that checks the holder's epoch."""

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

__all__ = ["BatchCommitter", "FinishedUnit", "TrainerState"]

_MIN_BATCH_SAMPLES = 32
_MAX_BATCH_SAMPLES = 512
_BATCHES_PER_STEP = 3
_MAX_DELAY_S = 30.0
_MAX_HELD_SAMPLES = 2048
_MAINTENANCE_PERIOD_S = 30.0
_MAX_DELETIONS = 64


class TrainerState:
    """Which trainer is served, under which revision.

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
    """A unit whose samples are all made, not committed yet."""

    step: int
    unit: int
    generation: int
    group: int
    samples: tuple[Sample, ...]
    finished_at_s: float

    @property
    def oldest_version(self) -> int:
        """The oldest weight version in the unit."""
        return min(sample.oldest_version for sample in self.samples)


class BatchCommitter:
    """Collects finished units of one trainer and commits them.

    Args:
        state: The trainer.
        table: The table service's client.
        objects: The object store's client.
        daemon_id: This daemon's identifier.
    """

    def __init__(
        self, state: TrainerState, table: TableStore, objects: ObjectStore, daemon_id: str
    ) -> None:
        self._state = state
        self._table = table
        self._objects = objects
        self._daemon_id = daemon_id
        self._rows: TrainerRows | None = None
        self._attempt = 0
        self._abandoned: list[str] = []
        self._deleted: set[str] = set()
        self._last_commit_s = 0.0
        self._log = structlog.get_logger("rollout")
        self.is_current = False
        self.pending: list[FinishedUnit] = []

    @property
    def is_known(self) -> bool:
        """Whether the rows were ever read."""
        return self._rows is not None

    @property
    def rows(self) -> TrainerRows:
        """The rows as last read or written."""
        assert self._rows is not None
        return self._rows

    @property
    def pending_samples(self) -> int:
        """How many finished samples wait to be committed."""
        return sum(len(entry.samples) for entry in self.pending)

    @property
    def pending_tokens(self) -> int:
        """How many tokens the pending samples have."""
        return sum(len(sample.token_ids) for entry in self.pending for sample in entry.samples)

    def add(self, finished: FinishedUnit) -> None:
        """Take in a finished unit."""
        self.pending.append(finished)

    def forget(self) -> None:
        """Distrust the rows until they are read again."""
        self.is_current = False

    async def read(self) -> tuple[TrainerRows, Sequence[StepRecord]]:
        """Read the rows and the steps; drop pending units that another copy made needless."""
        name, trainer = self._state.environment, self._state.trainer.name
        found = await self._table.scan(step_prefix(name, trainer))
        records = [msgspec.json.decode(row.value, type=StepRecord) for row in found]
        rows = await TrainerRows.read(self._table, name, trainer, self._state.model.name)
        self._rows = rows
        self.is_current = True
        self.pending = _still_needed(self.pending, records, rows)
        return rows, records

    def take_expired(self, bound: StalenessBound) -> list[FinishedUnit]:
        """Remove and return the pending units that may no longer be delivered."""
        expired = [entry for entry in self.pending if not bound.allows(entry.oldest_version)]
        if expired:
            self.pending = [entry for entry in self.pending if entry not in expired]
            self._log.info(
                "units_expired",
                trainer=self._state.trainer.name,
                units=len(expired),
                newest_version=bound.newest_version,
                reason="older than the staleness bound before they were committed",
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
        """Commit a batch, or only what the trainer acknowledged, when it is time.

        Raises:
            ConditionFailed: The rows changed, or the lease passed on.
            LeaseLost: The lease lapsed.
            StoreUnavailable: The stores gave no answer.
        """
        taken = self._take(now_s, step_records, flush=flush)
        if not taken and not self._needs_maintenance(now_s, graded_ordinal):
            return False
        lease.check()
        batch = await self._put(taken, lease) if taken else None
        change = next_work(
            self.rows.work,
            self.rows.delivery,
            epoch=lease.fencing_number,
            holder=self._daemon_id,
            batch=batch,
            step_records=step_records,
            graded_ordinal=graded_ordinal,
            abandoned_keys=self._abandoned,
            deleted_keys=self._deleted,
        )
        await self._write(change, lease)
        self.pending = [entry for entry in self.pending if entry not in taken]
        self._last_commit_s = now_s
        self._abandoned.clear()
        self._log.info(
            "batch_committed",
            trainer=self._state.trainer.name,
            epoch=lease.fencing_number,
            units=len(taken),
            samples=sum(len(entry.samples) for entry in taken),
            reason="batch full, old enough, or nothing else runs" if taken else "maintenance",
        )
        await self._delete_garbage()
        return True

    def _take(
        self, now_s: float, records: Sequence[StepRecord], *, flush: bool
    ) -> list[FinishedUnit]:
        if not self.pending:
            return []
        is_full = self.pending_samples >= _MAX_HELD_SAMPLES
        ready = self.pending if flush or is_full else self._in_order(records)
        if not ready:
            return []
        largest = max((record.samples_expected for record in records), default=0)
        wanted = min(_MAX_BATCH_SAMPLES, max(_MIN_BATCH_SAMPLES, largest // _BATCHES_PER_STEP))
        is_old = now_s - ready[0].finished_at_s >= _MAX_DELAY_S
        samples = sum(len(entry.samples) for entry in ready)
        if not (flush or is_old or samples >= wanted or self._completes(records)):
            return []
        taken: list[FinishedUnit] = []
        for entry in sorted(ready, key=lambda one: one.step):
            if sum(len(one.samples) for one in taken) >= _MAX_BATCH_SAMPLES:
                break
            taken.append(entry)
        return taken

    def _in_order(self, records: Sequence[StepRecord]) -> list[FinishedUnit]:
        """Return pending units, but none of a step while an earlier step still needs units.

        Committed in step order, units are delivered in step order, and those of a later step
        are judged by the staleness bound when the trainer comes to that step.
        """
        ready: list[FinishedUnit] = []
        for record in sorted(records, key=lambda one: one.step):
            if is_finished(record.step, self.rows.work, self.rows.delivery):
                continue
            mine = [entry for entry in self.pending if entry.step == record.step]
            ready += mine
            have = {entry.unit for entry in mine}
            units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
            needed = needed_units(record.step, units, self.rows.work, self.rows.delivery)
            if any(unit.unit not in have for unit in needed):
                break
        return ready

    def _completes(self, records: Sequence[StepRecord]) -> bool:
        """Return whether the pending units are all that some step still needs."""
        for record in records:
            if is_finished(record.step, self.rows.work, self.rows.delivery):
                continue
            have = {entry.unit for entry in self.pending if entry.step == record.step}
            if not have:
                continue
            units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
            needed = needed_units(record.step, units, self.rows.work, self.rows.delivery)
            if all(unit.unit in have for unit in needed):
                return True
        return False

    def _needs_maintenance(self, now_s: float, graded_ordinal: int | None) -> bool:
        if now_s - self._last_commit_s < _MAINTENANCE_PERIOD_S:
            return False
        done = self.rows.delivery.acknowledged_ordinal
        if graded_ordinal is not None:
            done = min(done, graded_ordinal)
        return bool(self.rows.work.garbage) or any(
            batch.last_ordinal <= done for batch in self.rows.work.batches
        )

    async def _put(self, taken: Sequence[FinishedUnit], lease: Lease) -> BatchRecord:
        payload = UnitPayload(
            units=tuple(
                DeliveredGroup(
                    step=entry.step,
                    group=entry.group,
                    generation=entry.generation,
                    samples=entry.samples,
                )
                for entry in taken
            )
        )
        data = msgspec.msgpack.encode(payload)
        self._attempt += 1
        ordinal = self.rows.work.next_ordinal
        name = f"batch/{ordinal:012}-{lease.fencing_number}-{self._attempt}"
        object_key = f"{trainer_prefix(self._state.environment, self._state.trainer.name)}{name}"
        self._abandoned.append(object_key)
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
                for entry in taken
            ),
        )

    async def _write(self, change: WorkChange, lease: Lease) -> None:
        key = work_key(self._state.environment, self._state.trainer.name)
        live = {batch.object_key for batch in change.record.batches}
        garbage = tuple(entry for entry in change.record.garbage if entry not in live)
        record = msgspec.structs.replace(change.record, garbage=garbage)
        guard = Write(key=lease.row_key, expect_version=lease.row_version, check_only=True)
        lease.check()
        self.is_current = False
        writes = [conditional(key, record, self.rows.work_version), guard]
        await commit_rows(self._table, *writes, *self._drops(change))
        self._rows = msgspec.structs.replace(
            self.rows, work=record, work_version=self.rows.work_version + 1
        )
        self.is_current = True

    def _drops(self, change: WorkChange) -> list[Write]:
        name, trainer = self._state.environment, self._state.trainer.name
        max_shards = -(-self._state.trainer.max_samples_per_step // SAMPLES_PER_SHARD)
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
        """Delete what the last committed record calls garbage; the next one leaves it out."""
        self._deleted.intersection_update(self.rows.work.garbage)
        todo = [key for key in self.rows.work.garbage if key not in self._deleted]
        for key in todo[:_MAX_DELETIONS]:
            try:
                await self._objects.delete(key)
            except StoreUnavailable:
                return
            self._deleted.add(key)


def _still_needed(
    pending: Sequence[FinishedUnit], records: Sequence[StepRecord], rows: TrainerRows
) -> list[FinishedUnit]:
    kept: list[FinishedUnit] = []
    for record in records:
        mine = [entry for entry in pending if entry.step == record.step]
        if not mine or is_finished(record.step, rows.work, rows.delivery):
            continue
        units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
        needed = {
            unit.unit: unit.generation
            for unit in needed_units(record.step, units, rows.work, rows.delivery)
        }
        kept += [entry for entry in mine if needed.get(entry.unit) == entry.generation]
    return kept
