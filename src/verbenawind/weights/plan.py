"""Decides the next order for an engine. The functions are pure: they do no I/O."""

from verbenawind.document import EnvironmentDocument, PoolSpec
from verbenawind.document.types import CallerKind
from verbenawind.kernel.messages import OrderKind, SwapState, Value

__all__ = [
    "EngineState",
    "OrderDecision",
    "Target",
    "next_order",
    "swap_limit",
]

_APPLICATION_SWAP_FRACTION = 0.5


class Target(Value, frozen=True, kw_only=True):
    """The version that a model's engines should run.

    ``activate_at_s`` is the Unix time in seconds before which staged weights are not activated.
    """

    environment: str
    model: str
    pool: str
    version: int
    weights_uri: str
    size_bytes: int
    activate_at_s: float
    drain_first: bool
    order_timeout_s: float


class EngineState(Value, frozen=True, kw_only=True):
    """The state of one engine for one model.

    ``retry_at_s`` is the monotonic time in seconds before which no order is given. An engine is
    ``set_aside`` after repeated failures and then does not count towards the swap limit.
    """

    server_id: str
    active_version: int | None
    staged_versions: tuple[int, ...]
    swap_state: SwapState
    usable: bool
    retry_at_s: float = 0.0
    set_aside: bool = False

    def is_behind(self, version: int) -> bool:
        """Return whether the engine is not known to run *version* or a newer one."""
        return self.active_version is None or self.active_version < version


class OrderDecision(Value, frozen=True, kw_only=True):
    """The kind of the next order, None for no order now, and the reason for the log."""

    kind: OrderKind | None
    reason: str


def next_order(
    target: Target, engine: EngineState, *, may_swap: bool, now_s: float, now_unix_s: float
) -> OrderDecision:
    """Return the next order that brings *engine* to *target*."""
    if not engine.is_behind(target.version):
        return _no_order("up to date")
    if not engine.usable:
        return _no_order("engine is leaving or not reporting")
    if now_s < engine.retry_at_s:
        return _no_order("backing off after a failed order")
    failed = engine.swap_state is SwapState.FAILED
    if target.version not in engine.staged_versions and not failed:
        return OrderDecision(kind=OrderKind.STAGE, reason="version not staged")
    if now_unix_s < target.activate_at_s:
        return _no_order("staged, waiting for the activation time")
    if failed or engine.active_version is None:
        return OrderDecision(
            kind=OrderKind.ACTIVATE, reason="repairing an engine with an unknown active version"
        )
    if not may_swap:
        return _no_order("staged, waiting because the pool's swap limit is reached")
    return OrderDecision(kind=OrderKind.ACTIVATE, reason="staged, within the pool's swap limit")


def swap_limit(document: EnvironmentDocument, pool: PoolSpec, engines: int) -> int:
    """Return how many of a pool's *engines* may swap at once.

    A pool that serves applications never swaps more than half of its engines at once, so that
    the others keep serving.
    """
    fraction = pool.max_swapping
    if _serves_applications(document, pool):
        fraction = min(fraction, _APPLICATION_SWAP_FRACTION)
    return max(1, int(fraction * engines))


def _serves_applications(document: EnvironmentDocument, pool: PoolSpec) -> bool:
    models = {model.name for model in document.models if model.pool == pool.name}
    return any(
        caller.kind is CallerKind.APPLICATION and models.intersection(caller.models)
        for caller in document.callers
    )


def _no_order(reason: str) -> OrderDecision:
    return OrderDecision(kind=None, reason=reason)
