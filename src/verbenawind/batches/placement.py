"""Chooses the daemon that runs a new job, without side effects.

Jobs of one model go to the same daemon while it is alive. That daemon keeps its connections to
the engines open, has measured their paces and weight versions, and holds partial output of groups
that are submitted again.
"""

from collections.abc import Sequence

from verbenawind.kernel.messages import Value
from verbenawind.kernel.rendezvous import owner
from verbenawind.state.heartbeats import host_of

__all__ = ["JobPlacement", "place_job"]


class JobPlacement(Value, frozen=True, kw_only=True):
    """The daemon incarnation that should run a job, and why."""

    owner_id: str
    reason: str


def place_job(
    key: str, own_id: str, peers: Sequence[str], *, stopping: bool, view_is_fresh: bool
) -> JobPlacement:
    """Return the daemon that should run a new job.

    Args:
        key: Jobs with the same key are placed on the same daemon.
        own_id: The daemon that accepts the job.
        peers: Other daemons of its availability zone with a recent heartbeat.
        stopping: Whether the accepting daemon is shutting down.
        view_is_fresh: Whether the heartbeats were read recently.
    """
    if stopping:
        return JobPlacement(owner_id="", reason="the accepting daemon is shutting down")
    if not view_is_fresh or not peers:
        return JobPlacement(owner_id=own_id, reason="no other live daemon is known")
    host_ids = {host_of(owner_id): owner_id for owner_id in (*peers, own_id)}
    return JobPlacement(
        owner_id=host_ids[owner(key, host_ids)], reason="jobs of this model run on this daemon"
    )
