"""Health and load monitoring: a few daemons probe each engine and spread the changes."""

import asyncio
from collections.abc import Sequence
from random import Random

import cbor2
import msgspec
import structlog

from verbenawind.clock import Clock
from verbenawind.errors import VerbenawindError
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import BackendKind, EngineStatus, ModelStatus, SwapState
from verbenawind.kernel.ports import BackendClients, HostList, SpreadItem
from verbenawind.kernel.rendezvous import top_members
from verbenawind.membership.bus import GossipBus
from verbenawind.membership.server_directory import ServerDirectory

__all__ = ["FleetWatcher"]

_ENGINE_KIND = "engine"
_REMOTE_ENGINE_KIND = "engine-remote"
_SUSPECT_KIND = "server-suspect"
_WATCHERS_PER_ENGINE = 2
_MAX_ENGINES_WATCHED_TWICE = 64
_MIN_PROBE_PERIOD_S = 0.25
_PERIOD_PER_ENGINE_S = 0.1
_PROBE_TIMEOUT_S = 1.0
_RECONCILE_PERIOD_S = 0.5
_FAILURES_TO_SUSPECT = 2
_SUSPECT_S = 6.0
_SUSPECT_REFRESH_S = 3.0
_LOAD_UPDATES_PER_S = 4.0
_MIN_LOAD_INTERVAL_S = 0.5
_MAX_RANKS_KEPT = 16_384
_SWAP_STATES = (SwapState.IDLE, SwapState.STAGING, SwapState.SWAPPING, SwapState.FAILED)


class _EngineSummary(msgspec.Struct, frozen=True, array_like=True):
    """An engine's status as encoded for peers."""

    running: int
    waiting: int
    max_running: int
    leaving: bool
    fencing_number: int
    models: tuple[tuple[str, int | None, tuple[int, ...], int], ...]


class _ProbeState:
    """Probe failures of one engine, and when this daemon last published its load and suspicion."""

    __slots__ = ("failures", "load_published_at_s", "suspicion_published_at_s")

    def __init__(self) -> None:
        self.failures = 0
        self.load_published_at_s = float("-inf")
        self.suspicion_published_at_s = float("-inf")


class FleetWatcher:
    """Keeps the fleet view current from the host list, probes and peers.

    Args:
        fleet: The fleet view to update.
        hosts: The platform's host list.
        clients: Clients for the engines.
        peers: The peer bus.
        clock: Time source.
        rng: Random source for jitter.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        hosts: HostList,
        clients: BackendClients,
        peers: GossipBus,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._directory = ServerDirectory(fleet, hosts, peers, clock, rng)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._probe_states: dict[str, _ProbeState] = {}
        self._merged_at_s: dict[str, float] = {}
        self._ranks: dict[str, tuple[int, ...]] = {}
        self._assignment: tuple[object, ...] = ()
        self._log = structlog.get_logger("membership")
        fleet.on_observed(self._on_observed)
        for kind in (_ENGINE_KIND, _REMOTE_ENGINE_KIND):
            peers.on_item(kind, self._on_engine)
            peers.on_item(kind.replace("engine", "server"), self._on_server)
        peers.on_item(_SUSPECT_KIND, self._on_suspect)

    async def run(self) -> None:
        """Read the host list and probe the assigned engines until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._directory.run())
                tasks.create_task(self._reconcile_forever())
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def refresh(self) -> None:
        """Read the host list and probe the assigned engines once."""
        await self._directory.refresh()
        await asyncio.gather(*(self._probe(server_id) for server_id in self._assigned()))

    async def _reconcile_forever(self) -> None:
        while True:
            self._reconcile()
            await self._clock.sleep(_RECONCILE_PERIOD_S)

    def _reconcile(self) -> None:
        zones = self._peers.roster.by_zone()
        engines = frozenset(view.server for view in self._engines())
        assignment = (engines, tuple(sorted((zone, tuple(ids)) for zone, ids in zones.items())))
        if assignment == self._assignment:
            return
        self._assignment = assignment
        assigned = set(self._assigned())
        for server_id in self._tasks.keys() - assigned:
            self._tasks.pop(server_id).cancel()
            self._probe_states.pop(server_id, None)
        for server_id in assigned - self._tasks.keys():
            task = asyncio.get_running_loop().create_task(self._watch(server_id))
            self._tasks[server_id] = task

    def _engines(self) -> Sequence[ServerView]:
        return [view for view in self._fleet.all() if view.server.kind is BackendKind.ENGINE]

    def _assigned(self) -> Sequence[str]:
        """Return the engines that this daemon probes.

        Engines are divided among the daemons, so with few daemons each one probes more engines, at
        a lower rate.
        """
        zones = self._peers.roster.by_zone()
        all_peer_ids = [peer.peer_id for peer in self._peers.peers()]
        own_id, own_zone = self._peers.peer_id, self._fleet.location.zone
        engines = self._engines()
        own_zone_engines = sum(view.server.location.zone == own_zone for view in engines)
        count = _WATCHERS_PER_ENGINE if own_zone_engines <= _MAX_ENGINES_WATCHED_TWICE else 1
        assigned: list[str] = []
        for view in engines:
            zone, server_id = view.server.location.zone, view.server.server_id
            if not self._directory.is_responsible_for(zone):
                continue
            others = zones.get(zone, ()) if zone == own_zone else all_peer_ids
            watchers = top_members(server_id, [*others, own_id], count)
            if own_id in watchers:
                assigned.append(server_id)
        return assigned

    async def _watch(self, server_id: str) -> None:
        while True:
            await self._probe(server_id)
            period_s = max(_MIN_PROBE_PERIOD_S, _PERIOD_PER_ENGINE_S * len(self._tasks))
            await self._clock.sleep(period_s * self._rng.uniform(0.9, 1.1))

    async def _probe(self, server_id: str) -> None:
        view = self._fleet.view(server_id)
        if view is None:
            return
        asked_at_s = self._clock.monotonic_s()
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                status = await self._clients.engine(view.server).status()
        except (VerbenawindError, TimeoutError) as error:
            self._probe_failed(view, repr(error))
            return
        probe_state = self._probe_states.setdefault(server_id, _ProbeState())
        recovered, probe_state.failures = probe_state.failures >= _FAILURES_TO_SUSPECT, 0
        if self._merged_at_s.get(server_id, float("-inf")) > asked_at_s and not status.leaving:
            return  # A peer has observed the engine since this probe was sent.
        self._fleet.observe(status)
        if recovered:
            self._publish(status)

    def _probe_failed(self, view: ServerView, reason: str) -> None:
        server = view.server
        probe_state = self._probe_states.setdefault(server.server_id, _ProbeState())
        probe_state.failures += 1
        if probe_state.failures < _FAILURES_TO_SUSPECT:
            return
        self._fleet.suspect(server.server_id, _SUSPECT_S)
        now_s = self._clock.monotonic_s()
        if now_s - probe_state.suspicion_published_at_s < _SUSPECT_REFRESH_S:
            return
        probe_state.suspicion_published_at_s = now_s
        self._log.info("server_suspected", server=server.server_id, reason=reason)
        known_item = self._peers.store.get(_SUSPECT_KIND, server.server_id)
        number = (
            known_item.rank[1] + 1 if known_item and known_item.rank[0] == server.incarnation else 0
        )
        self._peers.spread(
            SpreadItem(
                kind=_SUSPECT_KIND,
                key=server.server_id,
                rank=(server.incarnation, number),
                body=b"",
                expires_at_s=self._clock.now().timestamp() + _SUSPECT_S,
            )
        )

    def _on_observed(self, status: EngineStatus) -> None:
        """Publish an observed status if it differs from what peers know."""
        known_status = self._known_status(status.server_id)
        if known_status is None or _urgent_fields(known_status) != _urgent_fields(status):
            self._publish(status)
            return
        probe_state = self._probe_states.get(status.server_id)
        if probe_state is None or _load_level(known_status) == _load_level(status):
            return
        if self._clock.monotonic_s() - probe_state.load_published_at_s >= self._load_interval_s():
            probe_state.load_published_at_s = self._clock.monotonic_s()
            self._publish(status)

    def _load_interval_s(self) -> float:
        """Return the interval per engine that keeps a zone's load updates within the rate limit."""
        zone = self._fleet.location.zone
        engines = sum(view.server.location.zone == zone for view in self._engines())
        return max(_MIN_LOAD_INTERVAL_S, engines / _LOAD_UPDATES_PER_S)

    def _publish(self, status: EngineStatus) -> None:
        view = self._fleet.view(status.server_id)
        if view is None:
            return
        previous_rank = self._ranks.get(status.server_id, (0, -1))
        number = previous_rank[1] + 1 if previous_rank[0] == status.incarnation else 0
        is_shown = self._directory.is_shown_to_other_zones(view.server)
        self._peers.spread(
            SpreadItem(
                kind=_REMOTE_ENGINE_KIND if is_shown else _ENGINE_KIND,
                key=status.server_id,
                rank=(status.incarnation, number),
                body=cbor2.dumps(msgspec.to_builtins(_summary(status))),
            )
        )

    def _known_status(self, server_id: str) -> EngineStatus | None:
        items = [
            self._peers.store.get(kind, server_id) for kind in (_ENGINE_KIND, _REMOTE_ENGINE_KIND)
        ]
        found = [item for item in items if item is not None]
        return _status(max(found, key=lambda item: item.rank)) if found else None

    def _on_engine(self, item: SpreadItem) -> None:
        if item.rank <= self._ranks.get(item.key, (0, -1)):
            return
        self._ranks[item.key] = item.rank
        self._merged_at_s[item.key] = self._clock.monotonic_s()
        self._fleet.apply_peer_status(_status(item))

    def _on_server(self, item: SpreadItem) -> None:
        """Apply a status that arrived before its server became known."""
        view = self._fleet.view(item.key)
        if view is None:
            self._drop_status(item.key)
            return
        status = self._known_status(item.key)
        if view.status is None and status is not None:
            self._fleet.apply_peer_status(status)

    def _drop_status(self, server_id: str) -> None:
        """Drop the status of a server that is gone, but keep its rank in case it returns."""
        for kind in (_ENGINE_KIND, _REMOTE_ENGINE_KIND):
            self._peers.store.drop(kind, server_id)
        self._merged_at_s.pop(server_id, None)
        if len(self._ranks) > _MAX_RANKS_KEPT:
            known_ids = {view.server.server_id for view in self._engines()}
            self._ranks = {key: rank for key, rank in self._ranks.items() if key in known_ids}

    def _on_suspect(self, item: SpreadItem) -> None:
        view = self._fleet.view(item.key)
        if view is not None and view.server.incarnation == item.rank[0]:
            self._fleet.suspect(item.key, _SUSPECT_S)


def _urgent_fields(status: EngineStatus) -> tuple[object, ...]:
    """Return the fields whose changes are published immediately."""
    return (
        status.incarnation,
        tuple((model.model, model.active_version, model.swap_state) for model in status.models),
        status.leaving,
        status.max_running,
    )


def _load_level(status: EngineStatus) -> tuple[int, int]:
    """Return the load in quarters of capacity and the queue length in powers of two."""
    return 4 * status.running // max(1, status.max_running), status.waiting.bit_length()


def _summary(status: EngineStatus) -> _EngineSummary:
    return _EngineSummary(
        running=status.running,
        waiting=status.waiting,
        max_running=status.max_running,
        leaving=status.leaving,
        fencing_number=status.fencing_number,
        models=tuple(
            (
                model.model,
                model.active_version,
                model.staged_versions,
                _SWAP_STATES.index(model.swap_state),
            )
            for model in status.models
        ),
    )


def _status(item: SpreadItem) -> EngineStatus:
    summary = msgspec.convert(cbor2.loads(item.body), type=_EngineSummary)
    return EngineStatus(
        server_id=item.key,
        incarnation=item.rank[0],
        models=tuple(
            ModelStatus(
                model=model,
                active_version=active,
                staged_versions=staged,
                swap_state=_SWAP_STATES[state],
            )
            for model, active, staged, state in summary.models
        ),
        running=summary.running,
        waiting=summary.waiting,
        max_running=summary.max_running,
        leaving=summary.leaving,
        fencing_number=summary.fencing_number,
    )
