"""Records a daemon's live work as a trace, payloads by digest."""

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
from verbenawind.traces.types import Ask, Call, DocumentChange, Event, Header, Publish, Step

__all__ = ["TraceRecorder"]

_DIGEST_CHARACTERS = 16


class TraceRecorder:
    """Stands before a daemon's services and notes what outside parties ask of them.

    It implements the Generator, ServiceCaller and RolloutService ports. Prompts, bodies and
    grades are not kept: a prompt is known by its digest and length, a booking by the digest of
    its key.

    Args:
        write: Takes each line.
        clock: Time source.
        generator: The generator behind it.
        services: The caller of plain services behind it.
        rollouts: The rollout service behind it.
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
        """Write the header and what is in force; nothing is noted before."""
        self._started_s = self._clock.monotonic_s()
        self._note(header)
        for revision in revisions:
            self.revision_in_force(revision)

    def revision_in_force(self, revision: EnvironmentRevision) -> None:
        """Note a document; subscribe it to the configuration."""
        self._note(DocumentChange(at_s=self._now_s(), document=revision.document))

    def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Note an application caller's request and stream its answer."""
        if request.kind is WorkKind.APPLICATION:
            self._note(
                Ask(
                    at_s=self._now_s(),
                    digest=_digest(request.prompt.encode()),
                    max_tokens=request.max_tokens,
                    model=request.model,
                    prompt_characters=len(request.prompt),
                )
            )
        return self._generator.generate(request)

    def free_slots(self, pool: str) -> int:
        """Return how many more rollout generations the pool would start at once."""
        return self._generator.free_slots(pool)

    async def call_service(self, request: ServiceRequest, spec: ServiceSpec) -> ServiceResponse:
        """Note a call to a plain service and make it."""
        key = "" if request.idempotent else _digest((request.idempotency_key or "").encode())
        self._note(
            Call(at_s=self._now_s(), service=request.service, digest=_digest(request.body), key=key)
        )
        return await self._services.call_service(request, spec)

    async def submit_step(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission
    ) -> StepAccepted:
        """Note a step and submit it."""
        self._note(
            Step(
                at_s=self._now_s(),
                trainer=trainer.name,
                step=submission.step,
                groups=tuple(group.size for group in submission.groups),
                max_tokens=submission.sampling.max_tokens,
                digest=_digest(msgspec.json.encode(submission.groups)),
                seed=submission.sampling.seed,
            )
        )
        return await self._rollouts.submit_step(revision, trainer, submission)

    async def poll(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, request: PollRequest
    ) -> PollResponse:
        """Poll; a replayed trainer polls by itself."""
        return await self._rollouts.poll(revision, trainer, request)

    async def publish_version(
        self, revision: EnvironmentRevision, model: ModelSpec, version: PublishedVersion
    ) -> VersionAccepted:
        """Note a publication and make it."""
        for trainer in revision.document.trainers:
            if trainer.model == model.name:
                self._note(Publish(at_s=self._now_s(), trainer=trainer.name))
                break
        return await self._rollouts.publish_version(revision, model, version)

    async def submit_grades(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, grades: GradeSubmission
    ) -> GradesAccepted:
        """Submit grades; a replayed trainer grades by itself."""
        return await self._rollouts.submit_grades(revision, trainer, grades)

    def _note(self, event: Event) -> None:
        if self._started_s is not None:
            self._write(encode_event(event))

    def _now_s(self) -> float:
        return round(self._clock.monotonic_s() - (self._started_s or 0.0), 4)


def _digest(data: bytes) -> str:
    return digest_hex(data)[:_DIGEST_CHARACTERS]
