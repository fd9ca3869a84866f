"""Spreads the making of samples over daemons: this one and its peers."""

import asyncio
from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.messages import Value
from verbenawind.kernel.ports import Generator, PeerBus
from verbenawind.kernel.rollouts import Sample
from verbenawind.rollout.drafts import SampleGenerator, UnitJob

__all__ = ["Workforce"]

_GENERATE = "rollout.generate"
_SLOTS = "rollout.slots"
_SLOTS_TIMEOUT_S = 1.0
_SLOTS_PERIOD_S = 1.0
_MAX_HELPERS = 16
_CALL_MARGIN_S = 5.0
_SILENT_S = 10.0


class _SlotsQuestion(Value, frozen=True, kw_only=True):
    """Asks a peer how many more generations of a pool it would start at once."""

    pool: str


class Workforce:
    """Hands jobs to this daemon's engines, or to a peer with more free slots.

    Args:
        maker: Makes samples here.
        generator: Knows this daemon's free slots.
        peers: The other daemons.
        clock: Time source.
    """

    __slots__ = (
        "_asked_at_s",
        "_clock",
        "_generator",
        "_heard_at_s",
        "_log",
        "_maker",
        "_peers",
        "_slots",
        "_tasks",
        "serving",
    )

    def __init__(
        self, maker: SampleGenerator, generator: Generator, peers: PeerBus, clock: Clock
    ) -> None:
        self._maker = maker
        self._generator = generator
        self._peers = peers
        self._clock = clock
        self._slots: dict[tuple[str, str], int] = {}
        self._asked_at_s: dict[str, float] = {}
        self._heard_at_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.serving = 0
        self._log = structlog.get_logger("rollout")
        peers.on_call(_GENERATE, self._serve_generate)
        peers.on_call(_SLOTS, self._serve_slots)

    def refresh(self, pool: str) -> None:
        """Begin to ask the peers for their free slots, at most once in a period."""
        now_s = self._clock.monotonic_s()
        if now_s - self._asked_at_s.get(pool, -_SLOTS_PERIOD_S) < _SLOTS_PERIOD_S:
            return
        self._asked_at_s[pool] = now_s
        for peer_id in self._helpers():
            task = asyncio.get_running_loop().create_task(self._ask(peer_id, pool))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Stop asking peers."""
        for task in self._tasks:
            task.cancel()

    async def _ask(self, peer_id: str, pool: str) -> None:
        body = msgspec.msgpack.encode(_SlotsQuestion(pool=pool))
        try:
            reply = await self._peers.call(peer_id, _SLOTS, body, _SLOTS_TIMEOUT_S)
            self._slots[peer_id, pool] = msgspec.msgpack.decode(reply, type=int)
            self._heard_at_s[peer_id] = self._clock.monotonic_s()
        except PeerUnreachable:
            self._slots.pop((peer_id, pool), None)

    def free(self, pool: str) -> int:
        """Return how many samples could start at once, here and at peers."""
        helpers = self._helpers()
        return self._generator.free_slots(pool) + sum(
            self._slots.get((peer_id, pool), 0) for peer_id in helpers
        )

    async def generate_samples(self, job: UnitJob) -> tuple[Sample, ...]:
        """Make a job's samples where slots are free.

        Raises:
            DeadlineExceeded: The job's time is over.
        """
        peer_id = self._choose(job)
        if peer_id is None:
            return await self._maker.generate_samples(job)
        slot = (peer_id, job.model.pool)
        self._slots[slot] = self._slots.get(slot, 0) - len(job.members)
        try:
            reply = await self._call(peer_id, job)
            self._slots[slot] = self._slots.get(slot, 0) + len(job.members)
            return msgspec.msgpack.decode(reply, type=tuple[Sample, ...])
        except PeerUnreachable as error:
            self._slots.pop(slot, None)
            self._log.warning("peer_lost_job", peer_id=peer_id, error=error.message)
            return await self._maker.generate_samples(job)

    async def _call(self, peer_id: str, job: UnitJob) -> bytes:
        """Have a peer make a job, as long as the peer is believed to be alive.

        Raises:
            PeerUnreachable: The peer is gone, or gave no reply.
        """
        body, timeout_s = msgspec.msgpack.encode(job), job.timeout_s + _CALL_MARGIN_S
        loop = asyncio.get_running_loop()
        calling = loop.create_task(self._peers.call(peer_id, _GENERATE, body, timeout_s))
        watching = loop.create_task(self._until_gone(peer_id))
        try:
            await asyncio.wait({calling, watching}, return_when=asyncio.FIRST_COMPLETED)
            if calling.done():
                return calling.result()
        finally:
            calling.cancel()
            watching.cancel()
        raise PeerUnreachable(f"peer {peer_id!r} is gone (call {_GENERATE!r})")

    async def _until_gone(self, peer_id: str) -> None:
        """Return once a peer has left, or has not answered for some time."""
        self._heard_at_s[peer_id] = self._clock.monotonic_s()
        while any(peer.peer_id == peer_id for peer in self._peers.peers()):
            if self._clock.monotonic_s() - self._heard_at_s[peer_id] > _SILENT_S:
                return
            await self._clock.sleep(_SLOTS_PERIOD_S)

    def _choose(self, job: UnitJob) -> str | None:
        pool, wanted = job.model.pool, len(job.members)
        here = self._generator.free_slots(pool)
        free = {
            peer_id: self._slots.get((peer_id, pool), 0)
            for peer_id in self._helpers()
            if self._slots.get((peer_id, pool), 0) > here
        }
        best = max(free, key=lambda peer_id: (free[peer_id], peer_id), default=None)
        chosen = None if here >= wanted else best
        self._log.info(
            "unit_placed",
            step=job.step,
            unit=job.unit,
            generation=job.generation,
            samples=wanted,
            chosen=chosen or self._peers.peer_id,
            free_here=here,
            free_there=free.get(best, 0) if best else 0,
            reason="slots free here" if here >= wanted else "most free slots",
        )
        return chosen

    def _helpers(self) -> Sequence[str]:
        peers = sorted(self._peers.peers(), key=lambda peer: peer.peer_id)
        return [peer.peer_id for peer in peers[:_MAX_HELPERS]]

    async def _serve_generate(self, body: bytes) -> bytes:
        job = msgspec.msgpack.decode(body, type=UnitJob)
        self.serving += 1
        try:
            return msgspec.msgpack.encode(await self._maker.generate_samples(job))
        finally:
            self.serving -= 1

    async def _serve_slots(self, body: bytes) -> bytes:
        question = msgspec.msgpack.decode(body, type=_SlotsQuestion)
        return msgspec.msgpack.encode(max(0, self._generator.free_slots(question.pool)))
