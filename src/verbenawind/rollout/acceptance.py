"""Accepts submitted steps durably and idempotently."""

import msgspec

from verbenawind.document import Delivery, EnvironmentRevision, TrainerSpec
from verbenawind.errors import ConditionFailed, InvalidRequest, StepConflict
from verbenawind.ids import digest_hex, new_id
from verbenawind.kernel.ports import ObjectStore, Row, TableStore, Transaction, Write
from verbenawind.kernel.rollouts import StepAccepted, StepSubmission
from verbenawind.rollout.records import (
    StepRecord,
    WorkRecord,
    step_key,
    trainer_prefix,
    work_key,
)
from verbenawind.rollout.units import run_lengths

__all__ = ["StepAcceptor"]


class StepAcceptor:
    """Persists submitted steps; a repeated submission gets the same response.

    Args:
        table: Client of the table service.
        objects: Client of the object store.
    """

    __slots__ = ("_objects", "_table")

    def __init__(self, table: TableStore, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def submit(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission
    ) -> StepAccepted:
        """Store a step and its row, or return the response to an earlier submission of it.

        Raises:
            InvalidRequest: The step number is negative, a group is empty, or the number of
                samples is out of range.
            StepConflict: The step was submitted with different content, or is past retention.
        """
        _validate(trainer, submission)
        data = msgspec.json.encode(submission)
        record = _step_record(revision, trainer, submission, digest_hex(data))
        key = step_key(revision.name, trainer.name, submission.step)
        work = work_key(revision.name, trainer.name)
        rows = await self._table.read([key, work])
        if key in rows:
            return _repeat_response(trainer, record, rows[key])
        _check_retained(trainer, submission, rows.get(work))
        await self._objects.put(record.object_key, data)
        write = Write(key=key, value=msgspec.json.encode(record), expect_version=0)
        try:
            await self._table.commit(Transaction(operation_id=new_id("op"), writes=(write,)))
        except ConditionFailed:
            rows = await self._table.read([key])
            if key not in rows:
                raise
            return _repeat_response(trainer, record, rows[key])
        return _response(record)


def _validate(trainer: TrainerSpec, submission: StepSubmission) -> None:
    samples = sum(group.size for group in submission.groups)
    if not 1 <= samples <= trainer.max_samples_per_step:
        raise InvalidRequest(
            f"step {submission.step} requests {samples} samples; "
            f"trainer {trainer.name!r} may request 1 to {trainer.max_samples_per_step}"
        )
    if submission.step < 0 or any(group.size < 1 for group in submission.groups):
        raise InvalidRequest(f"step {submission.step} has a negative number or an empty group")


def _check_retained(trainer: TrainerSpec, submission: StepSubmission, row: Row | None) -> None:
    floor = msgspec.json.decode(row.value, type=WorkRecord).floor if row else -1
    if submission.step <= floor:
        raise StepConflict(
            f"step {submission.step} of trainer {trainer.name!r} is past retention; "
            f"only steps after {floor} are retained"
        )


def _step_record(
    revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission, digest: str
) -> StepRecord:
    return StepRecord(
        step=submission.step,
        digest=digest,
        samples_expected=sum(group.size for group in submission.groups),
        object_key=f"{trainer_prefix(revision.name, trainer.name)}step-{digest}",
        group_sizes=run_lengths(group.size for group in submission.groups),
        singles=trainer.deliver is Delivery.SINGLES,
    )


def _repeat_response(trainer: TrainerSpec, record: StepRecord, row: Row) -> StepAccepted:
    known = msgspec.json.decode(row.value, type=StepRecord)
    if known.digest != record.digest:
        raise StepConflict(
            f"step {record.step} of trainer {trainer.name!r} was already submitted "
            f"with different content (digest {known.digest})"
        )
    return _response(known)


def _response(record: StepRecord) -> StepAccepted:
    return StepAccepted(
        step=record.step, samples_expected=record.samples_expected, digest=record.digest
    )
