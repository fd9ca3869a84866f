"""Keeps the fleet's view fresh from the host list and the engines' own reports."""

import asyncio

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import StoreUnavailable, VerbenawindError
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import BackendKind
from verbenawind.kernel.ports import BackendClients, HostList

__all__ = ["FleetWatcher"]

_HOST_LIST_PERIOD_S = 1.0
_STATUS_PERIOD_S = 0.25
_SUSPECT_S = 1.0


class FleetWatcher:
    """Polls the host list and the engines.

    Args:
        fleet: The view to keep fresh.
        hosts: The platform's host list.
        clients: Clients of the engines.
        clock: Time source.
    """

    __slots__ = ("_clients", "_clock", "_fleet", "_hosts", "_log")

    def __init__(
        self, fleet: Fleet, hosts: HostList, clients: BackendClients, clock: Clock
    ) -> None:
        self._fleet = fleet
        self._hosts = hosts
        self._clients = clients
        self._clock = clock
        self._log = structlog.get_logger("watcher")

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_hosts())
            tasks.create_task(self._poll_engines())

    async def refresh(self) -> None:
        """Take in the host list and every engine's report once."""
        try:
            self._fleet.apply_hosts(await self._hosts.hosts())
        except StoreUnavailable as error:
            self._log.warning("host_list_unavailable", error=error.message)
        await self._probe_all()

    async def _poll_hosts(self) -> None:
        while True:
            try:
                self._fleet.apply_hosts(await self._hosts.hosts())
            except StoreUnavailable as error:
                self._log.warning("host_list_unavailable", error=error.message)
            await self._clock.sleep(_HOST_LIST_PERIOD_S)

    async def _poll_engines(self) -> None:
        while True:
            await self._probe_all()
            await self._clock.sleep(_STATUS_PERIOD_S)

    async def _probe_all(self) -> None:
        engines = [view for view in self._fleet.all() if view.server.kind is BackendKind.ENGINE]
        await asyncio.gather(*(self._probe(view) for view in engines))

    async def _probe(self, view: ServerView) -> None:
        try:
            self._fleet.observe(await self._clients.engine(view.server).status())
        except VerbenawindError:
            self._fleet.suspect(view.server.server_id, _SUSPECT_S)
