"""Creates crash guards and allowances for tests that need no platform."""

from random import Random

from verbenawind.clock import Clock
from verbenawind.gateway import (
    Allowances,
    CrashGuard,
    CrashHistory,
    CrashRecords,
    Directory,
    ServerEndMonitor,
    ServerLimits,
)
from verbenawind.kernel.probe_ports import ProbeResult
from verbenawind.standins.row_store import MemoryRowStore


class AcceptingProbe:
    """Finds a listening process at every address; implements the AddressProbe port."""

    async def connect(self, address: str) -> ProbeResult:
        return ProbeResult.ACCEPTED


def create_guard(directory: Directory, clock: Clock) -> CrashGuard:
    """Return a guard for servers that never end."""
    store = MemoryRowStore(Random(1))
    history = CrashHistory()
    return CrashGuard(
        ServerEndMonitor(directory, AcceptingProbe(), clock, lambda: 0.0),
        history,
        CrashRecords(
            history, store.view(), "hosts", "host#1", clock=clock, store_ms=store.store_ms
        ),
        is_assigned=lambda key: True,
        clock=clock,
        store_ms=store.store_ms,
    )


def create_allowances(clock: Clock, limits: ServerLimits | None = None) -> Allowances:
    """Return the allowances of a host, by default for servers that name no limit."""
    store = MemoryRowStore(Random(1))
    return Allowances(
        limits or ServerLimits(clock, store.store_ms),
        store.view(),
        host="host",
        hosts=lambda: ["host"],
        clock=clock,
        store_ms=store.store_ms,
        rng=Random(1),
    )
