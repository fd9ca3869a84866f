"""Load of the daemons on the table service when idle, after a full restart and an outage."""

import asyncio
from collections import Counter
from collections.abc import Sequence

import structlog

from bench.measurements import Better, Measurement
from verbenawind.daemon import Core
from verbenawind.document import parse_document
from verbenawind.standins.deployment import Deployment, run_virtual

__all__ = ["run"]

_BENCH = "state"
_DOCUMENT = parse_document("""
{
  "environment": "siam-fold",
  "pools": [{"name": "tuning"}],
  "models": [{"name": "tuner", "pool": "tuning"}],
  "callers": [
    {"name": "plant", "kind": "trainer", "models": ["tuner"],
     "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"}
  ],
  "trainers": [{"name": "folders", "caller": "plant", "model": "tuner"}]
}
""")
_REQUIRED_DAEMONS = 420
_READ_CAPACITY_PER_S = 2000.0
_WRITE_CAPACITY_PER_S = 300.0
_MAX_LOAD_FRACTION = 0.5


class _TableCallCounter:
    """Counts the calls to the table per second, and its reads by key prefix."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.reads_by_prefix: Counter[str] = Counter()
        self._read, self._scan = deployment.table.read, deployment.table.scan
        self._commit = deployment.table.commit
        deployment.table.read = self._counted_read  # type: ignore[method-assign]
        deployment.table.scan = self._counted_scan  # type: ignore[method-assign]
        deployment.table.commit = self._counted_commit  # type: ignore[method-assign]

    def clear(self) -> None:
        """Discard the counts so far."""
        for counter in (self.reads, self.writes):
            counter.clear()
        self.reads_by_prefix.clear()

    def _count_call(self, counter: Counter[int]) -> None:
        counter[int(self._deployment.clock.monotonic_s())] += 1

    async def _counted_read(self, keys):  # type: ignore[no-untyped-def]
        self._count_call(self.reads)
        self.reads_by_prefix[keys[0].partition("/")[0] if keys else ""] += 1
        return await self._read(keys)

    async def _counted_scan(self, prefix, **options):  # type: ignore[no-untyped-def]
        self._count_call(self.reads)
        self.reads_by_prefix[prefix.partition("/")[0]] += 1
        return await self._scan(prefix, **options)

    async def _counted_commit(self, transaction):  # type: ignore[no-untyped-def]
        self._count_call(self.writes)
        await self._commit(transaction)


def run(seed: int, short: bool) -> Sequence[Measurement]:
    """Return the load by number of daemons and its extrapolation to the required number."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    sizes = (6, 24) if short else (6, 12, 24, 48)
    figures: list[Measurement] = []
    rates_by_size: dict[str, dict[int, float]] = {}
    for size in sizes:
        result = run_virtual(_measure(seed, size, 30.0 if short else 120.0))
        for figure, value in result.items():
            figures.append(_measurement(figure, f"{size} daemons", value))
            rates_by_size.setdefault(figure, {})[size] = value
    for figure, values in rates_by_size.items():
        if not figure.startswith(("reads", "writes")):
            continue
        low, high = min(values), max(values)
        slope = max(0.0, (values[high] - values[low]) / (high - low))
        total = values[low] + slope * (_REQUIRED_DAEMONS - low)
        bound = _MAX_LOAD_FRACTION * (
            _READ_CAPACITY_PER_S if figure.startswith("reads") else _WRITE_CAPACITY_PER_S
        )
        figures.append(
            Measurement(
                bench=_BENCH,
                figure=figure,
                variant=f"extrapolated to {_REQUIRED_DAEMONS} daemons",
                value=total,
                unit="1/s",
                better=Better.LOWER,
                bound=bound,
                bound_source="issue 6",
            )
        )
    return figures


async def _measure(seed: int, size: int, duration_s: float) -> dict[str, float]:
    deployment = Deployment(seed)
    for index in range(6):
        deployment.add_engine(f"engine-{index}", "tuning", {"tuner": 0}, zone_index=index)
    calls = _TableCallCounter(deployment)
    cores = await _start_all(deployment, size)
    await asyncio.sleep(5.0)
    await deployment.accept(_DOCUMENT)
    await asyncio.sleep(20.0)
    calls.clear()
    await asyncio.sleep(duration_s)
    result = {
        "reads at rest": sum(calls.reads.values()) / duration_s,
        "writes at rest": sum(calls.writes.values()) / duration_s,
    }
    for prefix in ("config", "lease"):
        rate = calls.reads_by_prefix[prefix] / duration_s
        result[f"reads at rest of {prefix} rows"] = rate
    calls.clear()
    await asyncio.gather(*(core.kill() for core in cores))
    cores = await _start_all(deployment, size)
    await asyncio.sleep(duration_s)
    result["reads in the worst second of a restart of all"] = _peak(calls.reads)
    result["writes in the worst second of a restart of all"] = _peak(calls.writes)
    deployment.table.faults.down = True
    await asyncio.sleep(duration_s)
    deployment.table.faults.down = False
    calls.clear()
    await asyncio.sleep(duration_s)
    result["reads in the worst second after an outage"] = _peak(calls.reads)
    result["writes in the worst second after an outage"] = _peak(calls.writes)
    await deployment.stop()
    return result


async def _start_all(deployment: Deployment, size: int) -> list[Core]:
    cores = [deployment.add_daemon(f"daemon-{index}", zone_index=index) for index in range(size)]
    await asyncio.gather(*(core.start() for core in cores))
    return cores


def _peak(counter: Counter[int]) -> float:
    return float(max(counter.values(), default=0))


def _measurement(figure: str, variant: str, value: float) -> Measurement:
    return Measurement(
        bench=_BENCH,
        figure=figure,
        variant=variant,
        value=value,
        unit="1/s",
        better=Better.LOWER,
    )
