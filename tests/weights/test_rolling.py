"""Tests of the planning of rolling weight updates, with one model and several."""

import msgspec

from verbenawind.weights.rolling import (
    EngineLoadState,
    LoadPlan,
    ModelEngines,
    assign_engines,
    plan_loads,
)


def pool(*versions: int) -> list[EngineLoadState]:
    """Return idle engines that have these versions."""
    return [
        EngineLoadState(instance_id=f"e{index}", version=version, loading=False)
        for index, version in enumerate(versions)
    ]


def model(
    engines: list[EngineLoadState], newest: int, *, name: str = "m", **fields: int
) -> ModelEngines:
    """Return a model with these engines; jobs accept ``lag`` versions before the newest."""
    lag = fields.pop("lag", 0)
    needed = fields.pop("needed", newest - lag)
    return ModelEngines(
        model=name, engines=tuple(engines), newest=newest, needed=needed, lag=lag, **fields
    )


def plan(engines: list[EngineLoadState], newest: int, **fields: int) -> LoadPlan:
    """Plan the loads of a pool with one model."""
    return plan_loads([model(engines, newest, **fields)], pool_size=len(engines))


def load(
    engines: list[EngineLoadState], newest: int, lag: int
) -> tuple[list[EngineLoadState], int]:
    """Apply all loads of one version in waves; return the engines and the number of loads."""
    loads = 0
    while planned := plan(engines, newest, lag=lag).loads:
        names = {load.instance_id for load in planned}
        loads += len(names)
        engines = [
            (
                EngineLoadState(instance_id=e.instance_id, version=newest, loading=False)
                if e.instance_id in names
                else e
            )
            for e in engines
        ]
    return engines, loads


class TestRotation:
    def test_lag_of_one_loads_half_the_pool_per_version(self) -> None:
        """If jobs accept one version behind, each engine loads every second version."""
        engines, total = pool(*[1] * 8), 0
        for newest in range(2, 12):
            engines, loads = load(engines, newest, lag=1)
            total += loads
            assert all(engine.version >= newest - 1 for engine in engines)
        assert total <= 10 * 4

    def test_lag_of_zero_loads_the_whole_pool_per_version(self) -> None:
        """If jobs accept only the newest version, each engine loads each version."""
        engines, total = pool(*[1] * 8), 0
        for newest in range(2, 12):
            engines, loads = load(engines, newest, lag=0)
            total += loads
        assert total == 10 * 8

    def test_wave_size_is_limited(self) -> None:
        """A wave is at most 42 % of the pool."""
        wave = plan(pool(*[1] * 22), 3)
        assert len(wave.loads) == 9 and wave.behind == 22

    def test_smallest_pool_still_loads(self) -> None:
        """A single engine loads, although none can serve in the meantime."""
        assert plan(pool(1), 2).loads

    def test_outdated_engines_load_first(self) -> None:
        """Outdated engines load before engines that load early in rotation."""
        wave = plan(pool(4, 2, 4, 2), 4, needed=3, lag=1)
        assert [load.instance_id for load in wave.loads] == ["e1", "e3"]

    def test_engines_that_load_other_models_count(self) -> None:
        """Engines that load other models count towards the limit."""
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
    """After a store outage, several versions of several models are named at once."""

    def loaded_after(self, waves: int, *, covered: int, behind: int) -> list[float]:
        """Return the fraction of each model's engines that can serve it after some waves.

        Initially *covered* engines can serve the first model, and none the second.
        """
        size = covered + behind
        versions = {"a": [8] * covered + [6] * behind, "b": [6] * size}
        for _ in range(waves):
            models = [model(pool(*held), 9, name=name, lag=1) for name, held in versions.items()]
            for load in plan_loads(models, pool_size=size).loads:
                versions[load.model][int(load.instance_id[1:])] = 9
        return [sum(held >= 8 for held in versions[name]) / size for name in "ab"]

    def test_model_that_no_engine_can_serve_loads_first(self) -> None:
        """Engines of the model that no engine can serve load first."""
        wave = plan_loads(
            [
                model(pool(8, 8, 8, 6, 6), 9, name="a", lag=1),
                model(pool(6, 6, 6, 6, 6), 9, name="b", lag=1),
            ],
            pool_size=5,
        )
        assert [load.model for load in wave.loads] == ["b", "b"]

    def test_every_model_can_be_served_after_two_waves(self) -> None:
        """After two waves of two loads, 40 % of the engines can serve each of two models."""
        assert min(self.loaded_after(2, covered=2, behind=3)) >= 0.4

    def test_one_engine_loads_one_model_at_a_time(self) -> None:
        """An engine that is behind for two models is planned to load only one of them."""
        wave = plan_loads(
            [model(pool(1, 1, 1, 1), 3, name=name) for name in ("a", "b")], pool_size=4
        )
        assert len({load.instance_id for load in wave.loads}) == len(wave.loads) == 2
        assert {load.model for load in wave.loads} == {"a", "b"}


class TestManyModels:
    def test_engines_are_divided_among_models(self) -> None:
        """With four models and a lag of one, each model is assigned half of the engines."""
        engines = [f"e{index}" for index in range(24)]
        shares = [assign_engines(f"m{n}", engines, models=4, lag=1) for n in range(4)]
        assert [len(share) for share in shares] == [12] * 4
        assert len(frozenset().union(*shares)) > 18

    def test_few_models_are_assigned_all_engines(self) -> None:
        """With at most ``lag + 1`` models, every engine is assigned to every model."""
        engines = [f"e{index}" for index in range(5)]
        assert assign_engines("m", engines, models=2, lag=1) == set(engines)
        assert assign_engines("m", engines, models=1, lag=0) == set(engines)

    def test_removed_engine_changes_few_assignments(self) -> None:
        """When an engine is removed, a model loses at most one other and gains at most one."""
        engines = [f"e{index}" for index in range(24)]
        before = assign_engines("m", engines, models=4, lag=1)
        after = assign_engines("m", engines[1:], models=4, lag=1)
        assert len(before - after - {"e0"}) <= 1 and len(after - before) <= 1
