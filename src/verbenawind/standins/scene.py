"""Trainers, callers and operators around a world, all watched by the oracle."""

import asyncio
from collections.abc import Sequence
from random import Random

import msgspec

from verbenawind import ids
from verbenawind.document import EnvironmentDocument, Stage
from verbenawind.standins.network import PLATFORM
from verbenawind.standins.oracle import TrainerTerms
from verbenawind.standins.parties import Parties
from verbenawind.standins.world import World

__all__ = ["Scene", "with_weights"]

QUIET_BOUND_S = 180.0
_RETRY_S = 0.3


class Scene(Parties):
    """A world with its outside parties; make it inside a loop.

    Args:
        seed: Seed of all randomness, that of identifiers too.
        document: The environment document, accepted on start.
        daemons: How many daemons run, one availability zone after another.
        regions: The regions, each with one availability zone.
    """

    def __init__(
        self,
        seed: int,
        document: EnvironmentDocument,
        *,
        daemons: int = 3,
        regions: Sequence[str] = ("bangkok", "chiang-mai", "hat-yai"),
    ) -> None:
        _seed_identifiers(seed)
        super().__init__(
            World(seed, regions), document, [f"daemon-{index}" for index in range(daemons)]
        )
        self._lives: dict[str, int] = {}

    async def start(self) -> None:
        """Start the daemons and accept the document."""
        for index in range(len(self.daemon_ids)):
            await self.start_daemon(index)
        await self.accept(0, self.document)
        for spec in self.document.trainers:
            model = self.document.model(spec.model)
            assert model is not None
            terms = TrainerTerms(model=spec.model, max_versions=model.staleness.max_versions)
            self.oracle.trainer(spec.name, terms)
        await self.clock.sleep(2.0)

    # Daemons.

    async def start_daemon(self, index: int) -> None:
        """Start a daemon that is not running."""
        daemon_id = self.daemon_ids[index]
        if daemon_id in self._calls:
            return
        core = self.world.add_daemon(daemon_id, zone_index=index)
        self._calls[daemon_id] = set()
        self._lives[daemon_id] = self._lives.get(daemon_id, 0) + 1
        await core.start()

    async def kill_daemon(self, index: int) -> None:
        """Kill a daemon: connections break and nothing is given back."""
        daemon_id = self.daemon_ids[index]
        calls = self._calls.pop(daemon_id, None)
        if calls is None:
            return
        self.oracle.disturb(self.clock.monotonic_s())
        for call in calls:
            call.cancel()
        self.world.processes[daemon_id].resume()
        await self.world.daemons[daemon_id].kill()

    async def stop_daemon(self, index: int) -> None:
        """Shut a daemon down gracefully; what is still in flight at its end is interrupted."""
        daemon_id = self.daemon_ids[index]
        core = self.world.daemons[daemon_id]
        if daemon_id not in self._calls or not core.ready:
            return
        core.ready = False
        trainers = [call for call in self._calls[daemon_id] if _is_trainers(call.get_name())]
        if trainers:
            await asyncio.wait(trainers, timeout=QUIET_BOUND_S)
        await core.dispatcher.drain()
        await core.stop()
        for call in list(self._calls.pop(daemon_id, ())):
            self.oracle.interrupted(call.get_name(), f"{daemon_id} stopped before it ended")
            call.cancel()

    def running(self, index: int) -> bool:
        """Return whether a daemon takes calls."""
        return self.daemon_ids[index] in self._calls

    # Faults.

    def cut(self, zone_index: int, *, platform: bool, both_ways: bool = True) -> None:
        """Cut a zone off from the platform, or from the other zones."""
        self.oracle.disturb(self.clock.monotonic_s())
        zone = self.world.locations[zone_index].zone
        if platform:
            self.world.network.cut(zone, PLATFORM, both_ways=both_ways)
            return
        for location in self.world.locations:
            if location.zone != zone:
                self.world.network.cut(zone, location.zone, both_ways=both_ways)

    def pause(self, index: int) -> None:
        """Pause a daemon's process."""
        self.oracle.disturb(self.clock.monotonic_s())
        self.world.processes[self.daemon_ids[index]].pause()

    def resume(self, index: int) -> None:
        """Let a paused daemon go on."""
        self.world.processes[self.daemon_ids[index]].resume()

    def leave(self, server_id: str) -> None:
        """Let the platform list a backend server as leaving."""
        self.world.hosts.mark_leaving(server_id)
        self.oracle.leaving(server_id, self.clock.monotonic_s() + self.world.hosts.lag_s)

    # Judgement.

    def look(self) -> None:
        """Show the oracle what every ready daemon says is in force."""
        for index, daemon_id in enumerate(self.daemon_ids):
            core = self.world.daemons.get(daemon_id)
            if core is None or not self.running(index) or not core.ready:
                continue
            seen = core.configuration.current(self.document.environment, str(Stage.PRODUCTION))
            self.oracle.revision_seen(
                daemon_id,
                self._lives[daemon_id],
                self.revision.name,
                seen,
                self.clock.monotonic_s(),
            )

    def check(self) -> None:
        """Raise AssertionError when a promise was broken."""
        self.collect()
        self.look()
        violations = self.oracle.judge()
        if violations:
            lines = [f"{violation.promise}: {violation.what}" for violation in violations[:8]]
            raise AssertionError("\n".join(lines))

    async def heal(self) -> None:
        """Take every fault away and start what does not run."""
        world = self.world
        world.network.heal()
        world.network.loss_rate = 0.0
        for store in (world.table, world.objects):
            store.faults.down = False
            store.faults.delay_s = 0.0
            store.faults.lose_answer_rate = 0.0
            store.faults.lose_next_answers = 0
        world.hosts.down = False
        for engine in world.engines.values():
            engine.faults.unreachable = engine.faults.stalled = engine.faults.drop_end_mark = False
            engine.faults.fail_next_swaps = 0
        self._restart_engines()
        for service in world.services.values():
            service.unreachable = False
            service.lose_next_answers = 0
        for process in world.processes.values():
            process.resume()
        for index in range(len(self.daemon_ids)):
            await self.start_daemon(index)

    def calm(self) -> None:
        """Tell the oracle that no fault is left and its after-effects are over."""
        self.oracle.calm(self.clock.monotonic_s())

    async def quiet(self, bound_s: float = QUIET_BOUND_S) -> None:
        """Let trainers and callers finish; what does not end in time breaks liveness."""
        await self._settle()
        ends_at_s = self.clock.monotonic_s() + bound_s
        turn = 0
        while self.oracle.missing() and self.clock.monotonic_s() < ends_at_s:
            for name in self.trainers:
                turn += 1
                await self.poll(turn % len(self.daemon_ids), name)
            self._restart_engines()
            await self.clock.sleep(_RETRY_S)
        for name, lacks in self.oracle.missing().items():
            self.oracle.unfinished(f"trainer {name} still lacks {len(lacks)}: {lacks[:4]}")
        self.look()
        for index in range(len(self.daemon_ids)):
            if not self.world.daemons[self.daemon_ids[index]].ready:
                self.oracle.unfinished(f"{self.daemon_ids[index]} is not ready")

    async def stop(self) -> None:
        """Kill everything."""
        for index in range(len(self.daemon_ids)):
            self.world.processes[self.daemon_ids[index]].resume()
            await self.kill_daemon(index)
        for task in self._background:
            task.cancel()
        await self.world.stop()

    async def _settle(self) -> None:
        """Wait for calls and shutdowns that began under faults, then start what stopped."""
        if self._background:
            _, pending = await asyncio.wait(set(self._background), timeout=QUIET_BOUND_S)
            for call in pending:
                self.oracle.unfinished(f"call {call.get_name()} never ended")
        for index in range(len(self.daemon_ids)):
            await self.start_daemon(index)

    def _restart_engines(self) -> None:
        for engine in self.world.engines.values():
            if engine.down:
                engine.restart()


def with_weights(document: EnvironmentDocument, idle_weight: float) -> EnvironmentDocument:
    """Return a document that differs in one weight, so that its revision has another digest."""
    return msgspec.structs.replace(document, trainer_idle_weight=idle_weight)


def _is_trainers(call: str) -> bool:
    """Return whether the HTTP server, and not the dispatcher, waits for a call."""
    return not call.startswith(("ask-", "book-"))


class _SeededTokens:
    """Stands in for the module ``secrets`` so that a run's identifiers repeat."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)

    def token_hex(self, size: int) -> str:
        return self._rng.randbytes(size).hex()


def _seed_identifiers(seed: int) -> None:
    vars(ids)["secrets"] = _SeededTokens(seed)
