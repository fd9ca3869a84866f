"""Makes the samples of one unit: draws them, labels them, gives up on those that expire."""

import asyncio
from enum import Enum

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
from verbenawind.rollout.stragglers import StreamProgress, StreamSpeeds
from verbenawind.rollout.versions import VersionRegistry

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


class _Ending(Enum):
    """How a stream of one sample ended."""

    WHOLE = "whole"
    EXPIRED = "older than the staleness bound"
    MOVED = "slower than half of the usual speed, and other engines have room"


class _Run:
    """One sample while it is made; a request id stands for one draw."""

    __slots__ = (
        "counted",
        "deadline_s",
        "draft",
        "group",
        "index",
        "job",
        "min_version",
        "moves",
        "request_id",
    )

    def __init__(self, job: UnitJob, group: int, index: int, deadline_s: float) -> None:
        self.job = job
        self.group = group
        self.index = index
        self.deadline_s = deadline_s
        self.min_version = job.min_version
        self.draft = Draft()
        self.draw_anew()

    def draw_anew(self) -> None:
        """Forget the tokens so far."""
        self.request_id = new_id("sample")
        self.counted = 0
        self.moves = 0


class SampleMaker:
    """Draws samples on the engines that this daemon reaches.

    Args:
        generator: Runs the generations.
        versions: The newest weight versions.
        clock: Time source.
        tokens: Where generated and wasted tokens are counted.
        move_stragglers: Whether slow samples move to other engines.
    """

    __slots__ = (
        "_clock",
        "_generator",
        "_log",
        "_move_stragglers",
        "_speeds",
        "_tokens",
        "_versions",
    )

    def __init__(
        self,
        generator: Generator,
        versions: VersionRegistry,
        clock: Clock,
        tokens: TokenCounts,
        *,
        move_stragglers: bool = True,
    ) -> None:
        self._generator = generator
        self._versions = versions
        self._clock = clock
        self._tokens = tokens
        self._move_stragglers = move_stragglers
        self._speeds = StreamSpeeds()
        self._log = structlog.get_logger("rollout")

    async def make(self, job: UnitJob) -> tuple[Sample, ...]:
        """Make every sample of a job.

        Raises:
            DeadlineExceeded: The job's time is over.
        """
        deadline_s = self._clock.monotonic_s() + job.timeout_s
        async with asyncio.TaskGroup() as tasks:
            made = [
                tasks.create_task(self._sample(_Run(job, group, index, deadline_s)))
                for group, index in job.members
            ]
        return tuple(task.result() for task in made)

    async def _sample(self, run: _Run) -> Sample:
        while True:
            try:
                ending = await self._stream(run)
            except (DeadlineExceeded, asyncio.CancelledError):
                self._tokens.wasted += run.counted
                raise
            except VerbenawindError as error:
                await self._retry_later(run, error)
                continue
            if ending is _Ending.WHOLE:
                return _finished(run)
            self._note(run, ending.value)
            if ending is _Ending.EXPIRED:
                self._tokens.wasted += run.counted
                run.draw_anew()
            else:
                run.moves += 1

    async def _retry_later(self, run: _Run, error: VerbenawindError) -> None:
        """Wait before the same request goes on from the tokens that are held."""
        self._note(run, error.message)
        pause_s = max(_RETRY_S, error.retry_after_s or 0.0)
        if self._clock.monotonic_s() + pause_s >= run.deadline_s:
            self._tokens.wasted += run.counted
            raise DeadlineExceeded(error.message) from error
        run.min_version = 0
        await self._clock.sleep(pause_s)

    async def _stream(self, run: _Run) -> _Ending:
        """Stream into a fresh draft; what a request held before comes again first."""
        run.draft = Draft()
        fresh_tokens, first_at_s = 0, 0.0
        events = self._generator.generate(self._request(run))
        try:
            async for event in events:
                if isinstance(event, GenerationEnded):
                    run.draft.finish_reason = event.finish_reason
                    continue
                run.draft.add(event)
                new_tokens = self._count(run)
                if not self._may_still_be_delivered(run):
                    return _Ending.EXPIRED
                if not new_tokens:
                    continue
                now_s = self._clock.monotonic_s()
                first_at_s = first_at_s or now_s
                progress = StreamProgress(
                    tokens=fresh_tokens, elapsed_s=now_s - first_at_s, moves=run.moves
                )
                fresh_tokens += new_tokens
                if self._should_move(run, progress):
                    return _Ending.MOVED
        finally:
            await events.aclose()
        if not run.draft.spans:
            raise BackendServerFailed(f"request {run.request_id} ended without a token")
        self._learn(run, fresh_tokens, first_at_s)
        return _Ending.WHOLE

    def _request(self, run: _Run) -> GenerateRequest:
        job = run.job
        bound = self._versions.bound(job.environment, job.model, job.declared_version)
        return GenerateRequest(
            request_id=run.request_id,
            environment=job.environment,
            caller=job.caller,
            kind=WorkKind.ROLLOUT,
            model=job.model.name,
            pool=job.model.pool,
            prompt=job.prompt,
            max_tokens=job.sampling.max_tokens,
            seed=sample_seed(job.sampling.seed, run.group, run.index),
            temperature=job.sampling.temperature,
            deadline_s=run.deadline_s,
            min_version=max(run.min_version, bound.oldest_dispatchable()),
            expected_tokens=job.expected_tokens,
            resumable=True,
            move=run.moves > 0,
        )

    def _count(self, run: _Run) -> int:
        """Count the draft's tokens that were not counted before and return how many."""
        new_tokens = max(0, len(run.draft.token_ids) - run.counted)
        run.counted += new_tokens
        self._tokens.generated += new_tokens
        return new_tokens

    def _should_move(self, run: _Run, progress: StreamProgress) -> bool:
        if not self._move_stragglers:
            return False
        pool = run.job.model.pool
        return self._speeds.should_move(pool, progress, self._generator.free_slots(pool))

    def _learn(self, run: _Run, tokens: int, first_at_s: float) -> None:
        elapsed_s = self._clock.monotonic_s() - first_at_s
        progress = StreamProgress(tokens=tokens, elapsed_s=elapsed_s, moves=run.moves)
        self._speeds.learn(run.job.model.pool, progress)

    def _may_still_be_delivered(self, run: _Run) -> bool:
        oldest, job = run.draft.oldest_version, run.job
        bound = self._versions.bound(job.environment, job.model, job.declared_version)
        return oldest is None or bound.allows(oldest)

    def _note(self, run: _Run, reason: str) -> None:
        self._log.info(
            "sample_interrupted",
            trainer=run.job.trainer,
            step=run.job.step,
            group=run.group,
            index=run.index,
            tokens=run.counted,
            moves=run.moves,
            oldest_version=run.draft.oldest_version,
            reason=reason,
        )


def sample_seed(step_seed: int, group: int, index: int) -> int:
    """Return the seed of one sample; every generation of the sample has the same."""
    return step_seed * _SEED_PER_STEP + group * _SEED_PER_GROUP + index


def _finished(run: _Run) -> Sample:
    job, draft = run.job, run.draft
    return Sample(
        sample_id=sample_id(job.environment, job.trainer, job.step, run.group, run.index),
        step=job.step,
        group=run.group,
        index=run.index,
        generation=job.generation,
        text="".join(draft.text),
        token_ids=tuple(draft.token_ids),
        spans=tuple(draft.spans),
        finish_reason=draft.finish_reason,
    )
