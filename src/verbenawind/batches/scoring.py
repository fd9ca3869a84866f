"""Obtains the scores of complete texts from scoring services.

An item with a scoring call has two stages: an engine generates its text, then the call is sent with
the text complete. The calls use the routes, retries and hedging of callers' requests.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable
from enum import StrEnum
from typing import Any, Protocol

import msgspec
import structlog

from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.types import ScoringCall
from verbenawind.clock import Clock
from verbenawind.errors import VerbenawindError
from verbenawind.gateway import (
    CallerRequest,
    Directory,
    Reply,
    Route,
    RouteKind,
    RouteTable,
    service_of,
)
from verbenawind.kernel.messages import Value
from verbenawind.timings import Timing, Timings

__all__ = ["RequestForwarder", "ScoreEnd", "ScoreOutcome", "ScoringStage"]

# Fraction of a service's slots that the scoring calls of one daemon may occupy; the others are left
# to applications and to other daemons.
_SLOT_FRACTION = 0.5
# Time limit of a call whose route sets none.
_DEFAULT_CALL_S = 3.0
_SERVER_ERROR = 500
_UNPROCESSABLE = 422


class ScoreEnd(StrEnum):
    """How a scoring call ended."""

    SCORED = "scored"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    UNANSWERED = "unanswered"


class ScoreOutcome(Value, frozen=True, kw_only=True):
    """The end of a scoring call.

    Attributes:
        end: How it ended.
        score: The signature of the response, if the call succeeded.
        failures: Number of responses with status 500 among its sends.
        max_failures: Number of such responses after which the item cannot be scored.
        detail: Details for the log.
    """

    end: ScoreEnd
    score: str = ""
    failures: int = 0
    max_failures: int = 1
    detail: str = ""


class _Urgency(Value, frozen=True, kw_only=True, order=True):
    """An item's sort key among the texts that wait for a score; lower ones are scored first."""

    awaited: int
    unfinished_in_group: int
    text_complete_at_s: float
    item_id: str


class RequestForwarder(Protocol):
    """Port that sends requests to services, with retries."""

    async def forward(self, request: CallerRequest, route: Route, service: str) -> Reply:
        """Return a server's response.

        Raises:
            VerbenawindError: No server responded.
        """


class ScoringStage:
    """Sends the scoring calls of complete texts, within a share of each service's slots.

    The last missing item of a group is scored first, so that the group is complete sooner.

    Args:
        forwarder: Sends the calls.
        directory: Known servers of the scoring services.
        on_outcome: Called with the end of each call.
        create_task: Starts a call.
        timings: Records durations for the metrics.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_create_task",
        "_directory",
        "_forwarder",
        "_in_flight",
        "_log",
        "_on_outcome",
        "_timings",
        "counts",
    )

    def __init__(
        self,
        forwarder: RequestForwarder,
        directory: Directory,
        *,
        on_outcome: Callable[[OwnedJob, ItemWork, ScoreOutcome], None],
        create_task: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        timings: Timings,
        clock: Clock,
    ) -> None:
        self._forwarder = forwarder
        self._directory = directory
        self._on_outcome = on_outcome
        self._create_task = create_task
        self._timings = timings
        self._clock = clock
        self._in_flight: Counter[str] = Counter()
        self.counts: Counter[ScoreEnd] = Counter()
        self._log = structlog.get_logger("batches")

    def start_calls(
        self,
        jobs: Iterable[OwnedJob],
        table: RouteTable,
        time_for_call_s: Callable[[OwnedJob, ItemWork], float],
    ) -> None:
        """Start the calls that are due, as many as the limits of their services allow.

        Args:
            jobs: The jobs of this daemon.
            table: The routes in force.
            time_for_call_s: Returns how long an item's call may take, 0 if the item gets none.
        """
        now_s = self._clock.monotonic_s()
        due: list[tuple[_Urgency, OwnedJob, ItemWork]] = []
        for job in jobs:
            works = [work for work in job.awaiting_score if work.not_before_s <= now_s]
            unfinished = job.unfinished_by_group() if works else {}
            for work in works:
                # The text of a job that was taken over was completed by another daemon.
                work.text_complete_at_s = work.text_complete_at_s or now_s
                urgency = _Urgency(
                    awaited=work.rank.awaited,
                    unfinished_in_group=unfinished[work.item.group],
                    text_complete_at_s=work.text_complete_at_s,
                    item_id=work.item.item_id,
                )
                due.append((urgency, job, work))
        due.sort(key=lambda entry: entry[0])
        for _, job, work in due:
            left_s = time_for_call_s(job, work)
            if left_s > 0:
                self._start(job, work, table, left_s)

    def _start(self, job: OwnedJob, work: ItemWork, table: RouteTable, left_s: float) -> None:
        call = work.item.scoring
        if call is None:
            return
        route = table.match(call.host, call.path.partition("?")[0])
        if route is None:
            return
        service = service_of(route, call.call_id)
        if self._in_flight[service] >= self._limit(service):
            return
        item_route = table.match(job.submission.host, work.item.path.partition("?")[0])
        max_failures = max(route.max_attempts, item_route.max_attempts if item_route else 1)
        self._in_flight[service] += 1
        work.task = self._create_task(
            self._call(job, work, call, route, service, left_s, max_failures)
        )
        # A task that is cancelled before it starts runs none of its own code.
        work.task.add_done_callback(lambda _: self._release(service))

    def _release(self, service: str) -> None:
        self._in_flight[service] -= 1

    def _limit(self, service: str) -> int:
        slots = sum(backend.instance.slots for backend in self._directory.backends(service))
        return max(1, int(slots * _SLOT_FRACTION))

    async def _call(
        self,
        job: OwnedJob,
        work: ItemWork,
        call: ScoringCall,
        route: Route,
        service: str,
        left_s: float,
        max_failures: int,
    ) -> None:
        started_s = self._clock.monotonic_s()
        request = CallerRequest(
            request_id=call.call_id,
            method="POST",
            host=call.host,
            target=call.path,
            headers=(),
            body=call.body,
            arrived_s=started_s,
            deadline_s=started_s + min(left_s, route.timeout_s or _DEFAULT_CALL_S),
            owed=True,
        )
        try:
            outcome = await self._send(request, route, service, max_failures)
        finally:
            work.task = None
        now_s = self._clock.monotonic_s()
        self.counts[outcome.end] += 1
        if outcome.end is ScoreEnd.SCORED:
            self._timings.observe(Timing.ITEM_SCORE, now_s - work.text_complete_at_s)
        self._log.info(
            "score_call",
            job_id=job.job_id,
            request_id=work.item.item_id,
            group=work.item.group,
            call_id=call.call_id,
            service=service,
            end=outcome.end.value,
            detail=outcome.detail,
            failures=work.score_failures + outcome.failures,
            waited_s=round(started_s - work.text_complete_at_s, 3),
            took_s=round(now_s - started_s, 3),
        )
        self._on_outcome(job, work, outcome)

    async def _send(
        self, request: CallerRequest, route: Route, service: str, max_failures: int
    ) -> ScoreOutcome:
        # Scoring calls may be repeated, whatever other requests of the route allow.
        repeatable = msgspec.structs.replace(route, kind=RouteKind.IDEMPOTENT)
        try:
            reply = await self._forwarder.forward(request, repeatable, service)
        except VerbenawindError as error:
            return ScoreOutcome(end=ScoreEnd.UNANSWERED, detail=error.message)
        if reply.rest is not None:
            reply.rest.close()
            return ScoreOutcome(end=ScoreEnd.UNANSWERED, detail="the response is too large")
        detail = f"status {reply.status}"
        if 200 <= reply.status < 300 and reply.signature:
            return ScoreOutcome(end=ScoreEnd.SCORED, score=reply.signature, detail=detail)
        if reply.status == _UNPROCESSABLE:
            return ScoreOutcome(end=ScoreEnd.IMPOSSIBLE, detail=detail)
        return ScoreOutcome(
            end=ScoreEnd.FAILED if reply.status == _SERVER_ERROR else ScoreEnd.UNANSWERED,
            failures=reply.server_errors,
            max_failures=max_failures,
            detail=detail,
        )
