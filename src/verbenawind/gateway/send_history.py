"""Counts the sends of a caller's request, and decides what the caller is told if all fail."""

from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    DeadlineExceeded,
    LimitReached,
    Outcome,
    VerbenawindError,
)
from verbenawind.gateway.balance import no_server_error

__all__ = ["SendHistory"]

# Suggested retry delay when all servers refused: the service usually has capacity again then.
_REFUSED_RETRY_AFTER_S = 0.2


class SendHistory:
    """The sends of one request.

    Only this class says that a request did not run: it does if every send was refused or never
    reached a server, whatever the last of them ended with.

    Args:
        request_id: The request.
        service: The service that it was sent to.
        max_runs: Number of servers that may run it.
        max_sends: Number of sends, including those that servers refuse; None for no limit.
        repeatable: Whether it may be sent again after a server may have run it.
    """

    __slots__ = (
        "_last_error",
        "_limit_retry_after_s",
        "_max_runs",
        "_max_sends",
        "_repeatable",
        "_request_id",
        "_service",
        "possible_runs",
        "sends",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        *,
        max_runs: int,
        max_sends: int | None,
        repeatable: bool,
    ) -> None:
        self._request_id = request_id
        self._service = service
        self._max_runs = max_runs
        self._max_sends = max_sends
        self._repeatable = repeatable
        self._last_error: VerbenawindError | None = None
        self._limit_retry_after_s: float | None = None
        self.sends = 0
        self.possible_runs = 0

    @property
    def outcome(self) -> Outcome:
        """What is known about the request's execution."""
        return Outcome.MAY_HAVE_RUN if self.possible_runs else Outcome.NOT_RUN

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent to one more server."""
        if self.possible_runs and not self._repeatable:
            return False
        if self._max_sends is not None and self.sends >= self._max_sends:
            return False
        return self.possible_runs < self._max_runs

    def sent(self) -> None:
        """Record that the request is sent to a server, which may run it."""
        self.sends += 1
        self.possible_runs += 1

    def refused(self) -> None:
        """Record that a send was refused, or did not reach its server, and so did not run."""
        self.possible_runs -= 1

    def failed(self, error: VerbenawindError) -> None:
        """Record that a send failed after its server may have run the request."""
        self._last_error = error

    def limited(self, retry_after_s: float) -> None:
        """Record that the servers left take no more requests in time, and when to return."""
        self._limit_retry_after_s = retry_after_s

    def final_error(self, *, deadline_passed: bool) -> VerbenawindError:
        """Return the error for the caller, given that no send succeeded.

        Args:
            deadline_passed: Whether the caller has no time left.
        """
        if deadline_passed:
            return DeadlineExceeded(
                f"request {self._request_id} was not answered before its deadline",
                outcome=self.outcome,
            )
        if self._limit_retry_after_s is not None and self.outcome is Outcome.NOT_RUN:
            return LimitReached(
                f"the servers of service {self._service} take no more requests in time",
                retry_after_s=self._limit_retry_after_s,
            )
        if self.sends == 0:
            return no_server_error(self._service)
        if self.outcome is Outcome.NOT_RUN:
            return AdmissionRefused(
                f"{self.sends} servers of service {self._service} refused the request",
                retry_after_s=_REFUSED_RETRY_AFTER_S,
            )
        reason = self._last_error.message if self._last_error else "no response"
        return BackendServerFailed(f"request {self._request_id} failed: {reason}")
