"""Lets suspects of one pool run one at a time in a zone, newest first."""

import contextlib

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel import Fleet
from verbenawind.kernel.ports import PeerBus
from verbenawind.kernel.rendezvous import owner

__all__ = ["TrialAsk", "TrialGate"]

_ASK_CALL = "trial-ask"
_END_CALL = "trial-end"
_CALL_TIMEOUT_S = 0.5
_CONTENDER_S = 0.5
_SETTLE_S = 0.05
_PERMIT_S = 60.0


class TrialAsk(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the turn of a suspect; ``age_s`` is how long it ran when its engine crashed."""

    pool: str
    fingerprint: str
    trial_id: str
    age_s: float


class _Contender:
    __slots__ = ("age_s", "asked_at_s", "since_s")

    def __init__(self, age_s: float, now_s: float) -> None:
        self.age_s = age_s
        self.since_s = now_s
        self.asked_at_s = now_s


class _PoolTrials:
    """Decides whose turn it is in one pool; lives at the daemon that owns the pool's trials."""

    __slots__ = ("_contenders", "_ends_at_s", "_running")

    def __init__(self) -> None:
        self._running: str | None = None
        self._ends_at_s = 0.0
        self._contenders: dict[str, _Contender] = {}

    def ask(self, ask: TrialAsk, now_s: float) -> bool:
        """Return whether the trial may run now; the youngest contender goes first."""
        if self._running == ask.trial_id:
            return True
        contender = self._contenders.setdefault(ask.trial_id, _Contender(ask.age_s, now_s))
        contender.asked_at_s = now_s
        if self._running is not None and self._ends_at_s > now_s:
            return False
        self._drop_silent(now_s)
        first = min(self._contenders, key=lambda item: (self._contenders[item].age_s, item))
        if first != ask.trial_id or now_s - contender.since_s < _SETTLE_S:
            return False
        del self._contenders[ask.trial_id]
        self._running, self._ends_at_s = ask.trial_id, now_s + _PERMIT_S
        return True

    def end(self, trial_id: str) -> None:
        """Take back a turn."""
        self._contenders.pop(trial_id, None)
        if self._running == trial_id:
            self._running = None

    def _drop_silent(self, now_s: float) -> None:
        for trial_id, contender in list(self._contenders.items()):
            if now_s - contender.asked_at_s > _CONTENDER_S:
                del self._contenders[trial_id]


class TrialGate:
    """Asks the daemon that owns a pool's trials in this zone for a suspect's turn.

    Args:
        fleet: Says which zone this is.
        peers: The other daemons.
        clock: Time source.
    """

    __slots__ = ("_clock", "_fleet", "_log", "_peers", "_pools")

    def __init__(self, fleet: Fleet, peers: PeerBus, clock: Clock) -> None:
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._pools: dict[str, _PoolTrials] = {}
        self._log = structlog.get_logger("suspects")
        peers.on_call(_ASK_CALL, self._answer_ask)
        peers.on_call(_END_CALL, self._answer_end)

    async def ask(self, ask: TrialAsk) -> bool:
        """Return whether a suspect may run now; ask again a little later if not."""
        holder = self._owner(ask.pool)
        if holder != self._peers.peer_id:
            try:
                body = msgspec.json.encode(ask)
                answer = await self._peers.call(holder, _ASK_CALL, body, _CALL_TIMEOUT_S)
                return msgspec.json.decode(answer, type=bool)
            except PeerUnreachable as error:
                self._log.warning("trial_owner_unreachable", owner=holder, error=error.message)
        return self._ask_here(ask)

    async def end(self, ask: TrialAsk) -> None:
        """Give a turn back."""
        self._end_here(ask)
        holder = self._owner(ask.pool)
        if holder != self._peers.peer_id:
            with contextlib.suppress(PeerUnreachable):
                body = msgspec.json.encode(ask)
                await self._peers.call(holder, _END_CALL, body, _CALL_TIMEOUT_S)

    def _owner(self, pool: str) -> str:
        zone = self._fleet.location.zone
        near = [peer.peer_id for peer in self._peers.peers() if peer.location.zone == zone]
        return owner(pool, [self._peers.peer_id, *near])

    def _ask_here(self, ask: TrialAsk) -> bool:
        trials = self._pools.setdefault(ask.pool, _PoolTrials())
        return trials.ask(ask, self._clock.monotonic_s())

    def _end_here(self, ask: TrialAsk) -> None:
        if ask.pool in self._pools:
            self._pools[ask.pool].end(ask.trial_id)

    async def _answer_ask(self, body: bytes) -> bytes:
        ask = msgspec.json.decode(body, type=TrialAsk)
        return msgspec.json.encode(self._ask_here(ask))

    async def _answer_end(self, body: bytes) -> bytes:
        self._end_here(msgspec.json.decode(body, type=TrialAsk))
        return b"null"
