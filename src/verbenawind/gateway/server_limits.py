"""The request rates that backend servers in need name in their answers.

A limit holds for all hosts together and for one incarnation, from the first answer that names it
until an answer to a later request names none.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping
from enum import StrEnum

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.types import Instance
from verbenawind.kernel.messages import Value
from verbenawind.kernel.wire_types import Int64

__all__ = ["LimitSource", "NamedLimit", "Permit", "ServerLimits", "instance_incarnation"]

# Sends are counted over this time.
_WINDOW_S = 4.0
# A server that takes no requests for now is still asked sometimes, to learn when that ends.
_MIN_RATE_PER_S = 0.1
# Incarnations beyond this number are dropped, those first that were heard of least recently.
_MAX_LIMITS = 512


class LimitSource(StrEnum):
    """What told this host of a limit."""

    ANSWER = "answer"
    HOST = "another host"


def instance_incarnation(instance: Instance) -> str:
    """Return the identifier of a server's process, which its successor does not share."""
    return f"{instance.instance_id}.{instance.started_ms}"


class Permit(Value, frozen=True, kw_only=True):
    """The right to send one request to a limited server, between two monotonic times."""

    incarnation: str
    usable_at_s: float
    use_by_s: float


class NamedLimit(Value, frozen=True, kw_only=True):
    """What an incarnation last said of its limit; times are the store's.

    Attributes:
        server: The server's id.
        service: Its service.
        rate_per_s: Requests that it takes each second from all hosts together, None for any number.
        stated_ms: When it said so: an answer that names a limit counts from its arrival, one that
            names none from the sending of its request. The later statement holds.
    """

    server: str
    service: str
    rate_per_s: float | None
    stated_ms: Int64


class ServerLimits:
    """What this host knows of the limits of all incarnations.

    Args:
        clock: Time source.
        store_ms: Returns the store's time, which hosts can compare.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_listeners",
        "_log",
        "_named_at_s",
        "_sent_at_s",
        "_store_ms",
    )

    def __init__(self, clock: Clock, store_ms: Callable[[], int]) -> None:
        self._clock = clock
        self._store_ms = store_ms
        self._limits: dict[str, NamedLimit] = {}
        # When this host learned that an incarnation is limited, on its own clock.
        self._named_at_s: dict[str, float] = {}
        self._sent_at_s: dict[str, deque[float]] = {}
        self._listeners: list[Callable[[str, NamedLimit], None]] = []
        self._log = structlog.get_logger("limits")

    def on_change(self, listener: Callable[[str, NamedLimit], None]) -> None:
        """Call *listener* with each incarnation whose limit this host learns from an answer."""
        self._listeners.append(listener)

    def rate_per_s(self, instance: Instance) -> float | None:
        """Return the rate that a server takes from all hosts together, None for any."""
        known = self._limits.get(instance_incarnation(instance)) if self._limits else None
        if known is None or known.rate_per_s is None:
            return None
        return max(_MIN_RATE_PER_S, known.rate_per_s)

    def known(self, incarnation: str) -> NamedLimit | None:
        """Return an incarnation's last statement."""
        return self._limits.get(incarnation)

    def active(self) -> Mapping[str, NamedLimit]:
        """Return the limits in force, by incarnation."""
        return {name: known for name, known in self._limits.items() if known.rate_per_s is not None}

    def age_s(self, instance: Instance) -> float:
        """Return how long this host has known that a server is limited."""
        named_at_s = self._named_at_s.get(instance_incarnation(instance))
        return 0.0 if named_at_s is None else self._clock.monotonic_s() - named_at_s

    def quiet_s(self, instance: Instance) -> float:
        """Return the time since a limited server last said that it is."""
        known = self._limits.get(instance_incarnation(instance))
        return 0.0 if known is None else max(0, self._store_ms() - known.stated_ms) / 1000

    def recent_sends(self, instance: Instance) -> int:
        """Return how many requests this host sent to a limited server in the last seconds."""
        incarnation = instance_incarnation(instance)
        return len(self._recent(incarnation)) if incarnation in self._sent_at_s else 0

    def sent(self, instance: Instance) -> None:
        """Count a request that is sent to a limited server."""
        self._recent(instance_incarnation(instance)).append(self._clock.monotonic_s())

    def answered(
        self, instance: Instance, rate_per_s: float | None, sent_ms: int, *, ends_limit: bool
    ) -> None:
        """Record what an answer says.

        Args:
            instance: The server.
            rate_per_s: The limit that the answer names, None if it names none; NaN is ignored.
            sent_ms: The store's time at which the request was sent.
            ends_limit: Whether the answer would name a limit that the server still has.
        """
        if rate_per_s is None:
            if not ends_limit or self.rate_per_s(instance) is None:
                return
        elif not math.isfinite(rate_per_s) or rate_per_s < 0:
            self._log.warning(
                "server_limit_unreadable", server=instance.instance_id, limit=str(rate_per_s)
            )
            return
        stated_ms = sent_ms if rate_per_s is None else self._store_ms()
        named = NamedLimit(
            server=instance.instance_id,
            service=instance.service,
            rate_per_s=rate_per_s,
            stated_ms=stated_ms,
        )
        incarnation = instance_incarnation(instance)
        if self._put(incarnation, named, LimitSource.ANSWER):
            for listener in self._listeners:
                listener(incarnation, named)

    def apply(self, incarnation: str, named: NamedLimit) -> None:
        """Record what another host learned, unless this one knows something later."""
        self._put(incarnation, named, LimitSource.HOST)

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an incarnation that is gone."""
        self._limits.pop(incarnation, None)
        self._named_at_s.pop(incarnation, None)
        self._sent_at_s.pop(incarnation, None)

    def _put(self, incarnation: str, named: NamedLimit, source: LimitSource) -> bool:
        """Record a statement, and return whether it changes the limit."""
        old = self._limits.get(incarnation)
        if old is not None and named.stated_ms <= old.stated_ms:
            return False
        if old is None and named.rate_per_s is None and source is LimitSource.ANSWER:
            return False
        self._limits.pop(incarnation, None)
        self._limits[incarnation] = named
        if len(self._limits) > _MAX_LIMITS:
            self.forget(next(iter(self._limits)))
        old_rate = old.rate_per_s if old is not None else None
        if named.rate_per_s == old_rate:
            return False
        if named.rate_per_s is None:
            self._named_at_s.pop(incarnation, None)
        elif old_rate is None:
            self._named_at_s[incarnation] = self._clock.monotonic_s()
        self._log.info(
            "server_limit_changed",
            server=named.server,
            service=named.service,
            limit_per_s=named.rate_per_s,
            former_limit_per_s=old_rate,
            source=source.value,
            sent_lately=len(self._recent(incarnation)),
        )
        return True

    def _recent(self, incarnation: str) -> deque[float]:
        sent_at_s = self._sent_at_s.setdefault(incarnation, deque())
        earliest_s = self._clock.monotonic_s() - _WINDOW_S
        while sent_at_s and sent_at_s[0] < earliest_s:
            sent_at_s.popleft()
        return sent_at_s
