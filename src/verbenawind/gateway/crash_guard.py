"""Refuses requests under which servers end again and again.

Each host reports which callers' requests its servers left unanswered when their processes ended.
Once that has happened to a request at several servers, at whichever hosts, every host refuses it
for a time. A request that any server has answered lately is never suspected, so a popular request
that happens to run on failing servers is not refused. Answers to one caller say nothing for the
same request of another.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import Outcome, RequestConvicted
from verbenawind.gateway.crash_history import CrashHistory, CrashReport, Standing
from verbenawind.gateway.crash_records import CrashRecords
from verbenawind.gateway.directory import Backend
from verbenawind.gateway.fingerprints import base_fingerprint, request_fingerprint
from verbenawind.gateway.ports import CallerRequest
from verbenawind.gateway.server_ends import ServerEnd, ServerEndMonitor, UnansweredSend

__all__ = ["CrashGuard", "GuardedRequest"]

_CHECK_PERIOD_S = 1.0
_SWEEP_PERIOD_S = 5.0
# A request that was answered within this time isn't suspected.
_ANSWER_MEMORY_S = 60.0
_MAX_REMEMBERED = 1024
# Reports of other hosts are checked against the answers that this host got from the same process.
# The margin covers answers under way and the difference between the hosts' views of the time.
_CHECKED_REPORTS_MS = 30_000
_ANSWER_MARGIN_S = 0.5
# Consecutive checks that refute a report. A successor under the same id passes only the first one,
# until the registry tells of it.
_REFUTING_CHECKS = 3
# A request under which so many servers ended doesn't get the last server that its service has left.
_ENDS_FOR_LAST_SERVER = 2
_LAST_SERVER_RETRY_S = 1.0
# Servers whose ends were reported within this time are taken for down until they register again.
_DOWN_MS = 10_000
# Shortest time to return for a caller that met the trial of another one.
_MIN_RETRY_S = 0.25


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
        "_answered_at_s",
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
        self._answered_at_s: OrderedDict[str, float] = OrderedDict()
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
        now_ms = self._store_ms()
        return [
            fingerprint
            for fingerprint in self.history.fingerprints()
            if self.history.standing(fingerprint, now_ms).convicted
        ]

    def open(self, request: CallerRequest, service: str) -> "GuardedRequest":
        """Return a request to a service as it is guarded across its sends."""
        return GuardedRequest(request, service, self)

    def is_down_to_one(self, service: str) -> bool:
        """Return whether a service with several servers has at most one left."""
        ended = self.history.incarnations_ended_since(self._store_ms() - _DOWN_MS)
        return self.monitor.is_down_to_one(service, ended)

    def standing(self, fingerprint: str) -> Standing:
        """Return what is known of a request; nothing is held against one answered lately."""
        return self._checked(fingerprint, undecided=0)

    def standing_on_arrival(self, fingerprint: str) -> Standing:
        """Return what is known of a request, with the servers that may have ended under it."""
        return self._checked(fingerprint, undecided=self.monitor.pending(fingerprint))

    def answered(self, fingerprint: str) -> None:
        """Record that a server answered a request, which clears it of earlier ends.

        A bystander of a crash that is answered elsewhere is taken out of this host's report; the
        reports of other hosts are overruled.
        """
        base = base_fingerprint(fingerprint)
        for name in {fingerprint, base}:
            self._answered_at_s[name] = self._clock.monotonic_s()
            self._answered_at_s.move_to_end(name)
        while len(self._answered_at_s) > _MAX_REMEMBERED:
            self._answered_at_s.popitem(last=False)
        if not self.history.empty:
            self.records.withdraw(fingerprint)
            self._clear(fingerprint, least_ends=1)
            if base != fingerprint and self.history.is_held_against_all(base, self._store_ms()):
                self._log.info("suspect_cleared", fingerprint=base)
                self.records.clear(base)

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
        sends = [send for send in end.sends if not self._answered_lately(send.fingerprint)]
        self.records.report(end.incarnation, end.service, sends)

    def _reported(self, report: CrashReport, added: Collection[str], own: bool) -> None:
        """Log what a report changes, and clear requests that this host knows to be sound."""
        now_ms = self._store_ms()
        for fingerprint in added:
            if self._answered_lately(fingerprint):
                self._clear(fingerprint, least_ends=2)
                continue
            standing = self.history.standing(fingerprint, now_ms)
            if own or standing.ends > 1:
                self._log.warning(
                    "request_suspected",
                    fingerprint=fingerprint,
                    crash=report.incarnation,
                    ends=standing.ends,
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
        now_ms, now_s = self._store_ms(), self._clock.monotonic_s()
        ended = self.history.incarnations_ended_since(now_ms - _CHECKED_REPORTS_MS)
        refuted: dict[str, int] = {}
        for incarnation, ended_ms in ended.items():
            ended_at_s = now_s - (now_ms - ended_ms) / 1000
            if not self.monitor.answered_since(incarnation, ended_at_s + _ANSWER_MARGIN_S):
                continue
            refuted[incarnation] = self._refuted.get(incarnation, 0) + 1
            if refuted[incarnation] >= _REFUTING_CHECKS:
                self._log.info("crash_report_refuted", crash=incarnation)
                self.records.revoke(incarnation)
        self._refuted = refuted

    def _checked(self, fingerprint: str, *, undecided: int) -> Standing:
        """Return what is known of a request, apart from what answers at this host refute."""
        if self._answered_lately(fingerprint):
            return Standing(fingerprint=fingerprint)
        standing = self.history.standing(fingerprint, self._store_ms(), undecided=undecided)
        if standing.fingerprint != fingerprint and self._answered_lately(standing.fingerprint):
            # Somebody got an answer, so it isn't convicted for all callers.
            return Standing(fingerprint=fingerprint)
        return standing

    def _clear(self, fingerprint: str, *, least_ends: int) -> None:
        standing = self.history.standing(fingerprint, self._store_ms())
        if standing.ends >= least_ends:
            self._log.info("suspect_cleared", fingerprint=fingerprint, ends=standing.ends)
            self.records.clear(fingerprint)

    def _answered_lately(self, fingerprint: str) -> bool:
        answered_at_s = self._answered_at_s.get(fingerprint)
        if answered_at_s is None:
            return False
        return self._clock.monotonic_s() - answered_at_s <= _ANSWER_MEMORY_S


class GuardedRequest:
    """A caller's request across its sends.

    Work that this service has accepted for later is owed, and so neither refused nor suspected.

    Args:
        request: The request.
        service: The service that it is for.
        guard: Knows the ends of servers under such requests.
    """

    __slots__ = ("_fingerprint", "_guard", "_log", "_request", "_service", "_tried", "is_trial")

    def __init__(self, request: CallerRequest, service: str, guard: CrashGuard) -> None:
        self._request = request
        self._service = service
        self._guard = guard
        self._fingerprint = ""
        # What the claim of a trial names.
        self._tried = ""
        self._log = structlog.get_logger("crash_guard")
        self.is_trial = False

    @property
    def fingerprint(self) -> str:
        """The digest that all repeats of the request share; computed on first use."""
        self._fingerprint = self._fingerprint or request_fingerprint(self._request)
        return self._fingerprint

    @property
    def suspected(self) -> bool:
        """Whether a server ended or may have ended under the request and none has answered it."""
        if self._is_unsuspicious:
            return False
        return self._guard.standing(self.fingerprint).ends > 0 or self._pending > 0

    async def admit(self) -> None:
        """Check that the request may be sent; a convicted one needs the claim of a trial.

        Raises:
            RequestConvicted: The request is refused for now; nothing was sent.
        """
        if self._is_unsuspicious:
            return
        standing = self._guard.standing_on_arrival(self.fingerprint)
        if not standing.convicted:
            self._spare_last_server(Outcome.NOT_RUN)
            return
        term_is_over = standing.refused_until_ms <= self._guard.now_ms()
        if not term_is_over or not await self._guard.records.claim(
            standing.fingerprint, doubtful=standing.doubtful
        ):
            raise self._refusal(Outcome.NOT_RUN)
        self.is_trial = True
        self._tried = standing.fingerprint
        self._guard.trials += 1
        self._log.info(
            "request_tried",
            request_id=self._request.request_id,
            fingerprint=self.fingerprint,
            convicted=standing.fingerprint,
            doubtful=standing.doubtful,
            ends=standing.ends,
            trials=standing.trials + 1,
        )

    async def admit_again(self, outcome: Outcome) -> None:
        """Check that the request may be sent again after a send that failed.

        Waits for the probe of a server that may have ended if that decides it.

        Raises:
            RequestConvicted: The request is refused for now.
        """
        if self._is_unsuspicious or self.is_trial:
            return
        if self._guard.standing(self.fingerprint).ends + self._pending >= _ENDS_FOR_LAST_SERVER:
            await self._guard.monitor.probed(self.fingerprint)
        if self._guard.standing(self.fingerprint).convicted:
            raise self._refusal(outcome)
        self._spare_last_server(outcome)

    def answered(self) -> None:
        """Record that a server answered the request."""
        if not self._request.owed:
            self._guard.answered(self.fingerprint)

    def broke(self, backend: Backend, sent_ms: int) -> None:
        """Record that a send broke after the server may have run the request."""
        if not self._request.owed:
            self._guard.monitor.send_broke(backend, self._send(sent_ms))

    def unanswered(self, backend: Backend, sent_ms: int) -> None:
        """Record that a send was given up without an answer."""
        if not self._request.owed:
            self._guard.monitor.send_unanswered(backend, self._send(sent_ms))

    def finished(self, outcome: Outcome) -> None:
        """Give back the claim of a trial in which no server ran the request."""
        if self.is_trial and outcome is Outcome.NOT_RUN:
            self._guard.records.release(self._tried)

    def now_ms(self) -> int:
        """Return the store's time, which hosts can compare."""
        return self._guard.now_ms()

    @property
    def _is_unsuspicious(self) -> bool:
        """Whether the request needs no look at the history, and so no fingerprint."""
        if self._request.owed:
            return True
        return self._guard.history.empty and not self._guard.monitor.watching

    @property
    def _pending(self) -> int:
        return self._guard.monitor.pending(self.fingerprint)

    def _send(self, sent_ms: int) -> UnansweredSend:
        return UnansweredSend(fingerprint=self.fingerprint, sent_ms=sent_ms)

    def _spare_last_server(self, outcome: Outcome) -> None:
        """Refuse a suspect whose next run could leave its service without a server."""
        ends = self._guard.standing(self.fingerprint).ends
        if ends >= _ENDS_FOR_LAST_SERVER and self._guard.is_down_to_one(self._service):
            raise self._refusal(outcome, "its service has one server left", _LAST_SERVER_RETRY_S)

    def _refusal(
        self, outcome: Outcome, reason: str = "convicted", retry_after_s: float = 0.0
    ) -> RequestConvicted:
        standing = self._guard.standing_on_arrival(self.fingerprint)
        remaining_s = (standing.refused_until_ms - self._guard.now_ms()) / 1000
        self._guard.refusals += 1
        self._log.info(
            "request_refused_as_convicted",
            request_id=self._request.request_id,
            fingerprint=self.fingerprint,
            convicted=standing.fingerprint,
            doubtful=standing.doubtful,
            crashes=standing.ends,
            trials=standing.trials,
            reason=reason,
        )
        return RequestConvicted(
            f"request {self._request.request_id} is refused: the processes of {standing.ends} "
            "servers ended under such requests",
            outcome=outcome,
            retry_after_s=round(max(_MIN_RETRY_S, retry_after_s, remaining_s), 2),
        )
