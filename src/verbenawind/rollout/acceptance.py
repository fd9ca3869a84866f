"""Accepts steps durably, once, with the same answer each time."""

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

__all__ = ["StepAcceptance"]


class StepAcceptance:
    """Writes step rows.

    Args:
        table: The table service's client.
        objects: The object store's client.
    """

    __slots__ = ("_objects", "_table")

    def __init__(self, table: TableStore, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def submit(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission
    ) -> StepAccepted:
        """Accept a step.

        Raises:
            InvalidRequest: The step has no samples, too many, or an empty group.
            StepConflict: The step has other content, or is so old that it is not kept.
        """
        _check(trainer, submission)
        data = msgspec.json.encode(submission)
        record = _record(revision, trainer, submission, digest_hex(data))
        key = step_key(revision.name, trainer.name, submission.step)
        work = work_key(revision.name, trainer.name)
        rows = await self._table.read([key, work])
        if key in rows:
            return _accepted(trainer, record, rows[key])
        _check_kept(trainer, submission, rows.get(work))
        await self._objects.put(record.object_key, data)
        write = Write(key=key, value=msgspec.json.encode(record), expect_version=0)
        try:
            await self._table.commit(Transaction(operation_id=new_id("op"), writes=(write,)))
        except ConditionFailed:
            rows = await self._table.read([key])
            if key not in rows:
                raise
            return _accepted(trainer, record, rows[key])
        return _answer(record)


def _check(trainer: TrainerSpec, submission: StepSubmission) -> None:
    samples = sum(group.size for group in submission.groups)
    if not 1 <= samples <= trainer.max_samples_per_step:
        raise InvalidRequest(
            f"step {submission.step} asks for {samples} samples; "
            f"trainer {trainer.name!r} may ask for 1 to {trainer.max_samples_per_step}"
        )
    if submission.step < 0 or any(group.size < 1 for group in submission.groups):
        raise InvalidRequest(f"step {submission.step} is negative or has an empty group")


def _check_kept(trainer: TrainerSpec, submission: StepSubmission, row: Row | None) -> None:
    floor = msgspec.json.decode(row.value, type=WorkRecord).floor if row else -1
    if submission.step <= floor:
        raise StepConflict(
            f"step {submission.step} of trainer {trainer.name!r} was delivered long ago; "
            f"steps after {floor} are kept"
        )


def _record(
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


def _accepted(trainer: TrainerSpec, record: StepRecord, row: Row) -> StepAccepted:
    known = msgspec.json.decode(row.value, type=StepRecord)
    if known.digest != record.digest:
        raise StepConflict(
            f"step {record.step} of trainer {trainer.name!r} has other content "
            f"(digest {known.digest})"
        )
    return _answer(known)


def _answer(record: StepRecord) -> StepAccepted:
    return StepAccepted(
        step=record.step, samples_expected=record.samples_expected, digest=record.digest
    )
