"""The registered backend servers, with their load and health as observed by this daemon."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.types import Instance

__all__ = ["Backend", "Directory", "ServerState"]

# Entries that expire during a store outage are registered again within this time after it.
_REREGISTRATION_S = 2.0
# Shortest feed outage after which a removal may be due to such an expiry.
_MIN_OUTAGE_S = 1.5
_FIRST_SUSPICION_S = 0.5
_MAX_SUSPICION_S = 4.0
_HEARSAY_SUSPICION_S = 1.0
# Weight of the newest measurement in the moving average.
_LATENCY_WEIGHT = 0.3
# Latency estimates decay with this half-life, so that slow servers are tried again.
_LATENCY_HALF_LIFE_S = 5.0
# Number of incarnations that are remembered as leaving after their entries are gone.
_MAX_LEAVING = 1024


class ServerState(StrEnum):
    """State of a registered server as seen by this daemon."""

    GOOD = "good"
    SUSPECTED = "suspected"
    DRAINING = "draining"
    REMOVED = "removed"


class Backend:
    """One incarnation of a backend server, with its load and health as seen by this daemon.

    Attributes:
        announced_leaving: Whether it said in an answer, or once in the registry, that it leaves.

    Args:
        instance: The server's registry entry.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_failures",
        "_last_contact_s",
        "_latency_s",
        "_measured_at_s",
        "_suspected_until_s",
        "announced_leaving",
        "instance",
        "last_answer_s",
        "outstanding",
        "removed_at_s",
        "versions",
    )

    def __init__(self, instance: Instance, clock: Clock) -> None:
        self._clock = clock
        self.instance = instance
        self.outstanding = 0
        self.removed_at_s: float | None = None
        self.announced_leaving = instance.draining
        self.versions: dict[str, int] = dict(instance.versions)
        self._failures = 0
        self._suspected_until_s = 0.0
        self._latency_s = 0.0
        self._measured_at_s = 0.0
        self._last_contact_s = clock.monotonic_s()
        # Time of the last complete response, None before the first one.
        self.last_answer_s: float | None = None

    @property
    def belief(self) -> ServerState:
        """The state of the server as seen by this daemon."""
        if self.removed_at_s is not None:
            return ServerState.REMOVED
        if self.announced_leaving:
            return ServerState.DRAINING
        return ServerState.SUSPECTED if self.suspected else ServerState.GOOD

    @property
    def leaving(self) -> bool:
        """Whether the server announced that it leaves, or its registration was removed."""
        return self.announced_leaving or self.removed_at_s is not None

    @property
    def last_contact_age_s(self) -> float:
        """Seconds since the server last responded or failed, or was registered."""
        return self._clock.monotonic_s() - self._last_contact_s

    @property
    def suspected(self) -> bool:
        """Whether a recent failure makes other servers preferable."""
        return self._clock.monotonic_s() < self._suspected_until_s

    @property
    def latency_s(self) -> float:
        """Estimated response time, or 0 without a measurement. It decays without new ones."""
        age_s = self._clock.monotonic_s() - self._measured_at_s
        return float(self._latency_s * 0.5 ** (age_s / _LATENCY_HALF_LIFE_S))

    def begin(self) -> None:
        """Count a request as outstanding."""
        self.outstanding += 1

    def end(self) -> None:
        """Count an outstanding request as ended."""
        self.outstanding -= 1

    def succeeded(self, latency_s: float) -> None:
        """Record a successful response and its duration."""
        self._failures = 0
        self._suspected_until_s = 0.0
        self._last_contact_s = self.last_answer_s = self._clock.monotonic_s()
        known_s = self.latency_s
        self._latency_s = (
            known_s + _LATENCY_WEIGHT * (latency_s - known_s) if known_s else latency_s
        )
        self._measured_at_s = self._clock.monotonic_s()

    def record_unanswered(self, elapsed_s: float) -> None:
        """Record that a request was abandoned without a response after *elapsed_s* seconds."""
        if elapsed_s > self.latency_s:
            self._latency_s = elapsed_s
            self._measured_at_s = self._clock.monotonic_s()

    def failed(self) -> None:
        """Record a failure. Consecutive failures extend the time for which it is suspected."""
        suspicion_s = min(_MAX_SUSPICION_S, _FIRST_SUSPICION_S * 2**self._failures)
        self._failures += 1
        self._last_contact_s = self._clock.monotonic_s()
        self._suspected_until_s = self._last_contact_s + suspicion_s

    def suspect(self, *, confirmed: bool = True) -> None:
        """Prefer other servers for a while, as this one has probably ended.

        Args:
            confirmed: Whether this host, or several others, found it ended. A single other host may
                be cut off from it.
        """
        suspicion_s = _MAX_SUSPICION_S if confirmed else _HEARSAY_SUSPICION_S
        until_s = self._clock.monotonic_s() + suspicion_s
        self._suspected_until_s = max(self._suspected_until_s, until_s)

    def record_version(self, model: str, version: int) -> None:
        """Record the weight version of a model that the server reported."""
        self.versions[model] = version


class Directory:
    """Tracks the registered servers and finds those that may be sent requests.

    Args:
        clock: Time source.
    """

    __slots__ = (
        "_backends",
        "_clock",
        "_feed_recovered_at_s",
        "_leaving",
        "_listeners",
        "_log",
        "left_by_answer",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._backends: dict[str, Backend] = {}
        self._listeners: list[Callable[[], None]] = []
        # Incarnations that announced that they leave, oldest first. An entry that expires and
        # returns, or that is older than the announcement, undoes none of them.
        self._leaving: OrderedDict[tuple[str, int], None] = OrderedDict()
        # Number of servers that announced it in an answer before the registry did.
        self.left_by_answer = 0
        self._feed_recovered_at_s = float("-inf")
        self._log = structlog.get_logger("directory")

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call *listener* after each change of the registered servers."""
        self._listeners.append(listener)

    def feed_recovered(self, silent_s: float) -> None:
        """Record that the registry feed works again after an outage of *silent_s* seconds."""
        if silent_s > _MIN_OUTAGE_S:
            self._feed_recovered_at_s = self._clock.monotonic_s()

    def put(self, instance: Instance) -> None:
        """Add or update a server's registry entry."""
        known = self._backends.get(instance.instance_id)
        if known is not None and known.instance.started_ms == instance.started_ms:
            if known.announced_leaving and not instance.draining:
                # An incarnation that has announced that it leaves never becomes active again.
                return
            changed = known.instance.versions != instance.versions
            if known.instance.draining != instance.draining or changed or known.removed_at_s:
                self._log.info("server_changed", **_log_fields(instance))
            known.instance = instance
            known.removed_at_s = None
            if changed:
                known.versions.update(instance.versions)
        else:
            known = self._backends[instance.instance_id] = Backend(instance, self._clock)
            self._log.info("server_registered", **_log_fields(instance))
        if instance.draining or self.is_leaving(instance):
            self._remember_leaving(known)
        self._notify_listeners()

    def mark_leaving(self, instance_id: str) -> None:
        """Record that a server announced in an answer that it leaves; it gets no new requests."""
        known = self._backends.get(instance_id)
        if known is None or known.announced_leaving:
            return
        self.left_by_answer += 1
        self._log.info(
            "server_leaving_announced",
            server=instance_id,
            started_ms=known.instance.started_ms,
            service=known.instance.service,
            outstanding=known.outstanding,
        )
        self._remember_leaving(known)
        self._notify_listeners()

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether this incarnation of a server announced that it leaves."""
        return (instance.instance_id, instance.started_ms) in self._leaving

    def remove(self, instance_id: str) -> None:
        """Remove a server's registry entry.

        Shortly after an outage of the feed the server is kept for some time, since its entry may
        have expired in the outage.
        """
        known = self._backends.get(instance_id)
        if known is None:
            return
        now_s = self._clock.monotonic_s()
        after_outage = now_s - self._feed_recovered_at_s < _REREGISTRATION_S
        known.removed_at_s = now_s + (_REREGISTRATION_S if after_outage else 0.0)
        self._log.info(
            "server_entry_removed",
            server=instance_id,
            reason=(
                "its entry may have expired during a store outage"
                if after_outage
                else "it is no longer registered"
            ),
        )
        self._notify_listeners()

    def backends(self, service: str) -> Sequence[Backend]:
        """Return the servers of a service that may be sent new requests."""
        self._prune_removed()
        return [
            backend
            for backend in self._backends.values()
            if backend.instance.service == service and not backend.announced_leaving
        ]

    def all(self) -> Iterable[Backend]:
        """Return all servers, including draining ones."""
        self._prune_removed()
        return list(self._backends.values())

    def get(self, instance_id: str) -> Backend | None:
        """Return a server by its id."""
        return self._backends.get(instance_id)

    def _remember_leaving(self, backend: Backend) -> None:
        backend.announced_leaving = True
        self._leaving[backend.instance.instance_id, backend.instance.started_ms] = None
        if len(self._leaving) > _MAX_LEAVING:
            self._leaving.popitem(last=False)

    def _prune_removed(self) -> None:
        now_s = self._clock.monotonic_s()
        for instance_id, backend in list(self._backends.items()):
            if backend.removed_at_s is not None and backend.removed_at_s <= now_s:
                del self._backends[instance_id]
                self._log.info("server_gone", server=instance_id)

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def _log_fields(instance: Instance) -> dict[str, object]:
    return {
        "server": instance.instance_id,
        "service": instance.service,
        "address": instance.address,
        "zone": instance.location.zone,
        "draining": instance.draining,
        "versions": dict(instance.versions),
    }
