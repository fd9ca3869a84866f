"""Trainer idle time, staleness, wasted tokens and store writes of rollouts, for both users."""

import math
from collections import Counter
from collections.abc import Sequence
from random import Random

import msgspec

from bench.measurements import Better, Measurement
from bench.rollout_baseline import RoundRobinGenerator
from verbenawind.clock import Clock
from verbenawind.daemon import Core
from verbenawind.document import EnvironmentDocument, parse_document
from verbenawind.kernel.ports import Generator, Write
from verbenawind.rollout import Rollouts
from verbenawind.rollout.policy import RolloutPolicy
from verbenawind.standins.deployment import Deployment, run_virtual
from verbenawind.standins.engine import LONG_MARKER, EngineProfile
from verbenawind.standins.platform import StandinTable
from verbenawind.standins.trainer import StandinTrainer
from verbenawind.standins.trainer_calls import CoreTrainerCalls

__all__ = ["run"]

_BENCH = "rollout"
_TOKEN = "0" * 64
_WARM_UP_TIME_S = 5.0
_LONG_INTERVAL = 16


class _User(msgspec.Struct, frozen=True, kw_only=True):
    """The size of a user's installation and the weights in its document."""

    name: str
    regions: tuple[str, ...]
    engines: int
    trainer_idle_weight: float
    staleness_weight: float


class _Policy(msgspec.Struct, frozen=True, kw_only=True):
    """A policy to measure."""

    name: str
    rollout: RolloutPolicy = RolloutPolicy()
    steps_ahead: int = 2
    round_robin: bool = False


_USERS = (
    _User(
        name="siam",
        regions=("bangkok", "chiang-mai", "hat-yai"),
        engines=4,
        trainer_idle_weight=4.0,
        staleness_weight=1.0,
    ),
    _User(
        name="kallioniemi",
        regions=("lappi", "uusimaa", "pirkanmaa"),
        engines=5,
        trainer_idle_weight=1.0,
        staleness_weight=4.0,
    ),
)
_POLICIES = (
    _Policy(name="full"),
    _Policy(name="round-robin", round_robin=True),
    _Policy(name="no-ahead", steps_ahead=0),
    _Policy(name="fixed-ahead", rollout=RolloutPolicy(fixed_ahead_steps=2.0)),
    _Policy(
        name="no-straggler-handling",
        rollout=RolloutPolicy(longest_first=False, move_stragglers=False),
    ),
)


class _Scale(msgspec.Struct, frozen=True, kw_only=True):
    groups: int = 64
    group_size: int = 8
    steps: int = 10
    train_s: float = 120.0
    tick_s: float = 0.2
    tokens_per_tick: int = 4
    max_running: int = 8


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the figures of every user and policy; equal seeds give equal runs.

    The steps of the short form are smaller than the users' steps, so it has no user bounds.
    """
    scale = _Scale(groups=16, group_size=4, steps=3) if short else _Scale()
    return [
        measurement
        for user in _USERS
        for policy in _POLICIES
        for measurement in run_virtual(_measure(seed, user, policy, scale))
    ]


def _document(user: _User) -> EnvironmentDocument:
    return parse_document(f"""
    {{
      "environment": "{user.name}",
      "pools": [{{"name": "tuning", "checks_fencing": true}}],
      "models": [{{"name": "tuner", "pool": "tuning", "staleness": {{"max_versions": 2}}}}],
      "callers": [{{"name": "plant", "kind": "trainer", "models": ["tuner"],
                    "rate_per_s": 100000.0, "max_concurrency": 100000,
                    "token_sha256": "{_TOKEN}"}}],
      "trainers": [{{"name": "folders", "caller": "plant", "model": "tuner"}}],
      "trainer_idle_weight": {user.trainer_idle_weight},
      "staleness_weight": {user.staleness_weight}
    }}
    """)


def _prompt(_: int, group: int) -> str:
    """Return the prompt of a group, the same in each step so that its length can be learned."""
    return (
        f"envelope job {group}{LONG_MARKER if group % _LONG_INTERVAL == _LONG_INTERVAL - 1 else ''}"
    )


def _make_generator(core: Core, policy: _Policy, scale: _Scale) -> Generator:
    if not policy.round_robin:
        return core.dispatcher
    return RoundRobinGenerator(
        core.fleet, core.dependencies.clients, core.dependencies.clock, 2 * scale.max_running
    )


async def _measure(seed: int, user: _User, policy: _Policy, scale: _Scale) -> Sequence[Measurement]:
    deployment = Deployment(seed, user.regions)
    deployment.table = table = _CountingTable(deployment.clock, deployment.rng)
    for index in range(user.engines):
        profile = EngineProfile(
            max_running=scale.max_running,
            tick_s=scale.tick_s,
            tokens_per_tick=scale.tokens_per_tick,
        )
        deployment.add_engine(
            f"engine-{index}", "tuning", {"tuner": 0}, zone_index=index, profile=profile
        )
    cores = [deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(3)]
    for core in cores:
        core.rollouts = Rollouts(
            table=core.table,
            objects=core.objects,
            leases=core.leases,
            generator=_make_generator(core, policy, scale),
            peers=core.peers,
            fleet=core.fleet,
            clients=core.dependencies.clients,
            clock=core.dependencies.clock,
            rng=core.dependencies.rng,
            policy=policy.rollout,
        )
        await core.start()
    document = _document(user)
    revision = await deployment.accept(document)
    await deployment.clock.sleep(_WARM_UP_TIME_S)
    trainer = StandinTrainer(
        CoreTrainerCalls(lambda: cores, revision, deployment.clock),
        "tuner",
        deployment.weights,
        deployment.clock,
        groups=scale.groups,
        group_size=scale.group_size,
        max_tokens=2048,
        train_s=scale.train_s,
        max_versions=2,
        steps_ahead=policy.steps_ahead,
        prompt=_prompt,
    )
    counts_before = table.rollout_writes, deployment.objects.written_bytes
    await trainer.run(scale.steps)
    writes = table.rollout_writes - counts_before[0]
    figures = _figures(
        deployment, trainer, scale, writes, deployment.objects.written_bytes - counts_before[1]
    )
    await deployment.stop()
    is_full_size = scale == _Scale()
    return [_to_measurement(user, policy, figure, is_full_size) for figure in figures]


class _Figure(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    value: float
    unit: str
    better: Better = Better.LOWER
    bound: float | None = None


class _CountingTable(StandinTable):
    """Counts the row writes for rollouts: rollout rows, rollout leases and versions."""

    _PREFIXES = ("rollout/", "lease/rollout/", "version/")

    def __init__(self, clock: Clock, rng: Random) -> None:
        super().__init__(clock, rng)
        self.write_counts: Counter[str] = Counter()

    @property
    def rollout_writes(self) -> int:
        """Number of rows written for rollouts."""
        return sum(
            count for key, count in self.write_counts.items() if key.startswith(self._PREFIXES)
        )

    def _apply(self, write: Write, operation_id: str) -> None:
        if not write.check_only:
            self.write_counts[write.key] += 1
        super()._apply(write, operation_id)


def _figures(
    deployment: Deployment, trainer: StandinTrainer, scale: _Scale, writes: int, object_bytes: int
) -> list[_Figure]:
    report = trainer.report
    samples = sum(report.samples.values())
    delivered = sum(len(sample.token_ids) for step in trainer.samples.values() for sample in step)
    generated = sum(core.rollouts.tokens.generated for core in deployment.daemons.values())
    # The generation of the first step cannot overlap with training.
    idle_s = sum(report.step_idle_s[1:])
    busy_s = scale.train_s * (scale.steps - 1)
    staleness = sorted(report.staleness_versions)
    train_staleness = sorted(report.train_staleness_versions)
    return [
        _Figure(name="trainer_idle_ratio", value=idle_s / (idle_s + busy_s), unit="ratio"),
        _Figure(name="staleness_median", value=_quantile(staleness, 0.5), unit="versions"),
        _Figure(name="staleness_p95", value=_quantile(staleness, 0.95), unit="versions"),
        _Figure(name="staleness_mean", value=sum(staleness) / len(staleness), unit="versions"),
        _Figure(
            name="train_staleness_p95", value=_quantile(train_staleness, 0.95), unit="versions"
        ),
        _Figure(name="wasted_tokens", value=1.0 - delivered / generated, unit="ratio"),
        _Figure(name="step_wait_max", value=max(report.step_idle_s), unit="s"),
        _Figure(name="table_writes_per_sample", value=writes / samples, unit="writes"),
        _Figure(name="table_writes_per_step", value=writes / scale.steps, unit="writes"),
        _Figure(name="object_bytes_per_sample", value=object_bytes / samples, unit="B"),
        _Figure(name="object_bytes_per_step", value=object_bytes / scale.steps, unit="B"),
        _Figure(
            name="duplicates_and_faults",
            value=float(samples - len(report.samples) + report.unlabelled + report.stale),
            unit="samples",
            bound=0.0,
        ),
    ]


def _quantile(values: Sequence[int], fraction: float) -> float:
    return float(values[math.ceil(fraction * len(values)) - 1])


_BOUNDS = {
    ("siam", "trainer_idle_ratio"): 0.05,
    ("kallioniemi", "staleness_p95"): 1.0,
    ("siam", "wasted_tokens"): 0.03,
    ("kallioniemi", "wasted_tokens"): 0.03,
    ("siam", "table_writes_per_sample"): 0.05,
    ("kallioniemi", "table_writes_per_sample"): 0.05,
}


def _to_measurement(
    user: _User, policy: _Policy, figure: _Figure, is_full_size: bool
) -> Measurement:
    is_full = policy.name == "full"
    bound = figure.bound
    if is_full and is_full_size:
        bound = _BOUNDS.get((user.name, figure.name), bound)
    return Measurement(
        bench=_BENCH,
        figure=figure.name,
        variant=f"{user.name}/{policy.name}",
        value=figure.value,
        unit=figure.unit,
        better=figure.better,
        baseline_variant=None if is_full else f"{user.name}/full",
        bound=bound,
        bound_source="issue 5" if bound is not None else "",
    )
