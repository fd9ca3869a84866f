"""The simulation and the steps of the fuzzing and of the mutation tests."""

from verbenawind.document import parse_document
from verbenawind.kernel.rollouts import PromptGroup, Sampling, StepSubmission
from verbenawind.standins.simulation import Simulation

DOCUMENT = parse_document("""
{
  "environment": "siam-fold",
  "pools": [{"name": "tuning", "checks_fencing": false, "order_timeout_s": 2.0}],
  "models": [
    {"name": "tuner", "pool": "tuning", "staleness": {"max_versions": 1}},
    {"name": "drafter", "pool": "tuning", "staleness": {"max_versions": 2}}
  ],
  "callers": [
    {"name": "plant", "kind": "trainer", "models": ["tuner"],
     "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"},
    {"name": "replies", "kind": "trainer", "models": ["drafter"],
     "token_sha256": "1111111111111111111111111111111111111111111111111111111111111111"},
    {"name": "desk", "kind": "application", "models": ["tuner"], "services": ["stock"],
     "token_sha256": "2222222222222222222222222222222222222222222222222222222222222222"}
  ],
  "trainers": [
    {"name": "folders", "caller": "plant", "model": "tuner"},
    {"name": "salons", "caller": "replies", "model": "drafter"}
  ],
  "services": [{"name": "stock", "routes": [{"path_prefix": "/bookings", "idempotent": false}]}]
}
""")
TRAINERS = ("folders", "salons")
ENGINES = 4
SERVICES = 2


def make_simulation(seed: int) -> Simulation:
    """Return an unstarted simulation with three zones, four engines and two service hosts."""
    simulation = Simulation(seed, DOCUMENT)
    for index in range(ENGINES):
        simulation.deployment.add_engine(
            f"engine-{index}",
            "tuning",
            {"tuner": 0, "drafter": 0},
            zone_index=index,
            checks_fencing=index % 2 == 0,
        )
    for index in range(SERVICES):
        simulation.deployment.add_service(f"stock-{index}", "stock", zone_index=index)
    return simulation


def step_of(trainer: str, step: int, groups: int = 2, size: int = 2) -> StepSubmission:
    """Return a small step that depends only on the arguments."""
    return StepSubmission(
        step=step,
        groups=tuple(
            PromptGroup(prompt=f"{trainer} step {step} job {group}", size=size)
            for group in range(groups)
        ),
        sampling=Sampling(max_tokens=96, seed=step),
    )
