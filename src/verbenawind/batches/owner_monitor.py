"""Detects failed job owners from their heartbeats and by probing the hosts of silent ones.

A probe detects a failure sooner than waiting for the heartbeat timeout.
"""

import asyncio
from collections import OrderedDict

import structlog

from verbenawind.clock import Clock
from verbenawind.kernel.probe_ports import AddressProbe, ProbeResult
from verbenawind.state.heartbeats import HostHeartbeat, HostHeartbeats

__all__ = ["OwnerMonitor"]

# Silence after which an owner's host is probed. A busy host writes a heartbeat every 0.5 s, and it
# arrives up to one polling interval of the feed later.
_PROBE_AFTER_S = 0.8
# Interval between probes of one host.
_PROBE_PERIOD_S = 0.3
# How long an unanswered probe counts as evidence.
_UNANSWERED_TTL_S = 1.0
_MAX_REFUSED = 1000


class OwnerMonitor:
    """Decides from heartbeats and probes whether owners have failed.

    A refused connection proves that the daemon no longer runs. A host that does not answer may be
    frozen or partitioned; in that case about half the usual heartbeat timeout is enough.

    Args:
        heartbeats: Heartbeats of all daemons.
        probe: Connects to a host.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_heartbeats",
        "_log",
        "_probe",
        "_probed_at_s",
        "_refused",
        "_tasks",
        "_unanswered",
    )

    def __init__(self, heartbeats: HostHeartbeats, probe: AddressProbe, clock: Clock) -> None:
        self._heartbeats = heartbeats
        self._probe = probe
        self._clock = clock
        self._probed_at_s: dict[str, float] = {}
        self._refused: OrderedDict[str, None] = OrderedDict()
        # Owners whose hosts did not answer the latest probe, with the time of that probe.
        self._unanswered: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = structlog.get_logger("hosts")

    def is_gone(self, owner_id: str, since_s: float) -> bool:
        """Return whether an owner is considered failed.

        Args:
            owner_id: A daemon's incarnation.
            since_s: Monotonic time since which it has owned the job.
        """
        if owner_id in self._refused:
            return True
        probed_at_s = self._unanswered.get(owner_id, float("-inf"))
        unanswered = self._clock.monotonic_s() - probed_at_s < _UNANSWERED_TTL_S
        return self._heartbeats.is_gone(owner_id, since_s, unanswered=unanswered)

    def last_heartbeat_if_silent(self, owner_id: str, since_s: float) -> HostHeartbeat | None:
        """Return the last heartbeat of an owner that should be probed, None if it is not silent."""
        return self._heartbeats.silent_owner(owner_id, since_s, _PROBE_AFTER_S)

    def start_probe(self, heartbeat: HostHeartbeat) -> None:
        """Probe the host of a silent owner, unless it was probed very recently."""
        now_s = self._clock.monotonic_s()
        if now_s - self._probed_at_s.get(heartbeat.host, float("-inf")) < _PROBE_PERIOD_S:
            return
        self._probed_at_s[heartbeat.host] = now_s
        task = asyncio.get_running_loop().create_task(self._probe_owner(heartbeat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe_owner(self, heartbeat: HostHeartbeat) -> None:
        result = await self._probe.connect(heartbeat.address)
        now_s = self._clock.monotonic_s()
        self._unanswered = {
            owner_id: probed_at_s
            for owner_id, probed_at_s in self._unanswered.items()
            if owner_id != heartbeat.owner_id and now_s - probed_at_s < _UNANSWERED_TTL_S
        }
        if result is ProbeResult.NONE:
            self._unanswered[heartbeat.owner_id] = now_s
            self._log.info(
                "owner_unanswered",
                owner=heartbeat.owner_id,
                address=heartbeat.address,
                view_age_s=round(self._heartbeats.view_age_s(), 2),
            )
        if result is not ProbeResult.REFUSED:
            return
        self._refused[heartbeat.owner_id] = None
        while len(self._refused) > _MAX_REFUSED:
            self._refused.popitem(last=False)
        self._log.info(
            "owner_refuses",
            owner=heartbeat.owner_id,
            address=heartbeat.address,
            view_age_s=round(self._heartbeats.view_age_s(), 2),
        )
