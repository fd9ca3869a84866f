"""Runs one item at one engine, from the events that are already held."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from enum import StrEnum

from verbenawind.batches.paces import EnginePaces, RunPace
from verbenawind.batches.types import BatchItem
from verbenawind.clock import Clock
from verbenawind.errors import BackendServerFailed, BackendServerUnreachable
from verbenawind.gateway import Answer, Attempt, Backend, BackendPort, CallerRequest
from verbenawind.kernel.messages import Value

__all__ = ["HeldText", "RunEnd", "RunLimits", "RunOutcome", "RunnerCounts", "run_item"]

_OK = 200
_SERVER_ERROR = 500
_MISDIRECTED = 421
_UNPROCESSABLE = 422


class RunEnd(StrEnum):
    """How a run at one engine ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    STALLED = "stalled"
    SLOW = "slow"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    TOO_OLD = "too_old"


class RunnerCounts:
    """Counts runs by how they ended, for the metrics."""

    __slots__ = ("runs",)

    def __init__(self) -> None:
        self.runs: Counter[RunEnd] = Counter()

    @property
    def moved(self) -> int:
        """Runs that left their engine for a faster one."""
        return self.runs[RunEnd.SLOW]


class RunOutcome(Value, frozen=True, kw_only=True):
    """A run's end and what it was read from.

    ``other_version`` is set where the engine refused a run that expects a weight version.
    """

    end: RunEnd
    detail: str = ""
    other_version: bool = False


class RunLimits(Value, frozen=True, kw_only=True):
    """What bounds one run.

    ``first_event_s`` and ``stall_s`` are how long an engine may stay silent before and after its
    first event.
    """

    remaining_s: float
    first_event_s: float
    stall_s: float
    min_version: int
    single_version: bool
    expect_version: int | None = None


class HeldText:
    """The events of an item that have arrived, with the weights that made them."""

    __slots__ = ("events", "last_event", "last_version", "versions")

    def __init__(self) -> None:
        self.events: list[str] = []
        self.last_event: int | None = None
        self.last_version: int | None = None
        self.versions: set[int] = set()

    @property
    def text(self) -> str:
        """The data of all events, one a line."""
        return "\n".join(self.events)

    def extend(self, events: Sequence[str], last_event: int, last_version: int) -> None:
        """Append events that were kept by an earlier owner."""
        self.events.extend(events)
        self.last_event = last_event
        self.last_version = last_version

    def fits(self, min_version: int, single_version: bool) -> bool:
        """Return whether the events may be part of a result under these bounds."""
        if single_version and len(self.versions) > 1:
            return False
        return all(version >= min_version for version in self.versions)

    def clear(self) -> None:
        """Drop everything that is held."""
        self.events.clear()
        self.versions.clear()
        self.last_event = self.last_version = None


async def run_item(
    item: BatchItem,
    host: str,
    held: HeldText,
    backend: Backend,
    limits: RunLimits,
    *,
    port: BackendPort,
    clock: Clock,
    paces: EnginePaces,
    should_move: Callable[[RunPace], bool],
    on_begun: Callable[[], None],
) -> RunOutcome:
    """Run an item until it is whole, or until it should go on at another engine.

    Args:
        item: The item.
        host: The host of the job's route.
        held: The events so far; new ones are appended.
        backend: The engine.
        limits: Bounds of this run.
        port: Sends to the engine.
        clock: Time source.
        paces: Learns the engine's time for an event.
        should_move: Whether another engine would finish the item sooner; asked after events.
        on_begun: Called when the engine has accepted the item.
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
        resume_after=held.last_event,
        expect_version=limits.expect_version,
    )
    answer: Answer | None = None
    try:
        async with asyncio.timeout(limits.first_event_s):
            answer = await port.send(backend.instance, attempt)
        outcome = await _refusal(answer, limits)
        if outcome is not None:
            return outcome
        on_begun()
        return await _read(answer, held, backend, limits, clock, paces, should_move)
    except TimeoutError:
        return RunOutcome(end=RunEnd.STALLED, detail=f"silent for {limits.first_event_s} s")
    except BackendServerUnreachable as error:
        return RunOutcome(end=RunEnd.UNREACHABLE, detail=error.message)
    except BackendServerFailed as error:
        return RunOutcome(end=RunEnd.BROKEN, detail=error.message)
    finally:
        if answer is not None:
            answer.close()


async def _refusal(answer: Answer, limits: RunLimits) -> RunOutcome | None:
    """Return what a response that is no stream of events means, None for a stream."""
    detail = f"status {answer.status}"
    if answer.refused:
        # The rest is read so that the connection can be used again.
        while await answer.chunk():
            pass
        misdirected = answer.status == _MISDIRECTED
        other_version = misdirected and limits.expect_version is not None
        return RunOutcome(end=RunEnd.REFUSED, detail=detail, other_version=other_version)
    if not answer.signed:
        return RunOutcome(end=RunEnd.BROKEN, detail=f"{detail} without the server's mark")
    if answer.status == _UNPROCESSABLE:
        return RunOutcome(end=RunEnd.IMPOSSIBLE, detail=detail)
    if answer.status >= _SERVER_ERROR:
        return RunOutcome(end=RunEnd.FAILED, detail=detail)
    if answer.status != _OK:
        return RunOutcome(end=RunEnd.BROKEN, detail=detail)
    return None


async def _read(
    answer: Answer,
    held: HeldText,
    backend: Backend,
    limits: RunLimits,
    clock: Clock,
    paces: EnginePaces,
    should_move: Callable[[RunPace], bool],
) -> RunOutcome:
    version = answer.version
    silence_s = limits.first_event_s
    pace = RunPace()
    while True:
        try:
            async with asyncio.timeout(silence_s):
                events = await answer.events()
        except TimeoutError:
            return RunOutcome(end=RunEnd.STALLED, detail=f"silent for {silence_s:.2f} s")
        if events is None:
            if held.last_event is None:
                return RunOutcome(end=RunEnd.BROKEN, detail="a stream without events")
            return RunOutcome(end=RunEnd.WHOLE)
        silence_s = limits.stall_s
        pace.add_events(clock.monotonic_s(), len(events))
        if pace.median_s is not None:
            paces.learn(backend.instance.instance_id, pace.median_s)
        for event in events:
            version = version if event.version is None else event.version
            if version is None:
                return RunOutcome(end=RunEnd.BROKEN, detail="events without a weight version")
            other = limits.single_version and bool(held.versions - {version})
            if version < limits.min_version or other:
                held.clear()
                return RunOutcome(end=RunEnd.TOO_OLD, detail=f"weight version {version}")
            if held.last_event is not None and event.event_id != held.last_event + 1:
                return RunOutcome(
                    end=RunEnd.BROKEN,
                    detail=f"event {event.event_id} after {held.last_event}",
                )
            held.events.append(event.data)
            held.last_event = event.event_id
            held.versions.add(version)
            held.last_version = version
        if should_move(pace):
            return RunOutcome(end=RunEnd.SLOW, detail="another engine is faster")
