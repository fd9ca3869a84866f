"""Tests of the planning of weight orders."""

from verbenawind.document import parse_document
from verbenawind.kernel.messages import OrderKind, SwapState
from verbenawind.weights.plan import (
    EngineState,
    OrderDecision,
    Target,
    next_order,
    swap_limit,
)
from verbenawind.weights.swap_queue import SwapQueue

NOW_S = 100.0
TARGET = Target(
    environment="e/production",
    model="m",
    pool="p",
    version=3,
    weights_uri="weights://m/3",
    size_bytes=1,
    activate_at_s=50.0,
    drain_first=False,
    order_timeout_s=5.0,
)


def engine(
    name: str = "e0",
    *,
    active: int | None = 2,
    staged: tuple[int, ...] = (),
    state: SwapState = SwapState.IDLE,
    usable: bool = True,
    retry_at_s: float = 0.0,
    set_aside: bool = False,
) -> EngineState:
    return EngineState(
        server_id=name,
        active_version=active,
        staged_versions=staged,
        swap_state=state,
        usable=usable,
        retry_at_s=retry_at_s,
        set_aside=set_aside,
    )


def decide(state: EngineState, *, may_swap: bool = True, now_unix_s: float = 60.0) -> OrderDecision:
    return next_order(TARGET, state, may_swap=may_swap, now_s=NOW_S, now_unix_s=now_unix_s)


class TestNextOrder:
    def test_version_is_staged_before_it_is_activated(self) -> None:
        """An engine that is behind is ordered to stage first, then to activate."""
        assert decide(engine()).kind is OrderKind.STAGE
        assert decide(engine(staged=(3,))).kind is OrderKind.ACTIVATE

    def test_up_to_date_engine_gets_no_order(self) -> None:
        """An engine at the target version or a newer one gets no order."""
        assert decide(engine(active=3)).kind is None
        assert decide(engine(active=4)).kind is None

    def test_activation_waits_for_its_time_and_the_swap_limit(self) -> None:
        """Staged weights are not activated before their time or beyond the pool's swap limit."""
        assert decide(engine(staged=(3,)), now_unix_s=49.0).kind is None
        assert decide(engine(staged=(3,)), may_swap=False).kind is None

    def test_failed_swap_is_repaired_beyond_the_swap_limit(self) -> None:
        """An engine whose active version is unknown is repaired even beyond the swap limit."""
        failed = engine(active=None, state=SwapState.FAILED)
        assert decide(failed, may_swap=False).kind is OrderKind.ACTIVATE

    def test_failed_order_is_not_retried_during_back_off(self) -> None:
        """An engine whose order failed gets no order before its retry time."""
        assert decide(engine(retry_at_s=NOW_S + 1)).kind is None


class TestSwapQueue:
    def test_admits_only_as_many_engines_as_the_limit(self) -> None:
        """The first engines by name that are behind are admitted, up to the limit."""
        pool = [engine("c"), engine("a", active=3), engine("b"), engine("d")]
        assert SwapQueue().admit(TARGET, pool, 1, NOW_S) == {"b"}
        assert SwapQueue().admit(TARGET, pool, 2, NOW_S) == {"b", "c"}

    def test_failing_engines_do_not_block_others(self) -> None:
        """Engines that are set aside or not usable are not admitted."""
        pool = [engine("a", set_aside=True), engine("b", usable=False), engine("c")]
        assert SwapQueue().admit(TARGET, pool, 1, NOW_S) == {"c"}

    def test_engine_that_times_out_is_moved_to_the_end(self) -> None:
        """An engine that stays behind for several order timeouts makes way for the next one."""
        queue, pool = SwapQueue(), [engine("a"), engine("b")]
        assert queue.admit(TARGET, pool, 1, NOW_S) == {"a"}
        assert queue.admit(TARGET, pool, 1, NOW_S + 14.0) == {"a"}
        queue.admit(TARGET, pool, 1, NOW_S + 16.0)
        assert queue.admit(TARGET, pool, 1, NOW_S + 16.2) == {"b"}

    def test_limit_holds_over_time(self) -> None:
        """Timeouts never cause more engines to be admitted than the limit."""
        queue, pool = SwapQueue(), [engine(name) for name in "abcd"]
        for step in range(200):
            assert len(queue.admit(TARGET, pool, 2, NOW_S + step)) == 2


class TestSwapLimit:
    def test_application_pool_never_swaps_more_than_half(self) -> None:
        """A pool that serves applications swaps at most half of its engines at once."""
        document = parse_document("""
            {
              "environment": "e",
              "pools": [{"name": "apps"}, {"name": "rollouts"}],
              "models": [{"name": "a", "pool": "apps"}, {"name": "r", "pool": "rollouts"}],
              "callers": [{"name": "c", "kind": "application", "models": ["a"],
                           "token_sha256": "%s"}]
            }
            """ % ("0" * 64))
        assert swap_limit(document, document.pools[0], 5) == 2
        assert swap_limit(document, document.pools[1], 5) == 5
        assert swap_limit(document, document.pools[0], 1) == 1
