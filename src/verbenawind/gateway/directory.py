"""The backend servers that are registered, and what this daemon has seen of each."""

from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.types import Instance

__all__ = ["Backend", "Belief", "Directory"]

# Entries that lapse while the registry's store is away are back within this time of its return.
_RETURN_S = 2.0
# How long the feed may have been silent before a removal is taken for such a lapse.
_UNSETTLED_S = 1.5
_FIRST_SUSPICION_S = 0.5
_MAX_SUSPICION_S = 4.0
# Weight of the newest measurement in a moving average.
_LATENCY_GAIN = 0.3
# An estimate without a fresh measurement halves in this time, so that a server is tried again.
_FORGET_S = 5.0


class Belief(StrEnum):
    """What this daemon believes of a registered server."""

    GOOD = "good"
    SUSPECTED = "suspected"
    DRAINING = "draining"
    REMOVED = "removed"


class Backend:
    """One incarnation of a backend server, with its load and health as seen from here.

    Args:
        instance: The server's own entry.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_heard_at_s",
        "_latency_s",
        "_measured_at_s",
        "_suspected_until_s",
        "gone_at_s",
        "instance",
        "outstanding",
        "versions",
    )

    def __init__(self, instance: Instance, clock: Clock) -> None:
        self._clock = clock
        self.instance = instance
        self.outstanding = 0
        self.gone_at_s: float | None = None
        self.versions: dict[str, int] = dict(instance.versions)
        self._failures = 0
        self._suspected_until_s = 0.0
        self._latency_s = 0.0
        self._measured_at_s = 0.0
        self._heard_at_s = clock.monotonic_s()

    @property
    def belief(self) -> Belief:
        """What is believed of the server, in one word."""
        if self.gone_at_s is not None:
            return Belief.REMOVED
        if self.instance.draining:
            return Belief.DRAINING
        return Belief.SUSPECTED if self.suspected else Belief.GOOD

    @property
    def heard_age_s(self) -> float:
        """Time since the server last answered or failed, or was registered."""
        return self._clock.monotonic_s() - self._heard_at_s

    @property
    def suspected(self) -> bool:
        """Whether a recent failure makes other servers preferable."""
        return self._clock.monotonic_s() < self._suspected_until_s

    @property
    def latency_s(self) -> float:
        """The usual time of an answer, 0 where none is known; an old estimate fades."""
        age_s = self._clock.monotonic_s() - self._measured_at_s
        return float(self._latency_s * 0.5 ** (age_s / _FORGET_S))

    def begin(self) -> None:
        """Count a request that is sent."""
        self.outstanding += 1

    def end(self) -> None:
        """Count a request that has ended."""
        self.outstanding -= 1

    def succeeded(self, latency_s: float) -> None:
        """Record an answer and the time that it took."""
        self._failures = 0
        self._suspected_until_s = 0.0
        self._heard_at_s = self._clock.monotonic_s()
        known_s = self.latency_s
        self._latency_s = known_s + _LATENCY_GAIN * (latency_s - known_s) if known_s else latency_s
        self._measured_at_s = self._clock.monotonic_s()

    def waited(self, elapsed_s: float) -> None:
        """Record that an answer has not come for some time and is not waited for any more."""
        if elapsed_s > self.latency_s:
            self._latency_s = elapsed_s
            self._measured_at_s = self._clock.monotonic_s()

    def failed(self) -> None:
        """Record a failure; the suspicion grows with each in a row."""
        length_s = min(_MAX_SUSPICION_S, _FIRST_SUSPICION_S * 2**self._failures)
        self._failures += 1
        self._heard_at_s = self._clock.monotonic_s()
        self._suspected_until_s = self._heard_at_s + length_s

    def learn_version(self, model: str, version: int) -> None:
        """Record what the server itself says of a model's weights."""
        self.versions[model] = version


class Directory:
    """Knows the servers of each service that may be given work.

    Args:
        clock: Time source.
    """

    __slots__ = ("_backends", "_clock", "_listeners", "_log", "_unsettled_at_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backends: dict[str, Backend] = {}
        self._listeners: list[Callable[[], None]] = []
        self._unsettled_at_s = float("-inf")
        self._log = structlog.get_logger("directory")

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call *listener* after each change of the registered servers."""
        self._listeners.append(listener)

    def feed_returned(self, silent_s: float) -> None:
        """Note that the registry is heard again after a silence."""
        if silent_s > _UNSETTLED_S:
            self._unsettled_at_s = self._clock.monotonic_s()

    def put(self, instance: Instance) -> None:
        """Take in a server's entry."""
        known = self._backends.get(instance.instance_id)
        if known is not None and known.instance.started_ms == instance.started_ms:
            if known.instance.draining and not instance.draining:
                # A server that has said that it leaves stays leaving in this incarnation.
                return
            changed = known.instance.versions != instance.versions
            if known.instance.draining != instance.draining or changed or known.gone_at_s:
                self._log.info("server_changed", **_fields(instance))
            known.instance = instance
            known.gone_at_s = None
            if changed:
                known.versions.update(instance.versions)
        else:
            self._backends[instance.instance_id] = Backend(instance, self._clock)
            self._log.info("server_registered", **_fields(instance))
        self._changed()

    def remove(self, instance_id: str) -> None:
        """Take in that an entry is gone."""
        known = self._backends.get(instance_id)
        if known is None:
            return
        now_s = self._clock.monotonic_s()
        unsettled = now_s - self._unsettled_at_s < _RETURN_S
        known.gone_at_s = now_s + (_RETURN_S if unsettled else 0.0)
        self._log.info(
            "server_entry_removed",
            server=instance_id,
            reason="it may have lapsed while the store was away" if unsettled else "it has left",
        )
        self._changed()

    def backends(self, service: str) -> Sequence[Backend]:
        """Return the servers of a service that may be given new work."""
        self._drop_gone()
        return [
            backend
            for backend in self._backends.values()
            if backend.instance.service == service and not backend.instance.draining
        ]

    def all(self) -> Iterable[Backend]:
        """Return every server, those that are leaving included."""
        self._drop_gone()
        return list(self._backends.values())

    def get(self, instance_id: str) -> Backend | None:
        """Return a server by its id."""
        return self._backends.get(instance_id)

    def _drop_gone(self) -> None:
        now_s = self._clock.monotonic_s()
        for instance_id, backend in list(self._backends.items()):
            if backend.gone_at_s is not None and backend.gone_at_s <= now_s:
                del self._backends[instance_id]
                self._log.info("server_gone", server=instance_id)

    def _changed(self) -> None:
        for listener in self._listeners:
            listener()


def _fields(instance: Instance) -> dict[str, object]:
    return {
        "server": instance.instance_id,
        "service": instance.service,
        "address": instance.address,
        "zone": instance.location.zone,
        "draining": instance.draining,
        "versions": dict(instance.versions),
    }
