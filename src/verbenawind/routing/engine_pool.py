"""One daemon's state of one engine pool: engines in use, concurrency limits and queue."""

import math
from collections.abc import Sequence
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.document import CrossRegionSpec, PoolSpec
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import GenerateRequest, WorkKind
from verbenawind.kernel.ports import PeerBus
from verbenawind.routing.limits import EngineLimit
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.pool_members import PoolMembers
from verbenawind.routing.prefixes import prefix_slot
from verbenawind.routing.reserve import ApplicationReserve
from verbenawind.routing.server_choice import (
    Candidate,
    Choice,
    CrossRegionCost,
    Tier,
    choose_engine,
    distance,
)
from verbenawind.routing.slots import SlotQueue, Ticket

__all__ = ["EnginePool", "EngineRequirements"]

_REFRESH_PERIOD_S = 0.25
_SAMPLE_SIZE = 2
_MAX_FULL_SCAN = 8
_UNLIMITED = 1_000_000
_BYTES_PER_TOKEN = 6
_CROSS_REGION_ADDED_S = 0.024


class EngineRequirements:
    """The requirements of a generation on its engine.

    Args:
        request: The generation request.
        excluded: Engines to avoid unless no other engine is suitable.
        trial: Whether the request is suspected of crashing engines and runs as an isolated trial.
    """

    __slots__ = ("excluded", "prefix_slot_number", "request", "trial")

    def __init__(self, request: GenerateRequest, excluded: set[str], *, trial: bool) -> None:
        self.request = request
        self.excluded = excluded
        self.trial = trial
        self.prefix_slot_number = prefix_slot(request.model, request.prompt)

    def is_satisfied_by(self, view: ServerView, now_s: float) -> bool:
        """Return whether the engine could run the generation, regardless of free slots."""
        if view.status is None or not view.usable(now_s):
            return False
        model = view.status.model(self.request.model)
        if model is None or model.active_version is None:
            return False
        required_version = self.request.min_version
        return required_version is None or model.active_version >= required_version


class EnginePool:
    """Queues the generations of one pool and selects their engines.

    Args:
        name: Name of the pool.
        fleet: The view of the backend servers.
        peers: The other daemons.
        clock: Time source.
        rng: Random source for sampling engines.
        policy: Which mechanisms are enabled.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_limits",
        "_load_of_others",
        "_log",
        "_members",
        "_name",
        "_policy",
        "_refreshed_at_s",
        "_reserve",
        "_rng",
        "_slots_total",
        "_status_seen_at_s",
        "cross_region_spec",
        "queue",
        "spec",
        "trial_servers",
    )

    def __init__(
        self,
        name: str,
        *,
        fleet: Fleet,
        peers: PeerBus,
        clock: Clock,
        rng: Random,
        policy: RoutingPolicy,
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._members = PoolMembers(name, fleet, peers)
        self._limits: dict[str, EngineLimit] = {}
        self._load_of_others: dict[str, int] = {}
        self._status_seen_at_s: dict[str, float] = {}
        self._refreshed_at_s = -math.inf
        self._slots_total = 0
        self._reserve = ApplicationReserve(clock.monotonic_s())
        self._log = structlog.get_logger("routing")
        self.spec = PoolSpec(name=name)
        self.cross_region_spec = CrossRegionSpec()
        self.trial_servers: set[str] = set()
        self.queue = SlotQueue(f"pool {name!r}", clock, self.choose, policy)

    def free_slots(self) -> int:
        """Return how many more rollout generations could start immediately."""
        self._refresh()
        free = self._slots_total - self.queue.total_in_flight() - self._headroom()
        return max(0, free - self.queue.queued())

    def slots(self, server_id: str) -> int:
        """Return this daemon's concurrency limit for one engine, 0 if the engine is unknown."""
        limit = self._limits.get(server_id)
        return limit.slots() if limit else 0

    def observe_ttft(self, server_id: str, ttft_s: float) -> None:
        """Apply a measured time from dispatch to the first token, in seconds."""
        limit = self._limits.get(server_id)
        if limit is not None:
            limit_reached = self.queue.in_flight.get(server_id, 0) >= limit.slots()
            limit.observe_ttft(ttft_s, self._clock.monotonic_s(), limit_reached=limit_reached)

    def record_refusal(self, server_id: str) -> None:
        """Decrease an engine's limit because it refused a request."""
        limit = self._limits.get(server_id)
        if limit is not None:
            limit.record_refusal(self._clock.monotonic_s())

    def request_refresh(self) -> None:
        """Make the next choice re-read the fleet, without waiting for the refresh period."""
        self._refreshed_at_s = -math.inf

    def choose(self, ticket: Ticket) -> Choice:
        """Select an engine for a ticket and log the reason."""
        self._refresh()
        requirements = ticket.payload
        assert isinstance(requirements, EngineRequirements)
        if ticket.kind is WorkKind.ROLLOUT and self._only_reserved_slots_free():
            return Choice(
                server_id=None, reason="the free slots are reserved for applications", considered=0
            )
        choice = choose_engine(
            self._tiers(ticket, requirements), self._cross_region_cost(requirements.request)
        )
        if choice.server_id is not None:
            self._log.info(
                "engine_chosen",
                request_id=ticket.request_id,
                pool=self._name,
                server_id=choice.server_id,
                waited_s=round(self._clock.monotonic_s() - ticket.queued_at_s, 4),
                considered=choice.considered,
                reason=choice.reason,
            )
        return choice

    def _only_reserved_slots_free(self) -> bool:
        free = self._slots_total - self.queue.total_in_flight()
        return free <= self._headroom()

    def _headroom(self) -> int:
        if not self._policy.reserve:
            return 0
        in_use = self.queue.in_flight_by_kind[WorkKind.APPLICATION]
        demand = in_use + self.queue.queued(WorkKind.APPLICATION)
        return self._reserve.headroom(
            fraction=self.spec.application_reserve,
            slots=self._slots_total,
            in_use=in_use,
            demand=demand,
            now_s=self._clock.monotonic_s(),
        )

    def _tiers(self, ticket: Ticket, requirements: EngineRequirements) -> list[Tier]:
        now_s = self._clock.monotonic_s()
        rate = self.queue.release_rate_per_s()
        wait_s = now_s - ticket.queued_at_s + (1.0 / rate if rate else 0.0)
        tiers = []
        for tier_distance in self._members.distances():
            tier = self._tier(requirements, tier_distance, now_s, wait_s)
            tiers.append(tier)
            if any(candidate.free for candidate in tier.candidates):
                break
        return tiers

    def _tier(
        self, requirements: EngineRequirements, tier_distance: int, now_s: float, wait_s: float
    ) -> Tier:
        """Return the candidates at one distance.

        In a large tier only the preferred engines and a random sample are examined; all engines
        are examined if none of those has a free slot.
        """
        table = self._members.table(tier_distance)
        preferred = (
            table.preferred(requirements.prefix_slot_number) if self._policy.affinity else []
        )
        ids: Sequence[str] = table.members
        if len(ids) > _MAX_FULL_SCAN and not requirements.trial:
            sampled = self._rng.sample(ids, _SAMPLE_SIZE)
            inspected = list(dict.fromkeys([*preferred, *sampled]))
            candidates = self._candidates(requirements, inspected, preferred, now_s)
            if any(candidate.free for candidate in candidates):
                return Tier(
                    distance=tier_distance,
                    candidates=candidates,
                    considered=len(inspected),
                    wait_s=wait_s,
                )
        candidates = self._candidates(requirements, ids, preferred, now_s)
        if requirements.trial:
            candidates = tuple(sorted(candidates, key=lambda item: item.load)[:1])
        return Tier(
            distance=tier_distance, candidates=candidates, considered=len(ids), wait_s=wait_s
        )

    def _candidates(
        self,
        requirements: EngineRequirements,
        ids: Sequence[str],
        preferred: Sequence[str],
        now_s: float,
    ) -> tuple[Candidate, ...]:
        suitable = []
        for server_id in ids:
            view = self._fleet.view(server_id)
            if view is not None and requirements.is_satisfied_by(view, now_s):
                suitable.append(server_id)
        avoided = requirements.excluded | (set() if requirements.trial else self.trial_servers)
        if avoided:
            suitable = [item for item in suitable if item not in avoided] or suitable
        return tuple(self._candidate(server_id, preferred) for server_id in suitable)

    def _candidate(self, server_id: str, preferred: Sequence[str]) -> Candidate:
        own_in_flight = self.queue.in_flight.get(server_id, 0)
        slots = self.slots(server_id) if self._policy.limited else _UNLIMITED
        load = own_in_flight + self._load_of_others.get(server_id, 0)
        return Candidate(
            server_id=server_id,
            preference=preferred.index(server_id) if server_id in preferred else None,
            load=load / self._capacity(self._fleet.view(server_id)),
            free=max(0, slots - own_in_flight),
        )

    def _cross_region_cost(self, request: GenerateRequest) -> CrossRegionCost:
        tokens = request.expected_tokens or request.max_tokens
        return CrossRegionCost(
            size_bytes=len(request.prompt) + tokens * _BYTES_PER_TOKEN,
            price_per_gib=self.cross_region_spec.price_per_gib,
            waiting_price_per_s=self.cross_region_spec.waiting_price_per_s,
            added_s=_CROSS_REGION_ADDED_S,
        )

    def _refresh(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._refreshed_at_s < _REFRESH_PERIOD_S:
            return
        self._refreshed_at_s = now_s
        self._members.refresh()
        ids = self._members.server_ids()
        for server_id in self._limits.keys() - ids:
            del self._limits[server_id]
        total = 0
        for server_id in ids:
            view = self._fleet.view(server_id)
            if view is None or view.status is None:
                continue
            self._apply_status(server_id, view, now_s)
            if view.usable(now_s):
                total += self.slots(server_id)
        self._slots_total = total if self._policy.limited else _UNLIMITED

    def _apply_status(self, server_id: str, view: ServerView, now_s: float) -> None:
        limit = self._limits.setdefault(server_id, EngineLimit(now_s))
        if self._status_seen_at_s.get(server_id) == view.status_at_s or view.status is None:
            return
        self._status_seen_at_s[server_id] = view.status_at_s
        own_in_flight = self.queue.in_flight.get(server_id, 0)
        reported = view.status.running + view.status.waiting
        self._load_of_others[server_id] = max(0, reported - own_in_flight)
        tier_distance = distance(view.server.location, self._fleet.location)
        limit.update(
            capacity=self._capacity(view),
            daemons=self._members.sharing_daemons(server_id, tier_distance),
            running=view.status.running,
            waiting=view.status.waiting,
            has_queued=self.queue.queued() > 0,
        )

    def _capacity(self, view: ServerView | None) -> int:
        max_concurrency = self.spec.max_concurrency_per_engine
        if view is None or view.status is None or view.status.max_running < 1:
            return max_concurrency
        return min(max_concurrency, view.status.max_running)
