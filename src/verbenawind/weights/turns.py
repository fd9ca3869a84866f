"""Which engines of a pool may swap now, when only so many may swap at once.

All holders rank a pool's engines alike, so they agree without messages.
"""

from collections.abc import Sequence

from verbenawind.weights.plan import EngineState, Target

__all__ = ["TurnBook"]

_TURN_TIMEOUTS = 3


class _Turn:
    __slots__ = ("missed", "since_s", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.missed = 0
        self.since_s: float | None = None


class TurnBook:
    """Remembers how long engines have been in turn for a target without reaching it."""

    __slots__ = ("_turns",)

    def __init__(self) -> None:
        self._turns: dict[tuple[str, str], _Turn] = {}

    def in_turn(
        self, target: Target, engines: Sequence[EngineState], limit: int, now_s: float
    ) -> frozenset[str]:
        """Return the engines that may swap now, never more than *limit*.

        They are the first ones by name that are behind. An engine that does not reach the target
        within several order timeouts goes behind those that have missed fewer turns.

        Args:
            target: What the engines are being brought to; its activation time has come.
            engines: The pool's engines as this daemon sees them.
            limit: How many may swap at once.
            now_s: Monotonic time in seconds.
        """
        waiting = [
            engine
            for engine in engines
            if engine.is_behind(target.version) and engine.usable and not engine.set_aside
        ]
        turns = {engine.server_id: self._turn(target, engine.server_id) for engine in waiting}
        names = sorted(turns, key=lambda name: (turns[name].missed, name))
        for name in names[limit:]:
            turns[name].since_s = None
        for name in names[:limit]:
            self._count(turns[name], now_s, _TURN_TIMEOUTS * target.order_timeout_s)
        return frozenset(names[:limit])

    def keep_only(self, server_ids: set[str]) -> None:
        """Forget every engine that is not among *server_ids*."""
        self._turns = {key: turn for key, turn in self._turns.items() if key[0] in server_ids}

    def _turn(self, target: Target, server_id: str) -> _Turn:
        key = (server_id, target.model)
        turn = self._turns.get(key)
        if turn is None or turn.version != target.version:
            turn = self._turns[key] = _Turn(target.version)
        return turn

    @staticmethod
    def _count(turn: _Turn, now_s: float, patience_s: float) -> None:
        if turn.since_s is None:
            turn.since_s = now_s
        elif now_s - turn.since_s > patience_s:
            turn.missed += 1
            turn.since_s = None
