"""Takes over jobs without a live owner, by a conditional write to the job's row."""

from collections.abc import Sequence

import msgspec
import structlog

from verbenawind.batches.job_registry import JobRegistry, KnownJob
from verbenawind.batches.job_store import JobStore
from verbenawind.batches.owner_monitor import OwnerMonitor
from verbenawind.batches.runner import BatchRunner
from verbenawind.batches.types import JobRecord
from verbenawind.clock import Clock
from verbenawind.errors import RowConflict, StoreUnavailable
from verbenawind.kernel.rendezvous import top_members
from verbenawind.state.heartbeats import HostHeartbeats, host_of

__all__ = ["JobTakeover", "claim_delay_s"]

_CHECK_PERIOD_S = 0.1
_CLAIM_TIMEOUT_S = 2.0
# Additional delay of each further daemon in a job's order of claimants.
_RANK_DELAY_S = 0.4
_MAX_RANKED = 8
# Number of claimants, in that order, that probe a silent owner.
_PROBING_RANKS = 3


def claim_delay_s(job_id: str, host: str, claimants: Sequence[str]) -> float:
    """Return how long a host waits before it claims a job, by its rank among the claimants."""
    order = top_members(job_id, claimants, _MAX_RANKED)
    rank = order.index(host) if host in order else _MAX_RANKED
    return rank * _RANK_DELAY_S


class JobTakeover:
    """Claims jobs without a live owner.

    Args:
        job_registry: Known jobs.
        job_store: Persistent record of jobs.
        runner: Runs claimed jobs.
        heartbeats: Heartbeats of all daemons.
        owner_monitor: Decides whether owners have failed.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_heartbeats",
        "_job_registry",
        "_job_store",
        "_log",
        "_owner_monitor",
        "_ownerless_since_s",
        "_runner",
        "paused",
        "takeovers",
    )

    def __init__(
        self,
        job_registry: JobRegistry,
        job_store: JobStore,
        runner: BatchRunner,
        heartbeats: HostHeartbeats,
        owner_monitor: OwnerMonitor,
        clock: Clock,
    ) -> None:
        self._job_registry = job_registry
        self._job_store = job_store
        self._runner = runner
        self._heartbeats = heartbeats
        self._owner_monitor = owner_monitor
        self._clock = clock
        self._ownerless_since_s: dict[str, float] = {}
        self._log = structlog.get_logger("batches")
        self.paused = False
        self.takeovers = 0

    async def run(self) -> None:
        """Claim jobs without a live owner until cancelled."""
        while True:
            for known in self._job_registry.open_jobs():
                if self.paused:
                    break
                await self._check(known)
            await self._clock.sleep(_CHECK_PERIOD_S)

    async def _check(self, known: KnownJob) -> None:
        record = known.record
        if record.owner == self._runner.owner:
            # Another daemon placed the job on this one, or it was dropped after a conflict.
            self._runner.start_job(known.job)
            return
        if record.owner and not self._owner_monitor.is_gone(record.owner, known.owned_since_s):
            self._ownerless_since_s.pop(record.job_id, None)
            last_heartbeat = self._owner_monitor.last_heartbeat_if_silent(
                record.owner, known.owned_since_s
            )
            if last_heartbeat is not None and self._may_probe(record):
                self._owner_monitor.start_probe(last_heartbeat)
            return
        now_s = self._clock.monotonic_s()
        since_s = self._ownerless_since_s.setdefault(record.job_id, now_s)
        if now_s - since_s >= self._own_delay_s(record.job_id, record.owner):
            self._ownerless_since_s.pop(record.job_id, None)
            await self._claim(known)

    def _may_probe(self, record: JobRecord) -> bool:
        """Return whether this host ranks high enough among the claimants to probe the owner."""
        return self._own_delay_s(record.job_id, record.owner) < _PROBING_RANKS * _RANK_DELAY_S

    def _own_delay_s(self, job_id: str, owner: str) -> float:
        own_host = self._heartbeats.own.host
        former_host = host_of(owner)
        if former_host == own_host:
            return 0.0
        return claim_delay_s(job_id, own_host, self._heartbeats.claimants([former_host]))

    async def _claim(self, known: KnownJob) -> None:
        record = known.record
        claimed = msgspec.structs.replace(record, owner=self._runner.owner, epoch=record.epoch + 1)
        self._log.info(
            "job_claim",
            job_id=record.job_id,
            former_owner=record.owner,
            epoch=claimed.epoch,
            owned_since_s=round(self._clock.monotonic_s() - known.owned_since_s, 2),
            view_age_s=round(self._heartbeats.view_age_s(), 2),
        )
        try:
            stored = await self._job_store.update(known.job, claimed, _CLAIM_TIMEOUT_S)
        except RowConflict as conflict:
            self._log.info("job_claim_lost", job_id=record.job_id, reason=conflict.message)
            return
        except StoreUnavailable as error:
            self._log.info("job_claim_failed", job_id=record.job_id, reason=error.message)
            return
        self.takeovers += 1
        self._job_registry.put(stored)
        self._runner.start_job(stored)
