"""Orders the items of open jobs and chooses an engine for each, without side effects.

A trainer waits for a given number of complete groups. Groups carried over from an earlier step are
selected first, then those with the shortest expected output. Among the selected groups the longest
starts first, because the last group to finish determines the duration of the step. Groups that the
trainer does not wait for run last.
"""

import math
from collections.abc import Collection, Mapping, Sequence

from verbenawind.batches.types import BatchItem, BatchSubmission
from verbenawind.kernel.messages import Value

__all__ = ["EngineChoice", "EngineState", "Rank", "choose_engine", "rank_items"]

# An engine whose pace exceeds the best one's by this factor is used only if no faster one is free.
_SLOW_FACTOR = 1.8
# Relative increase of an engine's time per event for each run on it, and the further increase for
# each run beyond this daemon's share of the slots, which may queue behind runs of other daemons.
_LOAD_PENALTY = 0.03
_SHARED_SLOT_PENALTY = 0.25


class Rank(Value, frozen=True, kw_only=True, order=True):
    """An item's sort key within its job; lower ranks start first.

    ``awaited`` is 0 for groups that the trainer waits for and 1 for all others.
    """

    awaited: int
    longest_first: float
    group: str
    index: int


def rank_items(
    submission: BatchSubmission, carried_over_groups: Collection[str]
) -> Mapping[str, Rank]:
    """Return the rank of each item.

    Args:
        submission: The job.
        carried_over_groups: Groups that an earlier job left unfinished.
    """
    groups: dict[str, list[BatchItem]] = {}
    for item in submission.items:
        groups.setdefault(item.group or item.item_id, []).append(item)
    expected_tokens = {
        name: max(_expected_tokens(item) for item in items) for name, items in groups.items()
    }
    order = sorted(
        groups, key=lambda name: (name not in carried_over_groups, expected_tokens[name])
    )
    desired = submission.desired_groups or len(order)
    awaited = set(order[:desired])
    return {
        item.item_id: Rank(
            awaited=0 if name in awaited else 1,
            longest_first=-expected_tokens[name],
            group=name,
            index=index,
        )
        for name, items in groups.items()
        for index, item in enumerate(items)
    }


class EngineState(Value, frozen=True, kw_only=True):
    """Load and speed of an engine, as input to the choice.

    ``pace_s`` is the time per event, 0 if unknown. ``version`` is the weight version of the job's
    model. A ``limited`` engine limits the requests that it takes. ``share`` is this daemon's share
    of the slots where other daemons use the engine too.
    """

    instance_id: str
    slots: int
    outstanding: int
    pace_s: float
    version: int
    suspected: bool = False
    limited: bool = False
    share: float = math.inf


class EngineChoice(Value, frozen=True, kw_only=True):
    """The chosen engine and the reason.

    ``probing`` is set if the engine is not known to have the required weight version and the run
    tests whether it has loaded it.
    """

    instance_id: str
    reason: str
    probing: bool = False


def choose_engine(
    engines: Sequence[EngineState],
    *,
    min_version: int,
    excluded: Collection[str] = (),
    probes: Collection[str] = (),
) -> EngineChoice | None:
    """Return the engine expected to finish an item first, or None if the item has to wait.

    Args:
        engines: All engines that serve the model.
        min_version: The oldest weight version that the item accepts.
        excluded: Engines on which the item has just failed.
        probes: Engines with older weights that may be probed now.
    """
    available = [
        engine
        for engine in engines
        if engine.outstanding < engine.slots and engine.instance_id not in excluded
    ]
    eligible = [engine for engine in available if engine.version >= min_version]
    healthy = [engine for engine in eligible if not engine.suspected] or eligible
    healthy = [engine for engine in healthy if not engine.limited] or healthy
    if not healthy:
        candidates = [engine for engine in available if engine.instance_id in probes]
        if not candidates:
            return None
        best = min(candidates, key=_load)
        return EngineChoice(
            instance_id=best.instance_id, reason="it may have newer weights by now", probing=True
        )
    paces = [engine.pace_s for engine in healthy if engine.pace_s > 0]
    limit_s = _SLOW_FACTOR * min(paces) if paces else 0.0
    usual = [engine for engine in healthy if engine.pace_s <= limit_s] if paces else healthy
    best_pace_s = min(paces, default=1.0)
    best = min(usual or healthy, key=lambda engine: _expected_cost(engine, best_pace_s))
    reason = "soonest" if len(usual) == len(healthy) else "soonest of the usual pace"
    return EngineChoice(instance_id=best.instance_id, reason=reason)


def _expected_cost(engine: EngineState, best_pace_s: float) -> tuple[float, float, str]:
    """Return the sort key of an engine, led by its expected time per event under load.

    An unknown pace is taken as the best one. Long items start first and therefore get the fast
    engines.
    """
    over_share = max(0.0, engine.outstanding - engine.share)
    load = 1.0 + _LOAD_PENALTY * engine.outstanding + _SHARED_SLOT_PENALTY * over_share
    return ((engine.pace_s or best_pace_s) * load, *_load(engine)[:1], engine.instance_id)


def _load(engine: EngineState) -> tuple[float, float, str]:
    return (engine.outstanding / max(1, engine.slots), engine.pace_s, engine.instance_id)


def _expected_tokens(item: BatchItem) -> float:
    return float(item.length_hint or item.tokens)
