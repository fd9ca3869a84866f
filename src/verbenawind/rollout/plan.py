"""Plans the response to a poll from the stored records and the bound. Performs no I/O.

A cursor identifies one delivery permanently. A poll with the newest cursor acknowledges that
delivery. A poll with the cursor before it gets the same delivery again or, if units of it have
expired, a replacement under a new cursor that omits those units.
"""

from collections.abc import Iterator, Sequence
from enum import StrEnum

import msgspec

from verbenawind.errors import CursorConflict
from verbenawind.kernel.rollouts import PollRequest
from verbenawind.rollout.records import (
    BatchRecord,
    DeliveryRecord,
    GradeLogRecord,
    UnitRecord,
    VoidUnit,
    WorkRecord,
)
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.rollout.units import count_bits, has_bit, with_bits, without_bits

__all__ = ["DeliveryPlan", "PlanReason", "acknowledge", "live_units", "plan_delivery"]


class PlanReason(StrEnum):
    """Why a poll gets its response; logged as the reason."""

    NOTHING_COMMITTED = "nothing committed after the cursor"
    EXPIRED_ONLY = "every unit after the cursor had expired"
    NEXT = "next units after an acknowledged cursor"
    REPEAT = "cursor repeated, delivery within the bound"
    REPLACED = "cursor repeated, delivery replaced because units expired"


class DeliveryPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The record to write (None if it is unchanged) and whether there is something to send."""

    record: DeliveryRecord | None
    send: bool
    reason: PlanReason


class _Selection(msgspec.Struct, frozen=True, kw_only=True):
    """Units selected for a delivery, and expired ones among those examined, up to ``end``."""

    end: int
    chosen: tuple[UnitRecord, ...]
    expired: tuple[VoidUnit, ...]


def plan_delivery(
    request: PollRequest,
    record: DeliveryRecord,
    work: WorkRecord,
    grades: GradeLogRecord,
    bound: StalenessBound,
) -> DeliveryPlan:
    """Return the delivery that answers a poll.

    Raises:
        CursorConflict: The cursor is neither the newest nor the acknowledged one.
    """
    if request.cursor == record.cursor:
        return _advance(request, record, work, grades, bound)
    if request.cursor == record.after:
        return _repeat(request, record, work, grades, bound)
    raise CursorConflict(
        f"cursor {request.cursor} is void, past or unknown; the acknowledged cursor is "
        f"{record.after}, the newest is {record.cursor}",
        acknowledged_cursor=record.after,
    )


def acknowledge(record: DeliveryRecord) -> DeliveryRecord:
    """Return the record with its outstanding delivery acknowledged."""
    if record.cursor == record.after:
        return record
    completed = set(record.whole_steps)
    delivered = {step: bits for step, bits in record.delivered.items() if step not in completed}
    return msgspec.structs.replace(
        record,
        after=record.cursor,
        start=record.end,
        grade_start=record.grade_end,
        delivered=delivered,
        whole_steps=(),
        finished=tuple(sorted({*record.finished, *completed})),
    )


def live_units(
    work: WorkRecord, record: DeliveryRecord, after: int, end: int
) -> list[tuple[int, UnitRecord]]:
    """Return the units with ordinals in (*after*, *end*] that are not void."""
    void = {entry.ordinal for entry in record.void}
    return [
        (ordinal, unit)
        for ordinal, unit in _units_after(work.batches, after)
        if ordinal <= end and ordinal not in void
    ]


def _advance(
    request: PollRequest,
    record: DeliveryRecord,
    work: WorkRecord,
    grades: GradeLogRecord,
    bound: StalenessBound,
) -> DeliveryPlan:
    base = acknowledge(record)
    selection = _select(base, work, bound, base.end, request.max_groups)
    grade_end = _grade_end(base, grades)
    if not selection.chosen and grade_end == base.grade_end:
        if not selection.expired:
            return DeliveryPlan(record=None, send=False, reason=PlanReason.NOTHING_COMMITTED)
        voided = _add_void(record, selection.expired)
        return DeliveryPlan(record=voided, send=False, reason=PlanReason.EXPIRED_ONLY)
    next_record = _next_delivery(base, selection, grade_end, work, bound)
    return DeliveryPlan(record=next_record, send=True, reason=PlanReason.NEXT)


def _repeat(
    request: PollRequest,
    record: DeliveryRecord,
    work: WorkRecord,
    grades: GradeLogRecord,
    bound: StalenessBound,
) -> DeliveryPlan:
    live = live_units(work, record, record.start, record.end)
    expired = tuple(
        _void_unit(ordinal, unit) for ordinal, unit in live if not bound.allows(unit.oldest_version)
    )
    has_grades = record.grade_end > record.grade_start
    if not expired and (live or has_grades):
        return DeliveryPlan(record=None, send=True, reason=PlanReason.REPEAT)
    base = _remove_delivered(_add_void(record, expired), expired)
    limit = request.max_groups - (len(live) - len(expired))
    selection = _select(base, work, bound, base.end, limit)
    remaining = len(live) > len(expired) or has_grades
    if not expired and not selection.chosen and _grade_end(base, grades) == base.grade_end:
        return DeliveryPlan(record=None, send=False, reason=PlanReason.NOTHING_COMMITTED)
    replaced = _next_delivery(base, selection, _grade_end(base, grades), work, bound)
    send = remaining or bool(selection.chosen) or replaced.grade_end > replaced.grade_start
    reason = PlanReason.REPLACED if send else PlanReason.EXPIRED_ONLY
    return DeliveryPlan(record=replaced, send=send, reason=reason)


def _select(
    record: DeliveryRecord, work: WorkRecord, bound: StalenessBound, after: int, limit: int
) -> _Selection:
    """Select units of a single step.

    Units of later steps are checked against the bound when the trainer gets to those steps.
    """
    void = {entry.ordinal for entry in record.void}
    chosen: list[UnitRecord] = []
    expired: list[VoidUnit] = []
    end = after
    for ordinal, unit in _units_after(work.batches, after):
        if len(chosen) >= max(0, limit) or (chosen and unit.step != chosen[0].step):
            break
        end = ordinal
        if ordinal in void or _was_delivered(record, unit.step, unit.unit):
            continue
        if bound.allows(unit.oldest_version):
            chosen.append(unit)
        else:
            expired.append(_void_unit(ordinal, unit))
    return _Selection(end=end, chosen=tuple(chosen), expired=tuple(expired))


def _next_delivery(
    base: DeliveryRecord,
    selection: _Selection,
    grade_end: int,
    work: WorkRecord,
    bound: StalenessBound,
) -> DeliveryRecord:
    """Return the record of the next delivery: *base* plus the selected units and grades."""
    delivered = dict(base.delivered)
    remade = {step: dict(units) for step, units in base.remade.items()}
    for unit in selection.chosen:
        delivered[unit.step] = with_bits(delivered.get(unit.step, b""), [unit.unit])
        if unit.generation > 1:
            remade.setdefault(unit.step, {})[unit.unit] = unit.generation
    whole = [
        step
        for step, bits in delivered.items()
        if step in work.steps and count_bits(bits) == work.steps[step].units
    ]
    return msgspec.structs.replace(
        _add_void(base, selection.expired),
        cursor=base.cursor + 1,
        end=selection.end,
        grade_end=grade_end,
        delivered=delivered,
        remade={step: units for step, units in remade.items() if _is_retained(step, work)},
        whole_steps=tuple(sorted(whole)),
        finished=tuple(step for step in base.finished if _is_retained(step, work)),
        declared_version=max(base.declared_version, bound.newest_version),
        delivered_units=base.delivered_units + len(selection.chosen),
        staleness_sum=base.staleness_sum
        + sum(max(0, bound.newest_version - unit.oldest_version) for unit in selection.chosen),
    )


def _is_retained(step: int, work: WorkRecord) -> bool:
    return step > work.floor


def _add_void(record: DeliveryRecord, expired: Sequence[VoidUnit]) -> DeliveryRecord:
    """Add void units to the record and drop those whose replacement was acknowledged."""
    acknowledged = record.acknowledged_ordinal
    kept = [
        entry
        for entry in record.void
        if entry.ordinal > acknowledged or not _was_delivered(record, entry.step, entry.unit)
    ]
    return msgspec.structs.replace(record, void=(*kept, *expired))


def _was_delivered(record: DeliveryRecord, step: int, unit: int) -> bool:
    return step in record.finished or has_bit(record.delivered.get(step, b""), unit)


def _remove_delivered(record: DeliveryRecord, expired: Sequence[VoidUnit]) -> DeliveryRecord:
    delivered = dict(record.delivered)
    for entry in expired:
        delivered[entry.step] = without_bits(delivered.get(entry.step, b""), [entry.unit])
    return msgspec.structs.replace(record, delivered=delivered)


def _void_unit(ordinal: int, unit: UnitRecord) -> VoidUnit:
    return VoidUnit(ordinal=ordinal, step=unit.step, unit=unit.unit, generation=unit.generation)


def _grade_end(record: DeliveryRecord, grades: GradeLogRecord) -> int:
    return max([record.grade_end, *(batch.ordinal for batch in grades.batches)])


def _units_after(batches: Sequence[BatchRecord], after: int) -> Iterator[tuple[int, UnitRecord]]:
    for batch in batches:
        if batch.last_ordinal <= after:
            continue
        for offset, unit in enumerate(batch.units):
            if batch.first_ordinal + offset > after:
                yield batch.first_ordinal + offset, unit
