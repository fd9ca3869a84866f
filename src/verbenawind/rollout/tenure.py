"""One daemon's hold on one trainer's steps: contending for the lease, and losing it."""

import structlog

from verbenawind.kernel.ports import Lease
from verbenawind.kernel.rendezvous import top
from verbenawind.rollout.commits import TrainerContext
from verbenawind.rollout.holder_parts import HolderParts

__all__ = ["ACQUIRE_PERIOD_S", "Tenure"]

ACQUIRE_PERIOD_S = 1.0
_LEASE_S = 30.0
_CONTENDERS = 3


class Tenure:
    """Holds the trainer's lease while it can.

    Args:
        state: The trainer.
        parts: What all holders share.
    """

    __slots__ = ("_context", "_log", "_next_acquire_s", "_parts", "epoch", "lease")

    def __init__(self, context: TrainerContext, parts: HolderParts) -> None:
        self._context = context
        self._parts = parts
        self._next_acquire_s = 0.0
        self._log = structlog.get_logger("rollout")
        self.lease: Lease | None = None
        self.epoch = 0

    @property
    def is_held(self) -> bool:
        """Whether the lease is surely held."""
        return self.lease is not None and self.lease.remaining_s() > 0

    def notice_lapse(self) -> bool:
        """Forget a lease that has run out; return whether there was one."""
        if self.lease is None or self.is_held:
            return False
        self._log.warning("lease_lapsed", trainer=self._context.trainer.name)
        self.lease = None
        return True

    def is_due(self) -> bool:
        """Return whether it is time to try again, and if so put the next time off."""
        now_s = self._parts.clock.monotonic_s()
        if now_s < self._next_acquire_s:
            return False
        self._next_acquire_s = now_s + self._parts.rng.uniform(0.5, 1.5) * ACQUIRE_PERIOD_S
        return self._is_contender()

    async def acquire(self) -> bool:
        """Try to get the lease and return whether it is held now."""
        self.lease = await self._parts.leases.acquire(self._name, _LEASE_S, guarded=True)
        if self.lease is None:
            return False
        self.epoch = self.lease.fencing_number
        self._log.info(
            "steps_held",
            trainer=self._context.trainer.name,
            epoch=self.epoch,
            reason="the lease was free or lapsed",
        )
        return True

    async def release(self) -> None:
        """Give the lease back."""
        if self.lease is not None:
            await self.lease.release()

    @property
    def _name(self) -> str:
        return f"rollout/{self._context.environment}/{self._context.trainer.name}"

    def _is_contender(self) -> bool:
        """Return whether this daemon is among the few that try to hold the trainer's steps."""
        own_id = self._parts.peers.peer_id
        daemon_ids = [own_id, *(peer.peer_id for peer in self._parts.peers.peers())]
        return own_id in top(self._name, daemon_ids, _CONTENDERS)
