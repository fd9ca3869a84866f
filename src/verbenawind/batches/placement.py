"""Chooses the daemon that runs a new job; values in, an owner and a reason out.

Jobs of one model go to one daemon as long as it lives: it keeps its connections to the engines,
knows their paces and weights, and holds the text of groups that come again.
"""

from collections.abc import Sequence

from verbenawind.kernel.messages import Value
from verbenawind.kernel.rendezvous import owner
from verbenawind.state.beats import host_of

__all__ = ["JobPlace", "place_job"]


class JobPlace(Value, frozen=True, kw_only=True):
    """The daemon incarnation that should run a job, and why."""

    owner_id: str
    reason: str


def place_job(
    key: str, own_id: str, fellows: Sequence[str], *, stopping: bool, view_is_fresh: bool
) -> JobPlace:
    """Return who should run a new job.

    Args:
        key: What jobs that should run together have in common.
        own_id: The daemon that accepts the job.
        fellows: Other daemons of its availability zone that have beaten lately.
        stopping: Whether the accepting daemon is about to end.
        view_is_fresh: Whether the fellows' beats have been heard of lately.
    """
    if stopping:
        return JobPlace(owner_id="", reason="the accepting daemon is about to end")
    if not view_is_fresh or not fellows:
        return JobPlace(owner_id=own_id, reason="no other daemon is known to live")
    host_ids = {host_of(owner_id): owner_id for owner_id in (*fellows, own_id)}
    return JobPlace(owner_id=host_ids[owner(key, host_ids)], reason="jobs of its model run there")
