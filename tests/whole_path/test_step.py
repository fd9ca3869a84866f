"""End-to-end tests in one process on virtual time."""

from verbenawind.document import parse_document
from verbenawind.kernel.rollouts import (
    PollRequest,
    PromptGroup,
    Sample,
    Sampling,
    StepSubmission,
)
from verbenawind.standins.deployment import Deployment, run_virtual

DOCUMENT = parse_document("""
{
  "environment": "siam-fold",
  "pools": [{"name": "tuning", "checks_fencing": true}],
  "models": [{"name": "tuner", "pool": "tuning", "staleness": {"max_versions": 1}}],
  "callers": [
    {"name": "plant", "kind": "trainer", "models": ["tuner"],
     "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"}
  ],
  "trainers": [{"name": "folders", "caller": "plant", "model": "tuner"}]
}
""")


class TestStep:
    def test_step_is_delivered_completely(self) -> None:
        """All samples of a step submitted to one daemon are delivered exactly once by another."""

        async def scenario() -> list[Sample]:
            deployment = Deployment()
            for index in range(3):
                deployment.add_engine(f"engine-{index}", "tuning", {"tuner": 0}, zone_index=index)
            cores = [
                deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(3)
            ]
            for core in cores:
                await core.start()
            revision = await deployment.accept(DOCUMENT)
            trainer = DOCUMENT.trainers[0]
            submission = StepSubmission(
                step=1,
                groups=(PromptGroup(prompt="a", size=4), PromptGroup(prompt="b", size=4)),
                sampling=Sampling(max_tokens=64),
            )
            await cores[0].rollouts.submit_step(revision, trainer, submission)
            samples: list[Sample] = []
            cursor = 0
            while len(samples) < 8:
                request = PollRequest(cursor=cursor, current_version=0, wait_s=5.0)
                answer = await cores[1].rollouts.poll(revision, trainer, request)
                cursor = answer.cursor
                samples += [sample for group in answer.groups for sample in group.samples]
            await deployment.stop()
            return samples

        samples = run_virtual(scenario())
        assert len({sample.sample_id for sample in samples}) == 8
        assert all(sample.spans for sample in samples)
