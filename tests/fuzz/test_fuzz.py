"""Stateful fuzzing of the whole service in virtual time, checked by the oracle."""

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from fuzz.machine import CallerMachine, FaultMachine, ServiceMachine, TrainerMachine

CI_EXAMPLES = 14
STEPS = 30


def fuzz(machine: type[FaultMachine]) -> None:
    """Run the fixed examples of CI, or the seeded ones of ``make fuzz``, which are shrunk."""
    run_seed = os.environ.get("VERBENAWIND_FUZZ_SEED")
    examples = int(os.environ.get("VERBENAWIND_FUZZ_EXAMPLES", CI_EXAMPLES))
    phases = (Phase.generate,) if run_seed is None else (Phase.generate, Phase.shrink)
    run_state_machine_as_test(
        machine if run_seed is None else seed(int(run_seed))(machine),
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            derandomize=run_seed is None,
            deadline=None,
            database=None,
            print_blob=False,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


class TestFuzz:
    def test_trainers(self) -> None:
        """No sequence of trainer calls and faults violates a promise."""
        fuzz(TrainerMachine)

    def test_callers(self) -> None:
        """No sequence of application calls and faults violates a promise."""
        fuzz(CallerMachine)

    def test_trainers_and_callers(self) -> None:
        """No sequence of trainer calls, application calls and faults violates a promise."""
        fuzz(ServiceMachine)
