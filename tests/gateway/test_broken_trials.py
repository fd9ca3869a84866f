"""Tests of trials that reached no process, as theirs had ended before, and are given back.

The failure: a sound request was refused for half a minute, as its trial came to an address at which
the server had just ended and a proxy still accepted connections.
"""

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from random import Random

from verbenawind.clock import LoopClock
from verbenawind.gateway import CrashHistory, CrashRecords
from verbenawind.gateway.broken_trials import BrokenTrial, BrokenTrials
from verbenawind.gateway.crash_rows import CrashReport
from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.row_store import MemoryRowStore


class Trial:
    """A claimed trial of a caller's request, whose send to a server broke at 5 s."""

    def __init__(self) -> None:
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.history = CrashHistory()
        store = MemoryRowStore(Random(1))
        self.records = CrashRecords(
            self.history, store.view(), "hosts", "h1", clock=self.clock, store_ms=lambda: 5_001
        )
        self.trials = BrokenTrials(self.history, self.records, self.clock, lambda: 5_001)

    async def break_send(self) -> None:
        """Claim the trial, and report its broken send as this host does."""
        assert await self.records.claim("f", doubtful=False, caller="f.x")
        claim = self.history.claim("f")
        assert claim is not None
        self.trials.add(
            BrokenTrial(
                fingerprint="f.x",
                convicted="f",
                series="f.x",
                claim_id=claim.claim_id,
                incarnation="s1.1",
                broke_at_s=self.clock.monotonic_s(),
            )
        )
        self.report("h1", "f.x", sent_ms=5_000, broke_ms=5_001)

    def report(self, host: str, fingerprint: str, *, sent_ms: int, broke_ms: int) -> None:
        """Add a host's report on the server's end."""
        send = UnansweredSend(fingerprint=fingerprint, sent_ms=sent_ms, broke_ms=broke_ms)
        report = CrashReport(incarnation="s1.1", service="desk", ended_ms=broke_ms, sends=(send,))
        self.history.put_report(f"s1.1/{host}", report)
        self.trials.reported("s1.1")

    @property
    def spent(self) -> int:
        """Number of trials that count."""
        claim = self.history.claim("f")
        return claim.term("f.x").trials if claim is not None else 0


def run_trial(work: Callable[[Trial], Awaitable[None]]) -> None:
    async def run() -> None:
        await work(Trial())

    run_virtual(run())


class TestBrokenTrials:
    def test_trial_that_came_after_the_end_is_given_back(self) -> None:
        """Another host reports that a connection to the process broke before."""

        async def work(trial: Trial) -> None:
            await trial.break_send()
            assert trial.spent == 1
            trial.report("h2", "g.y", sent_ms=4_000, broke_ms=4_990)
            assert trial.spent == 0

        run_trial(work)

    def test_trial_that_may_have_ended_its_server_counts(self) -> None:
        """Connections of others broke with its own, or later."""

        async def work(trial: Trial) -> None:
            await trial.break_send()
            trial.report("h2", "g.y", sent_ms=4_000, broke_ms=5_001)
            assert trial.spent == 1

        run_trial(work)

    def test_later_claim_stands(self) -> None:
        """The next trial was claimed meanwhile; giving the first one back would free the next."""

        async def work(trial: Trial) -> None:
            await trial.break_send()
            later = trial.history.next_claim("f", "later", 5_001, doubtful=False, caller="f.x")
            trial.history.put_claim("f", later)
            trial.report("h2", "g.y", sent_ms=4_000, broke_ms=4_990)
            assert trial.spent == 2

        run_trial(work)

    def test_late_reports_change_nothing(self) -> None:
        """A report that comes long after the trial finds it forgotten."""

        async def work(trial: Trial) -> None:
            await trial.break_send()
            await trial.clock.sleep(20.0)
            trial.report("h2", "g.y", sent_ms=4_000, broke_ms=4_990)
            assert trial.spent == 1

        run_trial(work)
