"""A simulated deployment with its clients, whose observations the oracle checks."""

import asyncio
from collections.abc import Sequence
from random import Random

import msgspec

from verbenawind import ids
from verbenawind.document import EnvironmentDocument, Stage
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.network import PLATFORM
from verbenawind.standins.oracle import TrainerBounds
from verbenawind.standins.simulated_clients import SimulatedClients

__all__ = ["Simulation", "with_idle_weight"]

SETTLE_TIMEOUT_S = 180.0
_RETRY_S = 0.3


class Simulation(SimulatedClients):
    """A simulated deployment with its clients; create it inside a running event loop.

    Args:
        seed: Seed of all randomness, including identifiers.
        document: Environment document, submitted by ``start``.
        daemons: Number of daemons, distributed round-robin over the availability zones.
        regions: Regions, each with one availability zone.
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
            Deployment(seed, regions), document, [f"daemon-{index}" for index in range(daemons)]
        )
        self._start_counts: dict[str, int] = {}

    async def start(self) -> None:
        """Start the daemons and submit the document."""
        for index in range(len(self.daemon_ids)):
            await self.start_daemon(index)
        await self.accept(0, self.document)
        for spec in self.document.trainers:
            model = self.document.model(spec.model)
            assert model is not None
            bounds = TrainerBounds(model=spec.model, max_versions=model.staleness.max_versions)
            self.oracle.register_trainer(spec.name, bounds)
        await self.clock.sleep(2.0)

    # Daemons.

    async def start_daemon(self, index: int) -> None:
        """Start a daemon, unless it is running."""
        daemon_id = self.daemon_ids[index]
        if daemon_id in self._calls:
            return
        core = self.deployment.add_daemon(daemon_id, zone_index=index)
        self._calls[daemon_id] = set()
        self._start_counts[daemon_id] = self._start_counts.get(daemon_id, 0) + 1
        await core.start()

    async def kill_daemon(self, index: int) -> None:
        """Kill a daemon: its calls are cancelled and it releases nothing."""
        daemon_id = self.daemon_ids[index]
        calls = self._calls.pop(daemon_id, None)
        if calls is None:
            return
        self.oracle.begin_disturbance(self.clock.monotonic_s())
        for call in calls:
            call.cancel()
        self.deployment.processes[daemon_id].resume()
        await self.deployment.daemons[daemon_id].kill()

    async def stop_daemon(self, index: int) -> None:
        """Shut a daemon down gracefully; calls still in flight afterwards are interrupted."""
        daemon_id = self.daemon_ids[index]
        core = self.deployment.daemons[daemon_id]
        if daemon_id not in self._calls or not core.ready:
            return
        core.ready = False
        trainers = [call for call in self._calls[daemon_id] if _is_trainer_call(call.get_name())]
        if trainers:
            await asyncio.wait(trainers, timeout=SETTLE_TIMEOUT_S)
        await core.dispatcher.drain()
        await core.stop()
        for call in list(self._calls.pop(daemon_id, ())):
            self.oracle.call_interrupted(
                call.get_name(), f"{daemon_id} stopped before the call completed"
            )
            call.cancel()

    def running(self, index: int) -> bool:
        """Return whether a daemon accepts calls."""
        return self.daemon_ids[index] in self._calls

    # Faults.

    def cut(self, zone_index: int, *, platform: bool, both_ways: bool = True) -> None:
        """Partition a zone from the platform or from the other zones."""
        self.oracle.begin_disturbance(self.clock.monotonic_s())
        zone = self.deployment.locations[zone_index].zone
        if platform:
            self.deployment.network.cut(zone, PLATFORM, both_ways=both_ways)
            return
        for location in self.deployment.locations:
            if location.zone != zone:
                self.deployment.network.cut(zone, location.zone, both_ways=both_ways)

    def pause(self, index: int) -> None:
        """Pause a daemon's process."""
        self.oracle.begin_disturbance(self.clock.monotonic_s())
        self.deployment.processes[self.daemon_ids[index]].pause()

    def resume(self, index: int) -> None:
        """Resume a paused daemon."""
        self.deployment.processes[self.daemon_ids[index]].resume()

    def leave(self, server_id: str) -> None:
        """Mark a backend server as leaving in the platform's host list."""
        self.deployment.hosts.mark_leaving(server_id)
        self.oracle.server_leaving(
            server_id, self.clock.monotonic_s() + self.deployment.hosts.lag_s
        )

    # Checks.

    def observe_revisions(self) -> None:
        """Report to the oracle the revision that every ready daemon considers active."""
        for index, daemon_id in enumerate(self.daemon_ids):
            core = self.deployment.daemons.get(daemon_id)
            if core is None or not self.running(index) or not core.ready:
                continue
            seen = core.configuration.current(self.document.environment, str(Stage.PRODUCTION))
            self.oracle.revision_observed(
                daemon_id,
                self._start_counts[daemon_id],
                self.revision.name,
                seen,
                self.clock.monotonic_s(),
            )

    def check(self) -> None:
        """Raise AssertionError if a guarantee was violated."""
        self.collect()
        self.observe_revisions()
        violations = self.oracle.find_violations()
        if violations:
            lines = [f"{violation.promise}: {violation.what}" for violation in violations[:8]]
            raise AssertionError("\n".join(lines))

    async def heal(self) -> None:
        """Remove all faults and restart all engines and daemons that are down."""
        deployment = self.deployment
        deployment.network.heal()
        deployment.network.loss_rate = 0.0
        for store in (deployment.table, deployment.objects):
            store.faults.down = False
            store.faults.delay_s = 0.0
            store.faults.lose_answer_rate = 0.0
            store.faults.lose_next_answers = 0
        deployment.hosts.down = False
        for engine in deployment.engines.values():
            engine.faults.unreachable = engine.faults.stalled = engine.faults.drop_end_marker = (
                False
            )
            engine.faults.fail_next_swaps = 0
        self._restart_engines()
        for service in deployment.services.values():
            service.unreachable = False
            service.lose_next_answers = 0
        for process in deployment.processes.values():
            process.resume()
        for index in range(len(self.daemon_ids)):
            await self.start_daemon(index)

    def end_disturbances(self) -> None:
        """Tell the oracle that all faults and their after-effects have ended."""
        self.oracle.end_disturbances(self.clock.monotonic_s())

    async def wait_until_settled(self, timeout_s: float = SETTLE_TIMEOUT_S) -> None:
        """Wait for all clients to finish; a call or delivery that does not violates liveness."""
        await self._wait_for_background_calls()
        ends_at_s = self.clock.monotonic_s() + timeout_s
        turn = 0
        while self.oracle.undelivered() and self.clock.monotonic_s() < ends_at_s:
            for name in self.trainers:
                turn += 1
                await self.poll(turn % len(self.daemon_ids), name)
            self._restart_engines()
            await self.clock.sleep(_RETRY_S)
        for name, missing in self.oracle.undelivered().items():
            self.oracle.report_unfinished(
                f"trainer {name} is missing {len(missing)} deliveries: {missing[:4]}"
            )
        self.observe_revisions()
        for index in range(len(self.daemon_ids)):
            if not self.deployment.daemons[self.daemon_ids[index]].ready:
                self.oracle.report_unfinished(f"{self.daemon_ids[index]} is not ready")

    async def stop(self) -> None:
        """Kill every daemon, cancel background calls and stop the engines."""
        for index in range(len(self.daemon_ids)):
            self.deployment.processes[self.daemon_ids[index]].resume()
            await self.kill_daemon(index)
        for task in self._background:
            task.cancel()
        await self.deployment.stop()

    async def _wait_for_background_calls(self) -> None:
        """Wait for calls and shutdowns that started during faults, then start stopped daemons."""
        if self._background:
            _, pending = await asyncio.wait(set(self._background), timeout=SETTLE_TIMEOUT_S)
            for call in pending:
                self.oracle.report_unfinished(f"call {call.get_name()} did not complete")
        for index in range(len(self.daemon_ids)):
            await self.start_daemon(index)

    def _restart_engines(self) -> None:
        for engine in self.deployment.engines.values():
            if engine.down:
                engine.restart()


def with_idle_weight(document: EnvironmentDocument, idle_weight: float) -> EnvironmentDocument:
    """Return a copy of the document with another idle weight and hence another digest."""
    return msgspec.structs.replace(document, trainer_idle_weight=idle_weight)


def _is_trainer_call(call: str) -> bool:
    """Return whether a call is a trainer's, which the HTTP server awaits, not the dispatcher."""
    return not call.startswith(("ask-", "book-"))


class _SeededSecrets:
    """Replaces the module ``secrets`` to make the identifiers of a run reproducible."""

    def __init__(self, seed: int) -> None:
        self._rng = Random(seed)

    def token_hex(self, size: int) -> str:
        return self._rng.randbytes(size).hex()


def _seed_identifiers(seed: int) -> None:
    vars(ids)["secrets"] = _SeededSecrets(seed)
