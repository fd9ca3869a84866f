"""Test harness for rollouts: simulated daemons, engines and a trainer that checks samples."""

import asyncio
from collections import Counter
from collections.abc import Sequence

from verbenawind.daemon import Core
from verbenawind.document import EnvironmentDocument, EnvironmentRevision, parse_document
from verbenawind.errors import StoreUnavailable
from verbenawind.kernel.rollouts import (
    DeliveredGrade,
    PollRequest,
    PollResponse,
    PromptGroup,
    PublishedVersion,
    Sample,
    Sampling,
    StepSubmission,
)
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.trainer import label_errors

TOKEN = "0" * 64


def document(
    *,
    max_versions: int = 1,
    max_age_s: float | None = None,
    deliver: str = "groups",
    scoring: bool = False,
) -> EnvironmentDocument:
    """Return an environment document with one trainer."""
    age = f', "max_age_s": {max_age_s}' if max_age_s is not None else ""
    service = ', "scoring_service": "judge"' if scoring else ""
    services = '[{"name": "judge", "timeout_s": 2.0}]' if scoring else "[]"
    return parse_document(f"""
    {{
      "environment": "siam-fold",
      "pools": [{{"name": "tuning", "checks_fencing": true}}],
      "models": [{{"name": "tuner", "pool": "tuning",
                   "staleness": {{"max_versions": {max_versions}{age}}}}}],
      "callers": [{{"name": "plant", "kind": "trainer", "models": ["tuner"],
                    "token_sha256": "{TOKEN}"}}],
      "scoring_services": {services},
      "trainers": [{{"name": "folders", "caller": "plant", "model": "tuner",
                     "deliver": "{deliver}"{service}}}]
    }}
    """)


def submission(step: int, groups: int = 4, size: int = 4, max_tokens: int = 64) -> StepSubmission:
    """Return a step whose groups have equal size."""
    return StepSubmission(
        step=step,
        groups=tuple(PromptGroup(prompt=f"s{step} g{group}", size=size) for group in range(groups)),
        sampling=Sampling(max_tokens=max_tokens, seed=step),
    )


class RolloutHarness:
    """Simulated daemons and engines, and the calls of one trainer.

    Args:
        spec: The environment document.
        engines: Number of engines, assigned to zones in turn.
        daemons: Number of daemons, assigned to zones in turn.
        seed: Seed of the simulation.
    """

    def __init__(
        self, spec: EnvironmentDocument, *, engines: int = 3, daemons: int = 2, seed: int = 1
    ) -> None:
        self.deployment = Deployment(seed)
        self.spec = spec
        self.trainer = spec.trainers[0]
        self.model = spec.models[0]
        for index in range(engines):
            self.deployment.add_engine(f"engine-{index}", "tuning", {"tuner": 0}, zone_index=index)
        for index in range(daemons):
            self.deployment.add_daemon(f"daemon-{index}", zone_index=index)
        self.cursor = 0
        self.version = 0
        self.samples: dict[str, Sample] = {}
        self.counts: Counter[str] = Counter()
        self.grades: list[DeliveredGrade] = []
        self.whole_steps_seen: Counter[int] = Counter()
        self.revision: EnvironmentRevision | None = None

    async def start(self) -> "RolloutHarness":
        """Start the daemons and apply the document."""
        for core in self.cores:
            await core.start()
        self.revision = await self.deployment.accept(self.spec)
        return self

    @property
    def cores(self) -> Sequence[Core]:
        """The daemons that have not been removed."""
        return tuple(self.deployment.daemons.values())

    def core(self, index: int = 0) -> Core:
        """Return the daemon with an index, modulo the number of daemons."""
        return self.cores[index % len(self.cores)]

    def holder_name(self) -> str:
        """Return the name of the daemon in the guard row of the trainer's lease."""
        row = self.deployment.table.rows[f"lease/rollout/{self.name}/folders/guard"]
        return next(name for name in self.deployment.daemons if name.encode() in row.value)

    @property
    def name(self) -> str:
        """The environment and stage as ``name/stage``."""
        return "siam-fold/production"

    async def submit(self, step: StepSubmission, index: int = 0) -> None:
        """Submit a step, retrying while the store is unavailable."""
        while True:
            try:
                assert self.revision is not None
                await self.core(index).rollouts.submit_step(self.revision, self.trainer, step)
                return
            except StoreUnavailable:
                await asyncio.sleep(1.0)

    async def poll_once(
        self, index: int = 0, *, wait_s: float = 5.0, cursor: int | None = None
    ) -> PollResponse:
        """Poll without processing the response."""
        assert self.revision is not None
        request = PollRequest(
            cursor=self.cursor if cursor is None else cursor,
            current_version=self.version,
            wait_s=wait_s,
        )
        return await self.core(index).rollouts.poll(self.revision, self.trainer, request)

    def process_response(self, response: PollResponse) -> None:
        """Process a response: check labels and staleness, count samples."""
        self.cursor = response.cursor
        self.whole_steps_seen.update(response.whole_steps)
        self.grades += response.grades
        for group in response.groups:
            for sample in group.samples:
                prompt = f"s{sample.step} g{sample.group}"
                seed = sample.step * 1_000_003 + sample.group * 1009 + sample.index
                assert label_errors(sample, "tuner", prompt, seed) == []
                allowed = self.version - self.model.staleness.max_versions
                assert sample.oldest_version >= allowed
                self.counts[sample.sample_id] += 1
                self.samples[sample.sample_id] = sample

    async def collect(self, wanted: int, *, limit_s: float = 300.0) -> None:
        """Poll daemons in turn until *wanted* samples arrived, each of them once."""
        number = 0
        async with asyncio.timeout(limit_s):
            while len(self.samples) < wanted:
                number += 1
                try:
                    self.process_response(await self.poll_once(number))
                except StoreUnavailable:
                    await asyncio.sleep(1.0)
        assert set(self.counts.values()) == {1}

    async def publish(self, version: int, index: int = 0) -> None:
        """Publish a version, which the trainer declares in later polls."""
        assert self.revision is not None
        published = PublishedVersion(
            model="tuner", version=version, weights_uri=f"weights://tuner/{version}"
        )
        self.deployment.weights.put("tuner", version)
        await self.core(index).rollouts.publish_version(self.revision, self.model, published)
        self.version = version

    async def kill_daemon(self, name: str) -> None:
        """Kill a daemon without restarting it."""
        await self.deployment.daemons.pop(name).kill()
