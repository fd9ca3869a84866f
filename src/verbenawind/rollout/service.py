"""The trainer's interface, put together: steps, polls, versions, grades and their holders."""

import asyncio
from random import Random

import msgspec

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, TrainerSpec
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import Value
from verbenawind.kernel.ports import (
    BackendClients,
    Generator,
    Leases,
    ObjectStore,
    PeerBus,
    TableStore,
)
from verbenawind.kernel.rollouts import (
    GradesAccepted,
    GradeSubmission,
    PollRequest,
    PollResponse,
    PublishedVersion,
    StepAccepted,
    StepSubmission,
    VersionAccepted,
)
from verbenawind.metrics import Metrics
from verbenawind.rollout.acceptance import StepAcceptor
from verbenawind.rollout.delivery import PollHandler
from verbenawind.rollout.drafts import SampleGenerator, TokenCounts
from verbenawind.rollout.grades import GradeBook
from verbenawind.rollout.holder import StepHolder
from verbenawind.rollout.holder_parts import HolderParts
from verbenawind.rollout.policy import RolloutPolicy
from verbenawind.rollout.scoring import Scorer
from verbenawind.rollout.versions import VersionRegistry
from verbenawind.rollout.workforce import Workforce

__all__ = ["Rollouts"]

_WAITING = "rollout.waiting"
_WAITING_TIMEOUT_S = 1.0
_WAITING_PERIOD_S = 1.0
_DRAIN_LOOK_S = 0.1


class _Waiting(Value, frozen=True, kw_only=True):
    """Tells the holder of a trainer's steps that the trainer waits for samples."""

    environment: str
    trainer: str


class Rollouts:
    """Implements the RolloutService port.

    Args:
        table: The table service's client.
        objects: The object store's client.
        leases: The lease manager.
        generator: Runs the generations.
        peers: The other daemons.
        fleet: The view of the backend servers.
        clients: Clients of the scoring services.
        clock: Time source.
        rng: Jitter of retries.
        metrics: Counts idle time and staleness.
        policy: Which policies are in use.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        objects: ObjectStore,
        leases: Leases,
        generator: Generator,
        peers: PeerBus,
        fleet: Fleet,
        clients: BackendClients,
        clock: Clock,
        rng: Random,
        metrics: Metrics | None = None,
        policy: RolloutPolicy | None = None,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self.tokens = TokenCounts()
        self.versions = VersionRegistry(table, peers, clock)
        self._acceptance = StepAcceptor(table, objects)
        self._grades = GradeBook(table, objects, clock, rng)
        self._scorer = Scorer(
            fleet=fleet,
            clients=clients,
            grades=self._grades,
            objects=objects,
            clock=clock,
            rng=rng,
        )
        self._poll_handler = PollHandler(
            table, objects, self.versions, clock, rng, self._note_waiting, metrics or Metrics()
        )
        policy = policy or RolloutPolicy()
        maker = SampleGenerator(
            generator,
            self.versions,
            clock,
            self.tokens,
            move_stragglers=policy.move_stragglers,
        )
        self._workforce = Workforce(maker, generator, peers, clock)
        self._parts = HolderParts(
            table=table,
            objects=objects,
            leases=leases,
            versions=self.versions,
            workforce=self._workforce,
            scorer=self._scorer,
            peers=peers,
            clock=clock,
            rng=rng,
            policy=policy,
            fleet=fleet,
        )
        self._holders: dict[tuple[str, str], StepHolder] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._told_at_s: dict[tuple[str, str], float] = {}
        peers.on_call(_WAITING, self._serve_waiting)

    def apply(self, revision: EnvironmentRevision) -> None:
        """Hold the steps of a revision's trainers from now on, and of no others."""
        wanted = {(revision.name, trainer.name) for trainer in revision.document.trainers}
        for key in [key for key in self._holders if key[0] == revision.name and key not in wanted]:
            self._holders.pop(key).drain()
        for trainer in revision.document.trainers:
            model = revision.document.model(trainer.model)
            if model is not None:
                self._hold((revision.name, trainer.name), revision, trainer, model)

    async def stop(self) -> None:
        """Let samples in progress finish and be committed, then give the leases back."""
        self._poll_handler.stop()
        for holder in self._holders.values():
            holder.drain()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        while self._workforce.serving:
            await self._clock.sleep(_DRAIN_LOOK_S)
        self._workforce.stop()
        await self._scorer.stop()

    async def kill(self) -> None:
        """Stop at once, as a crash would."""
        self._poll_handler.stop()
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        self._workforce.stop()
        await self._scorer.stop()

    async def submit_step(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, submission: StepSubmission
    ) -> StepAccepted:
        """Accept a step durably; raises StepConflict when it comes again with other content."""
        accepted = await self._acceptance.submit(revision, trainer, submission)
        holder = self._holders.get((revision.name, trainer.name))
        if holder is not None:
            holder.note_submitted()
        return accepted

    async def poll(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, request: PollRequest
    ) -> PollResponse:
        """Return what follows the cursor, waiting up to ``wait_s`` for something."""
        return await self._poll_handler.poll(revision, trainer, request)

    async def publish_version(
        self, revision: EnvironmentRevision, model: ModelSpec, version: PublishedVersion
    ) -> VersionAccepted:
        """Record a new weight version durably; an older one changes nothing."""
        return await self.versions.publish(revision, model, version)

    async def submit_grades(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, grades: GradeSubmission
    ) -> GradesAccepted:
        """Record grades durably; raises GradeConflict when a grade changes its value."""
        return await self._grades.submit(revision, trainer, grades)

    def _hold(
        self,
        key: tuple[str, str],
        revision: EnvironmentRevision,
        trainer: TrainerSpec,
        model: ModelSpec,
    ) -> None:
        known = self._holders.get(key)
        if known is not None:
            known.configure(revision, trainer, model)
            return
        holder = StepHolder(revision, trainer, model, self._parts)
        self._holders[key] = holder
        self._tasks[key] = asyncio.get_running_loop().create_task(holder.run())

    async def _note_waiting(
        self, revision: EnvironmentRevision, trainer: TrainerSpec, holder_id: str
    ) -> None:
        key = (revision.name, trainer.name)
        if holder_id in ("", self._peers.peer_id):
            self._take_waiting(key)
        now_s = self._clock.monotonic_s()
        due = now_s - self._told_at_s.get(key, -_WAITING_PERIOD_S) >= _WAITING_PERIOD_S
        if not due or holder_id in ("", self._peers.peer_id):
            return
        self._told_at_s[key] = now_s
        body = msgspec.msgpack.encode(_Waiting(environment=revision.name, trainer=trainer.name))
        try:
            await self._peers.call(holder_id, _WAITING, body, _WAITING_TIMEOUT_S)
        except PeerUnreachable:
            return

    async def _serve_waiting(self, body: bytes) -> bytes:
        waiting = msgspec.msgpack.decode(body, type=_Waiting)
        self._take_waiting((waiting.environment, waiting.trainer))
        return b""

    def _take_waiting(self, key: tuple[str, str]) -> None:
        holder = self._holders.get(key)
        if holder is not None:
            holder.record_waiting()
