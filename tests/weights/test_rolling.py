"""Tests of which engines load a version, with few models and many."""

import msgspec

from verbenawind.weights.rolling import (
    EngineLoad,
    LoadPlan,
    ModelEngines,
    engines_of_model,
    plan_loads,
)


def pool(*versions: int) -> list[EngineLoad]:
    """Return idle engines with these versions."""
    return [
        EngineLoad(instance_id=f"e{index}", version=version, loading=False)
        for index, version in enumerate(versions)
    ]


def model(
    engines: list[EngineLoad], newest: int, *, name: str = "m", **fields: int
) -> ModelEngines:
    """Return a model that these engines follow; jobs accept ``lag`` versions before the newest."""
    lag = fields.pop("lag", 0)
    needed = fields.pop("needed", newest - lag)
    return ModelEngines(
        model=name, engines=tuple(engines), newest=newest, needed=needed, lag=lag, **fields
    )


def plan(engines: list[EngineLoad], newest: int, **fields: int) -> LoadPlan:
    """Plan the loads of a pool with one model."""
    return plan_loads([model(engines, newest, **fields)], pool_size=len(engines))


def load(engines: list[EngineLoad], newest: int, lag: int) -> tuple[list[EngineLoad], int]:
    """Carry out every load of one version, wave after wave; return the pool and the loads."""
    loads = 0
    while planned := plan(engines, newest, lag=lag).loads:
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
        wave = plan(pool(*[1] * 22), 3)
        assert len(wave.loads) == 9 and wave.behind == 22

    def test_smallest_pool_still_loads(self) -> None:
        """A single engine loads although nobody serves meanwhile."""
        assert plan(pool(1), 2).loads

    def test_oldest_engines_go_first(self) -> None:
        """Engines that are of no use are loaded before those whose turn it is."""
        wave = plan(pool(4, 2, 4, 2), 4, needed=3, lag=1)
        assert [load.instance_id for load in wave.loads] == ["e1", "e3"]

    def test_loading_engines_count(self) -> None:
        """Engines that load other models leave less room for a wave."""
        behind = pool(1, 1, 1, 1)
        elsewhere = [
            msgspec.structs.replace(engine, loading=index < 2, ready=index >= 2)
            for index, engine in enumerate(behind)
        ]
        busy = [
            msgspec.structs.replace(engine, ready=index >= 2) for index, engine in enumerate(behind)
        ]
        models = [model(busy, 3), model(elsewhere, 3, name="other")]
        wave = plan_loads(models, pool_size=4)
        assert not wave.loads and wave.behind == 4


class TestSeveralModelsBehind:
    """The store was away: several versions of several models are named at once."""

    def loaded_after(self, waves: int, *, covered: int, behind: int) -> list[float]:
        """Return the part of each model's engines that serve it after some waves.

        The first model has *covered* engines that serve its jobs, the second none.
        """
        size = covered + behind
        versions = {"a": [8] * covered + [6] * behind, "b": [6] * size}
        for _ in range(waves):
            models = [model(pool(*held), 9, name=name, lag=1) for name, held in versions.items()]
            for load in plan_loads(models, pool_size=size).loads:
                versions[load.model][int(load.instance_id[1:])] = 9
        return [sum(held >= 8 for held in versions[name]) / size for name in "ab"]

    def test_model_without_engines_goes_first(self) -> None:
        """What loads first are engines of the model that no engine can serve."""
        wave = plan_loads(
            [
                model(pool(8, 8, 8, 6, 6), 9, name="a", lag=1),
                model(pool(6, 6, 6, 6, 6), 9, name="b", lag=1),
            ],
            pool_size=5,
        )
        assert [load.model for load in wave.loads] == ["b", "b"]

    def test_every_model_is_served_soon(self) -> None:
        """After two waves of two, each of two models is served by two fifths of the engines."""
        assert min(self.loaded_after(2, covered=2, behind=3)) >= 0.4

    def test_one_engine_loads_one_model_at_a_time(self) -> None:
        """An engine that is behind with two models is ordered to load one of them."""
        wave = plan_loads(
            [model(pool(1, 1, 1, 1), 3, name=name) for name in ("a", "b")], pool_size=4
        )
        assert len({load.instance_id for load in wave.loads}) == len(wave.loads) == 2
        assert {load.model for load in wave.loads} == {"a", "b"}


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
