"""Test harness of hosts with an in-memory row store and simulated engines, on virtual time."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Sequence
from datetime import UTC, datetime
from random import Random
from typing import Any

import msgspec

from verbenawind.batches import (
    JOBS_TABLE,
    BatchItem,
    BatchSubmission,
    ItemResult,
    JobRecord,
    ScoringCall,
)
from verbenawind.clock import LoopClock
from verbenawind.gateway import (
    EngineTraits,
    GatewayConfiguration,
    IngressLimits,
    Instance,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from verbenawind.kernel.decoding import decode_json
from verbenawind.kernel.messages import Location
from verbenawind.kernel.probe_ports import ProbeResult
from verbenawind.kernel.row_ports import RowId
from verbenawind.node import NamedVersion, Node, NodeSettings
from verbenawind.standins.deployment import run_virtual
from verbenawind.standins.opaque_engines import OpaqueEngine, OpaqueEngines, item_text
from verbenawind.standins.row_store import MemoryRowStore, StoreView
from verbenawind.state.heartbeats import host_of
from verbenawind.timings import Timing

HOST = "rollouts.example"
PREFIX = "/batch/"
MODEL = "tuner"
SERVICE = "engines"
SCORING_SERVICE = "scorers"
SCORING_PREFIX = "/score/"
ORDER_GAP_S = 3.0
STATUS_S = 120.0
# A registration expires after three heartbeat intervals.
REGISTRATION_S = 3.6


class PlainRegistry:
    """Decodes rows that contain the gateway's types as JSON."""

    operator_table = "operator"
    servers_table = "servers"

    def operator_row(self, key: str, value: bytes) -> GatewayConfiguration | NamedVersion | None:
        if key == "configuration":
            return decode_json(value, GatewayConfiguration)
        return decode_json(value, NamedVersion)

    def instance(self, instance_id: str, value: bytes) -> Instance:
        return decode_json(value, Instance)


class RecordedTimings:
    """Collects the measured durations of all hosts."""

    def __init__(self) -> None:
        self.values: dict[Timing, list[float]] = defaultdict(list)

    def observe(self, timing: Timing, value: float) -> None:
        self.values[timing].append(value)


class Member:
    """A host and its view of the store, which can be cut."""

    def __init__(self, name: str, node: Node, view: StoreView) -> None:
        self.name = name
        self.node = node
        self.view = view


class Fleet:
    """Hosts, engines and the store of a test; must be created inside the virtual-time loop."""

    def __init__(self, *, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
        self.store = MemoryRowStore(self.rng)
        self.engines = OpaqueEngines()
        self.members: dict[str, Member] = {}
        self.powered_off: set[str] = set()
        self.probed_hosts: list[str] = []
        self.timings = RecordedTimings()

    def add_engine(
        self,
        name: str,
        *,
        slots: int = 8,
        pace_s: float = 0.03,
        version: int = 1,
        zone: str = "a",
        load_s: float = 0.9,
        service: str = SERVICE,
    ) -> OpaqueEngine:
        """Start an engine and register it."""
        instance = Instance(
            instance_id=name,
            service=service,
            address=f"{name}:80",
            location=Location(zone=zone, region=zone),
            slots=slots,
            draining=False,
            started_ms=1,
            versions={MODEL: version} if service == SERVICE else {},
        )
        engine = self.engines.add(instance, pace_s=pace_s, load_s=load_s)
        self.register(instance)
        return engine

    def add_scoring_server(self, name: str, *, slots: int = 6, work_s: float = 0.2) -> OpaqueEngine:
        """Start a server of the scoring service and register it."""
        return self.add_engine(name, slots=slots, pace_s=work_s, service=SCORING_SERVICE)

    def register(self, instance: Instance) -> None:
        """Write a server's registration."""
        row_id = RowId(table="servers", key=instance.instance_id)
        self.store.put(row_id, msgspec.json.encode(instance))

    def unregister(self, name: str) -> None:
        """Remove a server's registration."""
        self.store.put(RowId(table="servers", key=name), None)

    def configure(self, version: int = 1, **changes: Any) -> None:
        """Write a configuration with one route, which is for batch jobs unless changed."""
        batch = Route(
            name="batch",
            host=HOST,
            path_prefix=PREFIX,
            kind=RouteKind.BATCH,
            timeout_s=10.0,
            target_latency_s=0.4,
            max_attempts=3,
            priority=1,
            services=(ServiceShare(service=SERVICE, weight=1.0),),
            resumable=True,
            result_deadline_s=7.5,
            retention_s=40.0,
        )
        scoring = Route(
            name="scoring",
            host=HOST,
            path_prefix=SCORING_PREFIX,
            kind=RouteKind.IDEMPOTENT,
            timeout_s=3.0,
            target_latency_s=0.8,
            max_attempts=4,
            priority=2,
            services=(ServiceShare(service=SCORING_SERVICE, weight=1.0),),
        )
        configuration = GatewayConfiguration(
            version=version,
            routes=(msgspec.structs.replace(batch, **changes), scoring),
            services={
                SERVICE: Service(
                    name=SERVICE,
                    max_connections=100,
                    engine=EngineTraits(slots=8, models=(MODEL,)),
                ),
                SCORING_SERVICE: Service(name=SCORING_SERVICE, max_connections=100),
            },
            limits=IngressLimits(
                max_header_bytes=16384,
                max_body_bytes=1 << 20,
                header_timeout_s=3.0,
                idle_timeout_s=15.0,
            ),
        )
        self.put_configuration(configuration)

    def put_configuration(self, configuration: GatewayConfiguration) -> None:
        """Write a configuration."""
        row_id = RowId(table="operator", key="configuration")
        self.store.put(row_id, msgspec.json.encode(configuration))

    def name_version(self, version: int, model: str = MODEL) -> None:
        """Publish a model's newest weight version."""
        row_id = RowId(table="operator", key=f"version/{model}")
        self.store.put(row_id, msgspec.json.encode(NamedVersion(model=model, version=version)))

    def add_host(self, name: str) -> Member:
        """Start a host."""
        view = self.store.view(name)
        node = Node(
            NodeSettings(
                host=name,
                location=Location(zone="a", region="a"),
                peer_address=f"{name}:1",
                max_row_bytes=65536,
                order_gap_s=ORDER_GAP_S,
                job_status_s=STATUS_S,
            ),
            store=view,
            store_ms=self.store.store_ms,
            backends=self.engines,
            orders=self.engines,
            registry=PlainRegistry(),
            probe=self,
            clock=self.clock,
            boot_s=self.clock.monotonic_s,
            rng=self.rng,
            timings=self.timings,
        )
        node.start()
        member = self.members[name] = Member(name, node, view)
        return member

    def kill(self, name: str) -> None:
        """Kill a host's process, after which the host refuses connections."""
        self.members.pop(name).node.kill()

    def power_off(self, name: str) -> None:
        """Cut a host's power, after which it does not respond to connections."""
        self.powered_off.add(name)
        self.kill(name)

    async def connect(self, address: str) -> ProbeResult:
        """Return how a host responds to a connection; implements the AddressProbe port."""
        name = address.partition(":")[0]
        if name in self.engines.engines:
            return await self._connect_to_engine(self.engines.engines[name])
        self.probed_hosts.append(name)
        if name in self.powered_off:
            await asyncio.sleep(0.3)
            return ProbeResult.NONE
        await asyncio.sleep(0.002)
        return ProbeResult.ACCEPTED if name in self.members else ProbeResult.REFUSED

    async def _connect_to_engine(self, engine: OpaqueEngine) -> ProbeResult:
        if engine.unresponsive:
            await asyncio.sleep(0.3)
            return ProbeResult.NONE
        await asyncio.sleep(0.002)
        if not engine.down:
            return ProbeResult.ACCEPTED
        return ProbeResult.CLOSED if engine.proxied else ProbeResult.REFUSED

    def poison(
        self, body: bytes, *, back_after_s: float = 2.0, after_s: float = 0.0, silent: bool = False
    ) -> None:
        """Let requests with this body end the engines that begin to run them.

        An engine is back after *back_after_s* seconds, as a new process under its old id.
        """
        for engine in self.engines.engines.values():
            engine.crash_bodies.add(body)
            engine.crash_after_s = after_s
            engine.crashes_silently = silent
            self.restart_after_crashes(engine, back_after_s)

    def restart_after_crashes(self, engine: OpaqueEngine, back_after_s: float) -> None:
        """Start an engine again some time after each crash."""

        def restart() -> None:
            started_ms = engine.instance.started_ms + 1
            engine.restart(msgspec.structs.replace(engine.instance, started_ms=started_ms))
            self.register(engine.instance)

        def expire() -> None:
            if engine.down or engine.unresponsive:
                self.unregister(engine.instance.instance_id)

        def crashed() -> None:
            loop = asyncio.get_running_loop()
            loop.call_later(REGISTRATION_S, expire)
            loop.call_later(back_after_s, restart)

        engine.on_crash = crashed

    async def start(self, *, hosts: int = 2, engines: int = 2, **changes: Any) -> None:
        """Start engines and hosts, and wait until the hosts are ready."""
        self.configure(**changes)
        for index in range(engines):
            self.add_engine(f"engine-{index}")
        for index in range(hosts):
            self.add_host(f"host-{index}")
        await self.until(lambda: all(member.node.ready for member in self.members.values()))

    async def until(self, condition: Callable[[], Any], timeout_s: float = 30.0) -> float:
        """Wait for a condition and return how long it took, in seconds."""
        started_s = self.clock.monotonic_s()
        while not condition():
            assert self.clock.monotonic_s() - started_s < timeout_s, "timed out waiting"
            await self.clock.sleep(0.01)
        return self.clock.monotonic_s() - started_s

    async def submit(self, member: Member, submission: BatchSubmission) -> None:
        """Submit a job to a host."""
        await member.node.jobs.submit(submission, self.clock.monotonic_s() + 5.0)

    async def owner_of(self, job_id: str) -> str:
        """Wait until a job has an owner and return the owner's host."""

        def owner() -> str:
            row = self.store.row(RowId(table=JOBS_TABLE, part=job_id, key="job"))
            if row is None or row.value is None:
                return ""
            return host_of(msgspec.json.decode(row.value, type=JobRecord).owner)

        await self.until(owner)
        return owner()

    async def results(self, member: Member, job_id: str) -> list[ItemResult]:
        """Read all listed results of a job from a host."""
        results: list[ItemResult] = []
        while True:
            page = await member.node.jobs.results(job_id, len(results), 0.0)
            if not page.results:
                return results
            results += page.results

    async def collect(
        self, member: Member, submission: BatchSubmission, timeout_s: float = 60.0
    ) -> list[ItemResult]:
        """Read a job's results from a host until all of its items are listed."""
        results: list[ItemResult] = []
        ends_at_s = self.clock.monotonic_s() + timeout_s
        while len(results) < len(submission.items):
            assert self.clock.monotonic_s() < ends_at_s, f"{len(results)} items were listed in time"
            page = await member.node.jobs.results(submission.job_id, len(results), 1.0)
            results += page.results
        return results

    def stop(self) -> None:
        """Kill every host."""
        for name in list(self.members):
            self.kill(name)


def job(
    job_id: str = "job-1",
    *,
    groups: int = 2,
    size: int = 4,
    events: int | Sequence[int] = 10,
    min_version: int = 1,
    desired_groups: int = 0,
    hints: Sequence[int] = (),
    step: int = 1,
    prefix: str = "",
    scored: bool = False,
) -> BatchSubmission:
    """Return a job; ``events`` is the number of events per item, or one number for each group.

    Every item of a *scored* job has a scoring call.
    """
    items = []
    for group in range(groups):
        count = events if isinstance(events, int) else events[group]
        for index in range(size):
            item_id = f"{prefix or job_id}-g{group}-{index}"
            items.append(
                BatchItem(
                    item_id=item_id,
                    path=f"{PREFIX}{group}",
                    headers=(("model", MODEL),),
                    body=str(count).encode(),
                    tokens=count * 10,
                    group=f"{prefix or job_id}-g{group}",
                    length_hint=hints[group] if hints else count * 10,
                    scoring=scoring_call(item_id) if scored else None,
                )
            )
    return BatchSubmission(
        job_id=job_id,
        host=HOST,
        path=f"{PREFIX}{job_id}",
        items=tuple(items),
        model=MODEL,
        step=step,
        min_version=min_version,
        desired_groups=desired_groups,
    )


def scoring_call(item_id: str) -> ScoringCall:
    """Return the scoring call of an item."""
    return ScoringCall(
        call_id=f"score-{item_id}", host=HOST, path=f"{SCORING_PREFIX}{item_id}", body=b"reward"
    )


def check_complete(submission: BatchSubmission, results: Sequence[ItemResult]) -> None:
    """Check that each item is listed exactly once, with its complete text."""
    events = {item.item_id: int(item.body) for item in submission.items}
    assert sorted(result.item_id for result in results) == sorted(events)
    for result in results:
        assert result.text == item_text(result.item_id, events[result.item_id])


def run_fleet(work: Callable[[Fleet], Awaitable[None]], *, seed: int = 1) -> None:
    """Run *work* with a new fleet on virtual time."""

    async def run_and_stop() -> None:
        fleet = Fleet(seed=seed)
        try:
            await work(fleet)
        finally:
            fleet.stop()
            await asyncio.sleep(0.01)

    run_virtual(run_and_stop())
