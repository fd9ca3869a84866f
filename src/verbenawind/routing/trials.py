"""Runs trials of suspected requests one at a time per pool and zone."""

import contextlib

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import PeerUnreachable
from verbenawind.kernel import Fleet
from verbenawind.kernel.ports import PeerBus
from verbenawind.kernel.rendezvous import owner

__all__ = ["TrialCoordinator", "TrialRequest"]

_ASK_CALL = "trial-ask"
_END_CALL = "trial-end"
_CALL_TIMEOUT_S = 0.5
_WAITING_EXPIRY_S = 0.5
_MIN_WAIT_S = 0.05
_MAX_TRIAL_S = 60.0


class TrialRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request to start a trial; ``age_s`` is how long the suspect had run before the crash."""

    pool: str
    fingerprint: str
    trial_id: str
    age_s: float


class _WaitingTrial:
    __slots__ = ("age_s", "first_asked_at_s", "last_asked_at_s")

    def __init__(self, age_s: float, now_s: float) -> None:
        self.age_s = age_s
        self.first_asked_at_s = now_s
        self.last_asked_at_s = now_s


class _PoolTrialQueue:
    """Orders the trials of one pool, at the daemon that owns the pool's trials."""

    __slots__ = ("_running", "_running_until_s", "_waiting")

    def __init__(self) -> None:
        self._running: str | None = None
        self._running_until_s = 0.0
        self._waiting: dict[str, _WaitingTrial] = {}

    def request_start(self, request: TrialRequest, now_s: float) -> bool:
        """Return whether the trial may run now.

        The waiting suspect that had run for the shortest time before the crash goes first.
        """
        if self._running == request.trial_id:
            return True
        waiting = self._waiting.setdefault(request.trial_id, _WaitingTrial(request.age_s, now_s))
        waiting.last_asked_at_s = now_s
        if self._running is not None and self._running_until_s > now_s:
            return False
        self._drop_stale(now_s)
        first = min(self._waiting, key=lambda item: (self._waiting[item].age_s, item))
        if first != request.trial_id or now_s - waiting.first_asked_at_s < _MIN_WAIT_S:
            return False
        del self._waiting[request.trial_id]
        self._running, self._running_until_s = request.trial_id, now_s + _MAX_TRIAL_S
        return True

    def end(self, trial_id: str) -> None:
        """Mark a trial as finished or no longer waiting."""
        self._waiting.pop(trial_id, None)
        if self._running == trial_id:
            self._running = None

    def _drop_stale(self, now_s: float) -> None:
        for trial_id, waiting in list(self._waiting.items()):
            if now_s - waiting.last_asked_at_s > _WAITING_EXPIRY_S:
                del self._waiting[trial_id]


class TrialCoordinator:
    """Requests trials from the daemon that owns a pool's trials in this zone.

    If the owner is unreachable, this daemon decides by itself.

    Args:
        fleet: Provides the zone of this daemon.
        peers: The other daemons.
        clock: Time source.
    """

    __slots__ = ("_clock", "_fleet", "_log", "_peers", "_pools")

    def __init__(self, fleet: Fleet, peers: PeerBus, clock: Clock) -> None:
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._pools: dict[str, _PoolTrialQueue] = {}
        self._log = structlog.get_logger("suspects")
        peers.on_call(_ASK_CALL, self._on_ask_call)
        peers.on_call(_END_CALL, self._on_end_call)

    async def request_start(self, request: TrialRequest) -> bool:
        """Return whether a trial may start now; if not, the caller asks again shortly."""
        owner_id = self._owner_id(request.pool)
        if owner_id != self._peers.peer_id:
            try:
                body = msgspec.json.encode(request)
                answer = await self._peers.call(owner_id, _ASK_CALL, body, _CALL_TIMEOUT_S)
                return msgspec.json.decode(answer, type=bool)
            except PeerUnreachable as error:
                self._log.warning("trial_owner_unreachable", owner=owner_id, error=error.message)
        return self._request_start_locally(request)

    async def end(self, request: TrialRequest) -> None:
        """Report that a trial has finished, so that the next one may start."""
        self._end_locally(request)
        owner_id = self._owner_id(request.pool)
        if owner_id != self._peers.peer_id:
            with contextlib.suppress(PeerUnreachable):
                body = msgspec.json.encode(request)
                await self._peers.call(owner_id, _END_CALL, body, _CALL_TIMEOUT_S)

    def _owner_id(self, pool: str) -> str:
        zone = self._fleet.location.zone
        same_zone = [peer.peer_id for peer in self._peers.peers() if peer.location.zone == zone]
        return owner(pool, [self._peers.peer_id, *same_zone])

    def _request_start_locally(self, request: TrialRequest) -> bool:
        trials = self._pools.setdefault(request.pool, _PoolTrialQueue())
        return trials.request_start(request, self._clock.monotonic_s())

    def _end_locally(self, request: TrialRequest) -> None:
        if request.pool in self._pools:
            self._pools[request.pool].end(request.trial_id)

    async def _on_ask_call(self, body: bytes) -> bytes:
        request = msgspec.json.decode(body, type=TrialRequest)
        return msgspec.json.encode(self._request_start_locally(request))

    async def _on_end_call(self, body: bytes) -> bytes:
        self._end_locally(msgspec.json.decode(body, type=TrialRequest))
        return b"null"
