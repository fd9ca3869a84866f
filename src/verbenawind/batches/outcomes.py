"""Applies the outcome of a run on one engine to its item and to the engine's state."""

from collections.abc import Callable

import structlog

from verbenawind.batches.engine_selection import EngineSelector
from verbenawind.batches.item_run import RunEnd, RunOutcome
from verbenawind.batches.ordering import EngineChoice
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.types import ItemResult, ResultState
from verbenawind.batches.unfinished_work import UnfinishedWork
from verbenawind.clock import Clock
from verbenawind.gateway import Backend, Route

__all__ = ["OutcomeHandler"]

# Delay before an item is retried after its engine could not be reached.
_RETRY_S = 0.05


class OutcomeHandler:
    """Completes or terminates items, or prepares them for their next run.

    Args:
        engines: Records refusals of engines.
        newest_version: Returns the newest published version of a model.
        unfinished_work: Partial texts of earlier jobs.
        clock: Time source.
    """

    __slots__ = ("_clock", "_engines", "_log", "_newest_version", "_unfinished_work")

    def __init__(
        self,
        engines: EngineSelector,
        newest_version: Callable[[str], int],
        unfinished_work: UnfinishedWork,
        clock: Clock,
    ) -> None:
        self._engines = engines
        self._newest_version = newest_version
        self._unfinished_work = unfinished_work
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
                self._finish(job, work)
            case RunEnd.REFUSED:
                if outcome.other_version and not choice.probing:
                    newest_named = self._newest_version(model)
                    backend.record_version(model, max(newest_named, backend.versions.get(model, 0)))
                self._engines.record_refusal(name, probing=choice.probing)
                if excluded_as_slow:
                    # Running on the slow engine is better than waiting.
                    work.excluded = set()
                work.not_before_s = now_s
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

    def _finish(self, job: OwnedJob, work: ItemWork) -> None:
        self._unfinished_work.discard_text(work.item.item_id)
        result = ItemResult(
            item_id=work.item.item_id,
            state=ResultState.COMPLETED,
            text=work.partial.text,
            versions=tuple(sorted(work.partial.versions)),
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
