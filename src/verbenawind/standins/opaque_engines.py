"""In-memory engines for opaque requests and event streams, with fault injection."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence

from verbenawind.errors import BackendServerFailed, BackendServerUnreachable
from verbenawind.gateway import Attempt, Instance
from verbenawind.gateway.events import StreamEvent
from verbenawind.weights.load_scheduler import EngineReport
from verbenawind.weights.rolling import LoadOrder, OrderAnswer, OrderReply

__all__ = ["OpaqueEngine", "OpaqueEngines", "item_text"]

_OK = 200
_UNAVAILABLE = 503
_MISDIRECTED = 421
_SERVER_ERROR = 500
_UNPROCESSABLE = 422
_POLL_PERIOD_S = 0.005
# Time from a send to an engine that is down until its proxy closes the connection.
_CLOSE_S = 0.001


def item_text(item_id: str, events: int) -> str:
    """Return the complete text of an item."""
    return "\n".join(f"{item_id}.{number}" for number in range(1, events + 1))


class OpaqueEngine:
    """An in-memory engine and its faults.

    ``down`` refuses connections and breaks streams; ``unresponsive`` leaves calls without a
    response; ``break_after`` breaks a stream after that many events; requests in ``refuse_items``
    get status 422, those in ``fail_items`` status 500, as do the first ``failures_left`` requests;
    ``loses_responses`` runs requests and loses the responses; ``unsigned`` responses lack the
    signature; requests with a body in ``crash_bodies``, of a caller in ``crash_callers`` or with an
    id in ``crash_requests`` end the process ``crash_after_s`` after they began to run, with
    ``crashes_silently`` without breaking its connections; connections to one that is ``proxied``
    and down are accepted and closed; a ``leaving`` engine says so in every answer, and one with a
    ``limit_per_s`` names it.

    Attributes:
        arrivals_s: Times at which requests, orders and report calls arrived, refused ones too.
        crash_starts: The entries of ``started`` whose requests ended the process.
        crashed_at_s: Times at which the process has ended.
        on_crash: Called after each of these ends.
        started: Time, request id and resumption of each run, in order.
        finished: Time of the last event or of the response of each request.
        signatures: Signatures of the complete responses to each request.

    Args:
        instance: The engine's entry in the configuration.
        pace_s: Time per event, in seconds.
        load_s: Time to load a version, in seconds.
    """

    def __init__(self, instance: Instance, pace_s: float, load_s: float) -> None:
        self.instance = instance
        self.pace_s = pace_s
        self.load_s = load_s
        self.versions = dict(instance.versions)
        self.running = 0
        self.peak_running = 0
        self.unresponsive = False
        self.down = False
        self.fail_items: set[str] = set()
        self.refuse_items: set[str] = set()
        self.failures_left = 0
        self.loses_responses = False
        self.unsigned = False
        self.crash_bodies: set[bytes] = set()
        self.crash_callers: set[str] = set()
        self.crash_requests: set[str] = set()
        self.crash_after_s = 0.0
        self.crashes_silently = False
        self.proxied = False
        self.leaving = False
        self.limit_per_s: float | None = None
        self.arrivals_s: list[float] = []
        self.crashed_at_s: list[float] = []
        self.crash_starts: list[tuple[float, str, int | None]] = []
        self.on_crash: Callable[[], None] | None = None
        self.break_after: int | None = None
        self.loading = False
        self.orders: list[tuple[float, int, LoadOrder]] = []
        self.started: list[tuple[float, str, int | None]] = []
        self.finished: dict[str, float] = {}
        self.signatures: defaultdict[str, set[str]] = defaultdict(set)

    def crash(self, *, silent: bool = False) -> None:
        """End the process.

        It refuses connections until it is restarted, or if *silent* leaves them without a response.
        """
        self.down = not silent
        self.unresponsive = silent
        self.crashed_at_s.append(asyncio.get_running_loop().time())
        self.running = 0
        if self.on_crash is not None:
            self.on_crash()

    @property
    def crashes(self) -> int:
        """Number of times that the process has ended."""
        return len(self.crashed_at_s)

    def restart(self, instance: Instance) -> None:
        """Start the process again under this registry entry."""
        self.instance = instance
        self.down = self.unresponsive = False


class _Answer:
    """A response of an engine; implements the BackendResponse port."""

    def __init__(
        self, engine: OpaqueEngine, attempt: Attempt, status: int, *, refused: bool = False
    ) -> None:
        self.status = status
        self.headers: Sequence[tuple[str, str]] = ()
        self._engine = engine
        self._attempt = attempt
        self._refused = refused
        self._next_event_id = (attempt.resume_after or 0) + 1
        self._events_sent = 0
        self._version = engine.versions.get(_requested_model(attempt), 0)
        self._request_id = attempt.request.request_id
        self._run_number = len(engine.started)
        self._process_number = engine.crashes
        self._running = status == _OK and not refused
        self.leaving = engine.leaving
        self.limit_per_s = engine.limit_per_s
        self.answered_by = engine.instance.instance_id
        self._body = [attempt.request.body] if self._running else []

    @property
    def refused(self) -> bool:
        """Whether the engine refused the request without running it."""
        return self._refused

    @property
    def signed(self) -> bool:
        """Whether the response carries the server's signature header."""
        return bool(self.signature)

    @property
    def signature(self) -> str:
        """The server's signature, which differs for each run."""
        if self._engine.unsigned:
            return ""
        return f"{self._engine.instance.instance_id}/{self._request_id}/{self._run_number}"

    @property
    def version(self) -> int | None:
        """The most recent weight version reported by the stream."""
        return self._version

    async def chunk(self) -> bytes:
        """Return the request body, once, as the response body."""
        if not self._body:
            self._complete()
            return b""
        await asyncio.sleep(self._engine.pace_s)
        await _wait_until(lambda: not self._engine.unresponsive)
        if self._engine.loses_responses or self._process_ended:
            self.close()
            raise BackendServerFailed("the response was lost")
        return self._body.pop()

    async def events(self) -> Sequence[StreamEvent] | None:
        """Return the next event, or None at the end of the stream."""
        engine = self._engine
        if self._next_event_id > _event_count(self._attempt):
            self._complete()
            return None
        await asyncio.sleep(engine.pace_s)
        await _wait_until(lambda: not (engine.unresponsive or engine.loading))
        self._events_sent += 1
        broken = engine.break_after is not None and self._events_sent > engine.break_after
        if self._process_ended or broken:
            self.close()
            raise BackendServerFailed("stream broke before its end")
        version = engine.versions.get(_requested_model(self._attempt), 0)
        changed = version if version != self._version else None
        self._version = version
        number, self._next_event_id = self._next_event_id, self._next_event_id + 1
        self._engine.finished[self._request_id] = asyncio.get_running_loop().time()
        data = f"{self._request_id}.{number}"
        return [StreamEvent(event_id=number, data=data, version=changed, raw=data.encode())]

    def _complete(self) -> None:
        if self._running:
            self._engine.signatures[self._request_id].add(self.signature)
        self.close()

    @property
    def _process_ended(self) -> bool:
        return self._engine.down or self._engine.crashes != self._process_number

    def close(self) -> None:
        """End the run and free its slot."""
        if self._running:
            self._running = False
            if self._engine.crashes == self._process_number:
                self._engine.running -= 1


class OpaqueEngines:
    """Engines by instance identifier; implements the ports for requests and for load orders."""

    def __init__(self) -> None:
        self.engines: dict[str, OpaqueEngine] = {}

    def add(self, instance: Instance, *, pace_s: float = 0.03, load_s: float = 0.9) -> OpaqueEngine:
        """Add an engine."""
        engine = self.engines[instance.instance_id] = OpaqueEngine(instance, pace_s, load_s)
        return engine

    async def send(self, instance: Instance, attempt: Attempt) -> _Answer:
        """Send a request, waiting for a free slot."""
        engine = self.engines[instance.instance_id]
        request_id = attempt.request.request_id
        if engine.down and engine.proxied:
            await asyncio.sleep(_CLOSE_S)
            raise BackendServerFailed("connection lost")
        if engine.down:
            raise BackendServerUnreachable(f"engine {instance.instance_id} is down")
        engine.arrivals_s.append(asyncio.get_running_loop().time())
        process = engine.instance
        await _wait_until(lambda: not engine.unresponsive)
        if engine.instance is not process:
            raise BackendServerFailed("the process was started again")
        model = _requested_model(attempt)
        if engine.loading:
            return _Answer(engine, attempt, _UNAVAILABLE, refused=True)
        if attempt.expect_version not in (None, engine.versions.get(model, 0)):
            return _Answer(engine, attempt, _MISDIRECTED, refused=True)
        if request_id in engine.refuse_items:
            return _Answer(engine, attempt, _UNPROCESSABLE)
        if request_id in engine.fail_items:
            return _Answer(engine, attempt, _SERVER_ERROR)
        if engine.failures_left > 0:
            engine.failures_left -= 1
            return _Answer(engine, attempt, _SERVER_ERROR)
        await _wait_until(lambda: engine.running < instance.slots)
        engine.running += 1
        engine.peak_running = max(engine.peak_running, engine.running)
        now_s = asyncio.get_running_loop().time()
        engine.started.append((now_s, request_id, attempt.resume_after))
        if (
            attempt.request.body in engine.crash_bodies
            or attempt.request.caller in engine.crash_callers
            or request_id in engine.crash_requests
        ):
            await self._crash(engine)
        return _Answer(engine, attempt, _OK)

    async def _crash(self, engine: OpaqueEngine) -> None:
        """End the engine's process under a request, and raise BackendServerFailed.

        The process ends even if the request is abandoned before.
        """
        engine.crash_starts.append(engine.started[-1])
        process_number = engine.crashes

        def end() -> None:
            if engine.crashes == process_number:
                engine.crash(silent=engine.crashes_silently)

        if engine.crash_after_s > 0.0:
            asyncio.get_running_loop().call_later(engine.crash_after_s, end)
            await _wait_until(lambda: engine.crashes != process_number)
        else:
            end()
        await _wait_until(lambda: not engine.unresponsive)
        raise BackendServerFailed("connection lost")

    async def order(self, instance: Instance, order: LoadOrder, timeout_s: float) -> OrderReply:
        """Start loading a version."""
        engine = self.engines[instance.instance_id]
        if engine.down:
            return OrderReply(answer=OrderAnswer.UNREACHABLE, detail="down")
        engine.arrivals_s.append(asyncio.get_running_loop().time())
        if order.expected_orders not in (None, len(engine.orders)):
            return OrderReply(answer=OrderAnswer.BUSY, detail="order count differs")
        if engine.loading:
            return OrderReply(
                answer=OrderAnswer.BUSY,
                detail="loading",
                leaving=engine.leaving,
                limit_per_s=engine.limit_per_s,
            )
        if engine.versions.get(order.model, 0) >= order.version:
            return OrderReply(answer=OrderAnswer.HOLDS, detail="version already loaded")
        loop = asyncio.get_running_loop()
        engine.orders.append((loop.time(), order.fencing_number, order))
        engine.loading = True
        loop.call_later(engine.load_s, self._finish_loading, engine, order)
        return OrderReply(
            answer=OrderAnswer.ACCEPTED,
            detail="accepted",
            leaving=engine.leaving,
            limit_per_s=engine.limit_per_s,
        )

    async def report(self, instance: Instance, timeout_s: float) -> EngineReport | None:
        """Return the status of an engine, or None if it is down."""
        engine = self.engines[instance.instance_id]
        if engine.down:
            return None
        engine.arrivals_s.append(asyncio.get_running_loop().time())
        return EngineReport(
            versions=dict(engine.versions),
            changing=engine.loading,
            orders_accepted=len(engine.orders),
            running=engine.running,
            waiting=0,
            leaving=engine.leaving,
            limit_per_s=engine.limit_per_s,
        )

    @staticmethod
    def _finish_loading(engine: OpaqueEngine, order: LoadOrder) -> None:
        engine.versions[order.model] = order.version
        engine.loading = False


async def _wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition is true."""
    while True:
        if condition():
            return
        await asyncio.sleep(_POLL_PERIOD_S)


def _event_count(attempt: Attempt) -> int:
    """Return the number of events of a request, which is given in its body."""
    return int(attempt.request.body or b"1")


def _requested_model(attempt: Attempt) -> str:
    return dict(attempt.request.headers).get("model", "")
