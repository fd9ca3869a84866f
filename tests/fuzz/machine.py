"""State machines of daemons with their trainers, callers, operators and injected faults.

The derandomized examples of CI depend on the source of the machine class that runs, apart from
comments, and on the names of its rules. Editing a subclass of FaultMachine draws other examples.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from fuzz.simulations import DOCUMENT, ENGINES, SERVICES, TRAINERS, make_simulation, step_of
from verbenawind.standins.engine import CRASH_MARKER
from verbenawind.standins.simulation import with_idle_weight

DAEMONS = st.integers(0, 2)
ENGINE_INDEXES = st.integers(0, ENGINES - 1)
TRAINER_NAMES = st.sampled_from(TRAINERS)
DURATIONS_S = st.sampled_from([0.1, 0.7, 3.0, 9.0])
MAX_STEPS = 4
SETTLE_TIME_S = 25.0


class FaultMachine(RuleBasedStateMachine):
    """Starts daemons, injects faults, and checks the promises after each rule."""

    def __init__(self) -> None:
        super().__init__()
        self._runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self._documents = 0

    @initialize(seed=st.integers(0, 3))
    def begin(self, seed: int) -> None:
        """Start three daemons."""

        async def start() -> None:
            self.simulation = make_simulation(seed)
            await self.simulation.start()

        self._runner.run(start())

    @rule(index=DAEMONS)
    def change_document(self, index: int) -> None:
        """An operator changes the document."""
        self._documents += 1
        document = with_idle_weight(DOCUMENT, 1.0 + self._documents)
        self._background(self.simulation.accept(index, document))

    @rule(engine=ENGINE_INDEXES)
    def crash_engine(self, engine: int) -> None:
        """An engine crashes."""
        self._do(self.simulation.deployment.engines[f"engine-{engine}"].crash)

    @rule(engine=ENGINE_INDEXES)
    def restart_engine(self, engine: int) -> None:
        """A crashed engine restarts with its initial weights."""
        crashed = self.simulation.deployment.engines[f"engine-{engine}"]
        if crashed.down:
            self._do(crashed.restart)

    @rule(engine=ENGINE_INDEXES, ends=st.booleans())
    def spoil_engine(self, engine: int, ends: bool) -> None:
        """An engine's next swap fails midway, or its streams omit their end marker for a second."""
        faults = self.simulation.deployment.engines[f"engine-{engine}"].faults
        if not ends:
            faults.fail_next_swaps = 1
            return
        faults.drop_end_marker = True
        self._advance(1.0)
        faults.drop_end_marker = False

    @rule(engine=ENGINE_INDEXES)
    def delay_version_report(self, engine: int) -> None:
        """An engine's status reports the previous version for three seconds after each swap."""
        self.simulation.deployment.engines[f"engine-{engine}"].faults.version_report_lag_s = 3.0

    @rule(engine=ENGINE_INDEXES)
    def leave(self, engine: int) -> None:
        """The platform lists an engine as leaving; engine 0 always stays."""
        if engine > 0:
            self._do(lambda: self.simulation.leave(f"engine-{engine}"), 0.5)

    @rule(host=st.integers(0, SERVICES - 1), answers=st.booleans())
    def spoil_service(self, host: int, answers: bool) -> None:
        """A service host loses its next response after the effect, or toggles its reachability."""
        service = self.simulation.deployment.services[f"stock-{host}"]
        if answers:
            service.lose_next_answers = 1
        else:
            service.unreachable = not service.unreachable

    @rule(index=DAEMONS, pause=st.booleans())
    def lose_daemon(self, index: int, pause: bool) -> None:
        """A daemon is killed or paused."""
        if pause and self.simulation.running(index):
            self._do(lambda: self.simulation.pause(index))
        else:
            self._run(self.simulation.kill_daemon(index))

    @rule(index=DAEMONS)
    def resume_daemon(self, index: int) -> None:
        """A killed daemon restarts, a paused one resumes."""

        async def resume() -> None:
            await asyncio.wait_for(self.simulation.start_daemon(index), 60.0)
            self.simulation.resume(index)

        self._run(resume())

    @rule(index=DAEMONS)
    def stop_daemon(self, index: int) -> None:
        """A daemon shuts down gracefully."""
        if self.simulation.running(index):
            self._do(lambda: self.simulation.resume(index))
            self._background(self.simulation.stop_daemon(index))

    @rule(graceful=st.booleans())
    def restart_all(self, graceful: bool) -> None:
        """All daemons restart at once, after a graceful shutdown or without."""

        async def restart() -> None:
            for index in range(3):
                self.simulation.resume(index)
            if graceful:
                await asyncio.gather(*(self.simulation.stop_daemon(index) for index in range(3)))
            for index in range(3):
                await self.simulation.kill_daemon(index)
                await asyncio.wait_for(self.simulation.start_daemon(index), 60.0)

        self._run(restart())

    @rule(rate=st.sampled_from([0.0, 0.1, 0.5]))
    def lose_messages(self, rate: float) -> None:
        """Links between daemons drop a fraction of their messages."""

        def change() -> None:
            self.simulation.oracle.begin_disturbance(self.simulation.clock.monotonic_s())
            self.simulation.deployment.network.loss_rate = rate

        self._do(change)

    @rule(zone=DAEMONS, platform=st.booleans(), both_ways=st.booleans())
    def cut(self, zone: int, platform: bool, both_ways: bool) -> None:
        """A zone loses its connection to the platform or to the other zones."""
        self._do(lambda: self.simulation.cut(zone, platform=platform, both_ways=both_ways), 0.3)

    @rule()
    def heal_network(self) -> None:
        """All network faults end."""
        self._do(self.simulation.deployment.network.heal)

    @rule(fault=st.sampled_from(["down", "slow", "lossy", "healthy"]))
    def change_store(self, fault: str) -> None:
        """The platform's stores become unavailable or slow, lose responses, or recover."""
        deployment = self.simulation.deployment

        def change() -> None:
            if fault != "healthy":
                self.simulation.oracle.begin_disturbance(deployment.clock.monotonic_s())
            for store in (deployment.table, deployment.objects):
                store.faults.down = fault == "down"
                store.faults.delay_s = 0.4 if fault == "slow" else 0.0
                store.faults.lose_answer_rate = 0.2 if fault == "lossy" else 0.0

        self._do(change, 0.3)

    @rule(duration_s=DURATIONS_S)
    def wait(self, duration_s: float) -> None:
        """Time passes."""
        self._advance(duration_s)

    def teardown(self) -> None:
        """End every fault; all accepted work must then complete."""
        try:
            if hasattr(self, "simulation"):
                self._run(self._finish())
        finally:
            self._runner.close()

    async def _finish(self) -> None:
        await self.simulation.heal()
        await self.simulation.clock.sleep(SETTLE_TIME_S)
        self.simulation.end_disturbances()
        await self.simulation.wait_until_settled()
        try:
            self.simulation.check()
        finally:
            await self.simulation.stop()

    def _background(self, work: Coroutine[Any, Any, Any]) -> None:
        async def begin() -> None:
            self.simulation.spawn(work)
            await self.simulation.clock.sleep(0.05)

        self._run(begin())

    def _do(self, act: Callable[[], Any], then_s: float = 0.1) -> None:
        async def work() -> None:
            act()
            await self.simulation.clock.sleep(then_s)

        self._run(work())

    def _advance(self, duration_s: float) -> None:
        self._run(self.simulation.clock.sleep(duration_s))

    def _run(self, work: Coroutine[Any, Any, Any]) -> None:
        self._runner.run(work)
        if hasattr(self, "simulation") and self.simulation.deployment.daemons:
            self._runner.run(self._checked())

    async def _checked(self) -> None:
        self.simulation.check()


class TrainerMachine(FaultMachine):
    """Adds what trainers do."""

    def __init__(self) -> None:
        super().__init__()
        self._steps = dict.fromkeys(TRAINERS, 0)

    @rule(trainer=TRAINER_NAMES, index=DAEMONS)
    def submit(self, trainer: str, index: int) -> None:
        """A trainer sends its next step, or repeats the last one."""
        step = min(self._steps[trainer] + 1, MAX_STEPS)
        self._background(self._submit(trainer, index, step))

    @rule(trainer=TRAINER_NAMES, index=DAEMONS, lose=st.booleans())
    def poll(self, trainer: str, index: int, lose: bool) -> None:
        """A trainer polls; a lost answer makes it repeat its cursor."""
        self._background(self.simulation.poll(index, trainer, lose=lose))

    @rule(trainer=TRAINER_NAMES, first=DAEMONS, second=DAEMONS)
    def poll_twice(self, trainer: str, first: int, second: int) -> None:
        """A trainer polls at two daemons at once with one cursor."""
        self._background(self.simulation.poll(first, trainer))
        self._background(self.simulation.poll(second, trainer))

    @rule(trainer=TRAINER_NAMES, index=DAEMONS, repeat=st.booleans())
    def grade(self, trainer: str, index: int, repeat: bool) -> None:
        """A trainer grades what it holds, again where it lost the acknowledgement."""
        if repeat:
            self.simulation.trainers[trainer].graded.clear()
        self._background(self.simulation.grade(index, trainer))

    @rule(trainer=TRAINER_NAMES, index=DAEMONS)
    def publish(self, trainer: str, index: int) -> None:
        """A trainer publishes its next version."""
        self._background(self.simulation.publish(index, trainer))

    @rule(trainer=TRAINER_NAMES, index=DAEMONS)
    def overtake(self, trainer: str, index: int) -> None:
        """Three versions overtake a trainer's finished step before it polls."""
        step = min(self._steps[trainer] + 1, MAX_STEPS)

        async def publish() -> None:
            await self._submit(trainer, index, step)
            await self.simulation.clock.sleep(8.0)
            for _ in range(3):
                await self.simulation.publish(index, trainer)
            await self.simulation.poll((index + 1) % 3, trainer)

        self._background(publish())
        self._advance(10.0)

    async def _submit(self, trainer: str, index: int, step: int) -> None:
        if await self.simulation.submit(index, trainer, step_of(trainer, step)):
            self._steps[trainer] = max(step, self._steps[trainer])


class CallerMachine(FaultMachine):
    """Adds what application callers do."""

    def __init__(self) -> None:
        super().__init__()
        self._bookings = 0

    @rule(index=DAEMONS, number=st.integers(0, 20))
    def ask(self, index: int, number: int) -> None:
        """An application caller asks for a generation."""
        self._do(lambda: self.simulation.ask(index, f"which die for envelope {number}"))

    @rule(index=DAEMONS)
    def ask_crashing(self, index: int) -> None:
        """A caller sends a request that crashes engines."""
        self._do(lambda: self.simulation.ask(index, f"a die {CRASH_MARKER}"))

    @rule(index=DAEMONS, number=st.integers(0, 20))
    def ask_truncated(self, index: int, number: int) -> None:
        """A caller asks while every engine drops its end markers for two seconds."""

        async def ask() -> None:
            faults = [engine.faults for engine in self.simulation.deployment.engines.values()]
            for fault in faults:
                fault.drop_end_marker = True
            self.simulation.ask(index, f"which glue for envelope {number}")
            await self.simulation.clock.sleep(2.0)
            for fault in faults:
                fault.drop_end_marker = False

        self._run(ask())

    @rule(index=DAEMONS)
    def look_up(self, index: int) -> None:
        """A caller sends an idempotent call to the plain service."""
        self._do(lambda: self.simulation.book(index, "", "card 7", idempotent=True))

    @rule(first=DAEMONS, second=DAEMONS)
    def book_twice(self, first: int, second: int) -> None:
        """A caller books at one daemon and repeats it at another before it has an answer."""
        self._bookings += 1
        key, body = f"booking-{self._bookings}", f"pallet {self._bookings}"
        self._do(lambda: self.simulation.book(first, key, body), 0.004)
        self._do(lambda: self.simulation.book(second, key, body))


class ServiceMachine(TrainerMachine, CallerMachine):
    """Trainers and callers together."""
