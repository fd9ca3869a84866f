"""Tests of what is taken for the end of a server's process, and what isn't, on virtual time.

A lost connection alone says nothing about the process. Taking a partition, a planned shutdown or a
lost response for a crash would hold requests responsible for ends that never happened.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime

from verbenawind.clock import LoopClock
from verbenawind.gateway import Backend, Directory, EndEvidence, Instance, ServerEndMonitor
from verbenawind.gateway.unanswered_sends import SendInFlight, ServerEnd, UnansweredSend
from verbenawind.kernel.messages import Location
from verbenawind.kernel.probe_ports import ProbeResult
from verbenawind.standins.deployment import run_virtual

SEND = UnansweredSend(fingerprint="f", sent_ms=0)
ADDRESS = "10.0.0.1:80"


def registration(
    name: str = "s1", *, started_ms: int = 1, draining: bool = False, address: str = ADDRESS
) -> Instance:
    """Return the registration of a server."""
    return Instance(
        instance_id=name,
        service="desk",
        address=address,
        location=Location(zone="a", region="a"),
        slots=4,
        draining=draining,
        started_ms=started_ms,
        versions={},
    )


class Watched:
    """A server that has left a request unanswered, and what the monitor says of it."""

    def __init__(self) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.directory = Directory(self.clock)
        self.monitor = ServerEndMonitor(self.directory, self, self.clock, lambda: 0.0)
        self.probe_result = ProbeResult.ACCEPTED
        self.ends: list[ServerEnd] = []
        self.revoked: list[str] = []
        self.monitor.on_end(self.ends.append)
        self.monitor.on_revoked(self.revoked.append)
        self.directory.put(registration())

    async def connect(self, address: str) -> ProbeResult:
        """Return the scripted result; implements the AddressProbe port."""
        await asyncio.sleep(0.002)
        return self.probe_result

    @property
    def backend(self) -> Backend:
        backend = self.directory.get("s1")
        assert backend is not None
        return backend

    def begin(self, send: UnansweredSend = SEND, patience_s: float = 60.0) -> SendInFlight:
        """Start a send to the server."""
        return self.monitor.begin(self.backend, send, patience_s)

    def break_send(self, send: UnansweredSend = SEND) -> None:
        """Start a send to the server, which breaks."""
        self.monitor.send_broke(self.begin(send))

    def abandon_send(self, send: UnansweredSend = SEND) -> None:
        """Start a send to the server, which is given up."""
        self.monitor.send_unanswered(self.begin(send))

    async def wait(self, seconds: float) -> None:
        """Let time pass, with the periodic check."""
        for _ in range(int(seconds / 0.5)):
            await self.clock.sleep(0.5)
            self.monitor.check()

    def evidence(self) -> list[EndEvidence]:
        return list(self.monitor.counts)


def run_watched(work: Callable[[Watched], Awaitable[None]]) -> None:
    async def run() -> None:
        await work(Watched())

    run_virtual(run())


class TestEnds:
    def test_refused_connection_shows_an_end(self) -> None:
        """A send breaks and nothing listens at the address any more."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.break_send()
            await watched.monitor.probed("f")
            await watched.wait(0.5)
            assert [end.sends for end in watched.ends] == [(SEND,)]

        run_watched(work)

    def test_later_process_shows_an_end(self) -> None:
        """A silent server's successor registers, under its id or at its address."""

        async def under_its_id(watched: Watched) -> None:
            watched.abandon_send()
            watched.directory.put(registration(started_ms=2))
            assert watched.evidence() == [EndEvidence.REPLACED]

        async def at_its_address(watched: Watched) -> None:
            watched.break_send()
            watched.directory.put(registration("s2", started_ms=2))
            assert watched.evidence() == [EndEvidence.REPLACED]

        run_watched(under_its_id)
        run_watched(at_its_address)

    def test_expired_silent_server_has_ended(self) -> None:
        """A server goes dark under a request: no response, no heartbeat, no connection."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.NONE
            watched.abandon_send()
            await watched.wait(3.5)
            assert not any(end.certain for end in watched.ends)
            watched.directory.remove("s1")
            await watched.wait(0.5)
            assert watched.evidence() == [EndEvidence.SILENT, EndEvidence.EXPIRED]
            assert watched.ends[-1].certain

        run_watched(work)

    def test_later_broken_sends_are_added(self) -> None:
        """The other requests on an ended server are reported as their sends break."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.break_send()
            await watched.wait(0.5)
            other = UnansweredSend(fingerprint="g", sent_ms=0)
            watched.break_send(other)
            assert watched.ends[-1].sends == (SEND, other)
            assert watched.monitor.counts[EndEvidence.REFUSED] == 1

        run_watched(work)

    def test_answer_of_a_successor_revokes_nothing(self) -> None:
        """The next process under the same id answers before the registry tells of it."""

        async def refused(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.break_send()
            await watched.wait(1.0)
            watched.backend.succeeded(0.1)
            await watched.wait(0.5)
            watched.directory.put(registration(started_ms=2))
            await watched.wait(3.0)
            assert len(watched.ends) == 1 and not watched.revoked

        async def accepted(watched: Watched) -> None:
            watched.break_send()
            await watched.wait(1.0)
            watched.backend.succeeded(0.1)
            await watched.wait(0.5)
            watched.directory.put(registration(started_ms=2))
            assert watched.evidence() == [EndEvidence.REPLACED]

        run_watched(refused)
        run_watched(accepted)


class TestNoEnds:
    def test_reset_of_a_living_server(self) -> None:
        """Connections are reset, responses are lost or broken; the server accepts new ones."""

        async def work(watched: Watched) -> None:
            watched.break_send()
            await watched.wait(12.0)
            assert watched.evidence() == [EndEvidence.UNKNOWN] and not watched.ends

        run_watched(work)

    def test_server_that_answers_again(self) -> None:
        """A server is frozen or out of reach for some seconds, and then answers."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.NONE
            watched.break_send()
            await watched.wait(2.0)
            assert not any(end.certain for end in watched.ends)
            watched.backend.succeeded(0.1)
            await watched.wait(3.0)
            assert watched.evidence() == [EndEvidence.SILENT, EndEvidence.ANSWERED]
            assert watched.revoked == ["s1.1"]

        run_watched(work)

    def test_planned_shutdown(self) -> None:
        """A server that drains, or whose registration is gone, ends under a request."""

        async def drains(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.directory.put(registration(draining=True))
            watched.break_send()
            await watched.wait(1.0)
            assert watched.evidence() == [EndEvidence.LEAVING] and not watched.ends

        async def leaves_silently(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            backend = watched.backend
            in_flight = watched.begin()
            watched.directory.remove("s1")
            assert backend.leaving
            watched.monitor.send_broke(in_flight)
            await watched.wait(1.0)
            assert not watched.ends

        async def drains_later(watched: Watched) -> None:
            watched.abandon_send()
            watched.directory.put(registration(draining=True))
            await watched.wait(3.0)
            watched.directory.remove("s1")
            watched.probe_result = ProbeResult.REFUSED
            watched.directory.put(registration("s2", started_ms=9))
            await watched.wait(1.0)
            assert not watched.ends

        run_watched(drains)
        run_watched(leaves_silently)
        run_watched(drains_later)

    def test_server_that_lost_only_the_store(self) -> None:
        """A registration expires in a partition from the store; the server accepts connections."""

        async def work(watched: Watched) -> None:
            watched.abandon_send()
            watched.directory.remove("s1")
            await watched.wait(12.0)
            assert not watched.ends

        run_watched(work)

    def test_partition_that_refuses_connections_is_revoked(self) -> None:
        """A cut resets and refuses connections like a crash; the same process is back after it."""

        async def answers(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.break_send()
            await watched.wait(2.0)
            assert len(watched.ends) == 1
            watched.backend.succeeded(0.1)
            await watched.wait(3.0)
            assert watched.revoked == ["s1.1"]

        async def registers(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.break_send()
            await watched.wait(4.0)
            watched.directory.remove("s1")
            await watched.wait(3.0)
            watched.directory.put(registration())
            assert watched.revoked == ["s1.1"]

        run_watched(answers)
        run_watched(registers)


class TestEndsThatNothingBreaks:
    def test_server_that_ends_after_its_caller_left(self) -> None:
        """The server ends a moment after the send was given up, so no connection breaks."""

        async def work(watched: Watched) -> None:
            watched.abandon_send()
            await watched.clock.sleep(0.1)
            watched.probe_result = ProbeResult.REFUSED
            await watched.wait(0.5)
            assert watched.evidence() == [EndEvidence.REFUSED]
            assert [end.sends for end in watched.ends] == [(SEND,)]

        run_watched(work)

    def test_abandoned_send_to_a_server_that_answers_others_costs_no_connection(self) -> None:
        """The server answers another request before it would be probed."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            watched.abandon_send()
            await watched.clock.sleep(0.1)
            watched.backend.succeeded(0.1)
            await watched.wait(1.0)
            assert not watched.ends

        run_watched(work)

    def test_overdue_send_to_a_silent_server_is_told_as_uncertain(self) -> None:
        """A send takes far longer than the target, and the server accepts no connection."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.NONE
            watched.begin(patience_s=1.0)
            await watched.wait(0.5)
            assert not watched.ends
            await watched.wait(1.0)
            assert [(end.sends, end.certain) for end in watched.ends] == [((SEND,), False)]
            assert not watched.monitor.pending("f")

        run_watched(work)

    def test_closed_connections_are_told_as_uncertain(self) -> None:
        """A proxy that finds no process accepts connections and closes them, before any successor.

        A living server may close them too, while it takes no more.
        """

        async def ended(watched: Watched) -> None:
            watched.probe_result = ProbeResult.CLOSED
            watched.break_send()
            await watched.wait(0.5)
            assert [(end.sends, end.certain) for end in watched.ends] == [((SEND,), False)]
            watched.directory.put(registration(started_ms=2))
            assert watched.evidence() == [EndEvidence.CLOSED, EndEvidence.REPLACED]
            assert watched.ends[-1].certain

        async def alive(watched: Watched) -> None:
            watched.probe_result = ProbeResult.CLOSED
            watched.break_send()
            await watched.wait(0.5)
            watched.backend.succeeded(0.1)
            await watched.wait(3.0)
            assert watched.revoked == ["s1.1"]

        run_watched(ended)
        run_watched(alive)

    def test_overdue_send_that_is_answered_counts_for_nothing(self) -> None:
        """A slow server answers at last."""

        async def work(watched: Watched) -> None:
            in_flight = watched.begin(patience_s=1.0)
            await watched.wait(2.0)
            assert watched.monitor.pending("f") == 1
            watched.monitor.finish(in_flight)
            assert not watched.monitor.pending("f") and not watched.monitor.watching

        run_watched(work)

    def test_finding_of_another_host_covers_what_is_in_flight(self) -> None:
        """Another host's send broke; this one's hangs on a connection that nobody closes."""

        async def work(watched: Watched) -> None:
            watched.begin()
            watched.monitor.end_reported("s1.1")
            assert watched.evidence() == [EndEvidence.REPORTED]
            assert [end.sends for end in watched.ends] == [(SEND,)]

        run_watched(work)

    def test_replaced_process_never_answers_again(self) -> None:
        """Its successor answers under its id, and is gone from the registry soon after."""

        async def work(watched: Watched) -> None:
            watched.probe_result = ProbeResult.REFUSED
            backend = watched.backend
            watched.break_send()
            await watched.wait(0.5)
            watched.directory.put(registration(started_ms=2))
            await watched.wait(0.5)
            watched.directory.remove("s1")
            backend.succeeded(0.1)
            await watched.wait(5.0)
            assert not watched.revoked

        run_watched(work)
