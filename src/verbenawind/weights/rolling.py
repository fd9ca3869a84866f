"""Decides which engines load a named version, and when; values in, orders and reasons out.

Batch jobs accept a version or two before the newest. An engine therefore need not load every
version: at each new one a part of the engines loads while the others go on serving, and the parts
take turns.
"""

import math
from collections.abc import Collection, Sequence
from enum import StrEnum

from verbenawind.kernel.messages import Value
from verbenawind.kernel.rendezvous import top

__all__ = [
    "EngineLoad",
    "LoadOrder",
    "LoadPlan",
    "ModelEngines",
    "OrderAnswer",
    "OrderReply",
    "PlannedLoad",
    "SwapMode",
    "engines_of_model",
    "oldest_useful",
    "plan_loads",
]

# The part of a pool that loads at once; engines that load together slow each other down.
_LOADING_FRACTION = 0.42


class SwapMode(StrEnum):
    """What becomes of the runs of an engine that changes its weights."""

    IN_PLACE = "in_place"
    DRAIN = "drain"


class OrderAnswer(StrEnum):
    """What an engine said to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class LoadOrder(Value, frozen=True, kw_only=True):
    """An order to load a version; a late one is void once the engine has accepted another.

    ``expected_orders`` is how many orders the engine must have accepted before this one.
    """

    model: str
    version: int
    mode: SwapMode
    fencing_number: int
    expected_orders: int | None


class OrderReply(Value, frozen=True, kw_only=True):
    """An engine's answer to an order, and its wording for the log."""

    answer: OrderAnswer
    detail: str


class EngineLoad(Value, frozen=True, kw_only=True):
    """An engine with respect to one model; ``loading`` covers orders that may be under way."""

    instance_id: str
    version: int
    loading: bool
    ready: bool = True
    outstanding: int = 0


class PlannedLoad(Value, frozen=True, kw_only=True):
    """One load that should begin now."""

    model: str
    instance_id: str
    reason: str


class ModelEngines(Value, frozen=True, kw_only=True):
    """The engines that are kept current for a model, and which versions are of use.

    Attributes:
        model: The model.
        engines: Its engines.
        newest: The newest version that is named.
        needed: The oldest version that all open batch jobs accept, 0 without such jobs.
        lag: How many versions behind the newest batch jobs usually accept.
    """

    model: str
    engines: tuple[EngineLoad, ...]
    newest: int
    needed: int
    lag: int

    @property
    def oldest_useful(self) -> int:
        """The oldest version that open and coming jobs accept."""
        return oldest_useful(self.newest, needed=self.needed, lag=self.lag)


class LoadPlan(Value, frozen=True, kw_only=True):
    """The loads of a pool that should begin now, and what keeps others waiting."""

    loads: tuple[PlannedLoad, ...]
    behind: int
    loading: int
    loading_limit: int


def oldest_useful(newest: int, *, needed: int, lag: int) -> int:
    """Return the oldest version that is not replaced at once.

    Args:
        newest: The newest named version.
        needed: The oldest version that all open jobs accept.
        lag: How many versions behind the newest batch jobs usually accept.
    """
    return min(newest, max(needed, newest - lag))


def engines_of_model(
    model: str, engines: Sequence[str], *, models: int, lag: int
) -> frozenset[str]:
    """Return the engines that are kept current for a model.

    With many models on one pool not every engine follows each of them: an engine that is loaded
    at every ``lag + 1``-th version may follow that many models at the cost of one load a version.

    Args:
        model: The model.
        engines: Every engine that serves it.
        models: How many models the pool's trainers name versions of.
        lag: How many versions behind the newest batch jobs usually accept.
    """
    count = math.ceil(len(engines) * (lag + 1) / max(1, models))
    return frozenset(top(model, engines, count))


def plan_loads(models: Sequence[ModelEngines], *, pool_size: int) -> LoadPlan:
    """Return which engines of a pool should load the newest version of which model now.

    Engines that load together slow each other down, so only a part of the pool does at a time.
    Among models that have fallen behind, each load goes to the one that the least part of its
    engines can serve.

    Args:
        models: The models of the pool.
        pool_size: How many engines the pool has.
    """
    limit = max(1, round(_LOADING_FRACTION * pool_size))
    loading = len({e.instance_id for model in models for e in model.engines if e.loading})
    queues = [_LoadQueue(model) for model in models]
    behind = sum(len(queue.useless) + len(queue.turn) for queue in queues)
    planned: list[PlannedLoad] = []
    taken: set[str] = set()
    while len(planned) < limit - loading:
        for queue in queues:
            queue.skip(taken)
        urgent = [queue for queue in queues if queue.useless]
        waiting = urgent or [queue for queue in queues if queue.turn]
        if not waiting:
            break
        load = min(waiting, key=lambda queue: (queue.covered, queue.model)).next_load()
        taken.add(load.instance_id)
        planned.append(load)
    return LoadPlan(loads=tuple(planned), behind=behind, loading=loading, loading_limit=limit)


class _LoadQueue:
    """Engines of one model that wait for a load, in order."""

    __slots__ = ("_served", "_size", "model", "turn", "useless")

    def __init__(self, model: ModelEngines) -> None:
        self.model = model.model
        self._size = max(1, len(model.engines))
        self._served = sum(e.loading or e.version >= model.oldest_useful for e in model.engines)
        waiting = [e for e in model.engines if e.ready and not e.loading]
        waiting = [engine for engine in waiting if engine.version < model.newest]
        waiting.sort(key=lambda engine: (engine.version, engine.outstanding, engine.instance_id))
        self.useless = [e.instance_id for e in waiting if e.version < model.oldest_useful]
        # Spare loads spread over versions what would otherwise fall due together.
        current = sum(e.loading or e.version >= model.newest for e in model.engines)
        turn = max(1, len(model.engines) // (model.lag + 1)) if model.lag else len(model.engines)
        spare = max(0, turn - current - len(self.useless))
        others = [engine.instance_id for engine in waiting[len(self.useless) :]]
        self.turn = others[:spare]

    @property
    def covered(self) -> float:
        """The part of the engines that serve the model, or will after the planned loads."""
        return self._served / self._size

    def skip(self, taken: Collection[str]) -> None:
        """Leave out engines that load another model first."""
        self.useless = [name for name in self.useless if name not in taken]
        self.turn = [name for name in self.turn if name not in taken]

    def next_load(self) -> PlannedLoad:
        """Take the next engine out of the queue."""
        if self.useless:
            self._served += 1
            reason = "its version is of no use any more"
            return PlannedLoad(model=self.model, instance_id=self.useless.pop(0), reason=reason)
        reason = "its turn among the versions"
        return PlannedLoad(model=self.model, instance_id=self.turn.pop(0), reason=reason)
