"""Orders engines to load the versions that trainers name; one host at a time does so."""

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
    EngineLoad,
    LoadOrder,
    ModelEngines,
    OrderAnswer,
    OrderReply,
    SwapMode,
    engines_of_model,
    oldest_useful,
    plan_loads,
)

__all__ = ["EngineReport", "LoadCounts", "OrderDesk", "OrderPort", "OrderRight"]

_LOOK_S = 0.1
_ORDER_TIMEOUT_S = 0.5
_REPORT_TIMEOUT_S = 0.5
# How long a load takes until one has been seen, and the weight of the newest.
_FIRST_LOAD_S = 1.0
_LOAD_GAIN = 0.3
# Between asks of an engine whose load should be over.
_ASK_S = 0.3
# An order that no report confirms for so long is given again.
_GIVE_UP_S = 5.0
_RETRY_S = 0.4
# The lag of a model is the median of those of so many jobs, and this before the first.
_LAGS_KEPT = 3
_FIRST_LAG = 1


class EngineReport(Value, frozen=True, kw_only=True):
    """What an engine says of itself, some hundred milliseconds late."""

    versions: dict[str, int]
    changing: bool
    orders_accepted: int
    running: int
    waiting: int


class OrderPort(Protocol):
    """Gives orders to engines and reads their reports."""

    async def order(self, instance: Instance, order: LoadOrder, timeout_s: float) -> OrderReply:
        """Give an order; an answer that is lost leaves the outcome open."""

    async def report(self, instance: Instance, timeout_s: float) -> EngineReport | None:
        """Return an engine's report, None where it gave none."""


class OrderRight(Protocol):
    """The right to give orders, which one host has at a time."""

    @property
    def epoch(self) -> int:
        """A number that rises with each holder."""

    def may_act(self, act_s: float) -> bool:
        """Return whether an order that takes up to *act_s* seconds may be given now."""

    async def announce(self, act_s: float) -> bool:
        """Write that orders follow, and return whether they may be given now."""


class LoadCounts:
    """Counts orders by what engines said to them, for the metrics."""

    __slots__ = ("answers",)

    def __init__(self) -> None:
        self.answers: dict[str, int] = {}


class _Pending:
    """An order that may be under way."""

    __slots__ = ("ask_at_s", "model", "sent_at_s", "version")

    def __init__(self, model: str, version: int, sent_at_s: float, load_s: float) -> None:
        self.model = model
        self.version = version
        self.sent_at_s = sent_at_s
        self.ask_at_s = sent_at_s + load_s


class OrderDesk:
    """Plans loads and gives the orders while this host has the right to.

    Args:
        directory: The engines.
        port: Gives orders.
        right: The lease.
        configuration: What is in force, None while nothing is.
        newest: The newest named version of each model.
        needed: The oldest version that all open jobs of a model accept.
        timings: Takes in how long loads take.
        clock: Time source.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_directory",
        "_lags",
        "_load_s",
        "_log",
        "_needed",
        "_newest",
        "_orders",
        "_pending",
        "_port",
        "_retry_at_s",
        "_right",
        "_tasks",
        "_timings",
        "_wake",
        "counts",
    )

    def __init__(
        self,
        directory: Directory,
        port: OrderPort,
        right: OrderRight,
        *,
        configuration: Callable[[], GatewayConfiguration | None],
        newest: dict[str, int],
        needed: Callable[[str], int],
        timings: Timings,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._port = port
        self._right = right
        self._configuration = configuration
        self._newest = newest
        self._needed = needed
        self._timings = timings
        self._clock = clock
        self._lags: dict[str, deque[int]] = {}
        self._load_s = _FIRST_LOAD_S
        self._orders: dict[tuple[str, int], int] = {}
        self._pending: dict[str, _Pending] = {}
        self._retry_at_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()
        self._log = structlog.get_logger("weights")
        self.counts = LoadCounts()

    def wake(self) -> None:
        """Look at the engines at once."""
        self._wake.set()

    def learn_lag(self, model: str, min_version: int) -> None:
        """Take in how far behind the newest version a job that was just submitted accepts."""
        lag = max(0, self._newest.get(model, 1) - min_version)
        self._lags.setdefault(model, deque(maxlen=_LAGS_KEPT)).append(lag)

    async def run(self) -> None:
        """Plan and order until cancelled."""
        while True:
            configuration = self._configuration()
            if configuration is not None and self._right.may_act(_ORDER_TIMEOUT_S):
                planned = self._look(configuration)
                if planned and await self._right.announce(_ORDER_TIMEOUT_S):
                    for engine, order in planned:
                        self._give_order(engine, order)
            try:
                async with asyncio.timeout(_LOOK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _look(self, configuration: GatewayConfiguration) -> list[tuple[Backend, LoadOrder]]:
        """Return the orders that should be given now."""
        self._settle()
        planned: list[tuple[Backend, LoadOrder]] = []
        for service in configuration.services.values():
            if service.engine is not None:
                planned += self._plan(service.name, _mode(configuration, service.name))
        return planned

    def engines_of(self, model: str, service: str) -> frozenset[str]:
        """Return the engines of a service that are kept current for a model."""
        engines = self._directory.backends(service)
        serving = [e.instance.instance_id for e in engines if model in e.versions]
        named = {name for engine in engines for name in engine.versions} & self._newest.keys()
        return engines_of_model(model, serving, models=len(named), lag=self._lag(model))

    def loads_soon(self, model: str, instance_id: str) -> bool:
        """Return whether whoever holds the right will order an engine to load a model now.

        Every host plans alike, so that also hosts without the right can tell.
        """
        engine = self._directory.get(instance_id)
        newest = self._newest.get(model)
        if engine is None or newest is None:
            return False
        oldest = oldest_useful(newest, needed=self._needed(model), lag=self._lag(model))
        return engine.versions.get(model, 0) < oldest

    def _lag(self, model: str) -> int:
        return statistics.median_low(self._lags.get(model, (_FIRST_LAG,)))

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
                fencing_number=self._right.epoch,
                expected_orders=self._orders_of(engine),
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
        """Return the engines that follow a model, as the plan sees them."""
        followers = self.engines_of(model, service)
        return ModelEngines(
            model=model,
            engines=tuple(
                self._state(engine, model)
                for engine in engines
                if engine.instance.instance_id in followers
            ),
            newest=self._newest[model],
            needed=self._needed(model),
            lag=self._lag(model),
        )

    def _state(self, engine: Backend, model: str) -> EngineLoad:
        name = engine.instance.instance_id
        pending = self._pending.get(name)
        retry_at_s = self._retry_at_s.get(name, 0.0)
        return EngineLoad(
            instance_id=name,
            version=engine.versions.get(model, 0),
            loading=pending is not None and pending.model == model,
            ready=pending is None and self._clock.monotonic_s() >= retry_at_s,
            outstanding=engine.outstanding,
        )

    def _orders_of(self, engine: Backend) -> int:
        instance = engine.instance
        return self._orders.get((instance.instance_id, instance.started_ms), 0)

    def _give_order(self, engine: Backend, order: LoadOrder) -> None:
        now_s = self._clock.monotonic_s()
        name = engine.instance.instance_id
        self._pending[name] = _Pending(order.model, order.version, now_s, self._load_s)
        self._spawn(self._give(engine, order))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _give(self, engine: Backend, order: LoadOrder) -> None:
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
        now_s = self._clock.monotonic_s()
        match reply.answer:
            case OrderAnswer.ACCEPTED:
                key = (name, engine.instance.started_ms)
                self._orders[key] = (order.expected_orders or 0) + 1
            case OrderAnswer.HOLDS:
                engine.learn_version(order.model, order.version)
                self._pending.pop(name, None)
            case OrderAnswer.UNKNOWN:
                pending = self._pending.get(name)
                if pending is not None:
                    pending.ask_at_s = now_s
            case OrderAnswer.BUSY:
                self._pending.pop(name, None)
                self._retry_at_s[name] = now_s + _RETRY_S
                await self._ask(engine)
                if self._orders_of(engine) != order.expected_orders:
                    # Refused for a count that is known now.
                    del self._retry_at_s[name]
            case _:
                self._pending.pop(name, None)
                self._retry_at_s[name] = now_s + _RETRY_S
        self._wake.set()

    def _settle(self) -> None:
        """Drop orders that are carried out, and ask engines whose load should be over."""
        now_s = self._clock.monotonic_s()
        for name, pending in list(self._pending.items()):
            engine = self._directory.get(name)
            if engine is None:
                del self._pending[name]
                continue
            if engine.versions.get(pending.model, 0) >= pending.version:
                self._done(name, pending, now_s)
            elif now_s - pending.sent_at_s > _GIVE_UP_S:
                self._log.warning("order_not_confirmed", server=name, version=pending.version)
                del self._pending[name]
            elif now_s >= pending.ask_at_s:
                pending.ask_at_s = now_s + _ASK_S + _REPORT_TIMEOUT_S
                self._spawn(self._ask(engine))

    def _done(self, name: str, pending: _Pending, now_s: float) -> None:
        took_s = now_s - pending.sent_at_s
        self._timings.observe(Timing.ENGINE_LOAD, took_s)
        self._load_s += _LOAD_GAIN * (min(took_s, 2 * _FIRST_LOAD_S) - self._load_s)
        self._log.info(
            "engine_loaded",
            server=name,
            model=pending.model,
            version=pending.version,
            took_s=round(took_s, 3),
        )
        del self._pending[name]

    async def _ask(self, engine: Backend) -> None:
        """Learn from an engine's report what became of an order."""
        name = engine.instance.instance_id
        report = await self._port.report(engine.instance, _REPORT_TIMEOUT_S)
        if report is None:
            return
        key = (name, engine.instance.started_ms)
        self._orders[key] = max(self._orders.get(key, 0), report.orders_accepted)
        if not report.changing:
            for model, version in report.versions.items():
                if version > engine.versions.get(model, 0):
                    engine.learn_version(model, version)
        pending = self._pending.get(name)
        if pending is not None:
            pending.ask_at_s = min(pending.ask_at_s, self._clock.monotonic_s() + _ASK_S)
            idle = not report.changing and report.versions.get(pending.model, 0) < pending.version
            if idle and self._clock.monotonic_s() - pending.sent_at_s > 2 * self._load_s:
                # Not accepted, or not yet: the order may be repeated, since a late one is void.
                self._pending.pop(name, None)
        self._wake.set()


def _mode(configuration: GatewayConfiguration, service: str) -> SwapMode:
    """Runs that may not mix versions finish before their engine changes."""
    pure = any(
        route.single_version and any(share.service == service for share in route.services)
        for route in configuration.routes
    )
    return SwapMode.DRAIN if pure else SwapMode.IN_PLACE
