"""Selects engines for items and decides when a run moves to a faster engine."""

import math
from collections.abc import Callable, Mapping, Sequence

from verbenawind.batches.ordering import EngineChoice, EngineState, choose_engine
from verbenawind.batches.owned_job import ItemWork
from verbenawind.batches.paces import EnginePaces, RunPace
from verbenawind.batches.types import JobRecord
from verbenawind.clock import Clock
from verbenawind.gateway import Allowances, Backend, Directory, Permit

__all__ = ["EngineSelector"]

# An engine that refuses an item is usually swapping its weights. Until it accepts again, it is
# sent one item per this interval.
_REFUSAL_BACKOFF_S = 0.08
# No run moves to an engine for this long after a refusal, about the duration of a weight load.
_WEIGHT_LOAD_S = 1.0
# Interval between probes of an engine that may have loaded newer weights.
_PROBE_PERIOD_S = 0.12


class EngineSelector:
    """Selects engines by load, pace, weight version and recent refusals.

    Args:
        directory: Known engines.
        newest_version: Returns the newest published version of a model.
        current_engines: Returns the engines of a service that are kept up to date with a model.
        loads_soon: Returns whether an engine is about to load newer weights of a model.
        allowances: Gives items their turns at engines that limit them.
        clock: Time source.
    """

    __slots__ = (
        "_allowances",
        "_clock",
        "_current_engines",
        "_directory",
        "_loads_soon",
        "_newest_version",
        "_probed_at_s",
        "_refused_at_s",
        "_refused_until_s",
        "paces",
    )

    def __init__(
        self,
        directory: Directory,
        newest_version: Callable[[str], int],
        current_engines: Callable[[str, str], frozenset[str]],
        loads_soon: Callable[[str, str], bool],
        allowances: Allowances,
        clock: Clock,
    ) -> None:
        self._allowances = allowances
        self._directory = directory
        self._newest_version = newest_version
        self._current_engines = current_engines
        self._loads_soon = loads_soon
        self._clock = clock
        self._refused_until_s: dict[str, float] = {}
        self._refused_at_s: dict[str, float] = {}
        self._probed_at_s: dict[tuple[str, str], float] = {}
        self.paces = EnginePaces(clock)

    def engines(
        self, service: str, model: str, work: ItemWork, *, single_version: bool
    ) -> Mapping[str, Backend]:
        """Return the engines that may run an item, by id.

        On a route whose results may not mix weight versions, partial output is discarded if no
        engine has a version that could continue it.
        """
        engines = {
            engine.instance.instance_id: engine
            for engine in self._directory.backends(service)
            if not model or model in engine.versions
        }
        if not single_version or not work.partial.versions:
            return engines
        compatible = {
            name: engine
            for name, engine in engines.items()
            if engine.versions.get(model) in work.partial.versions
        }
        if not compatible:
            work.partial.clear()
        return compatible or engines

    def choose(
        self,
        engines: Mapping[str, Backend],
        service: str,
        record: JobRecord,
        work: ItemWork,
        *,
        waiting: int,
    ) -> EngineChoice | None:
        """Return the engine that should run an item, or None if none has a free slot.

        Without a choice, turns are reserved at the engines that limit the requests that they take.

        Args:
            engines: The engines that may run the item.
            service: Their service.
            record: The item's job.
            work: The item.
            waiting: Number of items that wait for an engine.
        """
        now_s = self._clock.monotonic_s()
        model = record.model
        current = self._current_engines(model, service) if model else frozenset()
        states = [
            EngineState(
                instance_id=name,
                slots=self.paces.room(name, engine.instance.slots, engines),
                outstanding=engine.outstanding,
                pace_s=self.paces.pace_s(name),
                version=engine.versions.get(model, 0) if model else 0,
                suspected=engine.suspected,
                limited=self._allowances.is_limited(engine.instance),
                share=engine.instance.slots
                / _models_per_engine(engine, len(current), len(engines)),
            )
            for name, engine in engines.items()
            if self._refused_until_s.get(name, 0.0) <= now_s
            and self._allowances.available(engine.instance)
        ]
        probes = [
            state.instance_id
            for state in states
            if state.instance_id in current
            and self._newest_version(model) >= record.min_version
            and now_s - self._probed_at_s.get((state.instance_id, model), 0.0) > _PROBE_PERIOD_S
        ]
        choice = choose_engine(
            states,
            min_version=record.min_version if model else 0,
            excluded=work.excluded if self._others_have_weights(engines, record, work) else (),
            probes=probes,
        )
        if choice is None:
            self._request_turns(engines, record, work, waiting, current)
        if choice is not None and choice.probing:
            self._probed_at_s[choice.instance_id, model] = now_s
        if choice is not None and self._recently_refused(choice.instance_id):
            self._refused_until_s[choice.instance_id] = now_s + _REFUSAL_BACKOFF_S
        return choice

    def take_permit(self, engine: Backend) -> Permit | None:
        """Return the reserved turn at a chosen engine, None for an unlimited one."""
        return self._allowances.take(engine.instance)

    def _request_turns(
        self,
        engines: Mapping[str, Backend],
        record: JobRecord,
        work: ItemWork,
        waiting: int,
        current: frozenset[str],
    ) -> None:
        """Reserve turns at the limited engines that could run an item.

        Engines that are kept up to date may have loaded the weights without this host knowing.
        """
        may_be_loaded = self._newest_version(record.model) >= record.min_version
        limited = [
            engine
            for name, engine in engines.items()
            if self._allowances.is_limited(engine.instance)
            and not self._allowances.available(engine.instance)
            and engine.outstanding < engine.instance.slots
            and name not in work.excluded
            and (
                not record.model
                or engine.versions.get(record.model, 0) >= record.min_version
                or (may_be_loaded and name in current)
            )
        ]
        # Turns that no item uses are lost, so that no more are reserved than items wait.
        soonest = sorted(limited, key=lambda engine: self._allowances.delay_s(engine.instance))
        for engine in soonest[:waiting]:
            self._allowances.request(engine.instance, math.ceil(waiting / len(limited)))

    def _others_have_weights(
        self, engines: Mapping[str, Backend], record: JobRecord, work: ItemWork
    ) -> bool:
        """Return whether an engine that the item does not avoid has the weights that it accepts."""
        return any(
            name not in work.excluded
            and (not record.model or engine.versions.get(record.model, 0) >= record.min_version)
            for name, engine in engines.items()
        )

    def should_move(
        self, pace: RunPace, others: Sequence[str], record: JobRecord, events: int
    ) -> bool:
        """Return whether an engine with a free slot is faster by enough to justify a move."""
        candidates = self.paces.faster(pace, others, events)
        return any(self._has_room(name, record) for name in candidates)

    def record_refusal(self, instance_id: str, *, probing: bool) -> None:
        """Record that an engine refused an item.

        A refused probe is not recorded: the engine was not expected to have the weights.
        """
        if not probing:
            now_s = self._clock.monotonic_s()
            self._refused_at_s[instance_id] = now_s
            self._refused_until_s[instance_id] = now_s + _REFUSAL_BACKOFF_S

    def record_acceptance(self, instance_id: str) -> bool:
        """Record that an engine accepted an item, and return whether it had refused one before."""
        self._refused_until_s.pop(instance_id, None)
        return self._refused_at_s.pop(instance_id, None) is not None

    def _recently_refused(self, instance_id: str) -> bool:
        refused_at_s = self._refused_at_s.get(instance_id)
        return (
            refused_at_s is not None and self._clock.monotonic_s() - refused_at_s < _WEIGHT_LOAD_S
        )

    def _has_room(self, name: str, record: JobRecord) -> bool:
        engine = self._directory.get(name)
        if engine is None or engine.suspected or engine.announced_leaving:
            return False
        if self._recently_refused(name):
            return False
        if engine.outstanding >= engine.instance.slots:
            return False
        if self._allowances.is_limited(engine.instance):
            # A move would use a turn that a waiting item could have.
            return False
        if not record.model:
            return True
        has_weights = engine.versions.get(record.model, 0) >= record.min_version
        return has_weights and not self._loads_soon(record.model, name)


def _models_per_engine(engine: Backend, current: int, engines: int) -> float:
    """Return the number of models whose jobs share an engine, averaged over the pool."""
    return max(1.0, len(engine.versions) * current / max(1, engines))
