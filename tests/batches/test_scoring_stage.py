"""Tests of the limits on scoring calls, without hosts."""

import asyncio
from datetime import UTC, datetime

from node.fleet import HOST, SCORING_PREFIX, SCORING_SERVICE, RecordedTimings, job
from verbenawind.batches import JobRecord, StoredJob
from verbenawind.batches.owned_job import ItemWork, OwnedJob
from verbenawind.batches.scoring import ScoreOutcome, ScoringStage
from verbenawind.clock import LoopClock
from verbenawind.gateway import (
    CallerRequest,
    Directory,
    GatewayConfiguration,
    IngressLimits,
    Instance,
    Reply,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from verbenawind.kernel.messages import Location
from verbenawind.standins.deployment import run_virtual


class SilentForwarder:
    """Counts requests and answers none; implements the RequestForwarder port."""

    def __init__(self) -> None:
        self.requests = 0

    async def forward(self, request: CallerRequest, route: Route, service: str) -> Reply:
        self.requests += 1
        await asyncio.Event().wait()
        raise AssertionError("never answered")


def scored_job() -> OwnedJob:
    """Return a job whose texts are all complete."""
    submission = job(scored=True)
    record = JobRecord(
        job_id=submission.job_id,
        host=submission.host,
        path=submission.path,
        model=submission.model,
        step=1,
        min_version=1,
        total=len(submission.items),
        submitted_ms=0,
        owner="a#1",
        epoch=1,
    )
    owned = OwnedJob(StoredJob(record=record, version=1), submission)
    for work in owned.unfinished.values():
        work.partial.complete = True
    return owned


def route_table() -> RouteTable:
    """Return a table with the route of the scoring calls."""
    route = Route(
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
    limits = IngressLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout_s=1.0, idle_timeout_s=1.0
    )
    return RouteTable(GatewayConfiguration(version=1, routes=(route,), services={}, limits=limits))


class TestShareOfTheSlots:
    def test_cancelled_calls_free_their_slots(self) -> None:
        """Calls that are cancelled, also before they start, do not count as in flight for ever."""

        async def work() -> None:
            clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
            directory = Directory(clock)
            directory.put(
                Instance(
                    instance_id="scorer",
                    service=SCORING_SERVICE,
                    address="10.0.0.1:80",
                    location=Location(zone="a", region="a"),
                    slots=6,
                    draining=False,
                    started_ms=1,
                    versions={},
                )
            )
            forwarder = SilentForwarder()

            def ignore(_job: OwnedJob, _work: ItemWork, _outcome: ScoreOutcome) -> None:
                return

            stage = ScoringStage(
                forwarder,
                directory,
                on_outcome=ignore,
                create_task=asyncio.get_running_loop().create_task,
                timings=RecordedTimings(),
                clock=clock,
            )
            for _ in range(3):
                dropped = scored_job()
                stage.start_calls([dropped], route_table(), lambda _job, _work: 10.0)
                dropped.cancel()
                await asyncio.sleep(0.01)
            stage.start_calls([scored_job()], route_table(), lambda _job, _work: 10.0)
            await asyncio.sleep(0.01)
            assert forwarder.requests == 3

        run_virtual(work())
