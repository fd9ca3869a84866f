"""Which of the rollout policies are in use; benches switch them off one by one."""

import msgspec

__all__ = ["RolloutPolicy"]


class RolloutPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """The switches of the policies that save trainer time.

    ``longest_first`` starts the groups that are expected to take longest first.
    ``move_stragglers`` resumes slow samples on other engines. ``fixed_ahead_steps`` replaces
    the control loop by a constant number of steps.
    """

    longest_first: bool = True
    move_stragglers: bool = True
    fixed_ahead_steps: float | None = None
