"""Requests that crash backend servers: suspicion, trials apart, conviction."""

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import Outcome, RequestConvicted
from verbenawind.ids import digest_hex
from verbenawind.kernel.messages import GenerateRequest
from verbenawind.kernel.ports import PeerBus, SpreadItem

__all__ = ["Suspects", "fingerprint"]

_SUSPICION_S = 600.0
# The first term is short: two crashes of its own accord can convict an innocent request.
_FIRST_CONVICTION_S = 20.0
_REPEATED_CONVICTION_S = 600.0
# For how long after a term a request is still tried apart.
_PROBATION_S = 600.0
_SUSPECT_KIND = "suspect"
_CONVICTED_KIND = "convicted"


class _Suspicion(msgspec.Struct, frozen=True, kw_only=True):
    """A suspect's state; ``crash_id`` names the engine incarnation that it was on."""

    crash_id: str
    cleared: bool = False


class _Conviction(msgspec.Struct, frozen=True, kw_only=True):
    """The crashes that a convicted request explains, and how long it is refused.

    ``refused_until_s`` is wall-clock time; afterwards the request may be tried apart again.
    """

    crash_ids: tuple[str, ...]
    refused_until_s: float
    cleared: bool = False


class _Known(msgspec.Struct, frozen=True, kw_only=True):
    """A conviction and when it is forgotten, in wall-clock time."""

    conviction: _Conviction
    expires_at_s: float


def fingerprint(request: GenerateRequest) -> str:
    """Return what identifies a request however often it is sent, with whatever seed and id."""
    parts = (request.environment, request.model, request.prompt, request.max_tokens)
    return digest_hex(msgspec.json.encode(parts))


class Suspects:
    """Knows the suspected and the convicted fingerprints, here and at the other daemons.

    Args:
        clock: Time source.
        peers: Spreads suspicions and convictions.
    """

    __slots__ = ("_clock", "_convicted", "_explained", "_log", "_peers", "_suspected")

    def __init__(self, clock: Clock, peers: PeerBus) -> None:
        self._clock = clock
        self._peers = peers
        self._suspected: dict[str, tuple[str, float]] = {}
        self._convicted: dict[str, _Known] = {}
        self._explained: dict[str, float] = {}
        self._log = structlog.get_logger("suspects")
        peers.on_item(_SUSPECT_KIND, self._learn_suspicion)
        peers.on_item(_CONVICTED_KIND, self._learn_conviction)

    def suspected(self, print_: str) -> bool:
        """Return whether a fingerprint must be tried apart."""
        now_s = self._now_s()
        if print_ in self._suspected and self._suspected[print_][1] > now_s:
            return True
        return print_ in self._convicted and self._convicted[print_].expires_at_s > now_s

    def check(self, request: GenerateRequest, print_: str, outcome: Outcome) -> None:
        """Raise RequestConvicted when the fingerprint is convicted."""
        if print_ not in self._convicted:
            return
        remaining_s = self._convicted[print_].conviction.refused_until_s - self._now_s()
        if remaining_s <= 0:
            return
        raise RequestConvicted(
            f"request {request.request_id} is refused: its like crashed two engines",
            outcome=outcome,
            retry_after_s=round(remaining_s, 1),
        )

    def accuse(self, print_: str, crash_id: str) -> None:
        """Suspect a fingerprint that was in flight on an engine that crashed."""
        if crash_id in self._explained or self.suspected(print_):
            return
        self._log.warning("request_suspected", fingerprint=print_, crash=crash_id)
        self._spread_suspicion(print_, _Suspicion(crash_id=crash_id))

    def clear(self, print_: str) -> None:
        """Drop the suspicion after a trial that the engine survived."""
        if print_ in self._suspected:
            self._log.info("suspect_cleared", fingerprint=print_)
            crash_id = self._suspected[print_][0]
            self._spread_suspicion(print_, _Suspicion(crash_id=crash_id, cleared=True))
        if print_ in self._convicted:
            self._log.info("conviction_cleared", fingerprint=print_)
            conviction = msgspec.structs.replace(self._convicted[print_].conviction, cleared=True)
            self._spread_conviction(print_, conviction)

    def convict(self, print_: str, crash_id: str) -> None:
        """Refuse a fingerprint everywhere: a trial apart has crashed a second engine."""
        first, known = self._suspected.get(print_), self._convicted.get(print_)
        before = known.conviction.crash_ids if known else (first[0],) if first else ()
        crash_ids = (*before, crash_id)
        term_s = _REPEATED_CONVICTION_S if known else _FIRST_CONVICTION_S
        self._log.warning("request_convicted", fingerprint=print_, crashes=crash_ids, term_s=term_s)
        self._spread_conviction(
            print_, _Conviction(crash_ids=crash_ids, refused_until_s=self._now_s() + term_s)
        )

    def _spread_conviction(self, print_: str, conviction: _Conviction) -> None:
        expires_at_s = conviction.refused_until_s + _PROBATION_S
        self._peers.spread(
            SpreadItem(
                kind=_CONVICTED_KIND,
                key=print_,
                rank=(int(expires_at_s * 1000), int(conviction.cleared)),
                body=msgspec.json.encode(conviction),
                expires_at_s=expires_at_s,
            )
        )

    def _spread_suspicion(self, print_: str, suspicion: _Suspicion) -> None:
        now_s = self._now_s()
        self._peers.spread(
            SpreadItem(
                kind=_SUSPECT_KIND,
                key=print_,
                rank=(int(now_s * 1000), int(suspicion.cleared)),
                body=msgspec.json.encode(suspicion),
                expires_at_s=now_s + _SUSPICION_S,
            )
        )

    def _learn_suspicion(self, item: SpreadItem) -> None:
        suspicion = msgspec.json.decode(item.body, type=_Suspicion)
        if suspicion.cleared or suspicion.crash_id in self._explained:
            self._suspected.pop(item.key, None)
            return
        self._drop_expired()
        self._suspected[item.key] = (suspicion.crash_id, item.expires_at_s)

    def _learn_conviction(self, item: SpreadItem) -> None:
        conviction = msgspec.json.decode(item.body, type=_Conviction)
        if conviction.cleared:
            self._convicted.pop(item.key, None)
            return
        self._convicted[item.key] = _Known(conviction=conviction, expires_at_s=item.expires_at_s)
        for crash_id in conviction.crash_ids:
            self._explained[crash_id] = item.expires_at_s
        for print_, (crash_id, _) in list(self._suspected.items()):
            if crash_id in self._explained:
                del self._suspected[print_]

    def _drop_expired(self) -> None:
        now_s = self._now_s()
        for print_, known in list(self._convicted.items()):
            if known.expires_at_s <= now_s:
                del self._convicted[print_]
        for crash_id, ends_at_s in list(self._explained.items()):
            if ends_at_s <= now_s:
                del self._explained[crash_id]
        ended = [key for key, (_, ends_at_s) in self._suspected.items() if ends_at_s <= now_s]
        for key in ended:
            del self._suspected[key]

    def _now_s(self) -> float:
        return self._clock.now().timestamp()
