"""Tests of which engines load a version, with few models and many."""

from verbenawind.weights.rolling import EngineLoad, engines_of_model, plan_loads


def pool(*versions: int) -> list[EngineLoad]:
    """Return idle engines with these versions."""
    return [
        EngineLoad(instance_id=f"e{index}", version=version, loading=False)
        for index, version in enumerate(versions)
    ]


def load(engines: list[EngineLoad], newest: int, lag: int) -> tuple[list[EngineLoad], int]:
    """Carry out every load of one version, wave after wave; return the pool and the loads."""
    loads = 0
    while planned := plan_loads(engines, newest=newest, needed=newest - lag, lag=lag).loads:
        names = {load.instance_id for load in planned}
        loads += len(names)
        engines = [
            (
                EngineLoad(instance_id=e.instance_id, version=newest, loading=False)
                if e.instance_id in names
                else e
            )
            for e in engines
        ]
    return engines, loads


class TestTurns:
    def test_steady_trainer_costs_half_the_pool_a_version(self) -> None:
        """With jobs one version behind, each engine loads every second version."""
        engines, total = pool(*[1] * 8), 0
        for newest in range(2, 12):
            engines, loads = load(engines, newest, lag=1)
            total += loads
            assert all(engine.version >= newest - 1 for engine in engines)
        assert total <= 10 * 4

    def test_plain_policy_costs_twice_as_much(self) -> None:
        """Against loading every engine at every version, in the same run, half is saved."""
        engines, total = pool(*[1] * 8), 0
        for newest in range(2, 12):
            engines, loads = load(engines, newest, lag=0)
            total += loads
        assert total == 10 * 8

    def test_most_engines_serve_while_others_load(self) -> None:
        """A wave is never more than about two fifths of the pool."""
        plan = plan_loads(pool(*[1] * 22), newest=3, needed=3, lag=0)
        assert len(plan.loads) == 9 and plan.behind == 22

    def test_smallest_pool_still_loads(self) -> None:
        """A single engine loads although nobody serves meanwhile."""
        assert plan_loads(pool(1), newest=2, needed=2, lag=0).loads

    def test_oldest_engines_go_first(self) -> None:
        """Engines that are of no use are loaded before those whose turn it is."""
        plan = plan_loads(pool(4, 2, 4, 2), newest=4, needed=3, lag=1)
        assert [load.instance_id for load in plan.loads] == ["e1", "e3"]

    def test_loading_engines_count(self) -> None:
        """Engines that load other models leave less room for a wave."""
        plan = plan_loads(pool(1, 1, 1, 1), newest=3, needed=3, lag=0, loading_elsewhere=2)
        assert not plan.loads and plan.behind == 4


class TestManyModels:
    def test_engines_are_shared_out(self) -> None:
        """With four models and jobs one version behind, each model has half of the engines."""
        engines = [f"e{index}" for index in range(24)]
        shares = [engines_of_model(f"m{n}", engines, models=4, lag=1) for n in range(4)]
        assert [len(share) for share in shares] == [12] * 4
        assert len(frozenset().union(*shares)) > 18

    def test_few_models_have_all_engines(self) -> None:
        """With as many models as versions of slack, every engine follows every model."""
        engines = [f"e{index}" for index in range(5)]
        assert engines_of_model("m", engines, models=2, lag=1) == set(engines)
        assert engines_of_model("m", engines, models=1, lag=0) == set(engines)

    def test_lost_engine_changes_little(self) -> None:
        """When an engine goes, a model keeps the others and gets at most one more."""
        engines = [f"e{index}" for index in range(24)]
        before = engines_of_model("m", engines, models=4, lag=1)
        after = engines_of_model("m", engines[1:], models=4, lag=1)
        assert len(before - after - {"e0"}) <= 1 and len(after - before) <= 1
