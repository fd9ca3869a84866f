"""Switches of the rollout policies, which benchmarks turn off one at a time."""

import msgspec

__all__ = ["RolloutPolicy"]


class RolloutPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Enables or disables policies that reduce the idle time of trainers.

    ``longest_first`` starts the groups with the longest expected samples first.
    ``move_stragglers`` resumes slow samples on other engines. ``fixed_ahead_steps`` replaces
    the control loop of the pacing by a constant number of steps.
    """

    longest_first: bool = True
    move_stragglers: bool = True
    fixed_ahead_steps: float | None = None
