"""The demonstration: a trainer and application callers using three daemons on loopback.

All reported counts are taken by the trainer, the callers and the backend servers.
"""

import asyncio
import json
import sys
from collections import Counter

import msgspec
from absl import app as absl_app
from absl import flags

from verbenawind.logs import configure_logs
from verbenawind.standins.demo_deployment import (
    MAX_VERSIONS,
    MODEL,
    TRAINER_TOKEN,
    DemoDeployment,
    document,
)
from verbenawind.standins.demo_faults import inject_faults
from verbenawind.standins.demo_load import ApplicationCallers
from verbenawind.standins.demo_summary import DemoSummary, violated_guarantees
from verbenawind.standins.trainer import StandinTrainer
from verbenawind.standins.trainer_calls import HttpTrainerCalls

__all__ = ["main"]

_FAULTS = flags.DEFINE_bool("faults", False, "Whether to inject faults.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the stand-ins' randomness.")
_STEPS = 6
_STEPS_WITH_FAULTS = 9
_ANSWERS = 60
_ANSWERS_WITH_FAULTS = 160
_BOOKINGS = 20
_PERIOD_S = 0.1
_TRAIN_S = 1.0
_PROGRESS_PERIOD_S = 2.0
_SETTLE_S = 1.5
_TIMEOUT_S = 55.0


class _Demo:
    """One run of the demonstration.

    Args:
        seed: Seed of the stand-ins' randomness.
        faults: Whether to inject faults.
    """

    def __init__(self, seed: int, faults: bool) -> None:
        self._faults = faults
        self._steps = _STEPS_WITH_FAULTS if faults else _STEPS
        self._answers = _ANSWERS_WITH_FAULTS if faults else _ANSWERS
        self._deployment = DemoDeployment(seed)
        self._trainer = StandinTrainer(
            HttpTrainerCalls(self._deployment.base_urls, TRAINER_TOKEN, self._deployment.clock),
            MODEL,
            self._deployment.weights,
            self._deployment.clock,
            train_s=_TRAIN_S,
            max_versions=MAX_VERSIONS,
        )
        self._callers = ApplicationCallers(
            self._deployment.base_urls,
            answers=self._answers,
            bookings=_BOOKINGS,
            period_s=_PERIOD_S,
            versions=range(self._steps + 1),
        )

    async def run(self) -> DemoSummary:
        """Start all processes, run the load and shut down."""
        await self._deployment.start()
        await self._deployment.apply_document(json.dumps(document()))
        await asyncio.sleep(_SETTLE_S)
        progress = asyncio.get_running_loop().create_task(self._show_progress())
        try:
            async with asyncio.timeout(_TIMEOUT_S), asyncio.TaskGroup() as tasks:
                tasks.create_task(self._trainer.run(self._steps))
                tasks.create_task(self._callers.run())
                if self._faults:
                    tasks.create_task(inject_faults(self._deployment))
        except TimeoutError:
            print(f"  load did not finish within {_TIMEOUT_S:.0f} s")
        finally:
            progress.cancel()
        await self._deployment.stop()
        return self._summary()

    async def _show_progress(self) -> None:
        report = self._trainer.report
        while True:
            print(
                f"  version {self._trainer.version}: {sum(report.samples.values())} samples, "
                f"{sum(report.grades.values())} grades, "
                f"{self._callers.answers_whole} complete answers, "
                f"{self._callers.bookings_confirmed} bookings",
                flush=True,
            )
            await asyncio.sleep(_PROGRESS_PERIOD_S)

    def _summary(self) -> DemoSummary:
        report = self._trainer.report
        staleness = sorted(report.staleness_versions) or [0]
        runs: Counter[str] = Counter()
        for service in self._deployment.services:
            runs.update(service.runs)
        return DemoSummary(
            samples_expected=report.samples_expected,
            samples_delivered=len(report.samples),
            duplicate_samples=sum(count - 1 for count in report.samples.values()),
            stale_samples=report.stale,
            unlabelled_samples=report.unlabelled,
            grades_sent=report.grades_sent,
            grades_delivered=sum(report.grades.values()),
            answers_expected=self._answers,
            answers_whole=self._callers.answers_whole,
            non_idempotent_requests=_BOOKINGS,
            non_idempotent_confirmed=self._callers.bookings_confirmed,
            non_idempotent_double_runs=sum(count - 1 for count in runs.values()),
            trainer_idle_ratio=round(report.idle_s / max(1e-9, report.idle_s + report.busy_s), 4),
            staleness_versions_p95=staleness[int(0.95 * (len(staleness) - 1))],
            cross_region_bytes=self._deployment.meter.cross_region_bytes,
            engine_crashes=sum(engine.crashes for engine in self._deployment.engines),
        )


def main(_: list[str]) -> None:
    """Run the demonstration; exit with status 1 if a guarantee was violated."""
    configure_logs("critical")
    summary = asyncio.run(_Demo(_SEED.value, _FAULTS.value).run())
    for name in summary.__struct_fields__:
        print(f"  {name.replace('_', ' '):30} {getattr(summary, name)}")
    violated = violated_guarantees(summary)
    print(f"violated guarantees: {', '.join(violated) or 'none'}")
    print(msgspec.json.encode(summary).decode())
    sys.exit(1 if violated else 0)


if __name__ == "__main__":
    absl_app.run(main)
