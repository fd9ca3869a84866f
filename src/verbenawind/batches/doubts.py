"""Asks owners that have gone silent directly, which tells sooner than further silence."""

import asyncio
from collections import OrderedDict
from typing import Protocol

import structlog

from verbenawind.clock import Clock
from verbenawind.state.beats import Beat, HostBeats

__all__ = ["OwnerDoubts", "PeerProbe"]

# A busy host beats each 0.5 s, and its beat takes a feed's pause to arrive.
_DOUBT_S = 0.8
# Between two questions to one owner.
_ASK_PERIOD_S = 0.3
_MAX_REFUSED = 1000


class PeerProbe(Protocol):
    """Tells a host without a daemon from one that cannot be reached."""

    async def refuses(self, address: str) -> bool:
        """Return whether a host refuses connections to a daemon's address; soon and always."""


class OwnerDoubts:
    """Judges owners by their beats, and by what their hosts answer to a silent one's peers.

    Only a refused connection is proof: a host that does not answer may be frozen or cut off.

    Args:
        beats: Who is there.
        probe: Asks a host.
        clock: Time source.
    """

    __slots__ = ("_asked_at_s", "_beats", "_clock", "_log", "_probe", "_refused", "_tasks")

    def __init__(self, beats: HostBeats, probe: PeerProbe, clock: Clock) -> None:
        self._beats = beats
        self._probe = probe
        self._clock = clock
        self._asked_at_s: dict[str, float] = {}
        self._refused: OrderedDict[str, None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = structlog.get_logger("hosts")

    def is_gone(self, owner_id: str, since_s: float, *, ask: bool) -> bool:
        """Return whether an owner is taken for gone.

        Args:
            owner_id: A daemon's incarnation.
            since_s: Since when it has owned work.
            ask: Whether this daemon should ask a silent owner.
        """
        if owner_id in self._refused or self._beats.is_gone(owner_id, since_s):
            return True
        beat = self._beats.silent_owner(owner_id, since_s, _DOUBT_S) if ask else None
        if beat is not None:
            self._ask(beat)
        return False

    def _ask(self, beat: Beat) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._asked_at_s.get(beat.host, float("-inf")) < _ASK_PERIOD_S:
            return
        self._asked_at_s[beat.host] = now_s
        task = asyncio.get_running_loop().create_task(self._learn(beat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _learn(self, beat: Beat) -> None:
        if not await self._probe.refuses(beat.address):
            return
        self._refused[beat.owner_id] = None
        while len(self._refused) > _MAX_REFUSED:
            self._refused.popitem(last=False)
        self._log.info(
            "owner_refuses",
            owner=beat.owner_id,
            address=beat.address,
            view_age_s=round(self._beats.view_age_s(), 2),
        )
