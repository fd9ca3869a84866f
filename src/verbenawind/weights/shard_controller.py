"""Orders the engines of one shard to load weights while the shard's lease is held."""

import asyncio
import functools
from collections.abc import Sequence
from random import Random

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import FencingRefused, LeaseLost, VerbenawindError
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet, ServerView
from verbenawind.kernel.messages import BackendKind, EngineOrder, OrderKind, SwapState
from verbenawind.kernel.ports import BackendClients, Lease
from verbenawind.weights.budget import StagingBudget
from verbenawind.weights.failures import OrderFailures
from verbenawind.weights.plan import EngineState, Target, next_order
from verbenawind.weights.shards import shard_of
from verbenawind.weights.swap_queue import SwapQueue

__all__ = ["ShardController"]


class ShardController:
    """Gives the orders of one shard under one lease.

    Args:
        shard: The shard's number.
        lease: The lease, which is held; each order carries its fencing number.
        fleet: The known engines and their last reported status.
        clients: Clients of the engines.
        budget: Limits the rate of staging.
        clock: Time source.
        rng: Source of the back-off jitter.
        quiet_period_s: Seconds during which orders of an earlier lease holder may still be running.
            Engines that do not check fencing numbers get no order in this time.
    """

    __slots__ = (
        "_clients",
        "_clock",
        "_failures",
        "_fleet",
        "_last_ordered_s",
        "_log",
        "_orders",
        "_quiet_until_s",
        "_refreshed",
        "_swap_queue",
        "budget",
        "lease",
        "shard",
    )

    def __init__(
        self,
        shard: int,
        lease: Lease,
        *,
        fleet: Fleet,
        clients: BackendClients,
        budget: StagingBudget,
        clock: Clock,
        rng: Random,
        quiet_period_s: float,
    ) -> None:
        self.shard = shard
        self.lease = lease
        self._fleet = fleet
        self._clients = clients
        self.budget = budget
        self._clock = clock
        self._failures = OrderFailures(clock, rng)
        self._quiet_until_s = clock.monotonic_s() + quiet_period_s
        self._refreshed: set[tuple[str, int]] = set()
        self._orders: dict[str, asyncio.Task[None]] = {}
        self._last_ordered_s: dict[tuple[str, str], float] = {}
        self._swap_queue = SwapQueue()
        self._log = structlog.get_logger("weights")

    @property
    def idle(self) -> bool:
        """Whether no order is in flight."""
        return not self._orders

    def start_orders(
        self, targets: Sequence[Target], limits: dict[str, int], checks_fencing: dict[str, bool]
    ) -> None:
        """Start every order that is due. An engine has at most one order at a time.

        Args:
            targets: The version that each model's engines should run.
            limits: How many engines of each pool may swap at once.
            checks_fencing: Whether each pool's engines reject outdated fencing numbers.
        """
        self._prune_unregistered()
        for target in self._by_last_order(targets):
            pool = [self._state(view, target) for view in self._pool_views(target)]
            admitted = self._admitted(target, pool, limits[target.pool])
            for state in pool:
                if shard_of(state.server_id) == self.shard and state.server_id not in self._orders:
                    self._start_order_if_due(
                        target, state, state.server_id in admitted, checks_fencing
                    )

    def _admitted(self, target: Target, pool: Sequence[EngineState], limit: int) -> frozenset[str]:
        if self._clock.now().timestamp() < target.activate_at_s:
            return frozenset()
        return self._swap_queue.admit(target, pool, limit, self._clock.monotonic_s())

    async def stop(self) -> None:
        """Wait for the orders in flight to end."""
        await asyncio.gather(*self._orders.values(), return_exceptions=True)

    def cancel(self) -> None:
        """Cancel the orders in flight without waiting, as if the process were killed."""
        for task in self._orders.values():
            task.cancel()

    def _start_order_if_due(
        self, target: Target, state: EngineState, may_swap: bool, checks_fencing: dict[str, bool]
    ) -> None:
        view = self._fleet.view(state.server_id)
        if view is None or view.server.location.zone != self._fleet.location.zone:
            return
        now_s = self._clock.monotonic_s()
        if not checks_fencing[target.pool] and now_s < self._quiet_until_s:
            return
        decision = next_order(
            target,
            state,
            may_swap=may_swap,
            now_s=now_s,
            now_unix_s=self._clock.now().timestamp(),
        )
        if decision.kind is None:
            return
        if decision.kind is OrderKind.STAGE and not self.budget.take(target.size_bytes):
            return
        self._last_ordered_s[(state.server_id, target.model)] = now_s
        task = asyncio.get_running_loop().create_task(
            self._run(view, target, decision.kind, decision.reason)
        )
        self._orders[state.server_id] = task
        task.add_done_callback(functools.partial(self._on_order_done, state.server_id))

    async def _run(self, view: ServerView, target: Target, kind: OrderKind, reason: str) -> None:
        server = view.server
        key = (server.server_id, server.incarnation)
        try:
            if key not in self._refreshed:
                await self._refresh_status(view)
                self._refreshed.add(key)
                return
            await self._order(view, target, kind, reason)
            self._failures.succeeded(*key, target.model)
        except LeaseLost as error:
            self._log.info("order_withheld", server_id=server.server_id, reason=error.message)
        except (VerbenawindError, TimeoutError) as error:
            set_aside = self._failures.failed(*key, target.model)
            self._log.warning(
                "order_failed",
                server_id=server.server_id,
                model=target.model,
                version=target.version,
                kind=kind,
                error=str(error) or type(error).__name__,
                set_aside=set_aside,
            )
            if isinstance(error, FencingRefused):
                return
            await self._try_refresh_status(view)

    async def _order(self, view: ServerView, target: Target, kind: OrderKind, reason: str) -> None:
        order = EngineOrder(
            order_id=new_id("order"),
            kind=kind,
            model=target.model,
            version=target.version,
            fencing_number=self.lease.fencing_number,
            weights_uri=target.weights_uri,
            timeout_s=target.order_timeout_s,
            drain_first=target.drain_first,
        )
        self._log.info(
            "engine_ordered",
            server_id=view.server.server_id,
            model=target.model,
            version=target.version,
            kind=kind,
            fencing_number=order.fencing_number,
            reason=reason,
        )
        client = self._clients.engine(view.server)
        self.lease.check(needed_s=order.timeout_s)
        async with asyncio.timeout(order.timeout_s):
            status = await client.order(order)
        self._fleet.observe(status)

    async def _refresh_status(self, view: ServerView) -> None:
        self._fleet.observe(await self._clients.engine(view.server).status())

    async def _try_refresh_status(self, view: ServerView) -> None:
        try:
            await self._refresh_status(view)
        except VerbenawindError as error:
            self._log.info("engine_unreadable", error=error.message)

    def _pool_views(self, target: Target) -> Sequence[ServerView]:
        return [
            view
            for view in self._fleet.group(BackendKind.ENGINE, target.pool)
            if view.status is not None
        ]

    def _state(self, view: ServerView, target: Target) -> EngineState:
        server = view.server
        status = view.status.model(target.model) if view.status else None
        return EngineState(
            server_id=server.server_id,
            active_version=status.active_version if status else None,
            staged_versions=status.staged_versions if status else (),
            swap_state=status.swap_state if status else SwapState.IDLE,
            usable=view.usable(self._clock.monotonic_s()),
            retry_at_s=self._failures.retry_at_s(
                server.server_id, server.incarnation, target.model
            ),
            set_aside=self._failures.is_set_aside(
                server.server_id, server.incarnation, target.model
            ),
        )

    def _by_last_order(self, targets: Sequence[Target]) -> Sequence[Target]:
        """Sort the targets by their model's last order, oldest first, so that no model starves."""

        def last_ordered_s(target: Target) -> float:
            return max(
                (
                    ordered_at_s
                    for (_, model), ordered_at_s in self._last_ordered_s.items()
                    if model == target.model
                ),
                default=float("-inf"),
            )

        return sorted(targets, key=last_ordered_s)

    def _prune_unregistered(self) -> None:
        known = {(view.server.server_id, view.server.incarnation) for view in self._fleet.all()}
        names = {server_id for server_id, _ in known}
        self._refreshed &= known
        self._failures.retain(known)
        self._last_ordered_s = {
            key: ordered_at_s
            for key, ordered_at_s in self._last_ordered_s.items()
            if key[0] in names
        }
        self._swap_queue.retain(names)

    def _on_order_done(self, server_id: str, _: asyncio.Task[None]) -> None:
        self._orders.pop(server_id, None)
