"""Runs one item on one engine, resuming after the events that have already arrived."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Sequence
from enum import StrEnum

from verbenawind.batches.paces import EnginePaces, RunPace
from verbenawind.batches.types import BatchItem
from verbenawind.clock import Clock
from verbenawind.errors import (
    BackendServerFailed,
    BackendServerUnreachable,
    LimitReached,
    RequestUnsendable,
)
from verbenawind.gateway import (
    Attempt,
    Backend,
    BackendPort,
    BackendResponse,
    CallerRequest,
    Permit,
)
from verbenawind.kernel.messages import Value

__all__ = ["PartialText", "RunEnd", "RunLimits", "RunOutcome", "RunnerCounts", "run_item"]

_OK = 200
_SERVER_ERROR = 500
_MISDIRECTED = 421
_UNPROCESSABLE = 422
# A refusal beyond these limits is not read to its end.
_MAX_REFUSAL_BYTES = 64 * 1024
_REFUSAL_S = 0.2
# Size beyond which a text is no item's: no page of results could list it.
_MAX_TEXT_BYTES = 1024 * 1024


class RunEnd(StrEnum):
    """How a run on one engine ended."""

    COMPLETE = "whole"
    REFUSED = "refused"
    LIMITED = "limited"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    STALLED = "stalled"
    SLOW = "slow"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    TOO_OLD = "too_old"


class RunnerCounts:
    """Counts runs by their end, for the metrics."""

    __slots__ = ("runs",)

    def __init__(self) -> None:
        self.runs: Counter[RunEnd] = Counter()

    @property
    def moved(self) -> int:
        """Number of runs that left their engine for a faster one."""
        return self.runs[RunEnd.SLOW]


class RunOutcome(Value, frozen=True, kw_only=True):
    """A run's end, with details for the log.

    ``other_version`` is set if the engine refused a run because it does not have the weight
    version that the run expects.
    """

    end: RunEnd
    detail: str = ""
    other_version: bool = False


class RunLimits(Value, frozen=True, kw_only=True):
    """Limits of one run.

    ``first_event_s`` and ``stall_s`` are the longest times without data from the engine, before
    and after its first event.
    """

    remaining_s: float
    first_event_s: float
    stall_s: float
    min_version: int
    single_version: bool
    expect_version: int | None = None


class PartialText:
    """Events of an unfinished item, with the weight versions that generated them.

    A ``complete`` text has all of its events; its item may still wait for a score.
    """

    __slots__ = ("complete", "events", "last_event", "last_version", "size_bytes", "versions")

    def __init__(self) -> None:
        self.events: list[str] = []
        # The approximate size of the text.
        self.size_bytes = 0
        self.last_event: int | None = None
        self.last_version: int | None = None
        self.versions: set[int] = set()
        self.complete = False

    @property
    def text(self) -> str:
        """The data of all events, one per line."""
        return "\n".join(self.events)

    def extend(self, events: Sequence[str], last_event: int, last_version: int) -> None:
        """Append events that an earlier owner of the job saved."""
        self.events.extend(events)
        self.size_bytes += sum(map(len, events))
        self.last_event = last_event
        self.last_version = last_version

    def satisfies(self, min_version: int, single_version: bool) -> bool:
        """Return whether a result under these constraints may contain the events."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)

    def clear(self) -> None:
        """Discard all events."""
        self.events.clear()
        self.size_bytes = 0
        self.versions.clear()
        self.last_event = self.last_version = None
        self.complete = False


async def run_item(
    item: BatchItem,
    host: str,
    partial: PartialText,
    backend: Backend,
    limits: RunLimits,
    *,
    port: BackendPort,
    clock: Clock,
    paces: EnginePaces,
    should_move: Callable[[RunPace], bool],
    on_accepted: Callable[[], None],
    permit: Permit | None = None,
) -> RunOutcome:
    """Run an item until it is complete or has to continue on another engine.

    Args:
        item: The item.
        host: The host of the job's route.
        partial: The events so far; new ones are appended.
        backend: The engine.
        limits: Limits of this run.
        port: Sends requests to the engine.
        clock: Time source.
        paces: Records the engine's time per event.
        should_move: Returns whether another engine would finish the item sooner; called each time
            events have arrived.
        on_accepted: Called when the engine has accepted the item.
        permit: The reserved turn at an engine that limits the requests that it takes.
    """
    now_s = clock.monotonic_s()
    request = CallerRequest(
        request_id=item.item_id,
        method="POST",
        host=host,
        target=item.path,
        headers=item.headers,
        body=item.body,
        arrived_s=now_s,
        deadline_s=now_s + limits.remaining_s,
    )
    attempt = Attempt(
        request=request,
        remaining_s=limits.remaining_s,
        resume_after=partial.last_event,
        expect_version=limits.expect_version,
        permit=permit,
    )
    response: BackendResponse | None = None
    try:
        async with asyncio.timeout(limits.first_event_s):
            response = await port.send(backend.instance, attempt)
        outcome = await _check_response(response, limits)
        if outcome is not None:
            return outcome
        on_accepted()
        return await _read_events(response, partial, backend, limits, clock, paces, should_move)
    except TimeoutError:
        return RunOutcome(end=RunEnd.STALLED, detail=f"no response within {limits.first_event_s} s")
    except RequestUnsendable as error:
        return RunOutcome(end=RunEnd.IMPOSSIBLE, detail=error.message)
    except LimitReached as error:
        return RunOutcome(end=RunEnd.LIMITED, detail=error.message)
    except BackendServerUnreachable as error:
        return RunOutcome(end=RunEnd.UNREACHABLE, detail=error.message)
    except BackendServerFailed as error:
        return RunOutcome(end=RunEnd.BROKEN, detail=error.message)
    finally:
        if response is not None:
            response.close()


async def _check_response(response: BackendResponse, limits: RunLimits) -> RunOutcome | None:
    """Return the outcome of a response other than an event stream, None for a stream."""
    detail = f"status {response.status}"
    if response.refused:
        await _discard_body(response)
        is_misdirected = response.status == _MISDIRECTED
        other_version = is_misdirected and limits.expect_version is not None
        return RunOutcome(end=RunEnd.REFUSED, detail=detail, other_version=other_version)
    if not response.signed:
        return RunOutcome(end=RunEnd.BROKEN, detail=f"{detail}, response not signed by the server")
    if response.status == _UNPROCESSABLE:
        return RunOutcome(end=RunEnd.IMPOSSIBLE, detail=detail)
    if response.status >= _SERVER_ERROR:
        return RunOutcome(end=RunEnd.FAILED, detail=detail)
    if response.status != _OK:
        return RunOutcome(end=RunEnd.BROKEN, detail=detail)
    return None


async def _discard_body(response: BackendResponse) -> None:
    """Read a refusal to its end so that the connection can be reused, unless that takes longer."""
    size_bytes = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(_REFUSAL_S):
            while data := await response.chunk():
                size_bytes += len(data)
                if size_bytes > _MAX_REFUSAL_BYTES:
                    return


async def _read_events(
    response: BackendResponse,
    partial: PartialText,
    backend: Backend,
    limits: RunLimits,
    clock: Clock,
    paces: EnginePaces,
    should_move: Callable[[RunPace], bool],
) -> RunOutcome:
    version = response.version
    max_silence_s = limits.first_event_s
    pace = RunPace()
    while True:
        try:
            async with asyncio.timeout(max_silence_s):
                events = await response.events()
        except TimeoutError:
            return RunOutcome(end=RunEnd.STALLED, detail=f"no event within {max_silence_s:.2f} s")
        if events is None:
            if partial.last_event is None:
                return RunOutcome(end=RunEnd.BROKEN, detail="stream ended without events")
            return RunOutcome(end=RunEnd.COMPLETE)
        max_silence_s = limits.stall_s
        pace.add_events(clock.monotonic_s(), len(events))
        if pace.median_s is not None:
            paces.observe(backend.instance.instance_id, pace.median_s)
        for event in events:
            version = version if event.version is None else event.version
            if version is None:
                return RunOutcome(end=RunEnd.BROKEN, detail="event without a weight version")
            mixed_versions = limits.single_version and bool(partial.versions - {version})
            if version < limits.min_version or mixed_versions:
                partial.clear()
                return RunOutcome(end=RunEnd.TOO_OLD, detail=f"disallowed weight version {version}")
            if partial.last_event is not None and event.event_id != partial.last_event + 1:
                return RunOutcome(
                    end=RunEnd.BROKEN,
                    detail=f"event {event.event_id} received after {partial.last_event}",
                )
            if partial.size_bytes + len(event.data) > _MAX_TEXT_BYTES:
                partial.clear()
                return RunOutcome(
                    end=RunEnd.BROKEN,
                    detail=f"the text exceeded the limit of {_MAX_TEXT_BYTES} characters",
                )
            partial.events.append(event.data)
            partial.size_bytes += len(event.data)
            partial.last_event = event.event_id
            partial.versions.add(version)
            partial.last_version = version
        if should_move(pace):
            return RunOutcome(end=RunEnd.SLOW, detail="another engine is faster")
