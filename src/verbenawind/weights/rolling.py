"""Plans rolling weight updates: which engines load a new version, and when.

The functions are pure: they do no I/O. Batch jobs usually accept a version or two before the
newest, so an engine need not load every version. At each new version, only some of the engines
load it while the others continue to serve; the engines rotate.
"""

import math
from collections.abc import Collection, Sequence
from enum import StrEnum

from verbenawind.kernel.messages import Value
from verbenawind.kernel.rendezvous import top_members

__all__ = [
    "EngineLoadState",
    "LoadOrder",
    "LoadPlan",
    "ModelEngines",
    "OrderAnswer",
    "OrderReply",
    "PlannedLoad",
    "SwapMode",
    "assign_engines",
    "oldest_acceptable",
    "plan_loads",
]

# Largest fraction of a pool that loads at once; concurrent loads slow each other down.
_MAX_LOADING_FRACTION = 0.42


class SwapMode(StrEnum):
    """How an engine treats its running requests when it changes its weights."""

    IN_PLACE = "in_place"
    DRAIN = "drain"


class OrderAnswer(StrEnum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class LoadOrder(Value, frozen=True, kw_only=True):
    """An order to load a version.

    ``expected_orders`` is the number of orders that the engine must have accepted before this
    one. An order that is delayed and arrives after another was accepted is therefore rejected.
    """

    model: str
    version: int
    mode: SwapMode
    fencing_number: int
    expected_orders: int | None


class OrderReply(Value, frozen=True, kw_only=True):
    """An engine's answer to an order, with a detail for the log.

    ``leaving`` is set if the engine announced in it that it leaves; ``limit_per_s`` is the request
    rate that it named as its limit.
    """

    answer: OrderAnswer
    detail: str
    leaving: bool = False
    limit_per_s: float | None = None


class EngineLoadState(Value, frozen=True, kw_only=True):
    """The state of one engine for one model.

    ``loading`` is also set while it is unknown whether an order was accepted.
    """

    instance_id: str
    version: int
    loading: bool
    ready: bool = True
    outstanding: int = 0


class PlannedLoad(Value, frozen=True, kw_only=True):
    """A load that should start now."""

    model: str
    instance_id: str
    reason: str


class ModelEngines(Value, frozen=True, kw_only=True):
    """The engines that are assigned to a model, and the versions that its jobs accept.

    Attributes:
        model: The model.
        engines: The assigned engines.
        newest: The newest named version.
        needed: The oldest version that all open batch jobs accept, or 0 if no job is open.
        lag: How many versions behind the newest batch jobs usually accept.
    """

    model: str
    engines: tuple[EngineLoadState, ...]
    newest: int
    needed: int
    lag: int

    @property
    def oldest_acceptable(self) -> int:
        """The oldest version that the open jobs and the expected next ones accept."""
        return oldest_acceptable(self.newest, needed=self.needed, lag=self.lag)


class LoadPlan(Value, frozen=True, kw_only=True):
    """The loads of a pool that should start now, and the counts that limit them."""

    loads: tuple[PlannedLoad, ...]
    behind: int
    loading: int
    loading_limit: int


def oldest_acceptable(newest: int, *, needed: int, lag: int) -> int:
    """Return the oldest version that the open jobs and the expected next ones accept.

    Engines with an older version load the newest one as soon as the loading limit allows.

    Args:
        newest: The newest named version.
        needed: The oldest version that all open jobs accept.
        lag: How many versions behind the newest batch jobs usually accept.
    """
    return min(newest, max(needed, newest - lag))


def assign_engines(model: str, engines: Sequence[str], *, models: int, lag: int) -> frozenset[str]:
    """Return the engines that are assigned to a model.

    With many models in a pool, an engine is assigned to only some of them. An engine that loads
    every ``lag + 1``-th version of a model can be assigned to ``lag + 1`` models and still load
    only once per version on average.

    Args:
        model: The model.
        engines: All engines that serve it.
        models: Number of models in the pool that have a named version.
        lag: How many versions behind the newest batch jobs usually accept.
    """
    count = math.ceil(len(engines) * (lag + 1) / max(1, models))
    return frozenset(top_members(model, engines, count))


def plan_loads(models: Sequence[ModelEngines], *, pool_size: int) -> LoadPlan:
    """Return which engines of a pool should load the newest version of which model now.

    Concurrent loads slow each other down, so only a fraction of the pool loads at a time. Among
    models with outdated engines, the next load goes to the model with the smallest fraction of
    engines that can serve it.

    Args:
        models: The models of the pool.
        pool_size: Number of engines in the pool.
    """
    limit = max(1, round(_MAX_LOADING_FRACTION * pool_size))
    loading = len({e.instance_id for model in models for e in model.engines if e.loading})
    queues = [_LoadQueue(model) for model in models]
    behind = sum(len(queue.outdated) + len(queue.rotation) for queue in queues)
    planned: list[PlannedLoad] = []
    planned_engines: set[str] = set()
    while len(planned) < limit - loading:
        for queue in queues:
            queue.exclude(planned_engines)
        outdated_queues = [queue for queue in queues if queue.outdated]
        candidates = outdated_queues or [queue for queue in queues if queue.rotation]
        if not candidates:
            break
        load = min(candidates, key=lambda queue: (queue.coverage, queue.model)).next_load()
        planned_engines.add(load.instance_id)
        planned.append(load)
    return LoadPlan(loads=tuple(planned), behind=behind, loading=loading, loading_limit=limit)


class _LoadQueue:
    """Engines of one model that should load its newest version, in loading order.

    ``outdated`` engines can no longer serve the model's jobs. ``rotation`` engines still can, and
    load early.
    """

    __slots__ = ("_serving", "_size", "model", "outdated", "rotation")

    def __init__(self, model: ModelEngines) -> None:
        self.model = model.model
        self._size = max(1, len(model.engines))
        self._serving = sum(
            e.loading or e.version >= model.oldest_acceptable for e in model.engines
        )
        candidates = [e for e in model.engines if e.ready and not e.loading]
        candidates = [engine for engine in candidates if engine.version < model.newest]
        candidates.sort(key=lambda engine: (engine.version, engine.outstanding, engine.instance_id))
        self.outdated = [e.instance_id for e in candidates if e.version < model.oldest_acceptable]
        # Early loads spread work over versions that would otherwise be due at the same time.
        current = sum(e.loading or e.version >= model.newest for e in model.engines)
        rotation_size = (
            max(1, len(model.engines) // (model.lag + 1)) if model.lag else len(model.engines)
        )
        remaining = max(0, rotation_size - current - len(self.outdated))
        acceptable = [engine.instance_id for engine in candidates[len(self.outdated) :]]
        self.rotation = acceptable[:remaining]

    @property
    def coverage(self) -> float:
        """The fraction of engines that can serve the model once the planned loads are done."""
        return self._serving / self._size

    def exclude(self, planned_engines: Collection[str]) -> None:
        """Remove engines that are planned to load another model."""
        self.outdated = [name for name in self.outdated if name not in planned_engines]
        self.rotation = [name for name in self.rotation if name not in planned_engines]

    def next_load(self) -> PlannedLoad:
        """Remove the next engine from the queue and return its load."""
        if self.outdated:
            self._serving += 1
            reason = "its version is older than jobs accept"
            return PlannedLoad(model=self.model, instance_id=self.outdated.pop(0), reason=reason)
        reason = "early load in rotation with the other engines"
        return PlannedLoad(model=self.model, instance_id=self.rotation.pop(0), reason=reason)
