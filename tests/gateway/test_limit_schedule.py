"""Tests of the schedule by which hosts share a server's limit, as plain values."""

from random import Random

import pytest

from verbenawind.gateway.limit_schedule import LimitSchedule, own_turn_ms, reserve

WINDOW_MS = 4000.0


def most_in_a_window(turns_ms: list[float]) -> int:
    """Return the largest number of turns in any four seconds."""
    ordered = sorted(turns_ms)
    return max(sum(at <= other < at + WINDOW_MS for other in ordered) for at in ordered)


class TestReservations:
    @pytest.mark.parametrize("rate_per_s", [0.1, 1.0, 3.7, 50.0])
    def test_turns_of_any_reservations_keep_to_the_rate(self, rate_per_s: float) -> None:
        """Reservations at random times, some ahead, leave a second's turns as the only burst."""
        rng, schedule = Random(1), LimitSchedule()
        turns_ms: list[float] = []
        now_ms = 100_000.0
        for _ in range(500):
            now_ms += rng.expovariate(rate_per_s) * 1000 * rng.choice([0.1, 1.0, 5.0])
            ahead_ms = rng.choice([0.0, 0.0, 500.0, 3000.0])
            reservation = reserve(
                schedule, rate_per_s, now_ms, wanted=rng.randrange(1, 9), until_ms=now_ms + ahead_ms
            )
            schedule = reservation.schedule
            # A turn that lies in the past is used at once.
            turns_ms += [max(now_ms, turn_ms) for turn_ms in reservation.turns_ms]
        assert most_in_a_window(turns_ms) <= 5 * rate_per_s + 1

    def test_no_turn_after_the_latest_time(self) -> None:
        """A request that has no time gets no turn, and leaves the schedule as it was."""
        schedule = LimitSchedule(next_ms=10_500.0)
        reservation = reserve(schedule, 1.0, 10_000.0, wanted=1, until_ms=10_400.0)
        assert reservation.turns_ms == ()
        assert reservation.schedule == schedule

    def test_rate_applies_from_the_next_slot(self) -> None:
        """Another limit holds for the turns that are reserved after it was named."""
        slow = reserve(LimitSchedule(next_ms=1000.0), 1.0, 1000.0, wanted=1, until_ms=1000.0)
        fast = reserve(slow.schedule, 10.0, 2000.0, wanted=3, until_ms=2250.0)
        assert fast.turns_ms == (2000.0, 2100.0, 2200.0)


class TestCallers:
    def test_due_turns_are_left_to_callers_for_a_while(self) -> None:
        """Work that nobody waits for takes only turns that callers had time to take."""
        with_callers = LimitSchedule(next_ms=9_000.0, callers_ms=9_900.0)
        without = LimitSchedule(next_ms=9_000.0, callers_ms=1_000.0)
        assert with_callers.latest_owed_ms(4.0, 10_000.0) == 9_750.0
        assert without.latest_owed_ms(4.0, 10_000.0) == 10_000.0


class TestTurnsWithoutTheStore:
    @pytest.mark.parametrize("hosts", [1, 12, 67, 195, 424])
    def test_all_hosts_together_use_a_part_of_the_limit(self, hosts: int) -> None:
        """The turns of all hosts are spread evenly and add up to a quarter of the limit."""
        names = [f"host-{number}" for number in range(hosts)]
        turns_ms: list[float] = []
        for name in names:
            at_ms = 0.0
            while (at_ms := own_turn_ms(4.0, name, names, at_ms)) < 600_000.0:
                turns_ms.append(at_ms)
        assert abs(len(turns_ms) - 600) <= hosts
        assert most_in_a_window(turns_ms[:2000]) <= 5

    def test_a_host_that_is_not_listed_yet_counts_itself(self) -> None:
        """A host that has just started is not among the known hosts."""
        assert own_turn_ms(1.0, "new", ["a", "b"], 0.0) > 0.0
