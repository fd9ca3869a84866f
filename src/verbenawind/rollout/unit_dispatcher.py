"""Distributes the generation of samples over this daemon and its peers."""

import asyncio
from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.messages import Value
from verbenawind.kernel.ports import Generator, PeerBus
from verbenawind.kernel.rollouts import Sample
from verbenawind.rollout.sample_generation import SampleGenerator, UnitJob

__all__ = ["UnitDispatcher"]

_GENERATE_CALL = "rollout.generate"
_SLOTS_CALL = "rollout.slots"
_SLOTS_TIMEOUT_S = 1.0
_SLOTS_PERIOD_S = 1.0
_MAX_PEERS = 16
_CALL_MARGIN_S = 5.0
_SILENCE_TIMEOUT_S = 10.0


class _FreeSlotsRequest(Value, frozen=True, kw_only=True):
    """Requests the number of generations of a pool that a peer could start immediately."""

    pool: str


class UnitDispatcher:
    """Assigns jobs to the engines of this daemon or to a peer with more free slots.

    Args:
        sample_generator: Generates samples on this daemon.
        generator: Reports the free slots of this daemon.
        peers: The other daemons.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_generator",
        "_last_seen_s",
        "_log",
        "_peers",
        "_requested_at_s",
        "_sample_generator",
        "_slots",
        "_tasks",
        "peer_jobs",
    )

    def __init__(
        self, sample_generator: SampleGenerator, generator: Generator, peers: PeerBus, clock: Clock
    ) -> None:
        self._sample_generator = sample_generator
        self._generator = generator
        self._peers = peers
        self._clock = clock
        self._slots: dict[tuple[str, str], int] = {}
        self._requested_at_s: dict[str, float] = {}
        self._last_seen_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.peer_jobs = 0
        self._log = structlog.get_logger("rollout")
        peers.on_call(_GENERATE_CALL, self._serve_generate)
        peers.on_call(_SLOTS_CALL, self._serve_slots)

    def refresh_slots(self, pool: str) -> None:
        """Request the free slots of the peers, at most once per period."""
        now_s = self._clock.monotonic_s()
        if now_s - self._requested_at_s.get(pool, -_SLOTS_PERIOD_S) < _SLOTS_PERIOD_S:
            return
        self._requested_at_s[pool] = now_s
        for peer_id in self._eligible_peers():
            task = asyncio.get_running_loop().create_task(self._request_free_slots(peer_id, pool))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel outstanding requests for free slots."""
        for task in self._tasks:
            task.cancel()

    async def _request_free_slots(self, peer_id: str, pool: str) -> None:
        body = msgspec.msgpack.encode(_FreeSlotsRequest(pool=pool))
        try:
            reply = await self._peers.call(peer_id, _SLOTS_CALL, body, _SLOTS_TIMEOUT_S)
            self._slots[peer_id, pool] = msgspec.msgpack.decode(reply, type=int)
            self._last_seen_s[peer_id] = self._clock.monotonic_s()
        except PeerUnreachable:
            self._slots.pop((peer_id, pool), None)

    def total_free_slots(self, pool: str) -> int:
        """Return how many samples this daemon and its peers could start immediately."""
        peer_ids = self._eligible_peers()
        return self._generator.free_slots(pool) + sum(
            self._slots.get((peer_id, pool), 0) for peer_id in peer_ids
        )

    async def generate_samples(self, job: UnitJob) -> tuple[Sample, ...]:
        """Generate the samples of a job on this daemon or a peer.

        If the peer is lost, the samples are generated on this daemon.

        Raises:
            DeadlineExceeded: The timeout of the job expired.
        """
        peer_id = self._choose_peer(job)
        if peer_id is None:
            return await self._sample_generator.generate_samples(job)
        slots_key = (peer_id, job.model.pool)
        self._slots[slots_key] = self._slots.get(slots_key, 0) - len(job.members)
        try:
            reply = await self._run_on_peer(peer_id, job)
            self._slots[slots_key] = self._slots.get(slots_key, 0) + len(job.members)
            return msgspec.msgpack.decode(reply, type=tuple[Sample, ...])
        except PeerUnreachable as error:
            self._slots.pop(slots_key, None)
            self._log.warning("peer_lost_job", peer_id=peer_id, error=error.message)
            return await self._sample_generator.generate_samples(job)

    async def _run_on_peer(self, peer_id: str, job: UnitJob) -> bytes:
        """Run a job on a peer, as long as the peer is considered alive.

        Raises:
            PeerUnreachable: The peer left, became silent or did not respond.
        """
        body, timeout_s = msgspec.msgpack.encode(job), job.timeout_s + _CALL_MARGIN_S
        loop = asyncio.get_running_loop()
        reply_task = loop.create_task(self._peers.call(peer_id, _GENERATE_CALL, body, timeout_s))
        loss_task = loop.create_task(self._wait_until_lost(peer_id))
        try:
            await asyncio.wait({reply_task, loss_task}, return_when=asyncio.FIRST_COMPLETED)
            if reply_task.done():
                return reply_task.result()
        finally:
            reply_task.cancel()
            loss_task.cancel()
        raise PeerUnreachable(
            f"peer {peer_id!r} left or stopped responding (call {_GENERATE_CALL!r})"
        )

    async def _wait_until_lost(self, peer_id: str) -> None:
        """Return once a peer has left or has not responded for ``_SILENCE_TIMEOUT_S``."""
        self._last_seen_s[peer_id] = self._clock.monotonic_s()
        while any(peer.peer_id == peer_id for peer in self._peers.peers()):
            if self._clock.monotonic_s() - self._last_seen_s[peer_id] > _SILENCE_TIMEOUT_S:
                return
            await self._clock.sleep(_SLOTS_PERIOD_S)

    def _choose_peer(self, job: UnitJob) -> str | None:
        pool, needed_slots = job.model.pool, len(job.members)
        local_slots = self._generator.free_slots(pool)
        free_by_peer = {
            peer_id: self._slots.get((peer_id, pool), 0)
            for peer_id in self._eligible_peers()
            if self._slots.get((peer_id, pool), 0) > local_slots
        }
        best_peer = max(
            free_by_peer, key=lambda peer_id: (free_by_peer[peer_id], peer_id), default=None
        )
        chosen_peer = None if local_slots >= needed_slots else best_peer
        self._log.info(
            "unit_placed",
            step=job.step,
            unit=job.unit,
            generation=job.generation,
            samples=needed_slots,
            chosen=chosen_peer or self._peers.peer_id,
            free_here=local_slots,
            free_there=free_by_peer.get(best_peer, 0) if best_peer else 0,
            reason="enough local slots" if local_slots >= needed_slots else "most free slots",
        )
        return chosen_peer

    def _eligible_peers(self) -> Sequence[str]:
        peers = sorted(self._peers.peers(), key=lambda peer: peer.peer_id)
        return [peer.peer_id for peer in peers[:_MAX_PEERS]]

    async def _serve_generate(self, body: bytes) -> bytes:
        job = msgspec.msgpack.decode(body, type=UnitJob)
        self.peer_jobs += 1
        try:
            return msgspec.msgpack.encode(await self._sample_generator.generate_samples(job))
        finally:
            self.peer_jobs -= 1

    async def _serve_slots(self, body: bytes) -> bytes:
        request = msgspec.msgpack.decode(body, type=_FreeSlotsRequest)
        return msgspec.msgpack.encode(max(0, self._generator.free_slots(request.pool)))
