"""Brings the engines of one availability zone to the newest published versions."""

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
from verbenawind.kernel.rendezvous import top
from verbenawind.weights.budget import StagingBudget
from verbenawind.weights.plan import Target, swap_limit
from verbenawind.weights.shard_holder import ShardHolder
from verbenawind.weights.shards import lease_name, shard_of
from verbenawind.weights.targets import Targets

__all__ = ["WeightsController"]

_LEASE_S = 15.0
_LEASE_ORDER_TIMEOUTS = 3
_PERIOD_S = 0.2
_ACQUIRE_PERIOD_S = 2.0
_CONTENDERS = 2


class WeightsController:
    """Holds leases of the zone's shards and gives orders to their engines.

    Args:
        fleet: The view of the engines.
        clients: Clients of the engines.
        table: The table service's client.
        store: The weight store.
        leases: The lease manager.
        peers: The other daemons.
        configuration: The revisions in force.
        clock: Time source.
        rng: Jitter.
    """

    __slots__ = (
        "_clients",
        "_clock",
        "_configuration",
        "_fleet",
        "_holders",
        "_leases",
        "_next_acquire_s",
        "_peers",
        "_rng",
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
        self._holders: dict[int, ShardHolder] = {}
        self._next_acquire_s = 0.0

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await self._work()
            await self._clock.sleep(self._rng.uniform(0.5, 1.5) * _PERIOD_S)

    def abandon(self) -> None:
        """Drop the orders in flight and keep the leases, as a dying process would."""
        for holder in self._holders.values():
            holder.cancel()
        self._holders.clear()

    def held_shards(self) -> Sequence[int]:
        """Return the shards whose lease this daemon holds."""
        return tuple(self._holders)

    async def stop(self) -> None:
        """Let the orders in flight end and give the leases back."""
        for holder in self._holders.values():
            await holder.stop()
            await holder.lease.release()
        self._holders.clear()

    async def _work(self) -> None:
        self._drop_lost()
        await self._acquire()
        if not self._holders:
            return
        await self._targets.refresh()
        targets = await self._targets.current()
        self._release_reached(targets)
        limits, checks_fencing = self._pool_rules()
        known = [target for target in targets if target.pool in limits]
        rate_bytes_per_s = self._shard_rate_bytes_per_s()
        for holder in self._holders.values():
            holder.budget.set_rate(rate_bytes_per_s)
            holder.start_orders(known, limits, checks_fencing)

    def _drop_lost(self) -> None:
        for shard, holder in list(self._holders.items()):
            if holder.lease.remaining_s() <= 0:
                holder.cancel()
                del self._holders[shard]

    async def _acquire(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s < self._next_acquire_s:
            return
        if not self._configuration.environments():
            return
        self._next_acquire_s = now_s + self._rng.uniform(0.75, 1.25) * _ACQUIRE_PERIOD_S
        for shard in sorted(self._shards() - self._holders.keys()):
            await self._acquire_shard(shard)

    async def _acquire_shard(self, shard: int) -> None:
        zone = self._fleet.location.zone
        name = lease_name(zone, shard)
        rivals = [peer.peer_id for peer in self._peers.peers() if peer.location.zone == zone]
        if self._peers.peer_id not in top(name, [*rivals, self._peers.peer_id], _CONTENDERS):
            return
        longest_s = self._longest_order_s()
        duration_s = max(_LEASE_S, _LEASE_ORDER_TIMEOUTS * longest_s)
        lease = await self._leases.acquire(name, duration_s, zone_only=True)
        if lease is None:
            return
        self._holders[shard] = ShardHolder(
            shard,
            lease,
            fleet=self._fleet,
            clients=self._clients,
            budget=StagingBudget(self._clock),
            clock=self._clock,
            rng=self._rng,
            settle_s=longest_s if lease.fencing_number > 1 else 0.0,
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

    def _longest_order_s(self) -> float:
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

    def _release_reached(self, targets: Sequence[Target]) -> None:
        """Go on to newer versions where this daemon's engines have all reached their target."""
        for target in targets:
            behind = [
                view
                for view in self._fleet.group(BackendKind.ENGINE, target.pool)
                if view.server.location.zone == self._fleet.location.zone
                and view.usable(self._clock.monotonic_s())
                and shard_of(view.server.server_id) in self._holders
                and _is_behind(view, target)
            ]
            if not behind:
                self._targets.reached(target)


def _is_behind(view: ServerView, target: Target) -> bool:
    status = view.status.model(target.model) if view.status else None
    if status is None or status.active_version is None:
        return True
    return status.active_version < target.version
