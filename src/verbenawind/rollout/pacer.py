"""Tracks the idle time and staleness of a trainer and adjusts its pacing."""

import math

import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentDocument, ModelSpec
from verbenawind.rollout.pacing import PacingInputs, next_pacing
from verbenawind.rollout.records import DeliveryRecord

__all__ = ["Pacer"]

_DECISION_PERIOD_S = 5.0
_WAITING_EXPIRY_S = 2.5


class Pacer:
    """Limits the number of units that are generated ahead of the trainer.

    Args:
        clock: Time source.
        fixed_ahead_steps: A constant lead in steps, or None to use the control loop.
    """

    __slots__ = (
        "_clock",
        "_cursor",
        "_decided_at_s",
        "_idle_s",
        "_is_fixed",
        "_last_record",
        "_last_waiting_s",
        "_log",
        "_waiting_until_s",
        "ahead_steps",
    )

    def __init__(self, clock: Clock, fixed_ahead_steps: float | None = None) -> None:
        self._clock = clock
        self._is_fixed = fixed_ahead_steps is not None
        self._last_record: DeliveryRecord | None = None
        self._decided_at_s = 0.0
        self._cursor = 0
        self._idle_s = 0.0
        self._last_waiting_s = 0.0
        self._waiting_until_s = -math.inf
        self.ahead_steps = 1.0 if fixed_ahead_steps is None else fixed_ahead_steps
        self._log = structlog.get_logger("rollout")

    def record_waiting(self) -> None:
        """Record that a poll of the trainer found nothing to deliver."""
        now_s = self._clock.monotonic_s()
        if self.is_trainer_waiting:
            self._idle_s += now_s - self._last_waiting_s
        self._last_waiting_s = now_s
        self._waiting_until_s = now_s + _WAITING_EXPIRY_S

    @property
    def is_trainer_waiting(self) -> bool:
        """Whether the trainer has waited recently and no delivery was recorded since."""
        return self._clock.monotonic_s() < self._waiting_until_s

    def allowed_units(self, step_units: int, ahead_units: int) -> int:
        """Return how many more units may start of a step for which the trainer does not wait."""
        return max(0, math.ceil(self.ahead_steps * step_units) - ahead_units)

    def update(
        self,
        record: DeliveryRecord,
        document: EnvironmentDocument,
        model: ModelSpec,
        step_units: int,
    ) -> None:
        """Adjust the lead once the units of a whole step were delivered since the last decision."""
        now_s = self._clock.monotonic_s()
        if record.cursor != self._cursor:
            self._cursor = record.cursor
            self._waiting_until_s = -math.inf
        last_record = self._last_record
        # Generation of the first step cannot overlap with training, so that its idle time says
        # nothing about the lead.
        is_first = record.delivered_units < step_units
        if last_record is None or is_first or self._is_fixed:
            self._last_record, self._decided_at_s, self._idle_s = record, now_s, 0.0
            return
        units = record.delivered_units - last_record.delivered_units
        elapsed_s = now_s - self._decided_at_s
        if units < max(1, step_units) or elapsed_s < _DECISION_PERIOD_S:
            return
        inputs = PacingInputs(
            idle_ratio=min(1.0, self._idle_s / elapsed_s),
            staleness_versions=(record.staleness_sum - last_record.staleness_sum) / units,
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
        self._last_record, self._decided_at_s, self._idle_s = record, now_s, 0.0
