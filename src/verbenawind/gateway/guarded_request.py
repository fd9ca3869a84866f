"""One caller's request across its sends, refused or tried as the crash guard decides."""

import math

import structlog

from verbenawind.errors import Outcome, RequestConvicted
from verbenawind.gateway.balance import no_server_error
from verbenawind.gateway.crash_guard import CrashGuard
from verbenawind.gateway.crash_standing import Standing
from verbenawind.gateway.directory import Backend
from verbenawind.gateway.fingerprints import request_fingerprint
from verbenawind.gateway.ports import CallerRequest
from verbenawind.gateway.server_ends import incarnation_of
from verbenawind.gateway.unanswered_sends import SendInFlight, UnansweredSend

__all__ = ["GuardedRequest"]

# A request under which so many servers ended doesn't get the last server that its service has left.
_ENDS_FOR_LAST_SERVER = 2
_LAST_SERVER_RETRY_S = 1.0
# Shortest time after which a send that no server answers is overdue.
_MIN_PATIENCE_S = 1.0
_SERVER_ERROR = 500
# Shortest time to return for a caller that met the trial of another one.
_MIN_RETRY_S = 0.25


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
        # Its standing when its trial was claimed.
        self._tried = Standing()
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
            NoBackendServer: It would be tried now, but no server of its service is up.
        """
        if self._is_unsuspicious:
            return
        standing = await self._guard.standing_after_trial(self.fingerprint)
        if not standing.convicted:
            self._spare_last_server(Outcome.NOT_RUN)
            return
        term_is_over = standing.refused_until_ms <= self._guard.now_ms()
        if term_is_over and self._guard.is_down(self._service):
            # The trial would fail at a process that has ended already.
            self._log.info(
                "trial_postponed", request_id=self._request.request_id, fingerprint=self.fingerprint
            )
            raise no_server_error(self._service)
        if not term_is_over or not await self._guard.records.claim(
            standing.fingerprint,
            doubtful=standing.doubtful,
            caller=standing.series,
        ):
            raise self._refusal(Outcome.NOT_RUN)
        self.is_trial = True
        self._tried = standing
        self._guard.trials += 1
        self._log.info(
            "request_tried",
            request_id=self._request.request_id,
            fingerprint=self.fingerprint,
            convicted=standing.fingerprint,
            culprit=standing.culprit,
            doubtful=standing.doubtful,
            ends=standing.ends,
            trials=standing.trials + 1,
        )

    async def admit_again(self, outcome: Outcome) -> None:
        """Check that the request may be sent again after a send that failed.

        Waits for the probe of a server that may have ended if that decides it.

        Raises:
            RequestConvicted: The request is refused for now.
            NoBackendServer: It is convicted, and no server of its service is up.
        """
        if self._is_unsuspicious or self.is_trial:
            return
        if self._guard.standing(self.fingerprint).ends + self._pending >= _ENDS_FOR_LAST_SERVER:
            await self._guard.monitor.probed(self.fingerprint)
        if self._guard.standing(self.fingerprint).convicted:
            if self._guard.is_down(self._service):
                raise no_server_error(self._service, outcome)
            raise self._refusal(outcome)
        self._spare_last_server(outcome)

    def begin(self, backend: Backend, patience_s: float) -> SendInFlight:
        """Follow a send of the request, until one of the methods below ends it.

        Args:
            backend: The server that it is sent to.
            patience_s: Time after which the server is probed if it has not answered anything.
        """
        if self._request.owed:
            # Never suspected, so its server isn't watched.
            return SendInFlight(backend, UnansweredSend(fingerprint="", sent_ms=0))
        send = UnansweredSend(fingerprint=self.fingerprint, sent_ms=self.now_ms())
        return self._guard.monitor.begin(backend, send, max(patience_s, _MIN_PATIENCE_S))

    def answered(self, send: SendInFlight, status: int) -> None:
        """Record that a server answered the request, which may have been an error of its own."""
        self._guard.monitor.finish(send)
        if self._request.owed or status >= _SERVER_ERROR:
            return
        self._guard.answered(self.fingerprint)
        if self.is_trial:
            self._pass_trial()

    def broke(self, send: SendInFlight) -> None:
        """Record that a send broke after the server may have run the request."""
        if self._request.owed:
            return
        if self.is_trial:
            self._guard.trial_broke(self.fingerprint, self._tried, incarnation_of(send.backend))
        self._guard.monitor.send_broke(send, self.now_ms())

    def unanswered(self, send: SendInFlight) -> None:
        """Record that a send was given up without an answer."""
        if not self._request.owed:
            self._guard.monitor.send_unanswered(send)

    def not_run(self, send: SendInFlight) -> None:
        """Record that a server did not run a send, or need not answer it any more."""
        self._guard.monitor.finish(send)

    def finished(self, outcome: Outcome) -> None:
        """Give back the claim of a trial in which no server ran the request."""
        if self.is_trial and outcome is Outcome.NOT_RUN:
            self._release()

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

    def _pass_trial(self) -> None:
        """Give the trial back, which speaks for this caller alone."""
        self._log.info("trial_passed", fingerprint=self.fingerprint, culprit=self._tried.culprit)
        if self._tried.culprit:
            self._guard.records.pass_trial(self.fingerprint)
        self._release()

    def _release(self) -> None:
        self._guard.records.release(self._tried.fingerprint, self._tried.series)

    def _spare_last_server(self, outcome: Outcome) -> None:
        """Refuse a suspect whose next run could leave its service without a server."""
        ends = self._guard.standing(self.fingerprint).own_ends
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
            culprit=standing.culprit,
            doubtful=standing.doubtful,
            crashes=standing.ends,
            trials=standing.trials,
            reason=reason,
        )
        return RequestConvicted(
            f"request {self._request.request_id} is refused: the processes of {standing.ends} "
            "servers ended under such requests",
            outcome=outcome,
            # Rounded up, as the caller is refused once more if it returns too early.
            retry_after_s=math.ceil(max(_MIN_RETRY_S, retry_after_s, remaining_s) * 100) / 100,
        )
