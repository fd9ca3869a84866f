"""Orders engines to load the versions that trainers name, from one host at a time."""

import asyncio
import statistics
from collections import deque
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

import structlog

from verbenawind.clock import Clock
from verbenawind.gateway import Backend, Directory, GatewayConfiguration, Instance
from verbenawind.kernel.messages import Value
from verbenawind.timings import Timing, Timings
from verbenawind.weights.rolling import (
    EngineLoadState,
    LoadOrder,
    ModelEngines,
    OrderAnswer,
    OrderReply,
    SwapMode,
    assign_engines,
    oldest_acceptable,
    plan_loads,
)

__all__ = ["EngineReport", "LoadScheduler", "OrderCounts", "OrderLease", "OrderPort"]

_PLAN_INTERVAL_S = 0.1
_ORDER_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.5
# Estimated load time before the first measurement, and the weight of the newest measurement.
_INITIAL_LOAD_S = 1.0
_LOAD_TIME_WEIGHT = 0.3
# Interval between report requests to an engine whose load should be complete.
_REPORT_INTERVAL_S = 0.3
# An order that is not confirmed within this time is planned again.
_CONFIRM_TIMEOUT_S = 5.0
_RETRY_S = 0.4
# A model's lag is the median over this many recent jobs; the initial value applies before any.
_LAG_WINDOW = 3
_INITIAL_LAG = 1


class EngineReport(Value, frozen=True, kw_only=True):
    """An engine's report about itself, which lags by some hundred milliseconds.

    ``leaving`` is set if the engine announced with it that it leaves, ``limit_per_s`` is the rate
    that it named as its limit.
    """

    versions: dict[str, int]
    changing: bool
    orders_accepted: int
    running: int
    waiting: int
    leaving: bool = False
    limit_per_s: float | None = None


class OrderPort(Protocol):
    """Gives orders to engines and reads their reports."""

    async def order(self, instance: Instance, order: LoadOrder, timeout_s: float) -> OrderReply:
        """Give an order. If the answer is lost, it is unknown whether the order was accepted."""

    async def report(self, instance: Instance, timeout_s: float) -> EngineReport | None:
        """Return an engine's report, or None if it gave none."""


class OrderLease(Protocol):
    """The lease that a host must hold to give orders."""

    @property
    def epoch(self) -> int:
        """The fencing number, which increases with each holder."""

    def may_act(self, act_s: float) -> bool:
        """Return whether the lease covers an order that takes up to *act_s* seconds."""

    async def announce(self, act_s: float) -> bool:
        """Record in the lease that orders follow, and return whether they may be given now."""


class OrderCounts:
    """Counts of orders by the engines' answers, for the metrics."""

    __slots__ = ("answers",)

    def __init__(self) -> None:
        self.answers: dict[str, int] = {}


class _PendingOrder:
    """An order that an engine may be carrying out."""

    __slots__ = ("model", "poll_at_s", "sent_at_s", "version")

    def __init__(self, model: str, version: int, sent_at_s: float, load_s: float) -> None:
        self.model = model
        self.version = version
        self.sent_at_s = sent_at_s
        self.poll_at_s = sent_at_s + load_s


class LoadScheduler:
    """Plans loads and gives orders while this host holds the lease.

    Args:
        directory: The registered engines.
        port: Gives orders to engines and reads their reports.
        lease: The lease for giving orders.
        configuration: Returns the configuration in force, or None before the first.
        newest: The newest named version of each model.
        needed: Returns the oldest version that all open jobs of a model accept.
        timings: Records how long loads take.
        clock: Time source.
    """

    __slots__ = (
        "_accepted_orders",
        "_clock",
        "_configuration",
        "_directory",
        "_lags",
        "_lease",
        "_load_s",
        "_log",
        "_needed",
        "_newest",
        "_pending",
        "_port",
        "_retry_at_s",
        "_tasks",
        "_timings",
        "_wake",
        "counts",
    )

    def __init__(
        self,
        directory: Directory,
        port: OrderPort,
        lease: OrderLease,
        *,
        configuration: Callable[[], GatewayConfiguration | None],
        newest: dict[str, int],
        needed: Callable[[str], int],
        timings: Timings,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._port = port
        self._lease = lease
        self._configuration = configuration
        self._newest = newest
        self._needed = needed
        self._timings = timings
        self._clock = clock
        self._lags: dict[str, deque[int]] = {}
        self._load_s = _INITIAL_LOAD_S
        self._accepted_orders: dict[tuple[str, int], int] = {}
        self._pending: dict[str, _PendingOrder] = {}
        self._retry_at_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._log = structlog.get_logger("weights")
        self.counts = OrderCounts()

    def wake(self) -> None:
        """Plan now instead of at the next interval."""
        self._wake.set()

    def record_lag(self, model: str, min_version: int) -> None:
        """Record how many versions behind the newest a newly submitted job accepts."""
        lag = max(0, self._newest.get(model, 1) - min_version)
        self._lags.setdefault(model, deque(maxlen=_LAG_WINDOW)).append(lag)

    async def run(self) -> None:
        """Plan loads and give orders until cancelled."""
        while True:
            configuration = self._configuration()
            if configuration is not None and self._lease.may_act(_ORDER_TIMEOUT_S):
                planned = self._plan_all(configuration)
                if planned and await self._lease.announce(_ORDER_TIMEOUT_S):
                    for engine, order in planned:
                        self._start_order(engine, order)
            try:
                async with asyncio.timeout(_PLAN_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _plan_all(self, configuration: GatewayConfiguration) -> list[tuple[Backend, LoadOrder]]:
        """Return the orders to the engines of all services that should be given now."""
        self._update_pending()
        planned: list[tuple[Backend, LoadOrder]] = []
        for service in configuration.services.values():
            if service.engine is not None:
                planned += self._plan(service.name, _mode(configuration, service.name))
        return planned

    def assigned_engines(self, model: str, service: str) -> frozenset[str]:
        """Return the engines of a service that are assigned to a model."""
        engines = self._directory.backends(service)
        serving = [e.instance.instance_id for e in engines if model in e.versions]
        named = {name for engine in engines for name in engine.versions} & self._newest.keys()
        return assign_engines(model, serving, models=len(named), lag=self._lag(model))

    def loads_soon(self, model: str, instance_id: str) -> bool:
        """Return whether the lease holder is about to order an engine to load a model.

        All hosts plan alike, so hosts without the lease can tell as well.
        """
        engine = self._directory.get(instance_id)
        newest = self._newest.get(model)
        if engine is None or newest is None:
            return False
        oldest_acceptable_version = oldest_acceptable(
            newest, needed=self._needed(model), lag=self._lag(model)
        )
        return engine.versions.get(model, 0) < oldest_acceptable_version

    def _lag(self, model: str) -> int:
        return statistics.median_low(self._lags.get(model, (_INITIAL_LAG,)))

    def _plan(self, service: str, mode: SwapMode) -> list[tuple[Backend, LoadOrder]]:
        """Return the orders to the engines of one service."""
        engines = self._directory.backends(service)
        named = {model for engine in engines for model in engine.versions} & self._newest.keys()
        models = [self._model_engines(name, service, engines) for name in sorted(named)]
        plan = plan_loads(models, pool_size=len(engines))
        by_name = {model.model: model for model in models}
        orders: list[tuple[Backend, LoadOrder]] = []
        for load in plan.loads:
            engine = self._directory.get(load.instance_id)
            if engine is None:
                continue
            model = by_name[load.model]
            order = LoadOrder(
                model=load.model,
                version=model.newest,
                mode=mode,
                fencing_number=self._lease.epoch,
                expected_orders=self._accepted_count(engine),
            )
            self._log.info(
                "order_planned",
                server=load.instance_id,
                model=load.model,
                version=order.version,
                from_version=engine.versions.get(load.model),
                reason=load.reason,
                mode=mode.value,
                fencing_number=order.fencing_number,
                expected_orders=order.expected_orders,
                needed=model.needed,
                lag=model.lag,
                loading=plan.loading,
                loading_limit=plan.loading_limit,
                behind=plan.behind,
            )
            orders.append((engine, order))
        return orders

    def _model_engines(self, model: str, service: str, engines: Sequence[Backend]) -> ModelEngines:
        """Return the engines that are assigned to a model, as input to the plan."""
        assigned = self.assigned_engines(model, service)
        return ModelEngines(
            model=model,
            engines=tuple(
                self._state(engine, model)
                for engine in engines
                if engine.instance.instance_id in assigned
            ),
            newest=self._newest[model],
            needed=self._needed(model),
            lag=self._lag(model),
        )

    def _state(self, engine: Backend, model: str) -> EngineLoadState:
        name = engine.instance.instance_id
        pending = self._pending.get(name)
        retry_at_s = self._retry_at_s.get(name, 0.0)
        return EngineLoadState(
            instance_id=name,
            version=engine.versions.get(model, 0),
            loading=pending is not None and pending.model == model,
            ready=pending is None and self._clock.monotonic_s() >= retry_at_s,
            outstanding=engine.outstanding,
        )

    def _accepted_count(self, engine: Backend) -> int:
        instance = engine.instance
        return self._accepted_orders.get((instance.instance_id, instance.started_ms), 0)

    def _start_order(self, engine: Backend, order: LoadOrder) -> None:
        now_s = self._clock.monotonic_s()
        name = engine.instance.instance_id
        self._pending[name] = _PendingOrder(order.model, order.version, now_s, self._load_s)
        self._spawn(self._send_order(engine, order))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, engine: Backend, order: LoadOrder) -> None:
        name = engine.instance.instance_id
        reply = await self._port.order(engine.instance, order, _ORDER_TIMEOUT_S)
        self.counts.answers[reply.answer.value] = self.counts.answers.get(reply.answer.value, 0) + 1
        self._log.info(
            "order_answered",
            server=name,
            model=order.model,
            version=order.version,
            answer=reply.answer.value,
            detail=reply.detail,
        )
        if reply.leaving:
            self._directory.mark_leaving(name)
        now_s = self._clock.monotonic_s()
        match reply.answer:
            case OrderAnswer.ACCEPTED:
                key = (name, engine.instance.started_ms)
                self._accepted_orders[key] = (order.expected_orders or 0) + 1
            case OrderAnswer.HOLDS:
                engine.record_version(order.model, order.version)
                self._pending.pop(name, None)
            case OrderAnswer.UNKNOWN:
                pending = self._pending.get(name)
                if pending is not None:
                    pending.poll_at_s = now_s
            case OrderAnswer.BUSY:
                self._pending.pop(name, None)
                self._retry_at_s[name] = now_s + _RETRY_S
                await self._poll_report(engine)
                if self._accepted_count(engine) != order.expected_orders:
                    # Refused because of an outdated order count: retry now with the right one.
                    del self._retry_at_s[name]
            case _:
                self._pending.pop(name, None)
                self._retry_at_s[name] = now_s + _RETRY_S
        self._wake.set()

    def _update_pending(self) -> None:
        """Drop completed orders, and poll engines whose load should be complete."""
        now_s = self._clock.monotonic_s()
        for name, pending in list(self._pending.items()):
            engine = self._directory.get(name)
            if engine is None:
                del self._pending[name]
                continue
            if engine.versions.get(pending.model, 0) >= pending.version:
                self._complete(name, pending, now_s)
            elif now_s - pending.sent_at_s > _CONFIRM_TIMEOUT_S:
                self._log.warning("order_not_confirmed", server=name, version=pending.version)
                del self._pending[name]
            elif now_s >= pending.poll_at_s:
                pending.poll_at_s = now_s + _REPORT_INTERVAL_S + _REPORT_TIMEOUT_S
                self._spawn(self._poll_report(engine))

    def _complete(self, name: str, pending: _PendingOrder, now_s: float) -> None:
        took_s = now_s - pending.sent_at_s
        self._timings.observe(Timing.ENGINE_LOAD, took_s)
        self._load_s += _LOAD_TIME_WEIGHT * (min(took_s, 2 * _INITIAL_LOAD_S) - self._load_s)
        self._log.info(
            "engine_loaded",
            server=name,
            model=pending.model,
            version=pending.version,
            took_s=round(took_s, 3),
        )
        del self._pending[name]

    async def _poll_report(self, engine: Backend) -> None:
        """Update the state of an order from the engine's report."""
        name = engine.instance.instance_id
        report = await self._port.report(engine.instance, _REPORT_TIMEOUT_S)
        if report is None:
            return
        if report.leaving:
            self._directory.mark_leaving(name)
        key = (name, engine.instance.started_ms)
        self._accepted_orders[key] = max(self._accepted_orders.get(key, 0), report.orders_accepted)
        if not report.changing:
            for model, version in report.versions.items():
                if version > engine.versions.get(model, 0):
                    engine.record_version(model, version)
        pending = self._pending.get(name)
        if pending is not None:
            pending.poll_at_s = min(
                pending.poll_at_s, self._clock.monotonic_s() + _REPORT_INTERVAL_S
            )
            idle = not report.changing and report.versions.get(pending.model, 0) < pending.version
            if idle and self._clock.monotonic_s() - pending.sent_at_s > 2 * self._load_s:
                # Not accepted, or not yet. Repeating is safe: of both orders, only one is accepted.
                self._pending.pop(name, None)
        self._wake.set()


def _mode(configuration: GatewayConfiguration, service: str) -> SwapMode:
    """Return the swap mode of a service's engines.

    If a route requires single-version results, running requests finish before the weights change.
    """
    single_version_only = any(
        route.single_version and any(share.service == service for share in route.services)
        for route in configuration.routes
    )
    return SwapMode.DRAIN if single_version_only else SwapMode.IN_PLACE
