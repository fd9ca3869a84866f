"""Forwards event streams, and resumes them on another server where the route allows."""

import asyncio
from collections.abc import AsyncGenerator

import structlog

from verbenawind.clock import Clock
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    LimitReached,
    RequestUnsendable,
)
from verbenawind.gateway.allowances import Allowances
from verbenawind.gateway.balance import choose
from verbenawind.gateway.crash_guard import CrashGuard
from verbenawind.gateway.directory import Backend, Directory
from verbenawind.gateway.guarded_request import GuardedRequest
from verbenawind.gateway.ports import Attempt, BackendPort, BackendResponse, CallerRequest
from verbenawind.gateway.response_check import check_response
from verbenawind.gateway.send_history import SendHistory
from verbenawind.gateway.server_limits import Permit
from verbenawind.gateway.types import Route
from verbenawind.kernel.messages import Location

__all__ = ["StreamForwarder"]

# A resumable stream without an event for this long is resumed on another server.
_STALL_TIMEOUT_S = 1.0
# A first event that takes so many times the target latency is overdue.
_OVERDUE_TARGETS = 2.0
_OK = 200


class StreamForwarder:
    """Forwards event streams event by event.

    Args:
        directory: The backend servers.
        port: Sends requests to them.
        location: Where this daemon runs.
        clock: Time source.
        guard: Tracks requests under which servers end.
        allowances: Gives requests their turns at servers that limit them.
    """

    __slots__ = ("_allowances", "_clock", "_directory", "_guard", "_location", "_log", "_port")

    def __init__(
        self,
        directory: Directory,
        port: BackendPort,
        location: Location,
        clock: Clock,
        guard: CrashGuard,
        allowances: Allowances,
    ) -> None:
        self._guard = guard
        self._allowances = allowances
        self._directory = directory
        self._port = port
        self._location = location
        self._clock = clock
        self._log = structlog.get_logger("gateway")

    async def forward(
        self, request: CallerRequest, route: Route, service: str
    ) -> AsyncGenerator[BackendResponse | bytes, None]:
        """Yield the first server's response head, then the bytes of each complete event.

        Raises:
            RequestUnsendable: The request is not valid HTTP; nothing was sent.
            RequestConvicted: Servers ended under such requests, which are refused for a time.
            VerbenawindError: The stream did not start, or broke and cannot be resumed.
        """
        tried: set[str] = set()
        without_turn: set[str] = set()
        guarded = GuardedRequest(request, service, self._guard)
        await guarded.admit()
        first_response: BackendResponse | None = None
        last_id = request.resume_after
        history = SendHistory(
            request.request_id,
            service,
            max_runs=1 if guarded.is_trial else route.max_attempts,
            max_sends=None,
            repeatable=route.resumable,
        )
        while history.may_send:
            if history.sends:
                await guarded.admit_again(history.outcome)
            backends = self._directory.backends(service)
            excluded = tried | without_turn
            chosen = choose(backends, self._location, excluded, self._allowances.delay_s)
            if chosen is None:
                break
            backend, choice = chosen
            try:
                latest_s = now_s = self._clock.monotonic_s()
                if not self._allowances.has_unlimited(backends, tried):
                    # The first event may take the target latency.
                    latest_s = max(now_s, request.deadline_s - route.target_latency_s)
                permit = await self._allowances.acquire(
                    backend.instance,
                    latest_s,
                    urgent=True,
                    prompt_until_s=request.arrived_s + route.target_latency_s,
                )
            except LimitReached:
                without_turn.add(choice.instance_id)
                continue
            tried.add(choice.instance_id)
            without_turn.clear()
            remaining_s = request.deadline_s - self._clock.monotonic_s()
            if remaining_s <= 0:
                break
            self._log.info(
                "stream_sent",
                request_id=request.request_id,
                route=route.name,
                server=choice.instance_id,
                resume_after=last_id,
                remaining_s=round(remaining_s, 3),
                outstanding=choice.outstanding,
            )
            history.sent()
            in_flight = guarded.begin(backend, _OVERDUE_TARGETS * route.target_latency_s)
            backend.begin()
            response: BackendResponse | None = None
            try:
                response = await self._open(backend, request, remaining_s, last_id, permit)
                if first_response is None:
                    first_response = response
                    yield response
                    if response.status != _OK:
                        while data := await response.chunk():
                            yield data
                        guarded.answered(in_flight, response.status)
                        return
                elif response.status != _OK:
                    guarded.answered(in_flight, response.status)
                    history.failed(
                        BackendServerFailed(
                            f"server {choice.instance_id} did not resume the stream: "
                            f"status {response.status}"
                        )
                    )
                    self._log.info(
                        "stream_not_resumed",
                        request_id=request.request_id,
                        server=choice.instance_id,
                        status=response.status,
                        last_event=last_id,
                    )
                    continue
                async for event_id, raw in self._events(response, route):
                    if last_id is not None and event_id != last_id + 1:
                        raise BackendServerFailed(
                            f"event {event_id} followed {last_id} in stream {request.request_id}"
                        )
                    last_id = event_id
                    in_flight.progressed()
                    yield raw
                guarded.answered(in_flight, response.status)
                backend.succeeded(0.0)
                return
            except RequestUnsendable:
                guarded.not_run(in_flight)
                raise
            except LimitReached:
                history.refused()
                guarded.not_run(in_flight)
            except (AdmissionRefused, BackendServerUnreachable):
                history.refused()
                guarded.not_run(in_flight)
                backend.failed()
            except BackendServerFailed as failure:
                history.failed(failure)
                guarded.broke(in_flight)
                backend.failed()
                self._log.info(
                    "stream_broke",
                    request_id=request.request_id,
                    fingerprint=guarded.fingerprint,
                    server=choice.instance_id,
                    started_ms=backend.instance.started_ms,
                    error=failure.message,
                    last_event=last_id,
                )
                if first_response is not None and first_response.status != _OK:
                    # Only an event stream can be continued by another response.
                    break
            except (asyncio.CancelledError, GeneratorExit):
                guarded.unanswered(in_flight)
                raise
            finally:
                backend.end()
                if response is not None:
                    response.close()
        guarded.finished(history.outcome)
        if without_turn:
            limited = [
                backend.instance
                for backend in self._directory.backends(service)
                if backend.instance.instance_id in without_turn
            ]
            history.limited(self._allowances.refused(limited, request.request_id))
        deadline_passed = self._clock.monotonic_s() >= request.deadline_s
        raise history.final_error(deadline_passed=deadline_passed)

    async def _open(
        self,
        backend: Backend,
        request: CallerRequest,
        remaining_s: float,
        last_id: int | None,
        permit: Permit | None,
    ) -> BackendResponse:
        attempt = Attempt(
            request=request,
            remaining_s=remaining_s,
            resume_after=last_id,
            fresh_connection=True,
            permit=permit,
        )
        response = await self._port.send(backend.instance, attempt)
        check_response(response, backend.instance.instance_id)
        return response

    async def _events(
        self, response: BackendResponse, route: Route
    ) -> AsyncGenerator[tuple[int, bytes], None]:
        while True:
            try:
                async with asyncio.timeout(_STALL_TIMEOUT_S if route.resumable else None):
                    events = await response.events()
            except TimeoutError as error:
                raise BackendServerFailed(
                    f"the stream sent no event for {_STALL_TIMEOUT_S} s"
                ) from error
            if events is None:
                return
            for event in events:
                yield event.event_id, event.raw
