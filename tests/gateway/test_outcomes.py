"""Tests of what callers are told after every possible sequence of failed sends.

"Not run" is a promise over all sends of a request: it must not be said because the last server
refused, if an earlier one may have run the request.
"""

import asyncio
from datetime import UTC, datetime
from enum import Enum

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.guards import create_allowances, create_guard
from verbenawind.clock import LoopClock
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    Outcome,
    VerbenawindError,
)
from verbenawind.gateway import (
    Attempt,
    BackendResponse,
    CallerRequest,
    Directory,
    Forwarder,
    Instance,
    Route,
    RouteKind,
    ServiceShare,
    StreamForwarder,
)
from verbenawind.kernel.messages import Location
from verbenawind.standins.deployment import run_virtual

SERVICE = "engines"
HERE = Location(zone="a", region="a")


class SendEnd(Enum):
    """How a send fails; only a FAILED one may have run."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    FAILED = "failed"


class ScriptedServers:
    """Servers that fail one send after the other as scripted; implements the BackendPort port."""

    def __init__(self, script: list[SendEnd]) -> None:
        self.script = script
        self.used: list[SendEnd] = []

    async def send(self, instance: Instance, attempt: Attempt) -> BackendResponse:
        end = self.script[len(self.used)]
        self.used.append(end)
        await asyncio.sleep(0.001)
        match end:
            case SendEnd.REFUSED:
                raise AdmissionRefused("full")
            case SendEnd.UNREACHABLE:
                raise BackendServerUnreachable("refused the connection")
            case _:
                raise BackendServerFailed("reset")


def _route(kind: RouteKind, resumable: bool) -> Route:
    return Route(
        name="route",
        host="h",
        path_prefix="/",
        kind=kind,
        timeout_s=3.0,
        target_latency_s=0.4,
        max_attempts=3,
        priority=0,
        services=(ServiceShare(service=SERVICE, weight=1.0),),
        resumable=resumable,
    )


async def _final_error(servers: ScriptedServers, route: Route) -> VerbenawindError:
    clock = LoopClock(datetime(2026, 1, 1, tzinfo=UTC))
    directory = Directory(clock)
    for index in range(len(servers.script)):
        directory.put(
            Instance(
                instance_id=f"server-{index}",
                service=SERVICE,
                address="10.0.0.1:80",
                location=HERE,
                slots=4,
                draining=False,
                started_ms=1,
                versions={},
            )
        )
    guard = create_guard(directory, clock)
    allowances = create_allowances(clock)
    now_s = clock.monotonic_s()
    request = CallerRequest(
        request_id="r",
        method="POST",
        host="h",
        target="/x",
        headers=(),
        body=b"",
        arrived_s=now_s,
        deadline_s=now_s + 3.0,
    )
    with pytest.raises(VerbenawindError) as caught:
        if route.kind is RouteKind.STREAMING:
            streams = StreamForwarder(directory, servers, HERE, clock, guard, allowances)
            async for _ in streams.forward(request, route, SERVICE):
                raise AssertionError("no server answers")
        else:
            forwarder = Forwarder(directory, servers, HERE, clock, guard, allowances)
            await forwarder.forward(request, route, SERVICE)
    return caught.value


class TestPromisesOverAllSends:
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        script=st.lists(st.sampled_from(SendEnd), min_size=1, max_size=7),
        kind=st.sampled_from([RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING]),
        resumable=st.booleans(),
    )
    def test_not_run_is_said_only_if_no_send_can_have_run(
        self, script: list[SendEnd], kind: RouteKind, resumable: bool
    ) -> None:
        """The final error's outcome is that of all sends, in whatever order they failed."""
        servers = ScriptedServers(script)
        error: list[VerbenawindError] = []

        async def work() -> None:
            error.append(await _final_error(servers, _route(kind, resumable)))

        run_virtual(work())
        expected = Outcome.MAY_HAVE_RUN if SendEnd.FAILED in servers.used else Outcome.NOT_RUN
        assert error[0].outcome is expected
        may_repeat = kind is RouteKind.IDEMPOTENT or (kind is RouteKind.STREAMING and resumable)
        if not may_repeat:
            assert SendEnd.FAILED not in servers.used[:-1]
        assert servers.used.count(SendEnd.FAILED) <= 3

    def test_refusal_after_a_failed_send(self) -> None:
        """A resumable stream that one server may have run and the next refuses may have run."""
        servers = ScriptedServers([SendEnd.FAILED, SendEnd.REFUSED])

        async def work() -> None:
            error = await _final_error(servers, _route(RouteKind.STREAMING, resumable=True))
            assert error.outcome is Outcome.MAY_HAVE_RUN

        run_virtual(work())
