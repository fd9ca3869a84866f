"""Makes the samples of one unit: draws them, labels them, gives up on those that expire."""

import asyncio

import structlog

from verbenawind.clock import Clock
from verbenawind.document import ModelSpec
from verbenawind.errors import BackendServerFailed, DeadlineExceeded, VerbenawindError
from verbenawind.ids import new_id, sample_id
from verbenawind.kernel.messages import (
    GenerateRequest,
    GenerationEnded,
    TokensGenerated,
    Value,
    VersionSpan,
    WorkKind,
)
from verbenawind.kernel.ports import Generator
from verbenawind.kernel.rollouts import Sample, Sampling
from verbenawind.rollout.versions import VersionBook

__all__ = ["Draft", "SampleMaker", "TokenCounts", "UnitJob", "sample_seed"]

_RETRY_S = 0.5
_SEED_PER_STEP = 1_000_003
_SEED_PER_GROUP = 1009


class UnitJob(Value, frozen=True, kw_only=True):
    """The samples of one unit that are still to be made; ``members`` are (group, index)."""

    environment: str
    trainer: str
    caller: str
    model: ModelSpec
    step: int
    unit: int
    generation: int
    members: tuple[tuple[int, int], ...]
    prompt: str
    sampling: Sampling
    timeout_s: float
    expected_tokens: int = 0
    declared_version: int = 0
    min_version: int = 0


class TokenCounts:
    """Counts tokens that were generated, and those thrown away."""

    __slots__ = ("generated", "wasted")

    def __init__(self) -> None:
        self.generated = 0
        self.wasted = 0


class Draft:
    """A sample in the making; spans follow the engines' reports."""

    __slots__ = ("finish_reason", "spans", "text", "token_ids")

    def __init__(self) -> None:
        self.token_ids: list[int] = []
        self.text: list[str] = []
        self.spans: list[VersionSpan] = []
        self.finish_reason = ""

    @property
    def oldest_version(self) -> int | None:
        """The oldest version so far, None before the first token."""
        return min((span.version for span in self.spans), default=None)

    def add(self, event: TokensGenerated) -> None:
        """Append a stretch of tokens.

        Raises:
            BackendServerFailed: The stretch has no version, or leaves a gap.
        """
        if event.version is None:
            raise BackendServerFailed(f"attempt {event.attempt_id} has tokens without a version")
        if event.start != len(self.token_ids):
            raise BackendServerFailed(
                f"attempt {event.attempt_id} is at token {event.start}, "
                f"the sample at {len(self.token_ids)}"
            )
        if not event.token_ids:
            return
        end = event.start + len(event.token_ids)
        start = event.start
        if self.spans and self.spans[-1].version == event.version:
            start = self.spans.pop().start
        self.spans.append(VersionSpan(version=event.version, start=start, end=end))
        self.token_ids.extend(event.token_ids)
        self.text.append(event.text)


class SampleMaker:
    """Draws samples on the engines that this daemon reaches.

    Args:
        generator: Runs the generations.
        versions: The newest weight versions.
        clock: Time source.
        tokens: Where generated and wasted tokens are counted.
    """

    __slots__ = ("_clock", "_generator", "_log", "_tokens", "_versions")

    def __init__(
        self, generator: Generator, versions: VersionBook, clock: Clock, tokens: TokenCounts
    ) -> None:
        self._generator = generator
        self._versions = versions
        self._clock = clock
        self._tokens = tokens
        self._log = structlog.get_logger("rollout")

    async def make(self, job: UnitJob) -> tuple[Sample, ...]:
        """Make every sample of a job.

        Raises:
            DeadlineExceeded: The job's time is over.
        """
        deadline_s = self._clock.monotonic_s() + job.timeout_s
        async with asyncio.TaskGroup() as tasks:
            made = [
                tasks.create_task(self._sample(job, group, index, deadline_s))
                for group, index in job.members
            ]
        return tuple(task.result() for task in made)

    async def _sample(self, job: UnitJob, group: int, index: int, deadline_s: float) -> Sample:
        min_version = job.min_version
        while True:
            draft = Draft()
            try:
                if await self._draw(job, group, index, deadline_s, min_version, draft):
                    return _finished(job, group, index, draft)
            except DeadlineExceeded:
                self._tokens.wasted += len(draft.token_ids)
                raise
            except VerbenawindError as error:
                self._note(job, group, index, draft, error.message)
                if self._clock.monotonic_s() + _RETRY_S >= deadline_s:
                    raise DeadlineExceeded(error.message) from error
                min_version = 0
                await self._clock.sleep(_RETRY_S)
            except asyncio.CancelledError:
                self._tokens.wasted += len(draft.token_ids)
                raise

    async def _draw(
        self,
        job: UnitJob,
        group: int,
        index: int,
        deadline_s: float,
        min_version: int,
        draft: Draft,
    ) -> bool:
        """Fill the draft; return False when it expired on the way."""
        bound = self._versions.bound(job.environment, job.model, job.declared_version)
        request = GenerateRequest(
            request_id=new_id("sample"),
            environment=job.environment,
            caller=job.caller,
            kind=WorkKind.ROLLOUT,
            model=job.model.name,
            pool=job.model.pool,
            prompt=job.prompt,
            max_tokens=job.sampling.max_tokens,
            seed=sample_seed(job.sampling.seed, group, index),
            temperature=job.sampling.temperature,
            deadline_s=deadline_s,
            min_version=max(min_version, bound.oldest_dispatchable()),
            expected_tokens=job.expected_tokens,
        )
        events = self._generator.generate(request)
        try:
            async for event in events:
                if isinstance(event, GenerationEnded):
                    draft.finish_reason = event.finish_reason
                    continue
                draft.add(event)
                self._tokens.generated += len(event.token_ids)
                if not self._may_still_be_delivered(job, draft):
                    self._note(job, group, index, draft, "older than the staleness bound")
                    return False
        finally:
            await events.aclose()
        if not draft.spans:
            raise BackendServerFailed(f"request {request.request_id} ended without a token")
        return True

    def _may_still_be_delivered(self, job: UnitJob, draft: Draft) -> bool:
        oldest = draft.oldest_version
        bound = self._versions.bound(job.environment, job.model, job.declared_version)
        return oldest is None or bound.allows(oldest)

    def _note(self, job: UnitJob, group: int, index: int, draft: Draft, reason: str) -> None:
        self._tokens.wasted += len(draft.token_ids)
        self._log.info(
            "sample_redrawn",
            trainer=job.trainer,
            step=job.step,
            group=group,
            index=index,
            lost_tokens=len(draft.token_ids),
            oldest_version=draft.oldest_version,
            reason=reason,
        )


def sample_seed(step_seed: int, group: int, index: int) -> int:
    """Return the seed of one sample; every generation of the sample has the same."""
    return step_seed * _SEED_PER_STEP + group * _SEED_PER_GROUP + index


def _finished(job: UnitJob, group: int, index: int, draft: Draft) -> Sample:
    return Sample(
        sample_id=sample_id(job.environment, job.trainer, job.step, group, index),
        step=job.step,
        group=group,
        index=index,
        generation=job.generation,
        text="".join(draft.text),
        token_ids=tuple(draft.token_ids),
        spans=tuple(draft.spans),
        finish_reason=draft.finish_reason,
    )
