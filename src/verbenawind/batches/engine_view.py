"""What the runner believes of engines as places for items."""

from collections.abc import Callable, Mapping, Sequence

from verbenawind.batches.ordering import EngineChoice, EngineState, choose_engine
from verbenawind.batches.owned_job import ItemWork
from verbenawind.batches.paces import EnginePaces, RunPace
from verbenawind.batches.types import JobRecord
from verbenawind.clock import Clock
from verbenawind.gateway import Backend, Directory

__all__ = ["EngineView"]

# An engine that refuses usually changes its weights. It gets one item so often until it accepts.
_REFUSED_S = 0.08
# For so long after a refusal, which is about the time of a load, no run moves to the engine.
_LOADING_S = 1.0
# An engine that may have newer weights by now is asked this often.
_PROBE_S = 0.12


class EngineView:
    """Chooses engines for items from their loads, paces, weights and latest refusals.

    Args:
        directory: The engines.
        newest_version: The newest named version of a model.
        current_engines: The engines of a service that are kept current for a model.
        loads_soon: Whether an engine is about to load newer weights of a model.
        clock: Time source.
    """

    __slots__ = (
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
        clock: Clock,
    ) -> None:
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

        On a route whose results may not mix versions, held text that no engine can go on with is
        dropped.
        """
        engines = {
            engine.instance.instance_id: engine
            for engine in self._directory.backends(service)
            if not model or model in engine.versions
        }
        if not single_version or not work.held.versions:
            return engines
        fit = {
            name: engine
            for name, engine in engines.items()
            if engine.versions.get(model) in work.held.versions
        }
        if not fit:
            work.held.clear()
        return fit or engines

    def choose(
        self, engines: Mapping[str, Backend], service: str, record: JobRecord, work: ItemWork
    ) -> EngineChoice | None:
        """Return the engine that should run an item, None where none has room."""
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
                share=engine.instance.slots / _sharers(engine, len(current), len(engines)),
            )
            for name, engine in engines.items()
            if self._refused_until_s.get(name, 0.0) <= now_s
        ]
        probes = [
            state.instance_id
            for state in states
            if state.instance_id in current
            and self._newest_version(model) >= record.min_version
            and now_s - self._probed_at_s.get((state.instance_id, model), 0.0) > _PROBE_S
        ]
        choice = choose_engine(
            states,
            min_version=record.min_version if model else 0,
            excluded=work.excluded if len(work.excluded) < len(engines) else (),
            probes=probes,
        )
        if choice is not None and choice.probing:
            self._probed_at_s[choice.instance_id, model] = now_s
        if choice is not None and self._refused_lately(choice.instance_id):
            self._refused_until_s[choice.instance_id] = now_s + _REFUSED_S
        return choice

    def should_move(
        self, pace: RunPace, others: Sequence[str], record: JobRecord, events: int
    ) -> bool:
        """Return whether an engine with room for a run is so much faster that a move pays."""
        faster = self.paces.faster(pace, others, events)
        return any(self._has_room(name, record) for name in faster)

    def refused(self, instance_id: str, *, probing: bool) -> None:
        """Record that an engine refused an item; a probe that is refused says nothing new."""
        if not probing:
            now_s = self._clock.monotonic_s()
            self._refused_at_s[instance_id] = now_s
            self._refused_until_s[instance_id] = now_s + _REFUSED_S

    def accepted(self, instance_id: str) -> bool:
        """Record that an engine runs an item, and return whether it had refused before."""
        self._refused_until_s.pop(instance_id, None)
        return self._refused_at_s.pop(instance_id, None) is not None

    def _refused_lately(self, instance_id: str) -> bool:
        refused_at_s = self._refused_at_s.get(instance_id)
        return refused_at_s is not None and self._clock.monotonic_s() - refused_at_s < _LOADING_S

    def _has_room(self, name: str, record: JobRecord) -> bool:
        engine = self._directory.get(name)
        if engine is None or engine.suspected or engine.instance.draining:
            return False
        if self._refused_lately(name):
            return False
        if engine.outstanding >= engine.instance.slots:
            return False
        if not record.model:
            return True
        fits = engine.versions.get(record.model, 0) >= record.min_version
        return fits and not self._loads_soon(record.model, name)


def _sharers(engine: Backend, current: int, engines: int) -> float:
    """Return how many models' jobs use an engine, on average over the pool."""
    return max(1.0, len(engine.versions) * current / max(1, engines))
