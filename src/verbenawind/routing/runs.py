"""Runs generations as a sequence of attempts: retries, resumption and trials of suspects."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    DeadlineExceeded,
    Outcome,
    VerbenawindError,
)
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import EngineEvent, GenerateRequest, WorkKind
from verbenawind.kernel.ports import BackendClients, PeerBus
from verbenawind.metrics import Metrics
from verbenawind.routing.attempts import CrashDetector, FailureCause, stream
from verbenawind.routing.engine_pool import EnginePool, EngineRequirements
from verbenawind.routing.generation_cache import Generation
from verbenawind.routing.retries import RetryBudget, backoff_s
from verbenawind.routing.server_choice import OTHER_REGION_DISTANCE, Choice
from verbenawind.routing.slots import Ticket
from verbenawind.routing.stats import RoutingStats
from verbenawind.routing.suspects import Suspects, request_fingerprint
from verbenawind.routing.trials import TrialCoordinator, TrialRequest

__all__ = ["GenerationRunner", "Run"]

_SERVER_SUSPICION_S = 2.0
_REFUSED_SUSPICION_S = 0.2
_TRIAL_POLL_PERIOD_S = 0.05
_TRIAL_PASS_TOKENS = 16


class Run:
    """The state of one request across its attempts.

    Args:
        request: The generation request.
        generation: The events generated so far.
    """

    __slots__ = (
        "age_at_crash_s",
        "dispatched",
        "excluded",
        "fingerprint",
        "generation",
        "request",
        "retry",
        "trial",
    )

    def __init__(self, request: GenerateRequest, generation: Generation) -> None:
        self.request = request
        self.generation = generation
        self.fingerprint = request_fingerprint(request)
        server_to_avoid = generation.server_id if request.move else None
        self.excluded = {server_to_avoid} if server_to_avoid else set[str]()
        self.retry = 0
        self.dispatched = bool(generation.token_ids)
        self.age_at_crash_s = 0.0
        self.trial: TrialRequest | None = None

    def outcome(self) -> Outcome:
        """Return the outcome to report if the request fails now."""
        return Outcome.MAY_HAVE_RUN if self.dispatched else Outcome.NOT_RUN


class GenerationRunner:
    """Runs generations on the engines of their pools.

    Args:
        fleet: The view of the backend servers.
        clients: Clients of the backend servers.
        clock: Time source.
        rng: Random source for retry jitter.
        peers: The other daemons.
        metrics: Records queue waits and cross-region bytes.
        stats: Routing counters.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        clock: Clock,
        rng: Random,
        peers: PeerBus,
        metrics: Metrics,
        stats: RoutingStats,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._stats = stats
        self._budgets: dict[tuple[str, WorkKind], RetryBudget] = {}
        self._suspects = Suspects(clock, peers)
        self._trials = TrialCoordinator(fleet, peers, clock)
        self._crash_detector = CrashDetector(fleet, clients)
        self._log = structlog.get_logger("routing")

    async def run(self, run: Run, pool: EnginePool) -> AsyncGenerator[EngineEvent, None]:
        """Stream the remaining events, making further attempts as the retry budget allows."""
        request = run.request
        budget = self._budget(request)
        budget.deposit(pool.spec.retry_budget)
        while True:
            self._suspects.raise_if_convicted(request, run.fingerprint, run.outcome())
            if self._suspects.is_suspected(run.fingerprint):
                await self._wait_for_trial(run)
            try:
                async with aclosing(self._attempt(run, pool)) as events:
                    async for event in events:
                        yield event
                return
            except (AdmissionRefused, BackendServerUnreachable, BackendServerFailed) as error:
                if run.generation.superseded or not budget.withdraw(self._clock.monotonic_s()):
                    error.outcome = run.outcome()
                    raise
                self._stats.retries += 1
                wait_s = 0.0 if run.dispatched else backoff_s(run.retry, self._rng)
                run.retry += 1
                self._log.info(
                    "attempt_failed",
                    request_id=request.request_id,
                    error=error.message,
                    held_tokens=len(run.generation.token_ids),
                    retry_in_s=round(wait_s, 4),
                )
            finally:
                await self._end_trial(run)
            await self._clock.sleep(max(0.0, min(wait_s, self._remaining_s(request))))

    async def _attempt(self, run: Run, pool: EnginePool) -> AsyncGenerator[EngineEvent, None]:
        ticket = self._ticket(run)
        try:
            choice = await pool.queue.acquire(ticket)
        except VerbenawindError as error:
            # The queue is not aware of earlier attempts, which may have run.
            error.outcome = run.outcome()
            raise
        started_at_s = self._clock.monotonic_s()
        server_id = choice.server_id
        assert server_id is not None
        run.generation.server_id = server_id
        wait_s = started_at_s - ticket.queued_at_s
        self._stats.count_wait(run.request.kind, wait_s)
        self._metrics.observe_queue_wait(run.request.environment, run.request.kind, wait_s)
        if run.trial is not None:
            pool.trial_servers.add(server_id)
        view = self._fleet.view(server_id)
        try:
            if view is None or view.leaving:
                raise BackendServerUnreachable(
                    f"engine {server_id} is leaving or no longer registered"
                )
            if run.trial is None and self._suspects.is_suspected(run.fingerprint):
                raise BackendServerUnreachable("the request became suspected while it was queued")
            async with aclosing(self._stream(run, pool, view, choice)) as events:
                async for event in events:
                    yield event
            pool.queue.hold_times[ticket.kind].observe(self._clock.monotonic_s() - started_at_s)
        except (AdmissionRefused, BackendServerUnreachable, BackendServerFailed) as error:
            run.excluded.add(server_id)
            await self._handle_failure(run, pool, view, error, started_at_s)
            raise
        finally:
            if run.trial is not None:
                pool.trial_servers.discard(server_id)
            pool.queue.release(ticket, server_id)

    async def _stream(
        self, run: Run, pool: EnginePool, view: ServerView, choice: Choice
    ) -> AsyncGenerator[EngineEvent, None]:
        request, generation = run.request, run.generation
        started_at_s = self._clock.monotonic_s()
        held_count, first = len(generation.token_ids), True
        self._stats.count_choice(choice.is_first_preference)
        events = stream(self._clients, view, request, generation, self._clock)
        sent_bytes, received_bytes = len(request.prompt), -generation.size_bytes
        try:
            async for event in events:
                run.dispatched = True
                if first:
                    first = False
                    ttft_s = self._clock.monotonic_s() - started_at_s
                    pool.observe_ttft(view.server.server_id, ttft_s)
                yield event
                if (
                    run.trial is not None
                    and len(generation.token_ids) - held_count >= _TRIAL_PASS_TOKENS
                ):
                    await self._pass_trial(run)
            await self._pass_trial(run)
        finally:
            await events.aclose()
            received_bytes += generation.size_bytes
            if choice.distance == OTHER_REGION_DISTANCE:
                self._count_cross_region_bytes(view, sent_bytes, received_bytes)

    def _count_cross_region_bytes(
        self, view: ServerView, sent_bytes: int, received_bytes: int
    ) -> None:
        own, other = self._fleet.location.region, view.server.location.region
        self._stats.cross_region_bytes += sent_bytes + received_bytes
        self._metrics.add_cross_region_bytes(own, other, sent_bytes)
        self._metrics.add_cross_region_bytes(other, own, received_bytes)

    async def _handle_failure(
        self,
        run: Run,
        pool: EnginePool,
        view: ServerView | None,
        error: VerbenawindError,
        started_at_s: float,
    ) -> None:
        """Update the state of the engine and of the request after a failed attempt."""
        if view is None:
            return
        server_id = view.server.server_id
        if isinstance(error, AdmissionRefused):
            pool.record_refusal(server_id)
            self._fleet.suspect(server_id, error.retry_after_s or _REFUSED_SUSPICION_S)
            # The probed status tells whether the engine refuses because it is leaving.
            await self._crash_detector.diagnose(view)
            return
        self._fleet.suspect(server_id, _SERVER_SUSPICION_S)
        if not isinstance(error, BackendServerFailed) or run.generation.superseded:
            return
        run.dispatched = True
        failure = await self._crash_detector.diagnose(view)
        if failure is not FailureCause.CRASH:
            return
        crash_id = f"{server_id}/{view.server.incarnation}"
        age_s = self._clock.monotonic_s() - started_at_s
        if run.trial is not None:
            self._suspects.convict(run.fingerprint, crash_id)
        else:
            self._suspects.add_suspicion(run.fingerprint, crash_id)
            run.excluded.clear()
            run.excluded.add(server_id)
            run.age_at_crash_s = age_s

    # Trials of suspects.

    async def _wait_for_trial(self, run: Run) -> None:
        pending_trial = self._new_trial(run)
        while self._suspects.is_suspected(run.fingerprint):
            self._suspects.raise_if_convicted(run.request, run.fingerprint, run.outcome())
            if self._remaining_s(run.request) <= 0:
                raise DeadlineExceeded(
                    f"request {run.request.request_id} is suspected of crashing engines and "
                    "got no isolated trial before its deadline",
                    outcome=run.outcome(),
                    retry_after_s=_SERVER_SUSPICION_S,
                )
            if await self._trials.request_start(pending_trial):
                run.trial = pending_trial
                return
            await self._clock.sleep(_TRIAL_POLL_PERIOD_S)

    async def _pass_trial(self, run: Run) -> None:
        if run.trial is not None:
            self._suspects.clear_suspicion(run.fingerprint)
            await self._end_trial(run)

    async def _end_trial(self, run: Run) -> None:
        trial, run.trial = run.trial, None
        if trial is not None:
            await self._trials.end(trial)

    @staticmethod
    def _new_trial(run: Run) -> TrialRequest:
        return TrialRequest(
            pool=run.request.pool,
            fingerprint=run.fingerprint,
            trial_id=new_id("trial"),
            age_s=run.age_at_crash_s,
        )

    # Helpers.

    def _ticket(self, run: Run) -> Ticket:
        request = run.request
        requirements = EngineRequirements(request, set(run.excluded), trial=run.trial is not None)
        return Ticket(
            request_id=request.request_id,
            caller=f"{request.environment}/{request.caller}",
            kind=request.kind,
            weight=1.0 + request.priority,
            lane=(request.model, request.min_version, requirements.trial),
            deadline_s=request.deadline_s,
            resumed=run.dispatched,
            payload=requirements,
        )

    def _budget(self, request: GenerateRequest) -> RetryBudget:
        key = (request.pool, request.kind)
        if key not in self._budgets:
            self._budgets[key] = RetryBudget(self._clock.monotonic_s())
        return self._budgets[key]

    def _remaining_s(self, request: GenerateRequest) -> float:
        return request.deadline_s - self._clock.monotonic_s()
