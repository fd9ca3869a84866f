"""Decides what the end of a run at one engine means for its item and for the engine."""

from collections.abc import Callable

import structlog

from verbenawind.batches.engine_view import EngineView
from verbenawind.batches.item_run import RunEnd, RunOutcome
from verbenawind.batches.leftovers import Leftovers
from verbenawind.batches.ordering import EngineChoice
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.types import ItemResult, ResultState
from verbenawind.clock import Clock
from verbenawind.gateway import Backend, Route

__all__ = ["ItemOutcomes"]

# The pause before an item goes on elsewhere when an engine could not be reached.
_RETRY_S = 0.05


class ItemOutcomes:
    """Finishes items, gives them up, or marks where they may go on.

    Args:
        engines: What is known of engines.
        newest_version: The newest named version of a model.
        leftovers: Texts of earlier jobs.
        clock: Time source.
    """

    __slots__ = ("_clock", "_engines", "_leftovers", "_log", "_newest_version")

    def __init__(
        self,
        engines: EngineView,
        newest_version: Callable[[str], int],
        leftovers: Leftovers,
        clock: Clock,
    ) -> None:
        self._engines = engines
        self._newest_version = newest_version
        self._leftovers = leftovers
        self._clock = clock
        self._log = structlog.get_logger("batches")

    def learn(
        self,
        job: OwnedJob,
        work: ItemWork,
        route: Route,
        backend: Backend,
        choice: EngineChoice,
        outcome: RunOutcome,
        held_before: int,
    ) -> None:
        """Finish an item, or decide what its end at one engine means for the next run."""
        now_s = self._clock.monotonic_s()
        name = backend.instance.instance_id
        model = job.stored.record.model
        if len(work.held.events) > held_before and work.held.last_version is not None:
            backend.learn_version(model, work.held.last_version)
        excluded_for_pace, work.excluded_for_pace = work.excluded_for_pace, False
        match outcome.end:
            case RunEnd.WHOLE:
                backend.succeeded(0.0)
                self._finish(job, work)
            case RunEnd.REFUSED:
                if outcome.other_version and not choice.probing:
                    newest_named = self._newest_version(model)
                    backend.learn_version(model, max(newest_named, backend.versions.get(model, 0)))
                self._engines.refused(name, probing=choice.probing)
                if excluded_for_pace:
                    # Better to go on where it is slow than to wait.
                    work.excluded = set()
                work.not_before_s = now_s
            case RunEnd.SLOW:
                work.moves += 1
                work.excluded = {name}
                work.excluded_for_pace = True
            case RunEnd.IMPOSSIBLE:
                self.terminate(job, work, "the engine can never run it")
            case RunEnd.FAILED:
                work.failures += 1
                work.excluded = {name}
                if work.failures >= route.max_attempts:
                    self.terminate(job, work, f"it failed {work.failures} times")
            case RunEnd.TOO_OLD:
                backend.learn_version(model, 0)
                work.excluded = {name}
            case RunEnd.UNREACHABLE | RunEnd.BROKEN | RunEnd.STALLED:
                backend.failed()
                work.excluded = {name}
                work.not_before_s = now_s + (_RETRY_S if outcome.end is RunEnd.UNREACHABLE else 0)

    def _finish(self, job: OwnedJob, work: ItemWork) -> None:
        self._leftovers.finished(work.item.item_id)
        result = ItemResult(
            item_id=work.item.item_id,
            state=ResultState.COMPLETED,
            text=work.held.text,
            versions=tuple(sorted(work.held.versions)),
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
