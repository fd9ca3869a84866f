"""Measures how one trainer fares and keeps its pacing."""

import math

import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentDocument, ModelSpec
from verbenawind.rollout.pacing import PacingInputs, next_pacing
from verbenawind.rollout.records import DeliveryRecord

__all__ = ["Pacer"]

_DECISION_PERIOD_S = 5.0
_WAITING_MEMORY_S = 2.5


class Pacer:
    """Decides how many units may be made ahead of the trainer.

    Args:
        clock: Time source.
        fixed_ahead_steps: A constant instead of the control loop, None for the loop.
    """

    __slots__ = (
        "_clock",
        "_cursor",
        "_decided_at_s",
        "_idle_s",
        "_is_fixed",
        "_log",
        "_noted_at_s",
        "_seen",
        "_waiting_until_s",
        "ahead_steps",
    )

    def __init__(self, clock: Clock, fixed_ahead_steps: float | None = None) -> None:
        self._clock = clock
        self._is_fixed = fixed_ahead_steps is not None
        self._seen: DeliveryRecord | None = None
        self._decided_at_s = 0.0
        self._cursor = 0
        self._idle_s = 0.0
        self._noted_at_s = 0.0
        self._waiting_until_s = -math.inf
        self.ahead_steps = 1.0 if fixed_ahead_steps is None else fixed_ahead_steps
        self._log = structlog.get_logger("rollout")

    def note_waiting(self) -> None:
        """Take in that a poll of the trainer found nothing."""
        now_s = self._clock.monotonic_s()
        if self.trainer_waits:
            self._idle_s += now_s - self._noted_at_s
        self._noted_at_s = now_s
        self._waiting_until_s = now_s + _WAITING_MEMORY_S

    @property
    def trainer_waits(self) -> bool:
        """Whether the trainer was waiting a moment ago."""
        return self._clock.monotonic_s() < self._waiting_until_s

    def allowed_units(self, step_units: int, ahead_units: int) -> int:
        """Return how many more units may start, of a step that the trainer does not wait for."""
        return max(0, math.ceil(self.ahead_steps * step_units) - ahead_units)

    def take_in(
        self,
        record: DeliveryRecord,
        document: EnvironmentDocument,
        model: ModelSpec,
        step_units: int,
    ) -> None:
        """Decide anew when a step's worth of units was delivered since the last decision."""
        now_s = self._clock.monotonic_s()
        if record.cursor != self._cursor:
            self._cursor = record.cursor
            self._waiting_until_s = -math.inf
        seen = self._seen
        # The first step has nothing to hide its generation behind: it says nothing of the pace.
        is_first = record.delivered_units < step_units
        if seen is None or is_first or self._is_fixed:
            self._seen, self._decided_at_s, self._idle_s = record, now_s, 0.0
            return
        units = record.delivered_units - seen.delivered_units
        elapsed_s = now_s - self._decided_at_s
        if units < max(1, step_units) or elapsed_s < _DECISION_PERIOD_S:
            return
        inputs = PacingInputs(
            idle_ratio=min(1.0, self._idle_s / elapsed_s),
            staleness_versions=(record.staleness_sum - seen.staleness_sum) / units,
            trainer_idle_weight=document.trainer_idle_weight,
            staleness_weight=document.staleness_weight,
            max_versions=model.staleness.max_versions,
        )
        decision = next_pacing(self.ahead_steps, inputs)
        self._log.info(
            "pacing_decided",
            before_steps=round(self.ahead_steps, 3),
            ahead_steps=round(decision.ahead_steps, 3),
            idle_ratio=round(inputs.idle_ratio, 4),
            staleness_versions=round(inputs.staleness_versions, 3),
            reason=decision.reason,
        )
        self.ahead_steps = decision.ahead_steps
        self._seen, self._decided_at_s, self._idle_s = record, now_s, 0.0
