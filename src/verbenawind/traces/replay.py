"""Replays a trace in virtual time against stand-ins and reports which guarantees held."""

import asyncio
from collections import Counter

import msgspec

from verbenawind.errors import InvalidRequest
from verbenawind.kernel.rollouts import PromptGroup, Sampling, StepSubmission
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.engine import CRASH_MARKER, EngineProfile
from verbenawind.standins.oracle import Guarantee, Violation
from verbenawind.standins.simulation import Simulation
from verbenawind.traces.faults import apply_fault
from verbenawind.traces.files import Trace
from verbenawind.traces.types import (
    DocumentChange,
    Event,
    Fault,
    GenerationRequested,
    ServiceCalled,
    StepSubmitted,
    TrainingLoop,
    VersionPublished,
)

__all__ = ["Replay", "replay"]

_POLL_PERIOD_S = 0.2
_RESTART_PERIOD_S = 8.0
_SETTLE_S = 20.0
_MAX_TRAINING_S = 4 * 3600.0
_TICK_S = 0.05
_TOKENS_PER_TICK = 5


class Replay(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a replay.

    ``waited_s`` holds, for each complete step, the time from its submission until the trainer had
    received all its samples; ``idle_s`` is the total time that closed-loop trainers waited for
    samples. ``differences`` lists deviations from the trace's expected outcome.
    """

    name: str
    violations: tuple[Violation, ...]
    differences: tuple[str, ...]
    whole_steps: dict[str, int]
    answered: int
    asked: int
    waited_s: tuple[float, ...]
    idle_s: float
    trained_s: float
    staleness_versions: tuple[int, ...]
    duration_s: float

    @property
    def held(self) -> dict[Guarantee, bool]:
        """Whether each guarantee held."""
        violated = {violation.promise for violation in self.violations}
        return {guarantee: guarantee not in violated for guarantee in Guarantee}


def replay(trace: Trace) -> Replay:
    """Replay a trace in its own event loop."""
    return run_virtual(_Replayer(trace).run())


class _Replayer:
    def __init__(self, trace: Trace) -> None:
        self._trace = trace
        self._events = list(trace.events)
        self._pending_steps: dict[tuple[str, int], tuple[float, int]] = {}
        self._complete_steps: Counter[str] = Counter()
        self._waited_s: list[float] = []
        self._idle_s = 0.0
        self._trained_s = 0.0
        self._call_tasks: list[asyncio.Task[bool]] = []
        self._training_tasks: list[asyncio.Task[None]] = []

    async def run(self) -> Replay:
        self._simulation = simulation = self._build()
        await simulation.start()
        started_s = simulation.clock.monotonic_s()
        polls = [asyncio.ensure_future(self._poll(name)) for name in simulation.trainers]
        polls.append(asyncio.ensure_future(self._restart_crashed()))
        for event in self._events:
            await simulation.clock.sleep(
                max(0.0, started_s + event.at_s - simulation.clock.monotonic_s())
            )
            await self._apply(event)
        ends_at_s = started_s + max((_end_s(event) for event in self._events), default=0.0)
        await simulation.clock.sleep(max(0.0, ends_at_s - simulation.clock.monotonic_s()))
        if self._training_tasks:
            await asyncio.wait(self._training_tasks, timeout=_MAX_TRAINING_S)
        await simulation.heal()
        await simulation.clock.sleep(_SETTLE_S)
        simulation.end_disturbances()
        for poll in polls:
            poll.cancel()
        await asyncio.gather(*polls, return_exceptions=True)
        await simulation.wait_until_settled()
        self._record_complete_steps()
        return await self._finish(started_s)

    def _build(self) -> Simulation:
        header = self._trace.header
        if not self._events or not isinstance(self._events[0], DocumentChange):
            raise InvalidRequest(f"trace {header.name!r} does not start with a document event")
        document = self._events[0].document
        del self._events[0]
        simulation = Simulation(
            header.seed, document, daemons=header.daemons, regions=header.regions
        )
        models = {
            pool: {spec.name: spec.initial_version for spec in document.models if spec.pool == pool}
            for pool in header.engines
        }
        for pool, count in header.engines.items():
            for index in range(count):
                simulation.deployment.add_engine(
                    f"{pool}-{index}",
                    pool,
                    models[pool],
                    zone_index=index,
                    profile=EngineProfile(tick_s=_TICK_S, tokens_per_tick=_TOKENS_PER_TICK),
                )
        for service, count in header.services.items():
            for index in range(count):
                simulation.deployment.add_service(f"{service}-{index}", service, zone_index=index)
        return simulation

    async def _apply(self, event: Event) -> None:
        simulation = self._simulation
        if isinstance(event, Fault):
            apply_fault(simulation, event)
        elif isinstance(event, GenerationRequested):
            mark = CRASH_MARKER if event.crashes else ""
            prompt = f"{event.digest}{mark}".ljust(event.prompt_characters, ".")
            asked = simulation.ask(
                event.daemon, prompt, max_tokens=event.max_tokens, model_name=event.model
            )
            self._call_tasks.append(asked)
        elif isinstance(event, ServiceCalled):
            booking = simulation.book(
                event.daemon,
                event.key,
                event.digest,
                idempotent=not event.key,
                service=event.service,
            )
            self._call_tasks.append(booking)
        elif isinstance(event, DocumentChange):
            simulation.spawn(simulation.accept(event.daemon, event.document))
        elif isinstance(event, VersionPublished):
            simulation.spawn(simulation.publish(event.daemon, event.trainer))
        elif isinstance(event, StepSubmitted):
            simulation.spawn(self._submit(event.daemon, event.trainer, _recorded_submission(event)))
        elif isinstance(event, TrainingLoop):
            self._training_tasks.append(asyncio.ensure_future(self._train(event)))

    async def _submit(self, daemon: int, trainer: str, submission: StepSubmission) -> None:
        samples = sum(group.size for group in submission.groups)
        self._pending_steps[(trainer, submission.step)] = (
            self._simulation.clock.monotonic_s(),
            samples,
        )
        turn = daemon
        while not await self._simulation.submit(turn % self._daemons, trainer, submission):
            turn += 1
            await self._simulation.clock.sleep(_POLL_PERIOD_S)

    async def _train(self, event: TrainingLoop) -> None:
        """Run training steps in a closed loop, with the next step always submitted in advance."""
        clock = self._simulation.clock
        await self._submit(0, event.trainer, _training_submission(event, 1))
        for step in range(1, event.steps + 1):
            if step < event.steps:
                await self._submit(step, event.trainer, _training_submission(event, step + 1))
            began_s = clock.monotonic_s()
            while (event.trainer, step) in self._pending_steps:
                await clock.sleep(_POLL_PERIOD_S)
            self._idle_s += clock.monotonic_s() - began_s
            await clock.sleep(event.train_s)
            self._trained_s += event.train_s
            version, turn = self._simulation.trainers[event.trainer].version, step
            while self._simulation.trainers[event.trainer].version == version:
                await self._simulation.publish(turn % self._daemons, event.trainer)
                turn += 1

    async def _poll(self, trainer: str) -> None:
        turn = 0
        while True:
            turn += 1
            await self._simulation.poll(turn % self._daemons, trainer)
            self._record_complete_steps()
            await self._simulation.grade(turn % self._daemons, trainer, limit=64)
            await self._simulation.clock.sleep(_POLL_PERIOD_S)

    async def _restart_crashed(self) -> None:
        """Restart crashed engines periodically, as the platform does."""
        while True:
            await self._simulation.clock.sleep(_RESTART_PERIOD_S)
            for engine in self._simulation.deployment.engines.values():
                if engine.down:
                    engine.restart()

    def _record_complete_steps(self) -> None:
        now_s = self._simulation.clock.monotonic_s()
        for trainer in self._simulation.trainers:
            held = Counter(
                sample.step for sample in self._simulation.oracle.received_samples(trainer)
            )
            for (name, step), (since_s, samples) in list(self._pending_steps.items()):
                if name == trainer and held[step] >= samples:
                    del self._pending_steps[(name, step)]
                    self._complete_steps[trainer] += 1
                    self._waited_s.append(now_s - since_s)

    async def _finish(self, started_s: float) -> Replay:
        simulation, stated = self._simulation, self._trace.stated
        if self._call_tasks:
            await asyncio.wait(self._call_tasks)
        answered = sum(task.result() for task in self._call_tasks)
        simulation.collect()
        simulation.observe_revisions()
        violations = tuple(simulation.oracle.find_violations())
        runs: Counter[str] = Counter()
        for service in simulation.deployment.services.values():
            runs.update(service.runs)
        differences = [
            f"trainer {trainer}: {self._complete_steps[trainer]} complete steps, expected {steps}"
            for trainer, steps in stated.whole_steps.items()
            if self._complete_steps[trainer] != steps
        ]
        differences += [
            f"booking {key}: ran {runs[key]} times, expected at most {most}"
            for key, most in stated.most_runs.items()
            if runs[key] > most
        ]
        if answered < stated.answered:
            differences.append(f"{answered} answered calls, expected at least {stated.answered}")
        duration_s = simulation.clock.monotonic_s() - started_s
        staleness = tuple(simulation.oracle.staleness_versions())
        await simulation.stop()
        return Replay(
            name=self._trace.header.name,
            violations=violations,
            differences=tuple(differences),
            whole_steps=dict(self._complete_steps),
            answered=answered,
            asked=len(self._call_tasks),
            waited_s=tuple(self._waited_s),
            idle_s=self._idle_s,
            trained_s=self._trained_s,
            staleness_versions=staleness,
            duration_s=duration_s,
        )

    @property
    def _daemons(self) -> int:
        return self._trace.header.daemons


def _end_s(event: Event) -> float:
    return event.at_s + (event.duration_s if isinstance(event, Fault) else 0.0)


def _recorded_submission(event: StepSubmitted) -> StepSubmission:
    return StepSubmission(
        step=event.step,
        groups=tuple(
            PromptGroup(prompt=f"{event.digest} {group}", size=size)
            for group, size in enumerate(event.groups)
        ),
        sampling=Sampling(max_tokens=event.max_tokens, seed=event.seed),
    )


def _training_submission(event: TrainingLoop, step: int) -> StepSubmission:
    return StepSubmission(
        step=step,
        groups=tuple(
            PromptGroup(prompt=f"{event.trainer} step {step} job {group}", size=event.size)
            for group in range(event.groups)
        ),
        sampling=Sampling(max_tokens=event.max_tokens, seed=step),
    )
