"""Controls how far generation runs ahead of a trainer. Performs no I/O."""

import math

import msgspec

__all__ = ["PacingDecision", "PacingInputs", "next_pacing"]

_GAIN = 0.5
_MIN_AHEAD_STEPS = 0.05
_MAX_CHANGE = 1.25
_IDLE_REFERENCE = 0.1


class PacingInputs(msgspec.Struct, frozen=True, kw_only=True):
    """Measurements since the last decision, and the settings of the document.

    ``idle_ratio`` is the fraction of time that the trainer waited for samples and
    ``staleness_versions`` the mean staleness at delivery, in versions. ``max_versions`` is the
    staleness bound.
    """

    idle_ratio: float
    staleness_versions: float
    trainer_idle_weight: float
    staleness_weight: float
    max_versions: int


class PacingDecision(msgspec.Struct, frozen=True, kw_only=True):
    """The maximum number of undelivered samples, in steps, and the reason for it."""

    ahead_steps: float
    reason: str


def next_pacing(ahead_steps: float, inputs: PacingInputs) -> PacingDecision:
    """Return the next lead, which rises with weighted idle time and falls with staleness.

    An idle ratio of ``_IDLE_REFERENCE`` costs as much as samples at the staleness bound. In
    equilibrium the weighted costs are equal. The lead is limited to ``max_versions`` steps: as
    a step usually yields a version, samples further ahead would expire before delivery.
    """
    total = inputs.trainer_idle_weight + inputs.staleness_weight
    if total <= 0.0 or inputs.max_versions == 0:
        limit = float(max(inputs.max_versions, _MIN_AHEAD_STEPS))
        return PacingDecision(
            ahead_steps=limit, reason="both weights are zero, or max_versions is zero"
        )
    idle_cost = inputs.trainer_idle_weight / total * inputs.idle_ratio / _IDLE_REFERENCE
    staleness = min(1.0, inputs.staleness_versions / inputs.max_versions)
    staleness_cost = inputs.staleness_weight / total * staleness
    factor = math.exp(_GAIN * (idle_cost - staleness_cost))
    factor = min(_MAX_CHANGE, max(1.0 / _MAX_CHANGE, factor))
    ahead = min(float(inputs.max_versions), max(_MIN_AHEAD_STEPS, ahead_steps * factor))
    reason = "idle time costs more" if idle_cost > staleness_cost else "staleness costs more"
    return PacingDecision(ahead_steps=ahead, reason=reason)
