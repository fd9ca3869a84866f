"""Services shared by all step holders of a daemon."""

from random import Random

from verbenawind.clock import Clock
from verbenawind.document import ModelSpec
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import BackendKind
from verbenawind.kernel.ports import Leases, ObjectStore, PeerBus, TableStore
from verbenawind.rollout.policy import RolloutPolicy
from verbenawind.rollout.scoring import Scorer
from verbenawind.rollout.unit_dispatcher import UnitDispatcher
from verbenawind.rollout.versions import VersionRegistry

__all__ = ["HolderDependencies"]


class HolderDependencies:
    """Services shared by all step holders of a daemon.

    Args:
        table: Client of the table service.
        objects: Client of the object store.
        leases: The lease manager.
        versions: The newest weight versions.
        dispatcher: Assigns jobs to this daemon and its peers.
        scorer: Grades samples with scoring services.
        peers: The other daemons.
        clock: Time source.
        rng: Source of retry jitter.
        policy: The enabled policies.
        fleet: The known engines.
    """

    __slots__ = (
        "clock",
        "dispatcher",
        "fleet",
        "leases",
        "objects",
        "peers",
        "policy",
        "rng",
        "scorer",
        "table",
        "versions",
    )

    def __init__(
        self,
        *,
        table: TableStore,
        objects: ObjectStore,
        leases: Leases,
        versions: VersionRegistry,
        dispatcher: UnitDispatcher,
        scorer: Scorer,
        peers: PeerBus,
        clock: Clock,
        rng: Random,
        policy: RolloutPolicy,
        fleet: Fleet,
    ) -> None:
        self.table = table
        self.objects = objects
        self.leases = leases
        self.versions = versions
        self.dispatcher = dispatcher
        self.scorer = scorer
        self.clock = clock
        self.rng = rng
        self.peers = peers
        self.policy = policy
        self.fleet = fleet

    def active_versions(self, model: ModelSpec) -> list[int | None]:
        """Return the active version of a model on each usable engine of its pool."""
        now_s = self.clock.monotonic_s()
        statuses = [
            view.status.model(model.name)
            for view in self.fleet.group(BackendKind.ENGINE, model.pool)
            if view.status is not None and view.usable(now_s)
        ]
        return [status.active_version for status in statuses if status is not None]
