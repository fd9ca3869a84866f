"""Stateful fuzzing of the whole service on virtual time, judged by the oracle."""

import os

from fuzz.machine import ServiceMachine
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

CI_EXAMPLES = 12
STEPS = 30


class TestFuzz:
    def test_promises_hold(self) -> None:
        """No sequence of requests and faults that is tried breaks a promise."""
        run_seed = os.environ.get("VERBENAWIND_FUZZ_SEED")
        examples = int(os.environ.get("VERBENAWIND_FUZZ_EXAMPLES", CI_EXAMPLES))
        machine = ServiceMachine if run_seed is None else seed(int(run_seed))(ServiceMachine)
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=examples,
                stateful_step_count=STEPS,
                derandomize=run_seed is None,
                deadline=None,
                database=None,
                print_blob=False,
                phases=(Phase.generate,) if run_seed is None else (Phase.generate, Phase.shrink),
                suppress_health_check=list(HealthCheck),
            ),
        )
