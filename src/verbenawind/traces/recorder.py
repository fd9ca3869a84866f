"""Records the calls to a daemon as trace events, with digests in place of payloads."""

from collections.abc import AsyncGenerator, Callable, Sequence

import msgspec

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, ServiceSpec, TrainerSpec
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import (
    EngineEvent,
    GenerateRequest,
    ServiceRequest,
    ServiceResponse,
    WorkKind,
)
from verbenawind.kernel.ports import Generator, RolloutService, ServiceCaller
from verbenawind.kernel.rollouts import (
    GradesAccepted,
    GradeSubmission,
    PollRequest,
    PollResponse,
    PublishedVersion,
    StepAccepted,
    StepSubmission,
    VersionAccepted,
)
from verbenawind.traces.files import encode_event
from verbenawind.traces.types import (
    DocumentChange,
    Event,
    GenerationRequested,
    Header,
    ServiceCalled,
    StepSubmitted,
    VersionPublished,
)

__all__ = ["TraceRecorder"]

_DIGEST_CHARACTERS = 16


class TraceRecorder:
    """Wraps a daemon's services and records the calls of external clients.

    Implements the Generator, ServiceCaller and RolloutService ports. Prompts, bodies and grades
    are not recorded: a prompt is represented by its digest and length, a non-idempotent service
    call by the digest of its idempotency key.

    Args:
        write: Called with each encoded line.
        clock: Time source.
        generator: Wrapped generator.
        services: Wrapped plain-service caller.
        rollouts: Wrapped rollout service.
    """

    __slots__ = ("_clock", "_generator", "_rollouts", "_services", "_started_s", "_write")

    def __init__(
        self,
        write: Callable[[bytes], object],
        clock: Clock,
        *,
        generator: Generator,
        services: ServiceCaller,
        rollouts: RolloutService,
    ) -> None:
        self._write = write
        self._clock = clock
        self._generator = generator
        self._services = services
        self._rollouts = rollouts
        self._started_s: float | None = None

    def begin(self, header: Header, revisions: Sequence[EnvironmentRevision]) -> None:
        """Write the header and the active revisions; calls before this are not recorded."""
        self._started_s = self._clock.monotonic_s()
        self._record(header)
        for revision in revisions:
            self.revision_in_force(revision)

    def revision_in_force(self, revision: EnvironmentRevision) -> None:
        """Record the document of a revision; to be subscribed to the configuration."""
        self._record(DocumentChange(at_s=self._now_s(), document=revision.document))

    def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Record an application caller's request and stream its response."""
        if request.kind is WorkKind.APPLICATION:
            self._record(
                GenerationRequested(
                    at_s=self._now_s(),
                    digest=_short_digest(request.prompt.encode()),
                    max_tokens=request.max_tokens,
                    model=request.model,
                    prompt_characters=len(request.prompt),
                )
            )
        return self._generator.generate(request)

    def free_slots(self, pool: str) -> int:
        """Return how many more rollout generations the pool could start immediately."""
        return self._generator.free_slots(pool)

    async def call_service(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Record a call to a plain service and forward it."""
        key = "" if request.idempotent else _short_digest((request.idempotency_key or "").encode())
        self._record(
            ServiceCalled(
                at_s=self._now_s(),
                service=request.service,
                digest=_short_digest(request.body),
                key=key,
            )
        )
        return await self._services.call_service(request, spec)

    async def submit_step(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission
    ) -> StepAccepted:
        """Record a step submission and forward it."""
        self._record(
            StepSubmitted(
                at_s=self._now_s(),
                trainer=trainer.name,
                step=submission.step,
                groups=tuple(group.size for group in submission.groups),
                max_tokens=submission.sampling.max_tokens,
                digest=_short_digest(msgspec.json.encode(submission.groups)),
                seed=submission.sampling.seed,
            )
        )
        return await self._rollouts.submit_step(revision, trainer, submission)

    async def poll(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, request: PollRequest
    ) -> PollResponse:
        """Forward a poll; not recorded, because the replay polls on its own schedule."""
        return await self._rollouts.poll(revision, trainer, request)

    async def publish_version(
        self, revision: EnvironmentRevision, model: ModelSpec, version: PublishedVersion
    ) -> VersionAccepted:
        """Record a version publication and forward it."""
        for trainer in revision.document.trainers:
            if trainer.model == model.name:
                self._record(VersionPublished(at_s=self._now_s(), trainer=trainer.name))
                break
        return await self._rollouts.publish_version(revision, model, version)

    async def submit_grades(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, grades: GradeSubmission
    ) -> GradesAccepted:
        """Forward grades; not recorded, because the replay computes its own grades."""
        return await self._rollouts.submit_grades(revision, trainer, grades)

    def _record(self, event: Event) -> None:
        if self._started_s is not None:
            self._write(encode_event(event))

    def _now_s(self) -> float:
        return round(self._clock.monotonic_s() - (self._started_s or 0.0), 4)


def _short_digest(data: bytes) -> str:
    return digest_hex(data)[:_DIGEST_CHARACTERS]
