"""Generates the samples of a unit, labelled with versions; restarts those that expire."""

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

__all__ = ["PartialSample", "SampleGenerator", "TokenCounts", "UnitJob", "sample_seed"]

_MIN_RETRY_DELAY_S = 0.5
_SEED_PER_STEP = 1_000_003
_SEED_PER_GROUP = 1009


class UnitJob(Value, frozen=True, kw_only=True):
    """The samples of a unit that have to be generated; ``members`` are (group, index)."""

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
    """Counters of generated and of discarded tokens."""

    __slots__ = ("generated", "wasted")

    def __init__(self) -> None:
        self.generated = 0
        self.wasted = 0


class PartialSample:
    """A sample that is being generated; its version spans are those reported by engines."""

    __slots__ = ("finish_reason", "spans", "text", "token_ids")

    def __init__(self) -> None:
        self.token_ids: list[int] = []
        self.text: list[str] = []
        self.spans: list[VersionSpan] = []
        self.finish_reason = ""

    @property
    def oldest_version(self) -> int | None:
        """The oldest version so far, or None before the first token."""
        return min((span.version for span in self.spans), default=None)

    def add(self, event: TokensGenerated) -> None:
        """Append tokens.

        Raises:
            BackendServerFailed: The tokens have no version, or do not follow the previous ones.
        """
        if event.version is None:
            raise BackendServerFailed(f"attempt {event.attempt_id} sent tokens without a version")
        if event.start != len(self.token_ids):
            raise BackendServerFailed(
                f"attempt {event.attempt_id} sent tokens from position {event.start}; "
                f"expected {len(self.token_ids)}"
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


class _StreamEnd(Enum):
    """How the stream of a sample ended; the value is the reason in log lines."""

    COMPLETE = "complete"
    EXPIRED = "older than the staleness bound"
    MOVED = "slower than half of the average speed, and other engines have free slots"


class _SampleRun:
    """The generation of one sample; a new request id means sampling from the start."""

    __slots__ = (
        "counted_tokens",
        "deadline_s",
        "group",
        "index",
        "job",
        "min_version",
        "moves",
        "partial_sample",
        "request_id",
    )

    def __init__(self, job: UnitJob, group: int, index: int, deadline_s: float) -> None:
        self.job = job
        self.group = group
        self.index = index
        self.deadline_s = deadline_s
        self.min_version = job.min_version
        self.partial_sample = PartialSample()
        self.restart()

    def restart(self) -> None:
        """Discard the tokens so far and start again with a new request id."""
        self.request_id = new_id("sample")
        self.counted_tokens = 0
        self.moves = 0


class SampleGenerator:
    """Generates samples on the engines that this daemon can reach.

    Args:
        generator: Executes generation requests.
        versions: The newest weight versions.
        clock: Time source.
        tokens: Counters of generated and discarded tokens.
        move_stragglers: Whether slow samples are moved to other engines.
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

    async def generate_samples(self, job: UnitJob) -> tuple[Sample, ...]:
        """Generate all samples of a job concurrently.

        Raises:
            DeadlineExceeded: The timeout of the job expired.
        """
        deadline_s = self._clock.monotonic_s() + job.timeout_s
        async with asyncio.TaskGroup() as tasks:
            generating = [
                tasks.create_task(self._generate_sample(_SampleRun(job, group, index, deadline_s)))
                for group, index in job.members
            ]
        return tuple(task.result() for task in generating)

    async def _generate_sample(self, run: _SampleRun) -> Sample:
        while True:
            try:
                stream_end = await self._stream(run)
            except (DeadlineExceeded, asyncio.CancelledError):
                self._tokens.wasted += run.counted_tokens
                raise
            except VerbenawindError as error:
                await self._retry_later(run, error)
                continue
            if stream_end is _StreamEnd.COMPLETE:
                return _to_sample(run)
            self._log_interruption(run, stream_end.value)
            if stream_end is _StreamEnd.EXPIRED:
                self._tokens.wasted += run.counted_tokens
                run.restart()
            else:
                run.moves += 1

    async def _retry_later(self, run: _SampleRun, error: VerbenawindError) -> None:
        """Wait before the same request is resumed from the tokens generated so far."""
        self._log_interruption(run, error.message)
        delay_s = max(_MIN_RETRY_DELAY_S, error.retry_after_s or 0.0)
        if self._clock.monotonic_s() + delay_s >= run.deadline_s:
            self._tokens.wasted += run.counted_tokens
            raise DeadlineExceeded(error.message) from error
        run.min_version = 0
        await self._clock.sleep(delay_s)

    async def _stream(self, run: _SampleRun) -> _StreamEnd:
        """Stream into a new sample; a resumed request repeats its earlier tokens first."""
        run.partial_sample = PartialSample()
        stream_tokens, first_token_at_s = 0, 0.0
        events = self._generator.generate(self._request(run))
        try:
            async for event in events:
                if isinstance(event, GenerationEnded):
                    run.partial_sample.finish_reason = event.finish_reason
                    continue
                run.partial_sample.add(event)
                new_tokens = self._count_new_tokens(run)
                if not self._is_within_bound(run):
                    return _StreamEnd.EXPIRED
                if not new_tokens:
                    continue
                now_s = self._clock.monotonic_s()
                first_token_at_s = first_token_at_s or now_s
                progress = StreamProgress(
                    tokens=stream_tokens, elapsed_s=now_s - first_token_at_s, moves=run.moves
                )
                stream_tokens += new_tokens
                if self._should_move(run, progress):
                    return _StreamEnd.MOVED
        finally:
            await events.aclose()
        if not run.partial_sample.spans:
            raise BackendServerFailed(f"request {run.request_id} ended without generating a token")
        self._record_speed(run, stream_tokens, first_token_at_s)
        return _StreamEnd.COMPLETE

    def _request(self, run: _SampleRun) -> GenerateRequest:
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

    def _count_new_tokens(self, run: _SampleRun) -> int:
        """Count the tokens that were not counted before and return their number."""
        new_tokens = max(0, len(run.partial_sample.token_ids) - run.counted_tokens)
        run.counted_tokens += new_tokens
        self._tokens.generated += new_tokens
        return new_tokens

    def _should_move(self, run: _SampleRun, progress: StreamProgress) -> bool:
        if not self._move_stragglers:
            return False
        pool = run.job.model.pool
        return self._speeds.should_move(pool, progress, self._generator.free_slots(pool))

    def _record_speed(self, run: _SampleRun, tokens: int, first_token_at_s: float) -> None:
        elapsed_s = self._clock.monotonic_s() - first_token_at_s
        progress = StreamProgress(tokens=tokens, elapsed_s=elapsed_s, moves=run.moves)
        self._speeds.record(run.job.model.pool, progress)

    def _is_within_bound(self, run: _SampleRun) -> bool:
        oldest, job = run.partial_sample.oldest_version, run.job
        bound = self._versions.bound(job.environment, job.model, job.declared_version)
        return oldest is None or bound.allows(oldest)

    def _log_interruption(self, run: _SampleRun, reason: str) -> None:
        self._log.info(
            "sample_interrupted",
            trainer=run.job.trainer,
            step=run.job.step,
            group=run.group,
            index=run.index,
            tokens=run.counted_tokens,
            moves=run.moves,
            oldest_version=run.partial_sample.oldest_version,
            reason=reason,
        )


def sample_seed(step_seed: int, group: int, index: int) -> int:
    """Return the seed of a sample, which is the same in every generation of its unit."""
    return step_seed * _SEED_PER_STEP + group * _SEED_PER_GROUP + index


def _to_sample(run: _SampleRun) -> Sample:
    job, partial_sample = run.job, run.partial_sample
    return Sample(
        sample_id=sample_id(job.environment, job.trainer, job.step, run.group, run.index),
        step=job.step,
        group=run.group,
        index=run.index,
        generation=job.generation,
        text="".join(partial_sample.text),
        token_ids=tuple(partial_sample.token_ids),
        spans=tuple(partial_sample.spans),
        finish_reason=partial_sample.finish_reason,
    )
