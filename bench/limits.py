"""Ways to share a server's request limit between hosts: what its callers get, and what it gets.

Requests arrive at one host or at all of them, three times as many as the server takes. Each waits
up to a second for its turn. The turns in the store are the product's code, the other ways models.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import UTC, datetime
from random import Random

from bench.measurements import Better, Measurement
from verbenawind.clock import LoopClock
from verbenawind.errors import LimitReached
from verbenawind.gateway import Allowances, Instance, ServerLimits
from verbenawind.kernel.messages import Location
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.row_store import MemoryRowStore

__all__ = ["run"]

_BENCH = "limits"
_DURATION_S = 30.0
_OVERLOAD = 3.0
_PATIENCE_S = 1.0
_WINDOW_S = 4.0
# The users' rule LIMIT: one and a half times the limit, and five requests.
_TOLERANCE = 1.5
_SPARE_REQUESTS = 5
# Interval and delay of the rows in which hosts state their demand.
_ROW_INTERVAL_S = 0.5
_ROW_DELAY_S = 0.3
# Time to another host and back, between regions.
_ROUND_TRIP_S = 0.024
_FEW_HOSTS = 2
_INSTANCE = Instance(
    instance_id="server",
    service="desk",
    address="10.0.0.1:80",
    location=Location(zone="a", region="a"),
    slots=6,
    draining=False,
    started_ms=1,
    versions={},
)


class _Bucket:
    """A token bucket that holds one token at most."""

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self._free_at_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Return how long a request has to wait for a token."""
        return max(0.0, self._free_at_s - now_s)

    def take(self, now_s: float) -> None:
        """Take the next token, which may lie in the future."""
        interval_s = 1 / self.rate_per_s if self.rate_per_s > 0 else float("inf")
        self._free_at_s = max(now_s, self._free_at_s) + interval_s


class _World:
    """The hosts, the server and what it got."""

    def __init__(self, hosts: int, limit_per_s: float, seed: int) -> None:
        self.hosts = hosts
        self.limit_per_s = limit_per_s
        self.rng = Random(seed)
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.arrivals_s: list[float] = []
        self.calls = 0

    def arrive(self) -> None:
        """Count a request that reaches the server."""
        self.arrivals_s.append(self.clock.monotonic_s())


Policy = Callable[[_World], Callable[[int], Awaitable[None]]]


async def _wait_for_token(world: _World, bucket: _Bucket) -> None:
    """Send a request when the bucket has a token, unless that is too late."""
    now_s = world.clock.monotonic_s()
    wait_s = bucket.wait_s(now_s)
    if wait_s > _PATIENCE_S:
        return
    bucket.take(now_s)
    await world.clock.sleep(wait_s)
    world.arrive()


def _unlimited(world: _World) -> Callable[[int], Awaitable[None]]:
    async def ask(_host: int) -> None:
        world.arrive()

    return ask


def _even_shares(world: _World) -> Callable[[int], Awaitable[None]]:
    buckets = [_Bucket(world.limit_per_s / world.hosts, 0.0) for _ in range(world.hosts)]
    return lambda host: _wait_for_token(world, buckets[host])


def _shares_by_demand(world: _World) -> Callable[[int], Awaitable[None]]:
    """Hosts state their demand in rows, and split the limit by the rows that they have read."""
    buckets = [_Bucket(world.limit_per_s / world.hosts, 0.0) for _ in range(world.hosts)]
    demand = [0] * world.hosts

    async def exchange_rows() -> None:
        while True:
            await world.clock.sleep(_ROW_INTERVAL_S)
            stated, demand[:] = list(demand), [0] * world.hosts
            world.calls += sum(count > 0 for count in stated)
            await world.clock.sleep(_ROW_DELAY_S)
            total = sum(stated)
            for host, bucket in enumerate(buckets):
                if total:
                    bucket.rate_per_s = world.limit_per_s * stated[host] / total

    task = asyncio.get_running_loop().create_task(exchange_rows())

    async def ask(host: int) -> None:
        assert not task.done()
        demand[host] += 1
        await _wait_for_token(world, buckets[host])

    return ask


def _one_granting_host(world: _World) -> Callable[[int], Awaitable[None]]:
    """Every request asks one host, which is lost for the contact time after a third of the run."""
    bucket = _Bucket(world.limit_per_s, 0.0)
    lost_from_s, lost_until_s = _DURATION_S / 3, _DURATION_S / 3 + 4.0

    async def ask(_host: int) -> None:
        world.calls += 1
        await world.clock.sleep(_ROUND_TRIP_S)
        if lost_from_s <= world.clock.monotonic_s() < lost_until_s:
            return
        await _wait_for_token(world, bucket)

    return ask


def _few_hosts(world: _World) -> Callable[[int], Awaitable[None]]:
    """A few hosts may use the server; the others refuse its requests."""
    chosen = min(_FEW_HOSTS, world.hosts)
    buckets = [_Bucket(world.limit_per_s / chosen, 0.0) for _ in range(chosen)]

    async def ask(host: int) -> None:
        if host < chosen:
            await _wait_for_token(world, buckets[host])

    return ask


def _turns_in_the_store(world: _World) -> Callable[[int], Awaitable[None]]:
    store = MemoryRowStore(world.rng)
    allowances = []
    for host in range(world.hosts):
        limits = ServerLimits(world.clock, store.store_ms)
        limits.answered(_INSTANCE, world.limit_per_s, 0, ends_limit=False)
        view = store.view(f"host-{host}")
        commit = view.commit

        async def counted(*args, _commit=commit, **options):  # type: ignore[no-untyped-def]
            world.calls += 1
            return await _commit(*args, **options)

        view.commit = counted  # type: ignore[method-assign]
        allowances.append(
            Allowances(
                limits,
                view,
                host=f"host-{host}",
                hosts=list,
                clock=world.clock,
                store_ms=store.store_ms,
                rng=world.rng,
            )
        )

    async def ask(host: int) -> None:
        until_s = world.clock.monotonic_s() + _PATIENCE_S
        try:
            await allowances[host].acquire(_INSTANCE, until_s, urgent=True)
        except LimitReached:
            return
        world.arrive()

    return ask


_POLICIES: dict[str, Policy] = {
    "no limit": _unlimited,
    "even shares": _even_shares,
    "shares by demand in rows": _shares_by_demand,
    "one granting host": _one_granting_host,
    "few hosts": _few_hosts,
    "turns in the store": _turns_in_the_store,
}


async def _play(world: _World, policy: Policy, loaded: Sequence[int]) -> None:
    """Send requests at random times and at random ones of the loaded hosts."""
    ask = policy(world)
    async with asyncio.TaskGroup() as tasks:
        while world.clock.monotonic_s() < _DURATION_S:
            tasks.create_task(_ask(ask, world.rng.choice(loaded)))
            await world.clock.sleep(world.rng.expovariate(_OVERLOAD * world.limit_per_s))


async def _ask(ask: Callable[[int], Awaitable[None]], host: int) -> None:
    await ask(host)


def _most_in_a_window(arrivals_s: Sequence[float]) -> int:
    ordered = sorted(arrivals_s)
    most, first = 0, 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] >= _WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return what the server and its callers get under each policy."""
    measurements: list[Measurement] = []
    sizes = (12,) if short else (12, 67, 195, 424)
    for hosts in sizes:
        for limit_per_s in (1.0, 4.0) if short else (1.0, 4.0, 50.0):
            for spread in ("one host", "all hosts"):
                loaded = [hosts // 2] if spread == "one host" else range(hosts)
                for name, policy in _POLICIES.items():
                    world = _World(hosts, limit_per_s, seed)
                    run_virtual(_play(world, policy, loaded))
                    case = f"{hosts} hosts, {limit_per_s:g}/s, load at {spread}: {name}"
                    measurements += _figures(world, case)
    return measurements


def _figures(world: _World, case: str) -> list[Measurement]:
    allowed = _TOLERANCE * _WINDOW_S * world.limit_per_s + _SPARE_REQUESTS
    used = len(world.arrivals_s) / (world.limit_per_s * _DURATION_S)
    return [
        Measurement(
            bench=_BENCH,
            figure="part of the limit that callers got",
            variant=case,
            value=round(used, 3),
            unit="",
            better=Better.NEITHER,
        ),
        Measurement(
            bench=_BENCH,
            figure="most requests in 4 s, as part of those allowed",
            variant=case,
            value=round(_most_in_a_window(world.arrivals_s) / allowed, 3),
            unit="",
            better=Better.LOWER,
            bound=1.0,
            bound_source="the users' rule LIMIT",
        ),
        Measurement(
            bench=_BENCH,
            figure="calls between hosts or to the store",
            variant=case,
            value=round(world.calls / _DURATION_S, 2),
            unit="1/s",
            better=Better.LOWER,
        ),
    ]
