"""Tests of pacing, start decisions, length estimates and units."""

import pytest

from verbenawind.document import EnvironmentDocument, StalenessSpec
from verbenawind.rollout.lengths import LengthEstimator
from verbenawind.rollout.pacing import PacingInputs, next_pacing
from verbenawind.rollout.records import VersionTime
from verbenawind.rollout.staleness import StalenessBound
from verbenawind.rollout.start_decision import decide_start
from verbenawind.rollout.units import StepUnits, count_bits, has_bit, with_bits, without_bits


def _equilibrium(trainer_idle_weight: float, staleness_weight: float) -> float:
    """Return where pacing converges if idle time falls and staleness rises with the lead."""
    ahead = 1.0
    for _ in range(200):
        inputs = PacingInputs(
            idle_ratio=max(0.0, 0.4 * (1.0 - ahead)),
            staleness_versions=ahead,
            trainer_idle_weight=trainer_idle_weight,
            staleness_weight=staleness_weight,
            max_versions=2,
        )
        ahead = next_pacing(ahead, inputs).ahead_steps
    return ahead


class TestPacing:
    def test_weights_have_opposite_effects(self) -> None:
        """A greater weight of idle time increases the lead, one of staleness reduces it."""
        assert _equilibrium(4.0, 1.0) > _equilibrium(1.0, 1.0) > _equilibrium(1.0, 4.0)

    def test_only_one_cost(self) -> None:
        """If one weight is zero, the lead converges to the limit set by the other cost."""
        assert _equilibrium(0.0, 1.0) == pytest.approx(0.05)
        assert _equilibrium(1.0, 0.0) == pytest.approx(1.0, abs=0.05)

    def test_zero_versions_bound(self) -> None:
        """With a bound of zero versions the lead is the minimum."""
        inputs = PacingInputs(
            idle_ratio=1.0,
            staleness_versions=0.0,
            trainer_idle_weight=1.0,
            staleness_weight=0.0,
            max_versions=0,
        )
        assert next_pacing(1.0, inputs).ahead_steps == pytest.approx(0.05)


class TestDecideStart:
    @pytest.mark.parametrize(
        ("age_s", "staleness_weight", "active", "starts"),
        [
            (1.0, 4.0, [6, 6, 6], False),
            (1.0, 4.0, [7, 7, 6], True),
            (9.0, 4.0, [6, 6, 6], True),
            (1.0, 0.0, [6, 6, 6], True),
            (1.0, 4.0, [None, None, 7], False),
        ],
    )
    def test_waits_for_new_weights(
        self, age_s: float, staleness_weight: float, active: list[int | None], starts: bool
    ) -> None:
        """Samples wait for engines that load new weights, for a time set by the weights."""
        bound = StalenessBound(
            spec=StalenessSpec(max_versions=2),
            newest_version=7,
            history=(VersionTime(version=7, published_at_s=100.0),),
            now_s=100.0 + age_s,
        )
        document = EnvironmentDocument(environment="e", staleness_weight=staleness_weight)
        assert decide_start(bound, active, 100.0 + age_s, document).start is starts


class TestLengthEstimator:
    def test_learns_each_prompt(self) -> None:
        """A known prompt has its own estimate, an unknown one gets the mean."""
        estimator = LengthEstimator()
        assert estimator.expected_tokens("a") == 0
        for _ in range(20):
            estimator.record_length("a", 400)
            estimator.record_length("b", 100)
        assert estimator.expected_tokens("a") == 400
        assert estimator.expected_tokens("b") == 100
        assert 100 < estimator.expected_tokens("c") < 400


class TestUnits:
    @pytest.mark.parametrize("singles", [False, True])
    def test_every_sample_has_one_unit(self, singles: bool) -> None:
        """The units partition the samples, and ``unit_of`` is the inverse of ``members``."""
        units = StepUnits.from_runs(((2, 3), (1, 1)), singles=singles)
        members = [(unit, member) for unit in range(units.count) for member in units.members(unit)]
        assert len(members) == units.samples == 7
        assert all(units.unit_of(*member) == unit for unit, member in members)
        assert [units.sample_number(*member) for _, member in members] == list(range(7))
        assert units.sample_number(2, 1) is None

    def test_bitmaps(self) -> None:
        """Bits can be set, tested, counted and cleared."""
        bitmap = with_bits(b"", [0, 9, 70])
        assert [bit for bit in range(100) if has_bit(bitmap, bit)] == [0, 9, 70]
        assert count_bits(without_bits(bitmap, [9, 200])) == 2
