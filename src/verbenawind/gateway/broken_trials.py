"""Gives back trials that came to a server whose process had ended before."""

from collections.abc import Callable

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.crash_history import CrashHistory
from verbenawind.gateway.crash_records import CrashRecords
from verbenawind.kernel.messages import Value

__all__ = ["BrokenTrial", "BrokenTrials"]

# How long other hosts may take to report an earlier end of the process.
_REPORT_DELAY_S = 10.0
_MAX_TRIALS = 256


class BrokenTrial(Value, frozen=True, kw_only=True):
    """A trial whose send broke.

    Attributes:
        fingerprint: The caller's request.
        convicted: The request of all callers, which the claim names.
        series: The callers that share the trial, as the claim names them.
        claim_id: The claim of the trial.
        incarnation: The process that it was sent to.
        broke_at_s: Monotonic time at which the send broke.
    """

    fingerprint: str
    convicted: str
    series: str
    claim_id: str
    incarnation: str
    broke_at_s: float


class BrokenTrials:
    """Trials of this host that broke lately.

    Args:
        history: What all hosts have reported.
        records: Gives claims back.
        clock: Time source.
        store_ms: Returns the store's time.
    """

    __slots__ = ("_clock", "_history", "_log", "_records", "_store_ms", "_trials")

    def __init__(
        self,
        history: CrashHistory,
        records: CrashRecords,
        clock: Clock,
        store_ms: Callable[[], int],
    ) -> None:
        self._history = history
        self._records = records
        self._clock = clock
        self._store_ms = store_ms
        self._trials: list[BrokenTrial] = []
        self._log = structlog.get_logger("crash_guard")

    def add(self, trial: BrokenTrial) -> None:
        """Follow a trial until its process is reported to have ended before it."""
        self._trials = [*self._trials[-_MAX_TRIALS + 1 :], trial]

    def reported(self, incarnation: str) -> None:
        """Give back the trials that a new report shows to have come after the process's end."""
        oldest_s = self._clock.monotonic_s() - _REPORT_DELAY_S
        self._trials = [trial for trial in self._trials if trial.broke_at_s > oldest_s]
        for trial in [t for t in self._trials if t.incarnation == incarnation]:
            if self._history.is_held(trial.fingerprint, incarnation, self._store_ms()):
                continue
            self._trials.remove(trial)
            claim = self._history.claim(trial.convicted)
            if claim is None or claim.claim_id != trial.claim_id:
                continue
            self._log.info("trial_given_back", fingerprint=trial.fingerprint, crash=incarnation)
            self._records.release(trial.convicted, trial.series)
