"""Decides whether a server's process has ended while it had unanswered requests.

A send that breaks shows only that a connection is lost. The process has ended if its address
refuses connections, if the registry names a later process in its place, or if another host has
found that it ended. A process that leaves requests unanswered may have ended if connections to its
address get no response or are closed at once, which is told to the other hosts as uncertain. A
server that announced that it leaves ends as planned. A decision is revoked if the same process
answers or registers again, as after a network partition that resets connections.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.gateway.directory import Backend, Directory
from verbenawind.gateway.server_limits import instance_incarnation
from verbenawind.gateway.unanswered_sends import (
    EndEvidence,
    SendInFlight,
    ServerEnd,
    UnansweredSend,
)
from verbenawind.gateway.watched_processes import ProcessWatch
from verbenawind.kernel.probe_ports import AddressProbe, ProbeResult

__all__ = [
    "EndEvidence",
    "SendInFlight",
    "ServerEnd",
    "ServerEndMonitor",
    "UnansweredSend",
    "incarnation_of",
]

# How long an incarnation is watched after its last unanswered send: registrations expire after
# three heartbeat intervals, and a crashed server is back after some seconds.
_WATCH_S = 10.0
# How long a decision may be revoked.
_REVOCABLE_S = 30.0
# An answer that is received this soon after a send broke may have been sent before it.
_ANSWER_MARGIN_S = 0.1
# A successor under the same id may answer before the registry tells of it.
_REGISTRATION_LAG_S = 2.0
# Time from an abandoned send to the probe of its server, which may end a little later.
_ABANDONED_PROBE_DELAY_S = 0.25
_MAX_WATCHES = 256
_MAX_SENDS = 64


_ENDED = frozenset(
    {EndEvidence.REFUSED, EndEvidence.REPLACED, EndEvidence.REPORTED, EndEvidence.EXPIRED}
)


def incarnation_of(backend: Backend) -> str:
    """Return the identifier of a server's process, which its successor does not share."""
    return instance_incarnation(backend.instance)


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
        "_in_flight",
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
        self._watches: dict[str, ProcessWatch] = {}
        self._in_flight: set[SendInFlight] = set()
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
        """Return on how many watched incarnations a request was unanswered, without a decision.

        Those that were told as uncertain ends are not counted.
        """
        return sum(
            any(send.fingerprint == fingerprint for send in watch.sends)
            for watch in self._watches.values()
            if not (watch.ended or watch.silent)
        )

    def answered_since(self, incarnation: str, at_s: float) -> bool:
        """Return whether a server's process has answered this host after a monotonic time."""
        return any(
            incarnation_of(backend) == incarnation
            and backend.last_answer_s is not None
            and backend.last_answer_s > at_s
            for backend in self._directory.all()
        )

    def servers_left(self, service: str, ended: Collection[str]) -> tuple[int, int]:
        """Return how many servers of a service are left, and how many are registered.

        Args:
            service: The service.
            ended: Processes that have ended lately, by incarnation.
        """
        servers = self._directory.backends(service)
        left = [s for s in servers if not s.suspected and incarnation_of(s) not in ended]
        return len(left), len(servers)

    def begin(self, backend: Backend, send: UnansweredSend, patience_s: float) -> SendInFlight:
        """Follow a send until it is answered or given up.

        Args:
            backend: The server.
            send: The request, and when it was sent.
            patience_s: Time after which the server is probed if it has not answered anything.
        """
        now_s = self._clock.monotonic_s()
        in_flight = SendInFlight(backend, send, began_at_s=now_s, overdue_at_s=now_s + patience_s)
        self._in_flight.add(in_flight)
        return in_flight

    def finish(self, in_flight: SendInFlight) -> None:
        """Stop following a send; if it was watched as overdue, it was answered."""
        self._in_flight.discard(in_flight)
        incarnation = incarnation_of(in_flight.backend)
        watch = self._watches.get(incarnation)
        if watch is None or watch.ended or in_flight.send not in watch.sends:
            return
        del watch.sends[in_flight.send]
        if not watch.sends:
            self._drop(incarnation, watch, EndEvidence.ANSWERED)

    def send_broke(self, in_flight: SendInFlight, broke_ms: int | None = None) -> None:
        """Record that a send broke after its server may have run it, and probe the server.

        Args:
            in_flight: The send.
            broke_ms: The store's time.
        """
        self._in_flight.discard(in_flight)
        backend = in_flight.backend
        if backend.leaving:
            self._record(backend, EndEvidence.LEAVING, None)
            return
        known = self._watches.get(incarnation_of(backend))
        if known is not None:
            known.sends.pop(in_flight.send, None)
        send = msgspec.structs.replace(in_flight.send, broke_ms=broke_ms)
        watch = self._watch(backend, send)
        if watch is not None:
            self._start_probe(watch)

    def send_unanswered(self, in_flight: SendInFlight) -> None:
        """Record that a send was given up without an answer, and probe the server a little later.

        The process may end only after its caller has left.
        """
        self._in_flight.discard(in_flight)
        if in_flight.backend.leaving:
            return
        watch = self._watch(in_flight.backend, in_flight.send)
        if watch is not None:
            self._start_probe(watch, delay_s=_ABANDONED_PROBE_DELAY_S)

    def end_suspected(self, incarnation: str, ended_s: float, *, confirmed: bool) -> None:
        """Prefer other servers to one whose process other hosts found ended or unresponsive.

        Args:
            incarnation: The process.
            ended_s: Monotonic time of the finding.
            confirmed: Whether several hosts found so.
        """
        if self.answered_since(incarnation, ended_s):
            return
        for backend in self._directory.all():
            if incarnation_of(backend) == incarnation:
                backend.suspect(confirmed=confirmed)

    def end_reported(self, incarnation: str) -> None:
        """Apply another host's finding that a process has ended to what this host sent it."""
        for in_flight in [f for f in self._in_flight if incarnation_of(f.backend) == incarnation]:
            if not in_flight.backend.leaving:
                self._watch(in_flight.backend, in_flight.send)
        watch = self._watches.get(incarnation)
        if watch is not None and not watch.ended and not watch.backend.announced_leaving:
            self._decide(watch, EndEvidence.REPORTED)

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
        self._watch_overdue()
        if not self._watches:
            return
        now_s = self._clock.monotonic_s()
        for incarnation, watch in list(self._watches.items()):
            replaced = self._is_replaced(watch)
            life = self._evidence_of_life(watch)
            if life is not None:
                self._drop(incarnation, watch, life)
            elif watch.ended:
                if now_s - watch.decided_at_s > _REVOCABLE_S:
                    del self._watches[incarnation]
            elif watch.backend.announced_leaving:
                self._drop(incarnation, watch, EndEvidence.LEAVING)
            elif replaced:
                self._decide(watch, EndEvidence.REPLACED)
            elif self._is_removed(watch):
                self._probe_after_removal(watch)
            elif now_s - watch.unanswered_at_s > _WATCH_S:
                self._drop(incarnation, watch, EndEvidence.UNKNOWN)

    def _watch_overdue(self) -> None:
        """Watch servers that have not answered anything since a send that is overdue."""
        now_s = self._clock.monotonic_s()
        for in_flight in [f for f in self._in_flight if f.overdue_at_s <= now_s]:
            in_flight.progressed()
            backend = in_flight.backend
            if backend.announced_leaving or _answered_after(backend, in_flight.began_at_s):
                continue
            watch = self._watch(backend, in_flight.send)
            if watch is not None:
                self._start_probe(watch)

    def _start_probe(self, watch: ProcessWatch, *, delay_s: float = 0.0) -> None:
        if watch.probe is not None or watch.ended:
            return
        watch.probe = asyncio.get_running_loop().create_task(self._connect(watch, delay_s))
        watch.probe.add_done_callback(lambda task: self._probed(watch, task))

    async def _connect(self, watch: ProcessWatch, delay_s: float) -> ProbeResult:
        """Connect to a watched server after a delay, unless it answers something meanwhile."""
        if delay_s > 0.0:
            unanswered_at_s = watch.unanswered_at_s
            await self._clock.sleep(delay_s)
            if _answered_after(watch.backend, unanswered_at_s):
                return ProbeResult.ACCEPTED
        return await self._probe.connect(watch.backend.instance.address)

    def _watch(self, backend: Backend, send: UnansweredSend) -> ProcessWatch | None:
        """Add a send to the watch of its server's incarnation."""
        incarnation = incarnation_of(backend)
        watch = self._watches.get(incarnation)
        if watch is None:
            if len(self._watches) >= _MAX_WATCHES:
                self._log.warning("server_end_not_watched", server=backend.instance.instance_id)
                return None
            watch = self._watches[incarnation] = ProcessWatch(backend, self._clock.monotonic_s())
        if len(watch.sends) < _MAX_SENDS:
            watch.sends[send] = None
        watch.unanswered_at_s = self._clock.monotonic_s()
        if watch.ended or watch.silent:
            self._notify(watch)
        return watch

    def _probed(self, watch: ProcessWatch, task: asyncio.Task[ProbeResult]) -> None:
        watch.probe = None
        if task.cancelled() or watch.ended or watch.backend.announced_leaving:
            return
        if self._watches.get(incarnation_of(watch.backend)) is not watch:
            return
        result = task.result()
        if result is ProbeResult.REFUSED:
            self._decide(watch, EndEvidence.REFUSED)
        elif result is not ProbeResult.ACCEPTED and self._is_removed(watch):
            self._decide(watch, EndEvidence.EXPIRED)
        elif result is not ProbeResult.ACCEPTED and not watch.silent:
            watch.silent = True
            watch.backend.suspect()
            closed = result is ProbeResult.CLOSED
            self._record(watch.backend, EndEvidence.CLOSED if closed else EndEvidence.SILENT, watch)
            self._notify(watch)

    def _probe_after_removal(self, watch: ProcessWatch) -> None:
        """Probe a server once when its registration has gone: a partitioned one still answers."""
        if watch.was_removed:
            return
        watch.was_removed = True
        self._start_probe(watch)

    def _is_replaced(self, watch: ProcessWatch) -> bool:
        """Return whether a later process has, or had, this one's id or address."""
        old = watch.backend.instance
        watch.was_replaced = watch.was_replaced or any(
            other.instance.started_ms > old.started_ms
            and (
                other.instance.instance_id == old.instance_id
                or other.instance.address == old.address
            )
            for other in self._directory.all()
        )
        return watch.was_replaced

    def _is_removed(self, watch: ProcessWatch) -> bool:
        known = self._directory.get(watch.backend.instance.instance_id)
        return known is not watch.backend or watch.backend.removed_at_s is not None

    def _evidence_of_life(self, watch: ProcessWatch) -> EndEvidence | None:
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

    def _has_answered(self, watch: ProcessWatch) -> bool:
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

    def _decide(self, watch: ProcessWatch, evidence: EndEvidence) -> None:
        watch.backend.suspect()
        watch.ended = True
        watch.decided_at_s = self._clock.monotonic_s()
        self._record(watch.backend, evidence, watch)
        self._notify(watch)

    def _notify(self, watch: ProcessWatch) -> None:
        end = ServerEnd(
            incarnation=incarnation_of(watch.backend),
            server=watch.backend.instance.instance_id,
            service=watch.backend.instance.service,
            sends=tuple(watch.sends),
            certain=watch.ended,
            answered_s=watch.backend.last_answer_s,
        )
        for listener in self._on_end:
            listener(end)

    def _drop(self, incarnation: str, watch: ProcessWatch, evidence: EndEvidence) -> None:
        del self._watches[incarnation]
        self._record(watch.backend, evidence, watch)
        if watch.ended or watch.silent:
            for listener in self._on_revoked:
                listener(incarnation)

    def _record(self, backend: Backend, evidence: EndEvidence, watch: ProcessWatch | None) -> None:
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


def _answered_after(backend: Backend, at_s: float) -> bool:
    return backend.last_answer_s is not None and backend.last_answer_s > at_s
