"""What the turn pools of a host share."""

from collections.abc import Callable, Sequence
from random import Random

from verbenawind.clock import Clock
from verbenawind.gateway.server_limits import ServerLimits
from verbenawind.kernel.row_ports import RowStore

__all__ = ["TurnSource"]

# After a failed call to the store a host uses its own turns for this long.
_UNCOORDINATED_S = 1.0


class TurnSource:
    """What the pools of a host share: the store, the other hosts, and whether the store answers.

    Args:
        limits: The limits that servers have named.
        store: Holds the schedules.
        host: This host.
        hosts: Returns the known hosts.
        clock: Time source.
        store_ms: Returns the store's time.
        rng: Random source for jitter.
        on_available: Called when turns that no caller waits for have been reserved.
    """

    __slots__ = (
        "clock",
        "host",
        "hosts",
        "limits",
        "on_available",
        "rng",
        "store",
        "store_failed",
        "store_ms",
        "uncoordinated_until_s",
    )

    def __init__(
        self,
        limits: ServerLimits,
        store: RowStore,
        *,
        host: str,
        hosts: Callable[[], Sequence[str]],
        clock: Clock,
        store_ms: Callable[[], int],
        rng: Random,
        on_available: Callable[[], None],
    ) -> None:
        self.limits = limits
        self.store = store
        self.host = host
        self.hosts = hosts
        self.clock = clock
        self.store_ms = store_ms
        self.rng = rng
        self.on_available = on_available
        self.store_failed = False
        self.uncoordinated_until_s = float("-inf")

    @property
    def is_uncoordinated(self) -> bool:
        """Whether this host uses its own turns, since the store did not answer."""
        return self.clock.monotonic_s() < self.uncoordinated_until_s

    def record_failure(self) -> None:
        """Record that the store did not answer."""
        self.store_failed = True
        self.uncoordinated_until_s = self.clock.monotonic_s() + _UNCOORDINATED_S
