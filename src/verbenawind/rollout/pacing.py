"""Sets how far generation runs ahead of the trainer, from its idle time and staleness; pure."""

import math

import msgspec

__all__ = ["PacingInputs", "PacingState", "next_pacing"]

_GAIN = 0.5
_MIN_AHEAD_STEPS = 0.05
_MAX_CHANGE = 1.25
_IDLE_REFERENCE = 0.1


class PacingInputs(msgspec.Struct, frozen=True, kw_only=True):
    """What was measured since the last decision.

    ``idle_ratio`` is the share of time that the trainer waited for samples; ``staleness_versions``
    the mean age at delivery. ``max_versions`` is the bound.
    """

    idle_ratio: float
    staleness_versions: float
    trainer_idle_weight: float
    staleness_weight: float
    max_versions: int


class PacingState(msgspec.Struct, frozen=True, kw_only=True):
    """How many steps' worth of undelivered samples there may be, and why."""

    ahead_steps: float
    reason: str


def next_pacing(ahead_steps: float, inputs: PacingInputs) -> PacingState:
    """Return the next allowance: it rises with weighted idle time, falls with weighted staleness.

    An idle share of ``_IDLE_REFERENCE`` weighs like samples at the staleness bound. At rest the
    two weighted costs are equal. More than ``max_versions`` steps ahead would be
    made in vain, as a step usually yields a version.
    """
    total = inputs.trainer_idle_weight + inputs.staleness_weight
    if total <= 0.0 or inputs.max_versions == 0:
        limit = float(max(inputs.max_versions, _MIN_AHEAD_STEPS))
        return PacingState(ahead_steps=limit, reason="no weights, or no version may be missed")
    idle_cost = inputs.trainer_idle_weight / total * inputs.idle_ratio / _IDLE_REFERENCE
    staleness = min(1.0, inputs.staleness_versions / inputs.max_versions)
    staleness_cost = inputs.staleness_weight / total * staleness
    factor = math.exp(_GAIN * (idle_cost - staleness_cost))
    factor = min(_MAX_CHANGE, max(1.0 / _MAX_CHANGE, factor))
    ahead = min(float(inputs.max_versions), max(_MIN_AHEAD_STEPS, ahead_steps * factor))
    reason = "idle time costs more" if idle_cost > staleness_cost else "staleness costs more"
    return PacingState(ahead_steps=ahead, reason=reason)
