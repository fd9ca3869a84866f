"""Chooses the engines of a pool that may swap now, within the pool's limit.

All lease holders order a pool's engines alike, so they agree without exchanging messages.
"""

from collections.abc import Sequence

from verbenawind.weights.plan import EngineState, Target

__all__ = ["SwapQueue"]

_SWAP_ORDER_TIMEOUTS = 3


class _Entry:
    __slots__ = ("admitted_at_s", "timeouts", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.timeouts = 0
        self.admitted_at_s: float | None = None


class SwapQueue:
    """Tracks how long admitted engines take to reach their target."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], _Entry] = {}

    def admit(
        self, target: Target, engines: Sequence[EngineState], limit: int, now_s: float
    ) -> frozenset[str]:
        """Return the engines that may swap now, never more than *limit*.

        Engines that are behind are admitted in order of their names. An admitted engine that does
        not reach the target within several order timeouts is moved behind the engines that have
        timed out fewer times.

        Args:
            target: The version to activate; its activation time has passed.
            engines: The pool's engines in this daemon's view.
            limit: How many engines may swap at once.
            now_s: Monotonic time in seconds.
        """
        candidates = [
            engine
            for engine in engines
            if engine.is_behind(target.version) and engine.usable and not engine.set_aside
        ]
        entries = {engine.server_id: self._entry(target, engine.server_id) for engine in candidates}
        names = sorted(entries, key=lambda name: (entries[name].timeouts, name))
        for name in names[limit:]:
            entries[name].admitted_at_s = None
        for name in names[:limit]:
            self._track_timeout(entries[name], now_s, _SWAP_ORDER_TIMEOUTS * target.order_timeout_s)
        return frozenset(names[:limit])

    def retain(self, server_ids: set[str]) -> None:
        """Drop the state of every engine that is not in *server_ids*."""
        self._entries = {key: entry for key, entry in self._entries.items() if key[0] in server_ids}

    def _entry(self, target: Target, server_id: str) -> _Entry:
        key = (server_id, target.model)
        entry = self._entries.get(key)
        if entry is None or entry.version != target.version:
            entry = self._entries[key] = _Entry(target.version)
        return entry

    @staticmethod
    def _track_timeout(entry: _Entry, now_s: float, timeout_s: float) -> None:
        if entry.admitted_at_s is None:
            entry.admitted_at_s = now_s
        elif now_s - entry.admitted_at_s > timeout_s:
            entry.timeouts += 1
            entry.admitted_at_s = None
