"""Tests of the routing decisions that need no I/O."""

from random import Random

import pytest

from verbenawind.document import CallerKind, CallerSpec
from verbenawind.errors import BackendServerFailed, RateLimited, StreamTruncated
from verbenawind.kernel.messages import (
    GenerationAttempt,
    GenerationEnded,
    TokensGenerated,
    WorkKind,
)
from verbenawind.kernel.rendezvous import owner, top_members
from verbenawind.routing.attempts import check_event
from verbenawind.routing.caller_limits import CallerLimits
from verbenawind.routing.fair_queue import FairQueue
from verbenawind.routing.limits import EngineLimit
from verbenawind.routing.prefixes import PrefixTable
from verbenawind.routing.reserve import ApplicationReserve
from verbenawind.routing.retries import RetryBudget, backoff_s
from verbenawind.routing.server_choice import Candidate, CrossRegionCost, Tier, choose_engine
from verbenawind.routing.trials import TrialRequest, _PoolTrialQueue

CROSS_REGION_COST = CrossRegionCost(
    size_bytes=1 << 20, price_per_gib=1.0, waiting_price_per_s=0.001, added_s=0.02
)


def candidate(
    server_id: str, *, load: float = 0.0, free: int = 1, preference: int | None = None
) -> Candidate:
    """Return a candidate."""
    return Candidate(server_id=server_id, preference=preference, load=load, free=free)


def tier(tier_distance: int, *candidates: Candidate, wait_s: float = 0.0) -> Tier:
    """Return a tier of candidates."""
    return Tier(
        distance=tier_distance, candidates=candidates, considered=len(candidates), wait_s=wait_s
    )


class TestChoice:
    def test_preferred_engine_within_bounded_load(self) -> None:
        """The preferred engine of the prefix is chosen although another one is less loaded."""
        engines = (candidate("a", load=0.5, preference=0), candidate("b", load=0.45))
        choice = choose_engine([tier(0, *engines)], CROSS_REGION_COST)
        assert choice.server_id == "a" and choice.is_first_preference

    def test_overloaded_preferred_engine_is_passed_over(self) -> None:
        """The preferred engine is skipped when its load is far above the mean."""
        engines = (candidate("a", load=0.9, free=4, preference=0), candidate("b", load=0.1))
        assert choose_engine([tier(0, *engines)], CROSS_REGION_COST).server_id == "b"

    def test_nearest_free_tier_wins(self) -> None:
        """An engine in the same zone is chosen over a less loaded one elsewhere in the region."""
        tiers = [tier(0, candidate("near", load=0.9)), tier(1, candidate("far"))]
        assert choose_engine(tiers, CROSS_REGION_COST).server_id == "near"

    @pytest.mark.parametrize(("wait_s", "chosen"), [(0.5, None), (5.0, "far")])
    def test_region_is_crossed_when_waiting_costs_more(
        self, wait_s: float, chosen: str | None
    ) -> None:
        """Sending 1 MiB at 1 per GiB costs about as much as waiting 1 s at 0.001 per second."""
        tiers = [tier(0, candidate("near", free=0), wait_s=wait_s), tier(2, candidate("far"))]
        choice = choose_engine(tiers, CROSS_REGION_COST)
        assert choice.server_id == chosen and choice.usable

    def test_region_is_crossed_when_nothing_near_fits(self) -> None:
        """Without a suitable engine nearer, another region is used whatever it costs."""
        choice = choose_engine([tier(0), tier(2, candidate("far"))], CROSS_REGION_COST)
        assert choice.server_id == "far"

    def test_no_fitting_engine_is_not_usable(self) -> None:
        """``usable`` is False without a suitable engine and True if all of them are full."""
        assert not choose_engine([tier(0)], CROSS_REGION_COST).usable
        assert choose_engine([tier(0, candidate("a", free=0))], CROSS_REGION_COST).usable


class TestFairQueue:
    def test_flood_does_not_delay_another_caller(self) -> None:
        """A single request of another caller waits for at most one item of the flood."""
        queue: FairQueue[str] = FairQueue()
        for index in range(100):
            queue.push(f"flood{index}", caller="flood", weight=1.0)
        queue.push("single", caller="other", weight=1.0)
        assert "single" in [queue.pop() for _ in range(2)]

    def test_weights_set_the_shares(self) -> None:
        """A caller with three times the weight gets three quarters of the service."""
        queue: FairQueue[str] = FairQueue()
        for _ in range(100):
            queue.push("heavy", caller="heavy", weight=3.0)
            queue.push("light", caller="light", weight=1.0)
        served = [queue.pop() for _ in range(80)]
        assert 58 <= served.count("heavy") <= 62

    def test_removed_items_are_not_served(self) -> None:
        """A removed item is skipped and no longer counted in the length."""
        queue: FairQueue[str] = FairQueue()
        first = queue.push("a", caller="x", weight=1.0)
        queue.push("b", caller="x", weight=1.0)
        queue.remove(first, "x")
        assert len(queue) == 1 and queue.pop() == "b" and len(queue) == 0


class TestEngineLimit:
    def limit(self, daemons: float = 2.0) -> EngineLimit:
        """Return the limit for an engine with a capacity of 16."""
        limit = EngineLimit(0.0)
        limit.update(capacity=16, daemons=daemons, running=0, waiting=0, has_queued=False)
        return limit

    def test_starts_at_the_even_share(self) -> None:
        """Two daemons get half of the engine each; with many, each gets at least one slot."""
        assert self.limit(2.0).slots() == 8
        assert self.limit(100.0).slots() == 1

    def test_queueing_in_the_engine_lowers_it(self) -> None:
        """A long TTFT lowers the limit; a short one raises it back to the share."""
        limit = self.limit()
        limit.update(capacity=16, daemons=2.0, running=16, waiting=2, has_queued=False)
        limit.observe_ttft(0.05, 1.0, limit_reached=True)
        for at_s in range(2, 10):
            limit.observe_ttft(1.0, float(at_s), limit_reached=True)
        lowered = limit.slots()
        for at_s in range(10, 60):
            limit.observe_ttft(0.05, at_s / 10 + 10, limit_reached=True)
        assert lowered <= 3 and limit.slots() == 8

    def test_delay_with_free_slots_keeps_the_limit(self) -> None:
        """A long TTFT does not lower the limit while the engine reports free slots."""
        limit = self.limit()
        limit.observe_ttft(0.05, 1.0, limit_reached=True)
        for at_s in range(2, 10):
            limit.observe_ttft(1.0, float(at_s), limit_reached=True)
        assert limit.slots() == 8

    def test_exceeds_the_share_only_while_slots_are_free(self) -> None:
        """The limit exceeds the share while slots are free, and returns to it on queueing."""
        limit = self.limit()
        limit.observe_ttft(0.05, 1.0, limit_reached=True)
        limit.record_refusal(2.0)
        for _ in range(20):
            limit.update(capacity=16, daemons=2.0, running=8, waiting=0, has_queued=True)
        borrowed = limit.slots()
        for _ in range(20):
            limit.update(capacity=16, daemons=2.0, running=16, waiting=3, has_queued=True)
        assert borrowed == 16 and limit.slots() == 8


class TestReserve:
    def test_reserve_follows_recent_need(self) -> None:
        """The reserve is one slot when idle, at most the share under load, then decays."""
        reserve = ApplicationReserve(0.0)
        idle = reserve.headroom(fraction=0.25, slots=64, in_use=0, demand=0, now_s=1.0)
        busy = reserve.headroom(fraction=0.25, slots=64, in_use=4, demand=40, now_s=2.0)
        later = reserve.headroom(fraction=0.25, slots=64, in_use=0, demand=0, now_s=300.0)
        assert (idle, busy, later) == (1, 12, 2)


class TestRetryBudget:
    def test_sustained_retries_are_a_fraction(self) -> None:
        """Once the reserve is used up, retries are limited to a tenth of first attempts."""
        budget = RetryBudget(0.0)
        while budget.withdraw(0.0):
            pass
        allowed = 0
        for _ in range(1000):
            budget.deposit(0.1)
            allowed += budget.withdraw(0.0)
        assert 95 <= allowed <= 101

    def test_backoff_is_full_jitter(self) -> None:
        """Delays are spread from zero to an upper bound that doubles per retry up to a maximum."""
        rng = Random(1)
        early = [backoff_s(0, rng) for _ in range(200)]
        late = [backoff_s(20, rng) for _ in range(200)]
        assert min(early) < 0.01 and 0.04 < max(early) <= 0.05
        assert min(late) < 0.1 and 1.8 < max(late) <= 2.0


class TestCallerLimits:
    SPEC = CallerSpec(
        name="desk",
        kind=CallerKind.APPLICATION,
        token_sha256="0" * 64,
        rate_per_s=10.0,
        max_concurrency=100,
    )

    def test_rate_is_held_after_a_burst(self) -> None:
        """A burst of one second is admitted, then the rate; refusals say when to retry."""
        limits = CallerLimits()
        admitted = 0
        for tick in range(1000):
            try:
                limits.admit("e", self.SPEC, 1, tick / 100)
            except RateLimited as error:
                assert error.retry_after_s is not None and 0 < error.retry_after_s <= 0.1
            else:
                limits.release("e", "desk")
                admitted += 1
        assert 105 <= admitted <= 111

    def test_daemons_divide_the_concurrency(self) -> None:
        """One of ten daemons admits up to twice its even share."""
        limits = CallerLimits()
        for _ in range(10):
            limits.admit("e", self.SPEC, 10, 0.0)
        with pytest.raises(RateLimited):
            for _ in range(11):
                limits.admit("e", self.SPEC, 10, 10.0)


class TestCheckEvent:
    ATTEMPT = GenerationAttempt(
        attempt_id="a", request_id="r", model="m", prompt="p", max_tokens=8, seed=1
    )

    def tokens(
        self, *, attempt_id: str = "a", start: int = 2, version: int | None = 1
    ) -> TokensGenerated:
        """Return an event with one token."""
        return TokensGenerated(
            attempt_id=attempt_id, start=start, token_ids=(7,), text="x", version=version
        )

    def test_next_tokens_and_right_end_pass(self) -> None:
        """Tokens at the expected position and an end event with the right count are accepted."""
        end = GenerationEnded(attempt_id="a", token_count=2, finish_reason="stop")
        check_event(self.ATTEMPT, self.tokens(), 2, WorkKind.ROLLOUT)
        check_event(self.ATTEMPT, self.tokens(version=None), 2, WorkKind.APPLICATION)
        check_event(self.ATTEMPT, end, 2, WorkKind.ROLLOUT)

    def test_end_of_another_length_is_truncated(self) -> None:
        """An end event that counts more or fewer tokens than were received means truncation."""
        for count in (1, 3):
            end = GenerationEnded(attempt_id="a", token_count=count, finish_reason="stop")
            with pytest.raises(StreamTruncated):
                check_event(self.ATTEMPT, end, 2, WorkKind.APPLICATION)

    def test_foreign_repeated_skipped_and_unlabelled_tokens_fail(self) -> None:
        """Tokens of another attempt, after a gap, repeated, or without a version are rejected."""
        for event in (
            self.tokens(attempt_id="b"),
            self.tokens(start=3),
            self.tokens(start=1),
            self.tokens(version=None),
        ):
            with pytest.raises(BackendServerFailed):
                check_event(self.ATTEMPT, event, 2, WorkKind.ROLLOUT)


class TestTrials:
    def trial_request(self, trial_id: str, age_s: float) -> TrialRequest:
        """Return a suspect's request to start its trial."""
        return TrialRequest(pool="p", fingerprint=trial_id, trial_id=trial_id, age_s=age_s)

    def test_one_at_a_time_and_the_youngest_first(self) -> None:
        """Trials run one at a time, in order of how long the suspect ran before the crash."""
        trials = _PoolTrialQueue()
        waiting = {"old": 9.0, "young": 0.1, "middle": 3.0}
        order = []
        for tick in range(1, 20):
            now_s = tick / 10
            granted = [
                name
                for name, age_s in waiting.items()
                if trials.request_start(self.trial_request(name, age_s), now_s)
            ]
            assert len(granted) <= 1
            for name in granted:
                others = [
                    self.trial_request(other, waiting[other]) for other in waiting if other != name
                ]
                assert not any(trials.request_start(other, now_s) for other in others)
                order.append(name)
                del waiting[name]
                trials.end(name)
        assert order == ["young", "middle", "old"]


class TestRendezvous:
    def test_losing_a_member_moves_only_its_keys(self) -> None:
        """Keys of the remaining members keep their owner."""
        members = [f"engine-{index}" for index in range(20)]
        before = {key: owner(key, members) for key in map(str, range(300))}
        after = {key: owner(key, members[1:]) for key in before}
        assert all(after[key] == old for key, old in before.items() if old != members[0])

    def test_preferences_are_independent_of_member_order(self) -> None:
        """Preferences do not depend on the order in which the engines are listed."""
        members = [f"engine-{index}" for index in range(20)]
        tables = [PrefixTable(members, 3), PrefixTable(members[::-1], 3)]
        assert all(tables[0].preferred(slot) == tables[1].preferred(slot) for slot in range(50))
        assert len(set(top_members("key", members, 3))) == 3
