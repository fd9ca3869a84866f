"""The lease of a daemon on the steps of a trainer: acquisition, expiry and release."""

import structlog

from verbenawind.kernel.ports import Lease
from verbenawind.kernel.rendezvous import top_members
from verbenawind.rollout.commits import TrainerContext
from verbenawind.rollout.holder_dependencies import HolderDependencies

__all__ = ["ACQUIRE_PERIOD_S", "TrainerLease"]

ACQUIRE_PERIOD_S = 1.0
_LEASE_DURATION_S = 30.0
_CANDIDATES = 3


class TrainerLease:
    """Acquires and tracks the lease on the steps of one trainer.

    Args:
        context: The trainer.
        dependencies: Services shared by all holders of this daemon.
    """

    __slots__ = ("_context", "_dependencies", "_log", "_next_acquire_s", "epoch", "lease")

    def __init__(self, context: TrainerContext, dependencies: HolderDependencies) -> None:
        self._context = context
        self._dependencies = dependencies
        self._next_acquire_s = 0.0
        self._log = structlog.get_logger("rollout")
        self.lease: Lease | None = None
        self.epoch = 0

    @property
    def is_held(self) -> bool:
        """Whether the lease is held and has not expired."""
        return self.lease is not None and self.lease.remaining_s() > 0

    def drop_expired(self) -> bool:
        """Drop an expired lease; return whether there was one."""
        if self.lease is None or self.is_held:
            return False
        self._log.warning("lease_lapsed", trainer=self._context.trainer.name)
        self.lease = None
        return True

    def should_acquire(self) -> bool:
        """Return whether to try to acquire the lease now.

        Schedules the next attempt if this one is due.
        """
        now_s = self._dependencies.clock.monotonic_s()
        if now_s < self._next_acquire_s:
            return False
        self._next_acquire_s = now_s + self._dependencies.rng.uniform(0.5, 1.5) * ACQUIRE_PERIOD_S
        return self._is_candidate()

    async def acquire(self) -> bool:
        """Try to acquire the lease; return whether it is held."""
        self.lease = await self._dependencies.leases.acquire(
            self._lease_name, _LEASE_DURATION_S, guarded=True
        )
        if self.lease is None:
            return False
        self.epoch = self.lease.fencing_number
        self._log.info(
            "steps_held",
            trainer=self._context.trainer.name,
            epoch=self.epoch,
            reason="lease was free or expired",
        )
        return True

    async def release(self) -> None:
        """Release the lease if it was acquired."""
        if self.lease is not None:
            await self.lease.release()

    @property
    def _lease_name(self) -> str:
        return f"rollout/{self._context.environment}/{self._context.trainer.name}"

    def _is_candidate(self) -> bool:
        """Return whether this daemon is a candidate for the lease.

        ``_CANDIDATES`` daemons, chosen by rendezvous hashing, compete for it.
        """
        own_id = self._dependencies.peers.peer_id
        daemon_ids = [own_id, *(peer.peer_id for peer in self._dependencies.peers.peers())]
        return own_id in top_members(self._lease_name, daemon_ids, _CANDIDATES)
