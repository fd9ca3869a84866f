"""Decides whether a server's process has ended while it had unanswered requests.

A send that breaks shows only that a connection is lost. The process has ended if its address
refuses connections, or if the registry names a later process in its place. A server that announced
that it leaves ends as planned. A decision is revoked if the same process answers or registers
again, as after a network partition that resets connections.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from enum import StrEnum

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.directory import Backend, Directory
from verbenawind.gateway.server_limits import instance_incarnation
from verbenawind.kernel.messages import Value
from verbenawind.kernel.probe_ports import AddressProbe, ProbeResult

__all__ = ["EndEvidence", "ServerEnd", "ServerEndMonitor", "UnansweredSend", "incarnation_of"]

# How long an incarnation is watched after its last unanswered send: registrations expire after
# three heartbeat intervals, and a crashed server is back after some seconds.
_WATCH_S = 10.0
# How long a decision may be revoked.
_REVOCABLE_S = 30.0
# An answer that is received this soon after a send broke may have been sent before it.
_ANSWER_MARGIN_S = 0.1
# A successor under the same id may answer before the registry tells of it.
_REGISTRATION_LAG_S = 2.0
_MAX_WATCHES = 256
_MAX_SENDS = 64


class EndEvidence(StrEnum):
    """What shows whether a watched process has ended."""

    REFUSED = "its address refuses connections"
    REPLACED = "a later process registered in its place"
    EXPIRED = "its registration expired and its address does not answer"
    LEAVING = "it had announced that it leaves"
    ANSWERED = "it answered again"
    REGISTERED = "the same process is registered again"
    UNKNOWN = "nothing shows that it ended"


_ENDED = frozenset({EndEvidence.REFUSED, EndEvidence.REPLACED, EndEvidence.EXPIRED})


class UnansweredSend(Value, frozen=True, kw_only=True):
    """A request that a server did not answer; ``sent_ms`` is the store's time."""

    fingerprint: str
    sent_ms: int


class ServerEnd(Value, frozen=True, kw_only=True):
    """The end of a server's process without notice, and the sends that it left unanswered."""

    incarnation: str
    server: str
    service: str
    sends: tuple[UnansweredSend, ...]


def incarnation_of(backend: Backend) -> str:
    """Return the identifier of a server's process, which its successor does not share."""
    return instance_incarnation(backend.instance)


class _Watch:
    """The unanswered sends of one incarnation."""

    __slots__ = (
        "answered_at_s",
        "backend",
        "decided_at_s",
        "ended",
        "probe",
        "sends",
        "unanswered_at_s",
        "was_removed",
        "watched_at_s",
    )

    def __init__(self, backend: Backend, watched_at_s: float) -> None:
        self.backend = backend
        # Times of its first and its latest unanswered send.
        self.watched_at_s = watched_at_s
        self.unanswered_at_s = 0.0
        # Time at which an answer from its address was first noticed, None before.
        self.answered_at_s: float | None = None
        self.sends: dict[UnansweredSend, None] = {}
        self.probe: asyncio.Task[ProbeResult] | None = None
        self.ended = False
        self.decided_at_s = 0.0
        self.was_removed = False


class ServerEndMonitor:
    """Watches servers that left requests unanswered.

    Args:
        directory: The registered servers.
        probe: Connects to a server's address.
        clock: Time source.
        registry_age_s: Returns the age of the view of registered servers.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_log",
        "_on_end",
        "_on_revoked",
        "_probe",
        "_registry_age_s",
        "_watches",
        "counts",
    )

    def __init__(
        self,
        directory: Directory,
        probe: AddressProbe,
        clock: Clock,
        registry_age_s: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._probe = probe
        self._clock = clock
        self._registry_age_s = registry_age_s
        self._watches: dict[str, _Watch] = {}
        self._on_end: list[Callable[[ServerEnd], None]] = []
        self._on_revoked: list[Callable[[str], None]] = []
        self._log = structlog.get_logger("server_ends")
        self.counts: Counter[EndEvidence] = Counter()
        directory.on_change(self.check)

    def on_end(self, listener: Callable[[ServerEnd], None]) -> None:
        """Call *listener* with each end, and again if more unanswered sends are added to it."""
        self._on_end.append(listener)

    def on_revoked(self, listener: Callable[[str], None]) -> None:
        """Call *listener* with the incarnation of each end that proved to be none."""
        self._on_revoked.append(listener)

    def pending(self, fingerprint: str) -> int:
        """Return on how many watched incarnations a request was unanswered, without a decision."""
        return sum(
            any(send.fingerprint == fingerprint for send in watch.sends)
            for watch in self._watches.values()
            if not watch.ended
        )

    def answered_since(self, incarnation: str, at_s: float) -> bool:
        """Return whether a server's process has answered this host after a monotonic time."""
        return any(
            incarnation_of(backend) == incarnation
            and backend.last_answer_s is not None
            and backend.last_answer_s > at_s
            for backend in self._directory.all()
        )

    def is_down_to_one(self, service: str, ended: Collection[str]) -> bool:
        """Return whether at most one of a service's several servers is left.

        Args:
            service: The service.
            ended: Processes that have ended lately, by incarnation.
        """
        servers = self._directory.backends(service)
        left = [s for s in servers if not s.suspected and incarnation_of(s) not in ended]
        return len(left) <= 1 < len(servers)

    def send_broke(self, backend: Backend, send: UnansweredSend) -> None:
        """Record that a send broke after its server may have run it, and probe the server."""
        if backend.leaving:
            self._record(backend, EndEvidence.LEAVING, None)
            return
        watch = self._watch(backend, send)
        if watch is not None and watch.probe is None and not watch.ended:
            watch.probe = asyncio.get_running_loop().create_task(
                self._probe.connect(backend.instance.address)
            )
            watch.probe.add_done_callback(lambda task: self._probed(watch, task))

    def send_unanswered(self, backend: Backend, send: UnansweredSend) -> None:
        """Record that a send was given up without an answer."""
        if not backend.leaving:
            self._watch(backend, send)

    @property
    def watching(self) -> bool:
        """Whether any server is watched."""
        return bool(self._watches)

    async def probed(self, fingerprint: str) -> None:
        """Wait for the probes under way of the servers that left a request unanswered."""
        probes = {
            watch.probe
            for watch in self._watches.values()
            if watch.probe is not None
            and any(send.fingerprint == fingerprint for send in watch.sends)
        }
        if probes:
            await asyncio.wait(probes)

    def check(self) -> None:
        """Apply what registry and answers show about the watched incarnations."""
        if not self._watches:
            return
        now_s = self._clock.monotonic_s()
        for incarnation, watch in list(self._watches.items()):
            life = self._evidence_of_life(watch)
            if life is not None:
                self._drop(incarnation, watch, life)
            elif watch.ended:
                if now_s - watch.decided_at_s > _REVOCABLE_S:
                    del self._watches[incarnation]
            elif watch.backend.announced_leaving:
                self._drop(incarnation, watch, EndEvidence.LEAVING)
            elif self._is_replaced(watch):
                self._decide(watch, EndEvidence.REPLACED)
            elif self._is_removed(watch):
                self._probe_after_removal(watch)
            elif now_s - watch.unanswered_at_s > _WATCH_S:
                self._drop(incarnation, watch, EndEvidence.UNKNOWN)

    def _watch(self, backend: Backend, send: UnansweredSend) -> _Watch | None:
        """Add a send to the watch of its server's incarnation."""
        incarnation = incarnation_of(backend)
        watch = self._watches.get(incarnation)
        if watch is None:
            if len(self._watches) >= _MAX_WATCHES:
                self._log.warning("server_end_not_watched", server=backend.instance.instance_id)
                return None
            watch = self._watches[incarnation] = _Watch(backend, self._clock.monotonic_s())
        if len(watch.sends) < _MAX_SENDS:
            watch.sends[send] = None
        watch.unanswered_at_s = self._clock.monotonic_s()
        if watch.ended:
            self._notify(watch)
        return watch

    def _probed(self, watch: _Watch, task: asyncio.Task[ProbeResult]) -> None:
        watch.probe = None
        if task.cancelled() or watch.ended or watch.backend.announced_leaving:
            return
        if self._watches.get(incarnation_of(watch.backend)) is not watch:
            return
        result = task.result()
        if result is ProbeResult.REFUSED:
            self._decide(watch, EndEvidence.REFUSED)
        elif result is ProbeResult.NONE and self._is_removed(watch):
            self._decide(watch, EndEvidence.EXPIRED)

    def _probe_after_removal(self, watch: _Watch) -> None:
        """Probe a server once when its registration has gone: a partitioned one still answers."""
        if watch.was_removed:
            return
        watch.was_removed = True
        if watch.probe is None:
            watch.probe = asyncio.get_running_loop().create_task(
                self._probe.connect(watch.backend.instance.address)
            )
            watch.probe.add_done_callback(lambda task: self._probed(watch, task))

    def _is_replaced(self, watch: _Watch) -> bool:
        """Return whether a later process has this one's id or address."""
        old = watch.backend.instance
        return any(
            other.instance.started_ms > old.started_ms
            and (
                other.instance.instance_id == old.instance_id
                or other.instance.address == old.address
            )
            for other in self._directory.all()
        )

    def _is_removed(self, watch: _Watch) -> bool:
        known = self._directory.get(watch.backend.instance.instance_id)
        return known is not watch.backend or watch.backend.removed_at_s is not None

    def _evidence_of_life(self, watch: _Watch) -> EndEvidence | None:
        if self._has_answered(watch):
            return EndEvidence.ANSWERED
        if not watch.ended or watch.backend.announced_leaving:
            return None
        known = self._directory.get(watch.backend.instance.instance_id)
        if known is None or known.removed_at_s is not None:
            watch.was_removed = True
            return None
        same = known.instance.started_ms == watch.backend.instance.started_ms
        return EndEvidence.REGISTERED if same and watch.was_removed else None

    def _has_answered(self, watch: _Watch) -> bool:
        """Return whether the process has answered again, and not a successor under its id."""
        answered_at_s = watch.backend.last_answer_s
        if answered_at_s is None or answered_at_s <= watch.unanswered_at_s + _ANSWER_MARGIN_S:
            watch.answered_at_s = None
            return False
        now_s = self._clock.monotonic_s()
        if watch.answered_at_s is None:
            watch.answered_at_s = now_s
        if self._is_replaced(watch) or self._registry_age_s() > _REGISTRATION_LAG_S:
            return False
        return now_s - watch.answered_at_s > _REGISTRATION_LAG_S

    def _decide(self, watch: _Watch, evidence: EndEvidence) -> None:
        watch.ended = True
        watch.decided_at_s = self._clock.monotonic_s()
        self._record(watch.backend, evidence, watch)
        self._notify(watch)

    def _notify(self, watch: _Watch) -> None:
        end = ServerEnd(
            incarnation=incarnation_of(watch.backend),
            server=watch.backend.instance.instance_id,
            service=watch.backend.instance.service,
            sends=tuple(watch.sends),
        )
        for listener in self._on_end:
            listener(end)

    def _drop(self, incarnation: str, watch: _Watch, evidence: EndEvidence) -> None:
        del self._watches[incarnation]
        self._record(watch.backend, evidence, watch)
        if watch.ended:
            for listener in self._on_revoked:
                listener(incarnation)

    def _record(self, backend: Backend, evidence: EndEvidence, watch: _Watch | None) -> None:
        self.counts[evidence] += 1
        self._log.info(
            "server_end_judged",
            server=backend.instance.instance_id,
            started_ms=backend.instance.started_ms,
            ended=evidence in _ENDED,
            reason=evidence.value,
            requests=len(watch.sends) if watch is not None else 1,
            undecided_s=round(self._clock.monotonic_s() - watch.watched_at_s, 3) if watch else 0.0,
            view_age_s=round(self._registry_age_s(), 2),
        )
