"""Creates crash guards for tests that need no platform."""

from verbenawind.clock import Clock
from verbenawind.gateway import CrashGuard, Directory, ServerEndMonitor
from verbenawind.kernel.probe_ports import ProbeResult


class AcceptingProbe:
    """Finds a listening process at every address; implements the AddressProbe port."""

    async def connect(self, address: str) -> ProbeResult:
        return ProbeResult.ACCEPTED


def create_guard(directory: Directory, clock: Clock) -> CrashGuard:
    """Return a guard for servers that never end."""
    monitor = ServerEndMonitor(directory, AcceptingProbe(), clock, lambda: 0.0)
    return CrashGuard(monitor, lambda: int(clock.monotonic_s() * 1000))
