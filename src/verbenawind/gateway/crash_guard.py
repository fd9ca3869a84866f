"""Refuses requests under which servers end again and again.

Each host reports which callers' requests its servers left unanswered when their processes ended.
Once that has happened to a request at several servers, at whichever hosts and from whichever
callers, every host refuses it for a time. Answers are weighed against the ends, so a popular
request that happens to run on failing servers is not refused. A server's own error is no answer.
"""

from collections.abc import Callable, Collection

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.answer_memory import AnswerMemory
from verbenawind.gateway.broken_trials import BrokenTrial, BrokenTrials
from verbenawind.gateway.crash_history import CrashHistory
from verbenawind.gateway.crash_records import CrashRecords
from verbenawind.gateway.crash_rows import CrashReport
from verbenawind.gateway.crash_standing import Standing
from verbenawind.gateway.fingerprints import base_fingerprint
from verbenawind.gateway.server_ends import ServerEndMonitor
from verbenawind.gateway.unanswered_sends import ServerEnd

__all__ = ["CrashGuard"]

_CHECK_PERIOD_S = 1.0
_SWEEP_PERIOD_S = 5.0
# Other hosts are told again after this time that a suspected request is answered.
_CLEARANCE_AGE_MS = 20_000
# Reports of other hosts are checked against the answers that this host got from the same process.
# The margin covers answers under way and the difference between the hosts' views of the time.
_CHECKED_REPORTS_MS = 30_000
_ANSWER_MARGIN_S = 0.5
# Consecutive checks that refute a report. A successor under the same id passes only the first one,
# until the registry tells of it.
_REFUTING_CHECKS = 3
# Servers whose ends were reported within this time are taken for down until they register again.
_DOWN_MS = 10_000
# Age of a claim up to which its trial may be under way, or its result on the way to this host.
_TRIAL_MS = 1_000
# How long other callers wait for the result of a trial.
_TRIAL_RESULT_S = 0.3
_TRIAL_POLL_S = 0.02


class CrashGuard:
    """Follows callers' requests and the ends of the servers that run them.

    Args:
        monitor: Decides whether a server's process has ended.
        history: What all hosts have reported.
        records: Shares this host's reports.
        is_assigned: Returns whether this host deletes an expired row.
        clock: Time source.
        store_ms: Returns the store's time.
    """

    __slots__ = (
        "_answers",
        "_broken_trials",
        "_clock",
        "_is_assigned",
        "_log",
        "_refuted",
        "_store_ms",
        "history",
        "monitor",
        "records",
        "refusals",
        "trials",
    )

    def __init__(
        self,
        monitor: ServerEndMonitor,
        history: CrashHistory,
        records: CrashRecords,
        *,
        is_assigned: Callable[[str], bool],
        clock: Clock,
        store_ms: Callable[[], int],
    ) -> None:
        self.monitor = monitor
        self.history = history
        self.records = records
        self._is_assigned = is_assigned
        self._clock = clock
        self._store_ms = store_ms
        self._answers = AnswerMemory(clock)
        self._broken_trials = BrokenTrials(history, records, clock, store_ms)
        # Reported processes that had answered this host since, at the latest checks.
        self._refuted: dict[str, int] = {}
        self._log = structlog.get_logger("crash_guard")
        self.refusals = 0
        self.trials = 0
        monitor.on_end(self._server_ended)
        monitor.on_revoked(records.revoke)
        records.on_report(self._reported)

    @property
    def convicted(self) -> Collection[str]:
        """The fingerprints of the requests that run only as claimed trials."""
        standings = [self.standing(fingerprint) for fingerprint in self.history.fingerprints()]
        return {standing.fingerprint for standing in standings if standing.convicted}

    def is_down_to_one(self, service: str) -> bool:
        """Return whether a service with several servers has at most one left."""
        left, registered = self._servers_left(service)
        return left <= 1 < registered

    def is_down(self, service: str) -> bool:
        """Return whether all servers of a service have probably ended."""
        return self._servers_left(service)[0] == 0

    def standing(self, fingerprint: str) -> Standing:
        """Return what is known of a request."""
        return self._standing(fingerprint, undecided=0)

    def standing_on_arrival(self, fingerprint: str) -> Standing:
        """Return what is known of a request, with the servers that may have ended under it."""
        return self._standing(fingerprint, undecided=self.monitor.pending(fingerprint))

    async def standing_after_trial(self, fingerprint: str) -> Standing:
        """Return what is known of a request on arrival.

        A caller under whose request no process ended waits a moment for the result of the trial
        that another caller's request is having.
        """
        ends_at_s = self._clock.monotonic_s() + _TRIAL_RESULT_S
        while True:
            standing = self.standing_on_arrival(fingerprint)
            claim = self.history.claim(standing.fingerprint)
            if (
                not standing.convicted
                or standing.culprit
                or claim is None
                or claim.claimed_ms < self._store_ms() - _TRIAL_MS
                or standing.refused_until_ms <= self._store_ms()
                or self._clock.monotonic_s() >= ends_at_s
            ):
                return standing
            await self._clock.sleep(_TRIAL_POLL_S)

    def answered(self, fingerprint: str) -> None:
        """Record that a server answered a request.

        A bystander of one end that is answered elsewhere is taken out of this host's report; what
        other hosts reported is weighed against the answer.
        """
        self._answers.add(fingerprint)
        if self.history.empty:
            return
        if self.history.unanswered_ends(fingerprint) == 1:
            self.records.withdraw(fingerprint)
        self._clear(fingerprint, least_ends=1)
        base = base_fingerprint(fingerprint)
        if base != fingerprint and self.history.is_reported(base):
            known = self.history.clearance(base)
            if known is None or known.cleared_ms < self._store_ms() - _CLEARANCE_AGE_MS:
                self.records.clear(base)

    def trial_broke(self, fingerprint: str, tried: Standing, incarnation: str) -> None:
        """Record that the trial of a caller's request broke at a process."""
        claim = self.history.claim(tried.fingerprint)
        if claim is None:
            return
        self._broken_trials.add(
            BrokenTrial(
                fingerprint=fingerprint,
                convicted=tried.fingerprint,
                series=tried.series,
                claim_id=claim.claim_id,
                incarnation=incarnation,
                broke_at_s=self._clock.monotonic_s(),
            )
        )

    def now_ms(self) -> int:
        """Return the store's time, which hosts can compare."""
        return self._store_ms()

    async def run(self) -> None:
        """Check watched servers and delete expired rows until cancelled."""
        next_sweep_s = 0.0
        while True:
            await self._clock.sleep(_CHECK_PERIOD_S)
            self.monitor.check()
            self._revoke_refuted_reports()
            self.records.wake()
            now_s = self._clock.monotonic_s()
            if now_s >= next_sweep_s:
                next_sweep_s = now_s + _SWEEP_PERIOD_S
                self.records.sweep(self._is_assigned)

    def _server_ended(self, end: ServerEnd) -> None:
        alive_ms = -1
        if end.answered_s is not None:
            age_s = self._clock.monotonic_s() - end.answered_s
            alive_ms = self._store_ms() - int(age_s * 1000)
        self.records.report(
            end.incarnation, end.service, end.sends, certain=end.certain, alive_ms=alive_ms
        )

    def _reported(self, report: CrashReport, added: Collection[str], own: bool) -> None:
        """Log what a report changes, and clear requests that this host knows to be sound."""
        now_ms = self._store_ms()
        if not own and report.ended_ms > now_ms - _DOWN_MS:
            reports = self.history.reports_of_incarnation(report.incarnation)
            self.monitor.end_suspected(
                report.incarnation,
                self._monotonic_s(report.ended_ms),
                confirmed=len(reports) > 1,
            )
        if report.certain and not own:
            self.monitor.end_reported(report.incarnation)
        self._broken_trials.reported(report.incarnation)
        for fingerprint in added:
            if self._answers.count(fingerprint):
                self._clear(fingerprint, least_ends=2)
            standing = self.standing(fingerprint)
            if not standing.ends:
                continue
            if own or standing.ends > 1:
                self._log.warning(
                    "request_suspected",
                    fingerprint=fingerprint,
                    crash=report.incarnation,
                    ends=standing.ends,
                    certain=report.certain,
                    age_s=round(max(0, now_ms - report.ended_ms) / 1000, 3),
                )
            if standing.convicted:
                term_ms = standing.refused_until_ms - now_ms
                self._log.warning(
                    "request_convicted",
                    fingerprint=fingerprint,
                    crashes=standing.ends,
                    term_s=round(max(0, term_ms) / 1000, 3),
                )

    def _revoke_refuted_reports(self) -> None:
        """Remove reports on processes that have answered this host since.

        To a host in a partition that refuses connections, all servers beyond it seem to have ended.
        """
        ended = self.history.incarnations_ended_since(self._store_ms() - _CHECKED_REPORTS_MS)
        refuted: dict[str, int] = {}
        for incarnation, ended_ms in ended.items():
            ended_at_s = self._monotonic_s(ended_ms)
            if not self.monitor.answered_since(incarnation, ended_at_s + _ANSWER_MARGIN_S):
                continue
            refuted[incarnation] = self._refuted.get(incarnation, 0) + 1
            if refuted[incarnation] >= _REFUTING_CHECKS:
                self._log.info("crash_report_refuted", crash=incarnation)
                self.records.revoke(incarnation)
        self._refuted = refuted

    def _servers_left(self, service: str) -> tuple[int, int]:
        reported = self.history.incarnations_ended_since(self._store_ms() - _DOWN_MS)
        ended = [
            incarnation
            for incarnation, ended_ms in reported.items()
            if not self.monitor.answered_since(incarnation, self._monotonic_s(ended_ms))
        ]
        return self.monitor.servers_left(service, ended)

    def _monotonic_s(self, store_ms: int) -> float:
        """Return this host's monotonic time at a time of the store."""
        return self._clock.monotonic_s() - (self._store_ms() - store_ms) / 1000

    def _standing(self, fingerprint: str, *, undecided: int) -> Standing:
        return self.history.standing(
            fingerprint, self._store_ms(), undecided=undecided, answers=self._answers.count
        )

    def _clear(self, fingerprint: str, *, least_ends: int) -> None:
        ends = self.history.unanswered_ends(fingerprint)
        if ends >= least_ends:
            self._log.info("suspect_cleared", fingerprint=fingerprint, ends=ends)
            self.records.clear(fingerprint)
