"""Detects requests that crash engines.

Requests in flight on an engine that crashes become suspects. A suspect is retried as a trial,
isolated from other requests. If an engine crashes during the trial, the request is convicted:
every daemon refuses it for a time.
"""

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import Outcome, RequestConvicted
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import GenerateRequest
from verbenawind.kernel.ports import PeerBus, SpreadItem

__all__ = ["Suspects", "request_fingerprint"]

_SUSPICION_LIFETIME_S = 600.0
# The first term is short because two unrelated crashes can convict an innocent request.
_FIRST_CONVICTION_S = 20.0
_REPEATED_CONVICTION_S = 600.0
# How long after a term the request still runs only as an isolated trial.
_PROBATION_S = 600.0
_SUSPECT_KIND = "suspect"
_CONVICTED_KIND = "convicted"


class _Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """A suspicion; ``crash_id`` identifies the engine incarnation that crashed."""

    crash_id: str
    cleared: bool = False


class _Conviction(msgspec.Struct, frozen=True, kw_only=True):
    """The crashes attributed to a convicted request, and how long it is refused.

    ``refused_until_s`` is Unix time; after it the request may run again as an isolated trial.
    """

    crash_ids: tuple[str, ...]
    refused_until_s: float
    cleared: bool = False


class _ActiveConviction(msgspec.Struct, frozen=True, kw_only=True):
    """A conviction and the Unix time at which it expires, in seconds."""

    conviction: _Conviction
    expires_at_s: float


def request_fingerprint(request: GenerateRequest) -> str:
    """Return a digest that is the same for every repeat of a request, whatever its id and seed."""
    parts = (request.environment, request.model, request.prompt, request.max_tokens)
    return digest_hex(msgspec.json.encode(parts))


class Suspects:
    """Tracks suspected and convicted fingerprints and shares them with the other daemons.

    Args:
        clock: Time source.
        peers: Propagates suspicions and convictions.
    """

    __slots__ = ("_clock", "_convicted", "_explained_crashes", "_log", "_peers", "_suspected")

    def __init__(self, clock: Clock, peers: PeerBus) -> None:
        self._clock = clock
        self._peers = peers
        self._suspected: dict[str, tuple[str, float]] = {}
        self._convicted: dict[str, _ActiveConviction] = {}
        self._explained_crashes: dict[str, float] = {}
        self._log = structlog.get_logger("suspects")
        peers.on_item(_SUSPECT_KIND, self._receive_suspicion)
        peers.on_item(_CONVICTED_KIND, self._receive_conviction)

    def is_suspected(self, fingerprint: str) -> bool:
        """Return whether requests with a fingerprint may run only as isolated trials."""
        now_s = self._now_s()
        if fingerprint in self._suspected and self._suspected[fingerprint][1] > now_s:
            return True
        return fingerprint in self._convicted and self._convicted[fingerprint].expires_at_s > now_s

    def raise_if_convicted(
        self, request: GenerateRequest, fingerprint: str, outcome: Outcome
    ) -> None:
        """Raise RequestConvicted while the fingerprint is refused."""
        if fingerprint not in self._convicted:
            return
        remaining_s = self._convicted[fingerprint].conviction.refused_until_s - self._now_s()
        if remaining_s <= 0:
            return
        raise RequestConvicted(
            f"request {request.request_id} is refused: such requests crashed two engines",
            outcome=outcome,
            retry_after_s=round(remaining_s, 1),
        )

    def add_suspicion(self, fingerprint: str, crash_id: str) -> None:
        """Suspect a fingerprint that was in flight on a crashed engine.

        A crash that is already attributed to a convicted request raises no suspicion.
        """
        if crash_id in self._explained_crashes or self.is_suspected(fingerprint):
            return
        self._log.warning("request_suspected", fingerprint=fingerprint, crash=crash_id)
        self._spread_suspicion(fingerprint, _Suspicion(crash_id=crash_id))

    def clear_suspicion(self, fingerprint: str) -> None:
        """Clear the suspicion or conviction after a trial that the engine survived."""
        if fingerprint in self._suspected:
            self._log.info("suspect_cleared", fingerprint=fingerprint)
            crash_id = self._suspected[fingerprint][0]
            self._spread_suspicion(fingerprint, _Suspicion(crash_id=crash_id, cleared=True))
        if fingerprint in self._convicted:
            self._log.info("conviction_cleared", fingerprint=fingerprint)
            conviction = msgspec.structs.replace(
                self._convicted[fingerprint].conviction, cleared=True
            )
            self._spread_conviction(fingerprint, conviction)

    def convict(self, fingerprint: str, crash_id: str) -> None:
        """Refuse a fingerprint at every daemon because its isolated trial crashed an engine."""
        suspected, active = self._suspected.get(fingerprint), self._convicted.get(fingerprint)
        earlier_crash_ids = (
            active.conviction.crash_ids if active else (suspected[0],) if suspected else ()
        )
        crash_ids = (*earlier_crash_ids, crash_id)
        term_s = _REPEATED_CONVICTION_S if active else _FIRST_CONVICTION_S
        self._log.warning(
            "request_convicted", fingerprint=fingerprint, crashes=crash_ids, term_s=term_s
        )
        self._spread_conviction(
            fingerprint, _Conviction(crash_ids=crash_ids, refused_until_s=self._now_s() + term_s)
        )

    def _spread_conviction(self, fingerprint: str, conviction: _Conviction) -> None:
        expires_at_s = conviction.refused_until_s + _PROBATION_S
        self._peers.spread(
            SpreadItem(
                kind=_CONVICTED_KIND,
                key=fingerprint,
                rank=(int(expires_at_s * 1000), int(conviction.cleared)),
                body=msgspec.json.encode(conviction),
                expires_at_s=expires_at_s,
            )
        )

    def _spread_suspicion(self, fingerprint: str, suspicion: _Suspicion) -> None:
        now_s = self._now_s()
        self._peers.spread(
            SpreadItem(
                kind=_SUSPECT_KIND,
                key=fingerprint,
                rank=(int(now_s * 1000), int(suspicion.cleared)),
                body=msgspec.json.encode(suspicion),
                expires_at_s=now_s + _SUSPICION_LIFETIME_S,
            )
        )

    def _receive_suspicion(self, item: SpreadItem) -> None:
        suspicion = msgspec.json.decode(item.body, type=_Suspicion)
        if suspicion.cleared or suspicion.crash_id in self._explained_crashes:
            self._suspected.pop(item.key, None)
            return
        self._drop_expired()
        self._suspected[item.key] = (suspicion.crash_id, item.expires_at_s)

    def _receive_conviction(self, item: SpreadItem) -> None:
        conviction = msgspec.json.decode(item.body, type=_Conviction)
        if conviction.cleared:
            self._convicted.pop(item.key, None)
            return
        self._convicted[item.key] = _ActiveConviction(
            conviction=conviction, expires_at_s=item.expires_at_s
        )
        for crash_id in conviction.crash_ids:
            self._explained_crashes[crash_id] = item.expires_at_s
        for fingerprint, (crash_id, _) in list(self._suspected.items()):
            if crash_id in self._explained_crashes:
                del self._suspected[fingerprint]

    def _drop_expired(self) -> None:
        now_s = self._now_s()
        for fingerprint, active in list(self._convicted.items()):
            if active.expires_at_s <= now_s:
                del self._convicted[fingerprint]
        for crash_id, ends_at_s in list(self._explained_crashes.items()):
            if ends_at_s <= now_s:
                del self._explained_crashes[crash_id]
        expired = [key for key, (_, ends_at_s) in self._suspected.items() if ends_at_s <= now_s]
        for key in expired:
            del self._suspected[key]

    def _now_s(self) -> float:
        return self._clock.now().timestamp()
