"""Tests of the decisions about orders for new weights."""

from verbenawind.document import parse_document
from verbenawind.kernel.messages import OrderKind, SwapState
from verbenawind.weights.plan import (
    EngineState,
    OrderDecision,
    Target,
    next_order,
    swap_limit,
)
from verbenawind.weights.turns import TurnBook

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


def decide(state: EngineState, *, in_turn: bool = True, now_unix_s: float = 60.0) -> OrderDecision:
    return next_order(TARGET, state, in_turn=in_turn, now_s=NOW_S, now_unix_s=now_unix_s)


class TestNextOrder:
    def test_version_is_staged_before_it_is_activated(self) -> None:
        """An engine that is behind is first told to stage, then to activate."""
        assert decide(engine()).kind is OrderKind.STAGE
        assert decide(engine(staged=(3,))).kind is OrderKind.ACTIVATE

    def test_newer_engine_is_left_alone(self) -> None:
        """An engine at the target or beyond gets no order."""
        assert decide(engine(active=3)).kind is None
        assert decide(engine(active=4)).kind is None

    def test_activation_waits_for_its_time_and_turn(self) -> None:
        """Staged weights wait for the activation time and the pool's turn."""
        assert decide(engine(staged=(3,)), now_unix_s=49.0).kind is None
        assert decide(engine(staged=(3,)), in_turn=False).kind is None

    def test_failed_swap_is_repaired_out_of_turn(self) -> None:
        """An engine without a definite version is repaired even when it is not in turn."""
        failed = engine(active=None, state=SwapState.FAILED)
        assert decide(failed, in_turn=False).kind is OrderKind.ACTIVATE

    def test_failed_order_is_not_repeated_before_its_time(self) -> None:
        """An engine whose order failed gets none until its retry time."""
        assert decide(engine(retry_at_s=NOW_S + 1)).kind is None


class TestTurnBook:
    def test_only_the_first_engines_behind_are_in_turn(self) -> None:
        """Of the engines that are behind, as many as the limit are in turn."""
        pool = [engine("c"), engine("a", active=3), engine("b"), engine("d")]
        assert TurnBook().in_turn(TARGET, pool, 1, NOW_S) == {"b"}
        assert TurnBook().in_turn(TARGET, pool, 2, NOW_S) == {"b", "c"}

    def test_broken_engines_do_not_hold_up_others(self) -> None:
        """Engines that were set aside or are not usable get no turn."""
        pool = [engine("a", set_aside=True), engine("b", usable=False), engine("c")]
        assert TurnBook().in_turn(TARGET, pool, 1, NOW_S) == {"c"}

    def test_engine_that_misses_its_turn_goes_to_the_end(self) -> None:
        """An engine that stays behind for several order timeouts lets the next one swap."""
        book, pool = TurnBook(), [engine("a"), engine("b")]
        assert book.in_turn(TARGET, pool, 1, NOW_S) == {"a"}
        assert book.in_turn(TARGET, pool, 1, NOW_S + 14.0) == {"a"}
        book.in_turn(TARGET, pool, 1, NOW_S + 16.0)
        assert book.in_turn(TARGET, pool, 1, NOW_S + 16.2) == {"b"}

    def test_limit_holds_however_long_engines_are_behind(self) -> None:
        """No passage of time puts more engines in turn than the limit."""
        book, pool = TurnBook(), [engine(name) for name in "abcd"]
        for step in range(200):
            assert len(book.in_turn(TARGET, pool, 2, NOW_S + step)) == 2


class TestSwapLimit:
    def test_application_pool_never_swaps_more_than_half(self) -> None:
        """A pool that applications use keeps half of its engines, whatever the document says."""
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
