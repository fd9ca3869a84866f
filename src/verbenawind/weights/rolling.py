"""Decides which engines load a named version, and when; values in, orders and reasons out.

Batch jobs accept a version or two before the newest. An engine therefore need not load every
version: at each new one a part of the engines loads while the others go on serving, and the parts
take turns.
"""

import math
from collections.abc import Sequence
from enum import StrEnum

from verbenawind.kernel.messages import Value
from verbenawind.kernel.rendezvous import top

__all__ = [
    "EngineLoad",
    "LoadOrder",
    "LoadPlan",
    "OrderAnswer",
    "OrderReply",
    "PlannedLoad",
    "SwapMode",
    "engines_of_model",
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

    instance_id: str
    reason: str


class LoadPlan(Value, frozen=True, kw_only=True):
    """The loads of one model that should begin now, and what keeps others waiting."""

    loads: tuple[PlannedLoad, ...]
    behind: int
    loading: int
    loading_limit: int


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


def plan_loads(
    engines: Sequence[EngineLoad],
    *,
    newest: int,
    needed: int,
    lag: int,
    loading_elsewhere: int = 0,
) -> LoadPlan:
    """Return which engines should load the newest version now.

    Args:
        engines: The engines of the model.
        newest: The newest version that is named.
        needed: The oldest version that open batch jobs accept.
        lag: How many versions behind the newest batch jobs usually accept.
        loading_elsewhere: Engines of the same pool that load other models.
    """
    limit = max(1, round(_LOADING_FRACTION * len(engines)))
    loading = sum(engine.loading for engine in engines) + loading_elsewhere
    oldest_useful = min(newest, max(needed, newest - lag))
    waiting = [
        engine
        for engine in engines
        if engine.ready and not engine.loading and engine.version < newest
    ]
    waiting.sort(key=lambda engine: (engine.version, engine.outstanding, engine.instance_id))
    useless = [engine for engine in waiting if engine.version < oldest_useful]
    # Spare loads spread over versions what would otherwise fall due together.
    turn = max(1, len(engines) // (lag + 1)) if lag else len(engines)
    current = sum(engine.version >= newest or engine.loading for engine in engines)
    spare = max(0, turn - current - len(useless))
    planned = [
        PlannedLoad(instance_id=engine.instance_id, reason="its version is of no use any more")
        for engine in useless
    ]
    planned += [
        PlannedLoad(instance_id=engine.instance_id, reason="its turn among the versions")
        for engine in waiting[len(useless) : len(useless) + spare]
    ]
    room = max(0, limit - loading)
    return LoadPlan(
        loads=tuple(planned[:room]),
        behind=len(planned),
        loading=loading,
        loading_limit=limit,
    )
