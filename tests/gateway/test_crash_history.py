"""Tests of which ends of servers convict a request, and for how long, as a pure decision."""

import pytest

from verbenawind.gateway.crash_history import CrashHistory
from verbenawind.gateway.crash_rows import Clearance, CrashReport, TrialClaim, TrialTerm
from verbenawind.gateway.unanswered_sends import UnansweredSend

HOUR_MS = 3_600_000


def put_end(
    history: CrashHistory,
    server: str,
    ended_ms: int,
    *fingerprints: str,
    host: str = "h1",
    sent_ms: int | None = None,
    service: str = "desk",
    certain: bool = True,
) -> None:
    """Report the end of a server by a host that had sent it requests."""
    sends = tuple(
        UnansweredSend(fingerprint=name, sent_ms=ended_ms - 1 if sent_ms is None else sent_ms)
        for name in fingerprints
    )
    report = CrashReport(
        incarnation=server, service=service, ended_ms=ended_ms, sends=sends, certain=certain
    )
    history.put_report(f"{server}/{host}", report)


def history_of(*ends: tuple[str, int]) -> CrashHistory:
    """Return a history in which servers ended under the request ``f``, one after the other."""
    history = CrashHistory()
    for server, ended_ms in ends:
        put_end(history, server, ended_ms, "f")
    return history


def claim(trials: int, claimed_ms: int, refused_until_ms: int) -> TrialClaim:
    term = TrialTerm(trials=trials, until_ms=refused_until_ms)
    return TrialClaim(claim_id="c", claimed_ms=claimed_ms, terms={"f": term})


class TestConviction:
    def test_three_processes_convict(self) -> None:
        """Two ends leave a request free, the third refuses it for a short first term."""
        history = history_of(("a", 100), ("b", 200))
        assert not history.standing("f", 250).convicted
        put_end(history, "c", 300, "f")
        standing = history.standing("f", 350)
        assert standing.convicted and standing.refused_until_ms == 1300
        assert not history.standing("g", 350).convicted

    def test_reports_of_several_hosts_on_one_process_count_once(self) -> None:
        """Three hosts had sent the request to the same server."""
        history = CrashHistory()
        for host in ("h1", "h2", "h3"):
            put_end(history, "a", 100, "f", host=host)
        assert history.standing("f", 200).ends == 1

    def test_processes_that_end_together_allow_an_immediate_trial(self) -> None:
        """Three servers lose power at once under a popular request: one trial decides."""
        history = CrashHistory()
        for server in ("a", "b", "c"):
            put_end(history, server, 100, "f", sent_ms=50)
        standing = history.standing("f", 101)
        assert standing.convicted and standing.doubtful and standing.refused_until_ms <= 101

    def test_trial_is_immediate_while_servers_end_by_themselves(self) -> None:
        """Two other servers of the service ended as well; servers of other services don't count."""
        history = history_of(("a", 1000), ("b", 2000), ("c", 3000))
        put_end(history, "x", 1500, "g")
        put_end(history, "y", 1600, "h", service="other")
        assert not history.standing("f", 3100).doubtful
        assert history.standing("f", 3100).refused_until_ms == 4000
        put_end(history, "z", 2500)
        assert history.standing("f", 3100).doubtful
        assert history.standing("f", 3100).refused_until_ms == 3000

    def test_undecided_ends_need_a_claim(self) -> None:
        """Servers that left a request unanswered, and may have ended, allow one trial at a time."""
        history = history_of(("a", 1000))
        assert not history.standing("f", 2000, undecided=1).convicted
        standing = history.standing("f", 2000, undecided=2)
        assert standing.convicted and standing.doubtful and standing.refused_until_ms == 2000
        claimed = history.next_claim("f", "c", 2000, doubtful=True, caller=standing.series)
        history.put_claim("f", claimed)
        assert history.standing("f", 2001, undecided=2).refused_until_ms == 3000

    def test_further_ends_lengthen_the_first_term(self) -> None:
        """What was sent after the third end is as good as a trial."""
        history = history_of(("a", 1000), ("b", 2000), ("c", 3000), ("d", 9000), ("e", 15000))
        assert history.standing("f", 15100).refused_until_ms == 15000 + 600_000


class TestClearing:
    def test_answers_that_outnumber_the_ends_clear(self) -> None:
        """Ends before an answer don't count at a host that saw as many answers; later ones do."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        history.put_clearance("f", Clearance(cleared_ms=400))
        assert not history.standing("f", 500, answers=lambda name: 3).ends
        put_end(history, "d", 600, "f")
        assert history.standing("f", 100_700, answers=lambda name: 0).convicted
        assert not history.standing("f", 700, answers=lambda name: 4).convicted

    def test_answer_does_not_void_three_ends(self) -> None:
        """Another caller behind the same address may have got it."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        history.put_clearance("f", Clearance(cleared_ms=400))
        assert history.standing("f", 500, answers=lambda name: 2).convicted

    def test_answer_clears_a_bystander(self) -> None:
        """One or two ends with an answer after them are not held against the others."""
        history = CrashHistory()
        put_end(history, "a", 100, "f.x")
        put_end(history, "b", 200, "f.x")
        history.put_clearance("f.x", Clearance(cleared_ms=250))
        put_end(history, "c", 300, "f.y")
        assert history.standing("f.z", 400).ends == 1

    def test_passed_trial_frees_until_the_next_end(self) -> None:
        """After a relapse, trials have to pass eight times in a row."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        history.put_clearance("f", history.next_pass("f", 1400))
        assert not history.standing("f", 1500).convicted
        put_end(history, "d", 2000, "f")
        assert history.standing("f", 2100).convicted
        for number in range(8):
            assert history.standing("f", 40_000 + number).convicted
            history.put_clearance("f", history.next_pass("f", 40_000 + number))
        assert not history.standing("f", 40_100).convicted

    # Guards against callers that were refused by the last server although their trial had passed.
    def test_passed_trial_voids_the_ends_before_it(self) -> None:
        """The last server of a service is kept only from callers with later ends of their own."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        assert history.standing("f", 350).own_ends == 3
        history.put_clearance("f", history.next_pass("f", 1400))
        assert history.standing("f", 1500).own_ends == 0
        put_end(history, "d", 2000, "f")
        assert history.standing("f", 2100).own_ends == 4

    def test_end_between_trials_starts_the_count_anew(self) -> None:
        """Seven trials passed, one ended a server, and one more passed."""
        history = history_of(("a", 100), ("b", 200), ("c", 300), ("d", 400))
        for number in range(7):
            history.put_clearance("f", history.next_pass("f", 40_000 + number))
        put_end(history, "e", 41_000, "f")
        history.put_clearance("f", history.next_pass("f", 90_000))
        assert history.standing("f", 90_001).convicted

    def test_passed_trial_gives_no_budget_back(self) -> None:
        """Trials that ended servers before still count for the term after the next one."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        history.put_claim("f", claim(2, 350, 10_000))
        history.put_clearance("f", history.next_pass("f", 400))
        for index, server in enumerate("def"):
            put_end(history, server, 5500 + 100 * index, "f")
        assert history.standing("f", 5800).trials == 2
        claimed = history.next_claim("f", "c", 5800, doubtful=False, caller="f")
        assert claimed.term("f").trials == 3

    def test_removed_report_counts_no_more(self) -> None:
        """A report is revoked when the process proved to be alive."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        history.put_report("a/h1", None)
        assert history.standing("f", 400).ends == 2


class TestSendsAfterTheEnd:
    def test_request_that_broke_at_once_after_another_is_not_held_responsible(self) -> None:
        """Behind a proxy, sends to a process that has ended are accepted and break at once."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            at_ms = 1000 * (number + 1)
            sends = [("poison.x", at_ms - 100, at_ms), ("sound.y", at_ms + 200, at_ms + 202)]
            for host, (name, sent_ms, broke_ms) in enumerate(sends):
                send = UnansweredSend(fingerprint=name, sent_ms=sent_ms, broke_ms=broke_ms)
                report = CrashReport(
                    incarnation=server, service="desk", ended_ms=at_ms + 900, sends=(send,)
                )
                history.put_report(f"{server}/{host}", report)
        assert not history.standing("sound.y", 5000).ends
        assert history.standing("poison.x", 5000).convicted

    def test_request_that_came_after_an_answer_is(self) -> None:
        """A connection was reset, the process answered others, and then it ended at once."""
        history = CrashHistory()
        for host, (name, at_ms, alive_ms) in enumerate((("reset.x", 100, 900), ("f", 1000, -1))):
            send = UnansweredSend(fingerprint=name, sent_ms=at_ms - 2, broke_ms=at_ms)
            report = CrashReport(
                incarnation="a", service="desk", ended_ms=1000, sends=(send,), alive_ms=alive_ms
            )
            history.put_report(f"a/{host}", report)
        assert history.standing("f", 1100).ends == 1

    def test_request_that_ran_for_a_while_is(self) -> None:
        """An answer was lost before, so the first break was not the end of the process."""
        history = CrashHistory()
        sends = (
            UnansweredSend(fingerprint="lost.x", sent_ms=100, broke_ms=150),
            UnansweredSend(fingerprint="f", sent_ms=1000, broke_ms=1100),
        )
        report = CrashReport(incarnation="a", service="desk", ended_ms=1100, sends=sends)
        history.put_report("a/h1", report)
        assert history.standing("f", 1200).ends == 1


class TestUncertainEnds:
    def test_silent_servers_need_a_claim(self) -> None:
        """Processes that don't respond to connections count as undecided ends, at all hosts."""
        history = history_of(("a", 1000))
        put_end(history, "b", 1500, "f", certain=False)
        assert not history.standing("f", 2000).convicted
        put_end(history, "c", 1900, "f", certain=False)
        standing = history.standing("f", 2000)
        assert standing.convicted and standing.doubtful and standing.refused_until_ms <= 2000

    def test_later_certainty_counts(self) -> None:
        """One host finds that the process ended for which another had no proof."""
        history = history_of(("a", 1000), ("b", 1500))
        put_end(history, "c", 1900, "f", certain=False)
        put_end(history, "c", 2500, "f", host="h2", sent_ms=1899)
        standing = history.standing("f", 2600)
        assert not standing.doubtful and standing.refused_until_ms == 2900


class TestTrials:
    def test_terms_grow(self) -> None:
        """Each claim states the next term before the trial's end is known."""
        history = history_of(("a", 100), ("b", 200), ("c", 300))
        now_ms, terms_ms = 2000, []
        for _ in range(4):
            latest = history.next_claim("f", "c", now_ms, doubtful=False, caller="f")
            history.put_claim("f", latest)
            assert history.standing("f", now_ms).refused_until_ms == latest.last_term_ms
            terms_ms.append(latest.last_term_ms - now_ms)
            now_ms = latest.last_term_ms
        assert terms_ms == [30_000, 600_000, 6 * HOUR_MS, 6 * HOUR_MS]

    @pytest.mark.parametrize("doubtful", [False, True])
    @pytest.mark.parametrize("gap_ms", [500, 5_000, 40_000])
    def test_sends_in_six_hours_are_bounded(self, gap_ms: int, doubtful: bool) -> None:
        """A caller that returns at any rate reaches at most three servers after the third end."""
        history = history_of(("a", 0), ("b", gap_ms), ("c", 2 * gap_ms))
        if doubtful:
            put_end(history, "x", gap_ms)
            put_end(history, "y", gap_ms)
        sends, now_ms = 0, 2 * gap_ms
        while now_ms < 6 * HOUR_MS:
            now_ms += gap_ms
            standing = history.standing("f", now_ms)
            if standing.refused_until_ms <= now_ms:
                claimed = history.next_claim(
                    "f", "c", now_ms, doubtful=standing.doubtful, caller="f"
                )
                history.put_claim("f", claimed)
                put_end(history, f"d{sends}", now_ms + 10, "f", sent_ms=now_ms)
                sends += 1
        assert sends == 3


class TestLifetime:
    def test_reports_expire(self) -> None:
        """A report expires after an hour, one without requests after a minute."""
        history = history_of(("a", 0))
        put_end(history, "b", 0)
        assert set(history.expired_reports(60_001)) == {"b/h1"}
        assert set(history.expired_reports(HOUR_MS + 1)) == {"a/h1", "b/h1"}
        assert history.standing("f", HOUR_MS + 1).ends == 0

    def test_reports_of_a_refused_request_are_kept(self) -> None:
        """A request stays convicted through its last term and an hour more."""
        history = history_of(("a", 0), ("b", 100), ("c", 200))
        history.put_claim("f", claim(3, 1000, 6 * HOUR_MS))
        assert history.standing("f", 6 * HOUR_MS - 1).convicted
        assert not history.expired_reports(7 * HOUR_MS - 1)
        assert len(history.expired_reports(7 * HOUR_MS)) == 3

    def test_claims_and_clearances_expire(self) -> None:
        """They are kept for an hour, and as long as a report names their request."""
        history = history_of(("a", 0))
        history.put_clearance("f", Clearance(cleared_ms=0))
        history.put_clearance("g", Clearance(cleared_ms=0))
        assert list(history.expired_requests(HOUR_MS + 1)) == ["g"]
        history.put_report("a/h1", None)
        assert set(history.expired_requests(HOUR_MS + 1)) == {"f", "g"}


class TestCallers:
    def test_ends_under_one_caller_are_held_against_the_next(self) -> None:
        """Three processes ended under a caller's request; nobody has got an answer to it."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 100 * number, "f.x")
        assert history.standing("f.x", 350).convicted
        other = history.standing("f.y", 350)
        assert other.convicted and other.doubtful and other.refused_until_ms <= 350

    def test_other_callers_are_free_where_somebody_was_answered(self) -> None:
        """The processes ended under one caller's request, and another caller got an answer."""
        history = CrashHistory()
        put_end(history, "a", 100, "f.x", "f.y")
        put_end(history, "b", 200, "f.x")
        put_end(history, "c", 300, "f.x")
        history.put_clearance("f.y", Clearance(cleared_ms=320))
        history.put_clearance("f", Clearance(cleared_ms=320))
        assert history.standing("f.x", 350).convicted
        assert not history.standing("f.y", 350).convicted
        assert not history.standing("f.z", 350).convicted
        assert history.standing("f.z", 70_000).convicted

    def test_ends_under_several_callers_convict_the_request_for_all(self) -> None:
        """Processes ended under the same request of different callers; one answer frees nobody.

        Ten answers to an end do: so many callers show that the request is sound.
        """
        history = CrashHistory()
        for number, caller in enumerate(("x", "y", "z")):
            put_end(history, f"server-{number}", 100 * (number + 1), f"f.{caller}")
        standing = history.standing("f.new", 350)
        assert standing.convicted and standing.fingerprint == "f"
        history.put_clearance("f", Clearance(cleared_ms=320))
        assert history.standing("f.new", 350).convicted
        assert not history.standing("f.new", 350, answers=lambda name: 30).convicted

    def test_caller_that_convicts_itself_leaves_the_others_their_trials(self) -> None:
        """The trials of the caller that ended servers fail; all others share terms of theirs."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 100 * number, "f.x")
        history.put_claim("f", history.next_claim("f", "c", 2000, doubtful=False, caller="f.x"))
        assert history.standing("f.x", 2001).refused_until_ms == 32_000
        other = history.standing("f.y", 2001)
        assert not other.culprit and other.refused_until_ms <= 2001
        for until_ms in (3001, 602_001):
            history.put_claim("f", history.next_claim("f", "c", 2001, doubtful=True))
            assert history.standing("f.y", 2002).refused_until_ms == until_ms
            assert history.standing("f.z", 2002).refused_until_ms == until_ms
        assert history.standing("f.x", 2002).refused_until_ms == 32_000

    def test_late_ends_of_other_callers_lengthen_terms_from_the_second_on(self) -> None:
        """Two late ends under one caller and one under another leave nobody a trial for minutes."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 100 * number, "f.x")
        put_end(history, "d", 8000, "f.x")
        assert history.standing("f.y", 8001).refused_until_ms <= 8001
        put_end(history, "e", 40_000, "f.x")
        assert history.standing("f.y", 40_001).refused_until_ms == 41_000
        put_end(history, "g", 42_000, "f.y")
        for caller in ("x", "y", "z"):
            assert history.standing(f"f.{caller}", 42_001).refused_until_ms >= 640_000

    # Guards against trials in a row at servers whose ends only a proxy tells of at first.
    def test_uncertain_late_ends_lengthen_terms(self) -> None:
        """Three certain ends convict; two later ones count before the registry confirms them."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 1000 * number, "f.x")
        put_end(history, "d", 8000, "f.x", certain=False)
        assert history.standing("f.x", 8001).refused_until_ms == 38_000
        put_end(history, "e", 9000, "f.x", certain=False)
        assert history.standing("f.x", 9001).refused_until_ms == 609_000

    def test_trials_that_make_a_caller_convict_itself_count_for_it(self) -> None:
        """Addresses in turn: the two trials of one of them ended servers, its third end is late."""
        history = CrashHistory()
        for number, caller in enumerate(("x", "y", "z")):
            put_end(history, f"server-{number}", 100 * (number + 1), f"f.{caller}")
        for number in range(2):
            at_ms = 1000 * (number + 1)
            put_end(history, f"trial-{number}", at_ms, "f.x")
        standing = history.standing("f.x", 2100)
        assert standing.culprit and standing.refused_until_ms == 2000 + 600_000

    def test_trial_of_one_caller_is_given_back_for_it_alone(self) -> None:
        """A sound caller's trial passes while that of the crashing one has failed."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 100 * number, "f.x", "f.y")
        history.put_claim("f", history.next_claim("f", "c", 2000, doubtful=False, caller="f.x"))
        history.put_claim("f", history.next_claim("f", "c", 2001, doubtful=False, caller="f.y"))
        history.put_clearance("f.y", history.next_pass("f.y", 2050))
        history.put_claim("f", history.next_release("f", "f.y", 2050))
        assert not history.standing("f.y", 2100).convicted
        crashing = history.standing("f.x", 2100)
        assert crashing.refused_until_ms == 32_000

    def test_bystander_is_free_once_its_end_has_another_cause(self) -> None:
        """A sound caller met the end of a server under another request, then somebody's answer."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 1000 * number, "f.x")
        put_end(history, "d", 2500, "f.y", "poison.z")
        history.put_clearance("f", Clearance(cleared_ms=2600))
        assert history.standing("f.y", 3000).convicted
        for number, server in enumerate(("e", "g")):
            put_end(history, server, 4000 + 1000 * number, "poison.z")
        assert not history.standing("f.y", 6000).convicted
        assert history.standing("f.x", 6000).convicted

    # Guards against sound callers refused for minutes as they ran where crashing requests did.
    def test_answered_caller_is_free_where_each_end_has_another_cause(self) -> None:
        """Its processes also ran a request, of another address, that ended a fourth one.

        A request of the same address is no excuse: both may be of one crashing caller.
        """
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c", "d")):
            names = ("poison.x",) if server == "d" else ("poison.x", "sound.x", "sound.y")
            put_end(history, server, 1000 * (number + 1), *names)
        for caller in ("x", "y"):
            assert history.standing(f"sound.{caller}", 6001).convicted
            history.put_clearance(f"sound.{caller}", Clearance(cleared_ms=6001))
        assert not history.standing("sound.y", 6002).convicted
        assert history.standing("sound.x", 6002).convicted
        put_end(history, "h", 6500, "sound.y")
        assert history.standing("sound.y", 6501).convicted

    def test_bystanders_excuse_nobody(self) -> None:
        """A request met just the same ends; another met more, and was answered."""
        history = CrashHistory()
        for server in ("a", "b", "c"):
            put_end(history, server, 1000, "poison.y", "once.x", "popular.x")
        for server in ("d", "e", "g"):
            put_end(history, server, 2000, "popular.x")
        for name in ("poison.y", "popular.x"):
            history.put_clearance(name, Clearance(cleared_ms=2500))
        assert history.standing("poison.y", 2600).convicted

    def test_answer_to_one_caller_does_not_clear_another(self) -> None:
        """The clearance of a sound caller leaves the conviction of the crashing one."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c")):
            put_end(history, server, 100 * number, "f.x")
        history.put_clearance("f.y", Clearance(cleared_ms=320))
        history.put_clearance("f", Clearance(cleared_ms=320))
        assert history.standing("f.x", 350).convicted

    def test_bystander_of_a_crashing_request_is_tried_at_once(self) -> None:
        """A sound request met three ends, each under another request that ended more processes."""
        history = CrashHistory()
        for number, server in enumerate(("a", "b", "c", "d")):
            names = ("poison.x",) if server == "b" else ("poison.x", "sound.y")
            put_end(history, server, 2000 * (number + 1), *names)
        bystander = history.standing("sound.y", 8001)
        assert bystander.convicted and bystander.doubtful
        assert bystander.refused_until_ms <= 8001
        assert not history.standing("poison.x", 8001).doubtful
