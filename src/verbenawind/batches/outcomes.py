"""Applies the outcome of a run on one engine to its item and to the engine's state."""

from collections.abc import Callable

import structlog

from verbenawind.batches.engine_selection import EngineSelector
from verbenawind.batches.item_run import RunEnd, RunOutcome
from verbenawind.batches.ordering import EngineChoice
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.scoring import ScoreEnd, ScoreOutcome
from verbenawind.batches.types import ItemResult, ResultState
from verbenawind.clock import Clock
from verbenawind.gateway import Backend, Route

__all__ = ["OutcomeHandler"]

# Delay before an item is retried after its engine could not be reached.
_RETRY_S = 0.05
# Delay before a scoring call is repeated that no server has answered.
_SCORE_RETRY_S = 0.1


class OutcomeHandler:
    """Completes or terminates items, or prepares them for their next run.

    Args:
        engines: Records refusals of engines.
        newest_version: Returns the newest published version of a model.
        clock: Time source.
    """

    __slots__ = ("_clock", "_engines", "_log", "_newest_version")

    def __init__(
        self,
        engines: EngineSelector,
        newest_version: Callable[[str], int],
        clock: Clock,
    ) -> None:
        self._engines = engines
        self._newest_version = newest_version
        self._clock = clock
        self._log = structlog.get_logger("batches")

    def handle(
        self,
        job: OwnedJob,
        work: ItemWork,
        route: Route,
        backend: Backend,
        choice: EngineChoice,
        outcome: RunOutcome,
        events_before: int,
    ) -> None:
        """Complete or terminate an item, or record which engines its next run has to avoid."""
        now_s = self._clock.monotonic_s()
        name = backend.instance.instance_id
        model = job.stored.record.model
        if len(work.partial.events) > events_before and work.partial.last_version is not None:
            backend.record_version(model, work.partial.last_version)
        excluded_as_slow, work.excluded_as_slow = work.excluded_as_slow, False
        match outcome.end:
            case RunEnd.COMPLETE:
                backend.succeeded(0.0)
                work.partial.complete = True
                work.text_complete_at_s = now_s
                work.not_before_s = now_s
                if work.item.scoring is None:
                    self.finish(job, work)
            case RunEnd.REFUSED:
                if outcome.other_version and not choice.probing:
                    newest_named = self._newest_version(model)
                    backend.record_version(model, max(newest_named, backend.versions.get(model, 0)))
                self._engines.record_refusal(name, probing=choice.probing)
                if excluded_as_slow:
                    # Running on the slow engine is better than waiting.
                    work.excluded = set()
                work.not_before_s = now_s
            case RunEnd.LIMITED:
                work.not_before_s = now_s + _RETRY_S
            case RunEnd.SLOW:
                work.moves += 1
                work.excluded = {name}
                work.excluded_as_slow = True
            case RunEnd.IMPOSSIBLE:
                self.terminate(job, work, "an engine rejected it as impossible to run")
            case RunEnd.FAILED:
                work.failures += 1
                work.excluded = {name}
                if work.failures >= route.max_attempts:
                    self.terminate(job, work, f"failed {work.failures} times")
            case RunEnd.TOO_OLD:
                backend.record_version(model, 0)
                work.excluded = {name}
            case RunEnd.UNREACHABLE | RunEnd.BROKEN | RunEnd.STALLED:
                backend.failed()
                work.excluded = {name}
                work.not_before_s = now_s + (_RETRY_S if outcome.end is RunEnd.UNREACHABLE else 0)

    def handle_score(self, job: OwnedJob, work: ItemWork, outcome: ScoreOutcome) -> None:
        """Complete or terminate an item whose scoring call has ended, or schedule the next call."""
        work.score_failures += outcome.failures
        match outcome.end:
            case ScoreEnd.SCORED:
                self.finish(job, work, outcome.score)
            case ScoreEnd.IMPOSSIBLE:
                self.terminate(job, work, "its scoring call was rejected as impossible")
            case ScoreEnd.FAILED if work.score_failures >= outcome.max_failures:
                self.terminate(job, work, f"its scoring call failed {work.score_failures} times")
            case ScoreEnd.FAILED | ScoreEnd.UNANSWERED:
                work.not_before_s = self._clock.monotonic_s() + _SCORE_RETRY_S

    def finish(self, job: OwnedJob, work: ItemWork, score: str = "") -> None:
        """List an item's complete text, with its score if the item has a scoring call."""
        job.completed[work.item.item_id] = work.partial
        result = ItemResult(
            item_id=work.item.item_id,
            state=ResultState.COMPLETED,
            text=work.partial.text,
            versions=tuple(sorted(work.partial.versions)),
            score=score,
        )
        job.finish(result, self._clock.monotonic_s())

    def terminate(self, job: OwnedJob, work: ItemWork, reason: str) -> None:
        self._log.info(
            "item_terminated",
            job_id=job.job_id,
            request_id=work.item.item_id,
            reason=reason,
            failures=work.failures,
        )
        result = ItemResult(item_id=work.item.item_id, state=ResultState.TERMINATED, text="")
        job.finish(result, self._clock.monotonic_s())
