"""Asks owners that have gone silent directly, which tells sooner than further silence."""

import asyncio
from collections import OrderedDict
from enum import StrEnum
from typing import Protocol

import structlog

from verbenawind.clock import Clock
from verbenawind.state.beats import Beat, HostBeats

__all__ = ["OwnerDoubts", "PeerAnswer", "PeerProbe"]

# A busy host beats each 0.5 s, and its beat takes a feed's pause to arrive.
_DOUBT_S = 0.8
# Between two questions to one owner.
_ASK_PERIOD_S = 0.3
# How long an answer that did not come counts.
_ANSWER_HOLDS_S = 1.0
_MAX_REFUSED = 1000


class PeerAnswer(StrEnum):
    """What became of a connection to a daemon's address."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NONE = "none"


class PeerProbe(Protocol):
    """Tells a host without a daemon from one that cannot be reached."""

    async def ask(self, address: str) -> PeerAnswer:
        """Return what a connection to a daemon's address leads to, within some 0.3 s."""


class OwnerDoubts:
    """Judges owners by their beats, and by what the hosts of silent ones answer.

    A refused connection proves that a daemon is gone. A host that does not answer may be frozen or
    cut off; together with the silence of its beats, half as long a silence is enough.

    Args:
        beats: Who is there.
        probe: Asks a host.
        clock: Time source.
    """

    __slots__ = (
        "_asked_at_s",
        "_beats",
        "_clock",
        "_log",
        "_probe",
        "_refused",
        "_tasks",
        "_unanswered",
    )

    def __init__(self, beats: HostBeats, probe: PeerProbe, clock: Clock) -> None:
        self._beats = beats
        self._probe = probe
        self._clock = clock
        self._asked_at_s: dict[str, float] = {}
        self._refused: OrderedDict[str, None] = OrderedDict()
        # Owners whose hosts gave no answer to the latest question, with its time.
        self._unanswered: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = structlog.get_logger("hosts")

    def is_gone(self, owner_id: str, since_s: float) -> bool:
        """Return whether an owner is taken for gone.

        Args:
            owner_id: A daemon's incarnation.
            since_s: Since when it has owned work.
        """
        if owner_id in self._refused:
            return True
        asked_at_s = self._unanswered.get(owner_id, float("-inf"))
        unanswered = self._clock.monotonic_s() - asked_at_s < _ANSWER_HOLDS_S
        return self._beats.is_gone(owner_id, since_s, unanswered=unanswered)

    def silent(self, owner_id: str, since_s: float) -> Beat | None:
        """Return the last beat of an owner that is worth asking, None for one that beats."""
        return self._beats.silent_owner(owner_id, since_s, _DOUBT_S)

    def ask(self, beat: Beat) -> None:
        """Ask the host of a silent owner, unless it was asked just now."""
        now_s = self._clock.monotonic_s()
        if now_s - self._asked_at_s.get(beat.host, float("-inf")) < _ASK_PERIOD_S:
            return
        self._asked_at_s[beat.host] = now_s
        task = asyncio.get_running_loop().create_task(self._learn(beat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _learn(self, beat: Beat) -> None:
        answer = await self._probe.ask(beat.address)
        now_s = self._clock.monotonic_s()
        self._unanswered = {
            owner_id: asked_at_s
            for owner_id, asked_at_s in self._unanswered.items()
            if owner_id != beat.owner_id and now_s - asked_at_s < _ANSWER_HOLDS_S
        }
        if answer is PeerAnswer.NONE:
            self._unanswered[beat.owner_id] = now_s
            self._log.info(
                "owner_unanswered",
                owner=beat.owner_id,
                address=beat.address,
                view_age_s=round(self._beats.view_age_s(), 2),
            )
        if answer is not PeerAnswer.REFUSED:
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
