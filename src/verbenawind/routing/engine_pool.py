"""One daemon's view of one pool: which engines it uses, their limits, whose turn it is."""

import math
from collections.abc import Sequence
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.document import CrossRegionSpec, PoolSpec
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import GenerateRequest, WorkKind
from verbenawind.kernel.ports import PeerBus
from verbenawind.routing.application_reserve import ApplicationReserve
from verbenawind.routing.engine_limit import EngineLimit
from verbenawind.routing.policy import RoutingPolicy
from verbenawind.routing.pool_members import PoolMembers
from verbenawind.routing.prefixes import prefix_slot
from verbenawind.routing.server_choice import (
    Candidate,
    Choice,
    CrossingCost,
    Tier,
    choose_engine,
    distance,
)
from verbenawind.routing.slots import SlotQueue, Ticket

__all__ = ["EngineNeed", "EnginePool"]

_REFRESH_PERIOD_S = 0.25
_SAMPLED = 2
_SMALL_TIER = 8
_UNLIMITED = 1_000_000
_BYTES_PER_TOKEN = 6
_CROSSING_ADDED_S = 0.024


class EngineNeed:
    """What a generation needs of an engine.

    Args:
        request: The generation.
        excluded: Engines to avoid where others can take it.
        trial: Whether it is a suspect that runs apart from other requests.
    """

    __slots__ = ("excluded", "request", "slot", "trial")

    def __init__(self, request: GenerateRequest, excluded: set[str], *, trial: bool) -> None:
        self.request = request
        self.excluded = excluded
        self.trial = trial
        self.slot = prefix_slot(request.model, request.prompt)

    def fits(self, view: ServerView, now_s: float) -> bool:
        """Return whether an engine could take the generation if it had a free slot."""
        if view.status is None or not view.usable(now_s):
            return False
        model = view.status.model(self.request.model)
        if model is None or model.active_version is None:
            return False
        oldest = self.request.min_version
        return oldest is None or model.active_version >= oldest


class EnginePool:
    """Queues generations for one pool and chooses their engines.

    Args:
        name: The pool.
        fleet: The view of the backend servers.
        peers: The other daemons.
        clock: Time source.
        rng: Samples engines.
        policy: Which mechanisms are in force.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_limits",
        "_log",
        "_members",
        "_name",
        "_others",
        "_policy",
        "_refreshed_at_s",
        "_reported_at_s",
        "_reserve",
        "_rng",
        "_slots_total",
        "crossing",
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
        self._others: dict[str, int] = {}
        self._reported_at_s: dict[str, float] = {}
        self._refreshed_at_s = -math.inf
        self._slots_total = 0
        self._reserve = ApplicationReserve(clock.monotonic_s())
        self._log = structlog.get_logger("routing")
        self.spec = PoolSpec(name=name)
        self.crossing = CrossRegionSpec()
        self.trial_servers: set[str] = set()
        self.queue = SlotQueue(f"pool {name!r}", clock, self.choose, policy)

    def free_slots(self) -> int:
        """Return how many more rollout generations would start at once."""
        self._refresh()
        free = self._slots_total - self.queue.total_in_flight() - self._headroom()
        return max(0, free - self.queue.queued())

    def slots(self, server_id: str) -> int:
        """Return this daemon's limit of one engine."""
        limit = self._limits.get(server_id)
        return limit.slots() if limit else 0

    def observe_start(self, server_id: str, start_s: float) -> None:
        """Take in the time from dispatch to the first token, in seconds."""
        limit = self._limits.get(server_id)
        if limit is not None:
            used_up = self.queue.in_flight.get(server_id, 0) >= limit.slots()
            limit.observe_start(start_s, self._clock.monotonic_s(), used_up=used_up)

    def refuse(self, server_id: str) -> None:
        """Take in that an engine refused a request."""
        limit = self._limits.get(server_id)
        if limit is not None:
            limit.refuse(self._clock.monotonic_s())

    def refresh_now(self) -> None:
        """Look at the fleet again before the next choice."""
        self._refreshed_at_s = -math.inf

    def choose(self, ticket: Ticket) -> Choice:
        """Return an engine for a ticket, and log why."""
        self._refresh()
        need = ticket.payload
        assert isinstance(need, EngineNeed)
        if ticket.kind is WorkKind.ROLLOUT and self._reserved():
            return Choice(
                server_id=None, reason="the free slots are the applications'", considered=0
            )
        choice = choose_engine(self._tiers(ticket, need), self._crossing_cost(need.request))
        if choice.server_id is not None:
            self._log.info(
                "engine_chosen",
                request_id=ticket.request_id,
                pool=self._name,
                server_id=choice.server_id,
                waited_s=round(self._clock.monotonic_s() - ticket.since_s, 4),
                considered=choice.considered,
                reason=choice.reason,
            )
        return choice

    def _reserved(self) -> bool:
        free = self._slots_total - self.queue.total_in_flight()
        return free <= self._headroom()

    def _headroom(self) -> int:
        if not self._policy.reserve:
            return 0
        in_use = self.queue.kind_in_flight[WorkKind.APPLICATION]
        demand = in_use + self.queue.queued(WorkKind.APPLICATION)
        return self._reserve.headroom(
            fraction=self.spec.application_reserve,
            slots=self._slots_total,
            in_use=in_use,
            demand=demand,
            now_s=self._clock.monotonic_s(),
        )

    def _tiers(self, ticket: Ticket, need: EngineNeed) -> list[Tier]:
        now_s = self._clock.monotonic_s()
        rate = self.queue.turns_per_s()
        wait_s = now_s - ticket.since_s + (1.0 / rate if rate else 0.0)
        tiers = []
        for far in self._members.distances():
            tier = self._tier(need, far, now_s, wait_s)
            tiers.append(tier)
            if any(candidate.free for candidate in tier.candidates):
                break
        return tiers

    def _tier(self, need: EngineNeed, far: int, now_s: float, wait_s: float) -> Tier:
        """Look at a few engines, and at all that this daemon uses only when none of them fits."""
        table = self._members.table(far)
        preferred = table.preferred(need.slot) if self._policy.affinity else []
        ids: Sequence[str] = table.members
        if len(ids) > _SMALL_TIER and not need.trial:
            sampled = self._rng.sample(ids, _SAMPLED)
            few = list(dict.fromkeys([*preferred, *sampled]))
            candidates = self._candidates(need, few, preferred, now_s)
            if any(candidate.free for candidate in candidates):
                return Tier(distance=far, candidates=candidates, considered=len(few), wait_s=wait_s)
        candidates = self._candidates(need, ids, preferred, now_s)
        if need.trial:
            candidates = tuple(sorted(candidates, key=lambda item: item.load)[:1])
        return Tier(distance=far, candidates=candidates, considered=len(ids), wait_s=wait_s)

    def _candidates(
        self, need: EngineNeed, ids: Sequence[str], preferred: Sequence[str], now_s: float
    ) -> tuple[Candidate, ...]:
        fitting = []
        for server_id in ids:
            view = self._fleet.view(server_id)
            if view is not None and need.fits(view, now_s):
                fitting.append(server_id)
        apart = need.excluded | (set() if need.trial else self.trial_servers)
        if apart:
            fitting = [item for item in fitting if item not in apart] or fitting
        return tuple(self._candidate(server_id, preferred) for server_id in fitting)

    def _candidate(self, server_id: str, preferred: Sequence[str]) -> Candidate:
        own = self.queue.in_flight.get(server_id, 0)
        slots = self.slots(server_id) if self._policy.limited else _UNLIMITED
        load = own + self._others.get(server_id, 0)
        return Candidate(
            server_id=server_id,
            preference=preferred.index(server_id) if server_id in preferred else None,
            load=load / self._capacity(self._fleet.view(server_id)),
            free=max(0, slots - own),
        )

    def _crossing_cost(self, request: GenerateRequest) -> CrossingCost:
        tokens = request.expected_tokens or request.max_tokens
        return CrossingCost(
            size_bytes=len(request.prompt) + tokens * _BYTES_PER_TOKEN,
            price_per_gib=self.crossing.price_per_gib,
            waiting_price_per_s=self.crossing.waiting_price_per_s,
            added_s=_CROSSING_ADDED_S,
        )

    def _refresh(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._refreshed_at_s < _REFRESH_PERIOD_S:
            return
        self._refreshed_at_s = now_s
        self._members.refresh()
        ids = self._members.all_ids()
        for server_id in self._limits.keys() - ids:
            del self._limits[server_id]
        total = 0
        for server_id in ids:
            view = self._fleet.view(server_id)
            if view is None or view.status is None:
                continue
            self._take_report(server_id, view, now_s)
            if view.usable(now_s):
                total += self.slots(server_id)
        self._slots_total = total if self._policy.limited else _UNLIMITED

    def _take_report(self, server_id: str, view: ServerView, now_s: float) -> None:
        limit = self._limits.setdefault(server_id, EngineLimit(now_s))
        if self._reported_at_s.get(server_id) == view.status_at_s or view.status is None:
            return
        self._reported_at_s[server_id] = view.status_at_s
        own = self.queue.in_flight.get(server_id, 0)
        reported = view.status.running + view.status.waiting
        self._others[server_id] = max(0, reported - own)
        far = distance(view.server.location, self._fleet.location)
        limit.divide(
            capacity=self._capacity(view),
            users=self._members.users(server_id, far),
            running=view.status.running,
            waiting=view.status.waiting,
            rising=self.queue.queued() > 0,
        )

    def _capacity(self, view: ServerView | None) -> int:
        most = self.spec.max_concurrency_per_engine
        if view is None or view.status is None or view.status.max_running < 1:
            return most
        return min(most, view.status.max_running)
