"""Holds a trainer's steps under a lease: generates what is missing and commits it."""

import asyncio
import contextlib
import functools

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, TrainerSpec
from verbenawind.errors import StoreUnavailable, VerbenawindError
from verbenawind.ids import new_id, sample_id
from verbenawind.kernel.messages import (
    GenerateRequest,
    GenerationEnded,
    TokensGenerated,
    VersionSpan,
    WorkKind,
)
from verbenawind.kernel.ports import Generator, Lease, Leases, ObjectStore, TableStore
from verbenawind.kernel.rollouts import DeliveredGroup, Sample, StepSubmission
from verbenawind.rollout.log import DeliveryLog
from verbenawind.rollout.records import LogPayload, StepRecord, step_prefix

__all__ = ["StepHolder"]

_LEASE_S = 6.0
_PERIOD_S = 0.2


class StepHolder:
    """Works on one trainer's steps whenever it holds the trainer's lease.

    Args:
        revision: The revision that the work runs under.
        trainer: The trainer.
        table: The table service's client.
        objects: The object store's client.
        leases: The lease manager.
        generator: Runs the generations.
        clock: Time source.
    """

    def __init__(
        self,
        revision: EnvironmentRevision,
        trainer: TrainerSpec,
        *,
        table: TableStore,
        objects: ObjectStore,
        leases: Leases,
        generator: Generator,
        clock: Clock,
    ) -> None:
        self._revision = revision
        self._trainer = trainer
        self._table = table
        self._objects = objects
        self._leases = leases
        self._generator = generator
        self._clock = clock
        self._log = structlog.get_logger("rollout")
        self._delivery = DeliveryLog(revision.name, trainer.name, table, objects)
        self._lease: Lease | None = None
        self._committed: set[tuple[int, int]] = set()
        self._cursor = 0
        self._running: dict[tuple[int, int], asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Work until cancelled."""
        try:
            while True:
                with contextlib.suppress(StoreUnavailable):
                    await self._work()
                await self._clock.sleep(_PERIOD_S)
        finally:
            for task in self._running.values():
                task.cancel()

    async def _work(self) -> None:
        if self._lease is None or self._lease.remaining_s() <= 0:
            name = f"rollout/{self._revision.name}/{self._trainer.name}"
            self._lease = await self._leases.acquire(name, _LEASE_S)
        if self._lease is None:
            return
        await self._learn_committed()
        for row in await self._table.scan(step_prefix(self._revision.name, self._trainer.name)):
            record = msgspec.json.decode(row.value, type=StepRecord)
            await self._start_step(record, self._lease)

    async def _learn_committed(self) -> None:
        for sequence, entry in await self._delivery.entries(self._cursor, 1000):
            self._committed.update(entry.groups)
            self._cursor = sequence

    async def _start_step(self, record: StepRecord, lease: Lease) -> None:
        data = await self._objects.get(record.object_key)
        if data is None:
            return
        submission = msgspec.json.decode(data, type=StepSubmission)
        for group in range(len(submission.groups)):
            key = (record.step, group)
            if key in self._committed or key in self._running:
                continue
            task = asyncio.get_running_loop().create_task(self._group(submission, group, lease))
            self._running[key] = task
            task.add_done_callback(functools.partial(self._finished, key))

    def _finished(self, key: tuple[int, int], _: asyncio.Task[None]) -> None:
        self._running.pop(key, None)

    async def _group(self, submission: StepSubmission, group: int, lease: Lease) -> None:
        size = submission.groups[group].size
        try:
            samples = await asyncio.gather(
                *(self._sample(submission, group, index) for index in range(size))
            )
            delivered = DeliveredGroup(
                step=submission.step, group=group, generation=1, samples=tuple(samples)
            )
            await self._delivery.append(LogPayload(groups=(delivered,)), lease=lease)
            self._committed.add((submission.step, group))
        except VerbenawindError as error:
            self._log.warning("group_failed", group=group, error=error.message)

    async def _sample(self, submission: StepSubmission, group: int, index: int) -> Sample:
        document = self._revision.document
        model = document.model(self._trainer.model)
        assert model is not None
        request = GenerateRequest(
            request_id=new_id("sample"),
            environment=self._revision.name,
            caller=self._trainer.caller,
            kind=WorkKind.ROLLOUT,
            model=model.name,
            pool=model.pool,
            prompt=submission.groups[group].prompt,
            max_tokens=submission.sampling.max_tokens,
            seed=submission.sampling.seed * 1_000_003 + group * 1009 + index,
            temperature=submission.sampling.temperature,
            deadline_s=self._clock.monotonic_s() + self._trainer.step_timeout_s,
        )
        token_ids: list[int] = []
        text: list[str] = []
        spans: list[VersionSpan] = []
        reason = ""
        async for event in self._generator.generate(request):
            if isinstance(event, GenerationEnded):
                reason = event.finish_reason
                continue
            _extend_spans(spans, event)
            token_ids.extend(event.token_ids)
            text.append(event.text)
        return Sample(
            sample_id=sample_id(
                self._revision.name, self._trainer.name, submission.step, group, index
            ),
            step=submission.step,
            group=group,
            index=index,
            generation=1,
            text="".join(text),
            token_ids=tuple(token_ids),
            spans=tuple(spans),
            finish_reason=reason,
        )


def _extend_spans(spans: list[VersionSpan], event: TokensGenerated) -> None:
    assert event.version is not None
    end = event.start + len(event.token_ids)
    if spans and spans[-1].version == event.version:
        spans[-1] = VersionSpan(version=event.version, start=spans[-1].start, end=end)
        return
    spans.append(VersionSpan(version=event.version, start=event.start, end=end))
