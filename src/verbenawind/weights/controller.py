"""Updates the engines of one availability zone to the newest published versions."""

from collections.abc import Sequence
from random import Random

from verbenawind.clock import Clock
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import BackendKind
from verbenawind.kernel.ports import (
    BackendClients,
    Configuration,
    Leases,
    PeerBus,
    TableStore,
    WeightStore,
)
from verbenawind.kernel.rendezvous import top_members
from verbenawind.weights.budget import StagingBudget
from verbenawind.weights.plan import Target, swap_limit
from verbenawind.weights.shard_controller import ShardController
from verbenawind.weights.shards import lease_name, shard_of
from verbenawind.weights.targets import Targets

__all__ = ["WeightsController"]

_MIN_LEASE_S = 15.0
_LEASE_ORDER_TIMEOUTS = 3
_LOOP_PERIOD_S = 0.2
_ACQUIRE_PERIOD_S = 2.0
_LEASE_CANDIDATES = 2


class WeightsController:
    """Acquires leases of the zone's shards and orders their engines to load new versions.

    Args:
        fleet: The known engines and their last reported status.
        clients: Clients of the engines.
        table: Client of the table service.
        store: The weight store.
        leases: The lease manager.
        peers: The other daemons.
        configuration: The configuration revisions in force.
        clock: Time source.
        rng: Source of jitter.
    """

    __slots__ = (
        "_clients",
        "_clock",
        "_configuration",
        "_fleet",
        "_leases",
        "_next_acquire_s",
        "_peers",
        "_rng",
        "_shard_controllers",
        "_targets",
    )

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        table: TableStore,
        store: WeightStore,
        leases: Leases,
        peers: PeerBus,
        configuration: Configuration,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._leases = leases
        self._peers = peers
        self._configuration = configuration
        self._clock = clock
        self._rng = rng
        self._targets = Targets(
            configuration=configuration, table=table, store=store, peers=peers, clock=clock
        )
        self._shard_controllers: dict[int, ShardController] = {}
        self._next_acquire_s = 0.0

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._run_once()
            await self._clock.sleep(self._rng.uniform(0.5, 1.5) * _LOOP_PERIOD_S)

    def abandon(self) -> None:
        """Cancel the orders in flight and keep the leases, as if the process were killed."""
        for shard_controller in self._shard_controllers.values():
            shard_controller.cancel()
        self._shard_controllers.clear()

    def held_shards(self) -> Sequence[int]:
        """Return the shards whose leases this daemon holds."""
        return tuple(self._shard_controllers)

    async def stop(self) -> None:
        """Wait for the orders in flight and release the leases."""
        for shard_controller in self._shard_controllers.values():
            await shard_controller.stop()
            await shard_controller.lease.release()
        self._shard_controllers.clear()

    async def _run_once(self) -> None:
        self._drop_lost_leases()
        await self._acquire_leases()
        if not self._shard_controllers:
            return
        await self._targets.refresh()
        targets = await self._targets.current()
        self._unpin_reached_targets(targets)
        limits, checks_fencing = self._pool_rules()
        supported = [target for target in targets if target.pool in limits]
        rate_bytes_per_s = self._shard_rate_bytes_per_s()
        for shard_controller in self._shard_controllers.values():
            shard_controller.budget.set_rate(rate_bytes_per_s)
            shard_controller.start_orders(supported, limits, checks_fencing)

    def _drop_lost_leases(self) -> None:
        for shard, shard_controller in list(self._shard_controllers.items()):
            if shard_controller.lease.remaining_s() <= 0:
                shard_controller.cancel()
                del self._shard_controllers[shard]

    async def _acquire_leases(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_acquire_s:
            return
        if not self._configuration.environments():
            return
        self._next_acquire_s = now_s + self._rng.uniform(0.75, 1.25) * _ACQUIRE_PERIOD_S
        for shard in sorted(self._shards() - self._shard_controllers.keys()):
            await self._acquire_shard(shard)

    async def _acquire_shard(self, shard: int) -> None:
        zone = self._fleet.location.zone
        name = lease_name(zone, shard)
        zone_peers = [peer.peer_id for peer in self._peers.peers() if peer.location.zone == zone]
        if self._peers.peer_id not in top_members(
            name, [*zone_peers, self._peers.peer_id], _LEASE_CANDIDATES
        ):
            return
        max_order_timeout_s = self._max_order_timeout_s()
        duration_s = max(_MIN_LEASE_S, _LEASE_ORDER_TIMEOUTS * max_order_timeout_s)
        lease = await self._leases.acquire(name, duration_s, zone_only=True)
        if lease is None:
            return
        self._shard_controllers[shard] = ShardController(
            shard,
            lease,
            fleet=self._fleet,
            clients=self._clients,
            budget=StagingBudget(self._clock),
            clock=self._clock,
            rng=self._rng,
            quiet_period_s=max_order_timeout_s if lease.fencing_number > 1 else 0.0,
        )

    def _shard_rate_bytes_per_s(self) -> float:
        rates = [
            revision.document.weights.staging_bytes_per_s
            for revision in self._configuration.environments()
        ]
        return min(rates) / max(1, len(self._shards()))

    def _shards(self) -> set[int]:
        zone = self._fleet.location.zone
        return {
            shard_of(view.server.server_id)
            for view in self._fleet.all()
            if view.server.kind is BackendKind.ENGINE and view.server.location.zone == zone
        }

    def _max_order_timeout_s(self) -> float:
        return max(
            (
                pool.order_timeout_s
                for revision in self._configuration.environments()
                for pool in revision.document.pools
            ),
            default=0.0,
        )

    def _pool_rules(self) -> tuple[dict[str, int], dict[str, bool]]:
        limits: dict[str, int] = {}
        checks_fencing: dict[str, bool] = {}
        for revision in self._configuration.environments():
            for pool in revision.document.pools:
                engines = len(self._fleet.group(BackendKind.ENGINE, pool.name))
                limit = swap_limit(revision.document, pool, engines)
                limits[pool.name] = min(limit, limits.get(pool.name, limit))
                checks_fencing[pool.name] = pool.checks_fencing and checks_fencing.get(
                    pool.name, True
                )
        return limits, checks_fencing

    def _unpin_reached_targets(self, targets: Sequence[Target]) -> None:
        """Unpin each target that all usable engines of the held shards have reached."""
        for target in targets:
            behind = [
                view
                for view in self._fleet.group(BackendKind.ENGINE, target.pool)
                if view.server.location.zone == self._fleet.location.zone
                and view.usable(self._clock.monotonic_s())
                and shard_of(view.server.server_id) in self._shard_controllers
                and _is_behind(view, target)
            ]
            if not behind:
                self._targets.unpin(target)


def _is_behind(view: ServerView, target: Target) -> bool:
    status = view.status.model(target.model) if view.status else None
    if status is None or status.active_version is None:
        return True
    return status.active_version < target.version
