"""Brings the engines of one zone to the newest published versions, under a lease."""

import asyncio
import contextlib

import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.document import EnvironmentRevision, ModelSpec, PoolSpec
from verbenawind.errors import StoreUnavailable, VerbenawindError
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import BackendKind, EngineOrder, OrderKind
from verbenawind.kernel.ports import BackendClients, Configuration, Lease, Leases, TableStore
from verbenawind.rollout.records import VersionRecord, version_key

__all__ = ["WeightsController"]

_LEASE_S = 15.0
_PERIOD_S = 0.3


class WeightsController:
    """Gives orders to the engines of this daemon's zone while it holds the zone's lease.

    Args:
        fleet: The view of the engines.
        clients: Clients of the engines.
        table: The table service's client.
        leases: The lease manager.
        configuration: The revisions in force.
        clock: Time source.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clients: BackendClients,
        table: TableStore,
        leases: Leases,
        configuration: Configuration,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._table = table
        self._leases = leases
        self._configuration = configuration
        self._clock = clock
        self._lease: Lease | None = None
        self._log = structlog.get_logger("weights")

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            with contextlib.suppress(StoreUnavailable):
                await self._work()
            await self._clock.sleep(_PERIOD_S)

    async def _work(self) -> None:
        if self._lease is None or self._lease.remaining_s() <= 0:
            self._lease = await self._leases.acquire(
                f"weights/{self._fleet.location.zone}", _LEASE_S, zone_only=True
            )
        if self._lease is None:
            return
        for revision in self._configuration.environments():
            for model in revision.document.models:
                await self._bring_up(revision, model, self._lease)

    async def _bring_up(
        self, revision: EnvironmentRevision, model: ModelSpec, lease: Lease
    ) -> None:
        pool = revision.document.pool(model.pool)
        key = version_key(revision.name, model.name)
        row = (await self._table.read([key])).get(key)
        if row is None or pool is None:
            return
        record = msgspec.json.decode(row.value, type=VersionRecord)
        behind = [view for view in self._engines(pool) if _is_behind(view, record)]
        await asyncio.gather(*(self._order(view, record, pool, lease) for view in behind))

    def _engines(self, pool: PoolSpec) -> list[ServerView]:
        return [
            view
            for view in self._fleet.group(BackendKind.ENGINE, pool.name)
            if view.server.location.zone == self._fleet.location.zone and not view.leaving
        ]

    async def _order(
        self, view: ServerView, record: VersionRecord, pool: PoolSpec, lease: Lease
    ) -> None:
        order = EngineOrder(
            order_id=new_id("order"),
            kind=OrderKind.ACTIVATE,
            model=record.model,
            version=record.version,
            fencing_number=lease.fencing_number,
            weights_uri=record.weights_uri,
            timeout_s=pool.order_timeout_s,
        )
        try:
            lease.check(needed_s=pool.order_timeout_s)
            self._log.info(
                "engine_ordered",
                server_id=view.server.server_id,
                model=record.model,
                version=record.version,
                fencing_number=lease.fencing_number,
                reason="behind the newest published version",
            )
            self._fleet.observe(await self._clients.engine(view.server).order(order))
        except VerbenawindError as error:
            self._log.warning("order_failed", server_id=view.server.server_id, error=error.message)


def _is_behind(view: ServerView, record: VersionRecord) -> bool:
    status = view.status.model(record.model) if view.status else None
    if status is None:
        return False
    return status.active_version is None or status.active_version < record.version
