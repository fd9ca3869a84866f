"""Computes the units that steps still need, and the next work record. Performs no I/O."""

from collections.abc import Collection, Sequence

import msgspec

from verbenawind.rollout.plan import live_units
from verbenawind.rollout.records import (
    BatchRecord,
    DeliveryRecord,
    StepProgress,
    StepRecord,
    WorkRecord,
)
from verbenawind.rollout.units import StepUnits, has_bit, with_bits

__all__ = [
    "RETAINED_STEPS",
    "NeededUnit",
    "WorkChange",
    "is_delivered_copy",
    "is_finished",
    "needed_units",
    "next_work",
    "undelivered_units",
]

RETAINED_STEPS = 64


class NeededUnit(msgspec.Struct, frozen=True, kw_only=True):
    """A unit without a valid committed copy; ``generation`` is that of the next copy."""

    unit: int
    generation: int


class WorkChange(msgspec.Struct, frozen=True, kw_only=True):
    """The next work record, and the steps whose rows are deleted in the same transaction."""

    record: WorkRecord
    dropped_steps: tuple[int, ...]


def is_finished(step: int, work: WorkRecord, delivery: DeliveryRecord) -> bool:
    """Return whether a step was delivered completely and acknowledged."""
    return step <= work.floor or step in work.finished or step in delivery.finished


def needed_units(
    step: int, units: StepUnits, work: WorkRecord, delivery: DeliveryRecord
) -> list[NeededUnit]:
    """Return the units of a step that have to be generated."""
    progress = work.steps.get(step)
    committed = progress.committed if progress else b""
    reopened = _reopened(step, work, delivery)
    return [
        NeededUnit(unit=unit, generation=reopened.get(unit, 1))
        for unit in range(units.count)
        if unit in reopened or not has_bit(committed, unit)
    ]


def undelivered_units(work: WorkRecord, delivery: DeliveryRecord) -> list[tuple[int, int]]:
    """Return the (step, unit) of committed units that have not been delivered yet."""
    live = live_units(work, delivery, delivery.end, work.next_ordinal)
    return [(unit.step, unit.unit) for _, unit in live]


def is_delivered_copy(step: int, unit: int, generation: int, delivery: DeliveryRecord) -> bool:
    """Return whether *generation* of a delivered unit is the one that was delivered."""
    return delivery.remade.get(step, {}).get(unit, 1) == generation


def next_work(
    work: WorkRecord,
    delivery: DeliveryRecord,
    *,
    epoch: int,
    holder: str,
    batch: BatchRecord | None = None,
    step_records: Sequence[StepRecord] = (),
    graded_ordinal: int | None = None,
    abandoned_keys: Collection[str] = (),
    deleted_keys: Collection[str] = (),
) -> WorkChange:
    """Return the work record with a new batch and without the acknowledged ones.

    If a scoring service grades the samples, ``graded_ordinal`` is the last graded unit, and
    batches are kept until they are graded; otherwise it is None.
    """
    last_releasable = delivery.acknowledged_ordinal
    if graded_ordinal is not None:
        last_releasable = min(last_releasable, graded_ordinal)
    released = [entry for entry in work.batches if entry.last_ordinal <= last_releasable]
    kept = [entry for entry in work.batches if entry.last_ordinal > last_releasable]
    newly_finished = {step for step in delivery.finished if step > work.floor} - {*work.finished}
    finished = sorted({*work.finished, *newly_finished})
    steps = _add_batch(work.steps, batch, step_records)
    active = [step for step in steps if step not in finished]
    dropped = _past_retention(finished, active)
    garbage = [
        *(key for key in work.garbage if key not in deleted_keys),
        *(entry.object_key for entry in released),
        *(record.object_key for record in step_records if record.step in newly_finished),
        *abandoned_keys,
    ]
    record = WorkRecord(
        epoch=epoch,
        holder=holder,
        next_ordinal=batch.last_ordinal + 1 if batch else work.next_ordinal,
        batches=(*kept, batch) if batch else tuple(kept),
        steps={step: steps[step] for step in active},
        finished=tuple(step for step in finished if step not in dropped),
        floor=max([work.floor, *dropped]),
        garbage=tuple(garbage),
        graded_ordinal=max(work.graded_ordinal, graded_ordinal or 0),
    )
    return WorkChange(record=record, dropped_steps=tuple(dropped))


def _add_batch(
    steps: dict[int, StepProgress], batch: BatchRecord | None, records: Sequence[StepRecord]
) -> dict[int, StepProgress]:
    changed = dict(steps)
    for record in records:
        if record.step not in changed:
            units = StepUnits.from_runs(record.group_sizes, singles=record.singles)
            changed[record.step] = StepProgress(units=units.count, committed=b"")
    for unit in batch.units if batch else ():
        progress = changed[unit.step]
        changed[unit.step] = StepProgress(
            units=progress.units, committed=with_bits(progress.committed, [unit.unit])
        )
    return changed


def _reopened(step: int, work: WorkRecord, delivery: DeliveryRecord) -> dict[int, int]:
    """Return the units whose last copy is void, mapped to the generation of the next copy."""
    last: dict[int, tuple[int, int]] = {}
    for entry in delivery.void:
        if entry.step == step:
            previous = last.get(entry.unit, (0, 0))
            last[entry.unit] = max(previous, (entry.ordinal, entry.generation))
    if not last:
        return {}
    bits = delivery.delivered.get(step, b"")
    newest = {
        unit.unit: batch.first_ordinal + offset
        for batch in work.batches
        for offset, unit in enumerate(batch.units)
        if unit.step == step
    }
    return {
        unit: generation + 1
        for unit, (ordinal, generation) in last.items()
        if newest.get(unit, 0) <= ordinal and not has_bit(bits, unit)
    }


def _past_retention(finished: Sequence[int], active: Sequence[int]) -> list[int]:
    oldest_active = min(active, default=None)
    excess = len(finished) - RETAINED_STEPS
    return [
        step for step in finished[: max(0, excess)] if oldest_active is None or step < oldest_active
    ]
