"""What every step holder of a daemon shares."""

from random import Random

from verbenawind.clock import Clock
from verbenawind.kernel.ports import Leases, ObjectStore, PeerBus, TableStore
from verbenawind.rollout.policy import RolloutPolicy
from verbenawind.rollout.scoring import Scorer
from verbenawind.rollout.versions import VersionBook
from verbenawind.rollout.workforce import Workforce

__all__ = ["HolderParts"]


class HolderParts:
    """What every holder of a daemon shares.

    Args:
        table: The table service's client.
        objects: The object store's client.
        leases: The lease manager.
        versions: The newest weight versions.
        workforce: Makes samples.
        scorer: Has samples graded by scoring services.
        peers: The other daemons.
        clock: Time source.
        rng: Jitter of retries.
        policy: Which policies are in use.
    """

    __slots__ = (
        "clock",
        "leases",
        "objects",
        "peers",
        "policy",
        "rng",
        "scorer",
        "table",
        "versions",
        "workforce",
    )

    def __init__(
        self,
        *,
        table: TableStore,
        objects: ObjectStore,
        leases: Leases,
        versions: VersionBook,
        workforce: Workforce,
        scorer: Scorer,
        peers: PeerBus,
        clock: Clock,
        rng: Random,
        policy: RolloutPolicy,
    ) -> None:
        self.table = table
        self.objects = objects
        self.leases = leases
        self.versions = versions
        self.workforce = workforce
        self.scorer = scorer
        self.clock = clock
        self.rng = rng
        self.peers = peers
        self.policy = policy
