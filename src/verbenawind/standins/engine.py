"""A stand-in inference engine with continuous batching and FIFO admission, without priorities."""

import asyncio
import zlib
from collections import OrderedDict, deque
from collections.abc import AsyncGenerator
from random import Random

from verbenawind.clock import Clock
from verbenawind.errors import (
    AdmissionRefused,
    BackendServerFailed,
    BackendServerUnreachable,
    FencingRefused,
)
from verbenawind.kernel.messages import (
    CacheEvents,
    EngineEvent,
    EngineOrder,
    EngineStatus,
    GenerationAttempt,
    GenerationEnded,
    ModelStatus,
    OrderKind,
    SwapState,
    TokensGenerated,
)
from verbenawind.standins.engine_profile import (
    LONG_MARKER,
    EngineFaults,
    EngineProfile,
    expected_token,
    natural_length,
)

__all__ = [
    "CRASH_MARKER",
    "LONG_MARKER",
    "EngineFaults",
    "EngineProfile",
    "StandinEngine",
    "expected_token",
    "natural_length",
]

_BLOCK_CHARACTERS = 64
CRASH_MARKER = "[crash-engine]"
_MAX_RECORDED_ATTEMPTS = 1024


class _AttemptState:
    __slots__ = ("attempt", "end_position", "position", "queue", "ready_at_s")

    def __init__(self, attempt: GenerationAttempt) -> None:
        self.attempt = attempt
        self.position = len(attempt.held_token_ids)
        self.end_position = min(attempt.max_tokens, natural_length(attempt.prompt, attempt.seed))
        self.ready_at_s = 0.0
        self.queue: asyncio.Queue[EngineEvent | Exception] = asyncio.Queue()


class _ModelWeights:
    __slots__ = ("active", "changed_at_s", "previous", "staged", "state")

    def __init__(self, version: int) -> None:
        self.active: int | None = version
        self.previous: int | None = version
        self.changed_at_s = -1e9
        self.staged: set[int] = set()
        self.state = SwapState.IDLE


class StandinEngine:
    """An in-memory engine; implements the EngineClient port.

    Args:
        server_id: The engine's identifier in the host list.
        models: Weight version of each model at start and after a restart.
        clock: Time source; in tests, the clock of a virtual-time loop.
        rng: Seeded random source that decides which cache events are lost.
        profile: Speed and limits.
        checks_fencing: Whether orders with an outdated fencing number are rejected.
        stage_s: Time to stage weights, in seconds.
        swap_s: Time to activate staged weights, in seconds.
    """

    def __init__(
        self,
        server_id: str,
        models: dict[str, int],
        clock: Clock,
        rng: Random,
        *,
        profile: EngineProfile | None = None,
        checks_fencing: bool = True,
        stage_s: float = 0.2,
        swap_s: float = 0.1,
    ) -> None:
        self.server_id = server_id
        self.incarnation = 1
        self.leaving = False
        self.faults = EngineFaults()
        self.profile = profile or EngineProfile()
        self.checks_fencing = checks_fencing
        self.fencing_number = 0
        self.started_request_ids: list[str] = []
        self.attempts: deque[GenerationAttempt] = deque(maxlen=_MAX_RECORDED_ATTEMPTS)
        self.starts: list[tuple[float, GenerationAttempt]] = []
        self.orders: list[EngineOrder] = []
        self.crashes = 0
        self._initial_versions = dict(models)
        self._weights = {model: _ModelWeights(version) for model, version in models.items()}
        self._clock = clock
        self._rng = rng
        self._stage_s = stage_s
        self._swap_s = swap_s
        self._down = False
        self._running: dict[str, _AttemptState] = {}
        self._waiting: deque[_AttemptState] = deque()
        self._load_history: deque[tuple[float, int, int]] = deque()
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._events: list[tuple[float, int, bool]] = []
        self._batch_loop: asyncio.Task[None] | None = None
        self._order_lock = asyncio.Lock()
        self._draining: set[str] = set()

    # EngineClient port.

    async def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Queue the attempt in arrival order and stream its tokens."""
        self._check_reachable()
        if self.leaving:
            raise AdmissionRefused(f"engine {self.server_id} is leaving")
        if attempt.model not in self._weights:
            raise AdmissionRefused(f"engine {self.server_id} has no model {attempt.model!r}")
        self.started_request_ids.append(attempt.request_id)
        self.attempts.append(attempt)
        self.starts.append((self._clock.monotonic_s(), attempt))
        running = _AttemptState(attempt)
        self._waiting.append(running)
        self._record_load()
        if CRASH_MARKER in attempt.prompt:
            self.crash()
        self._ensure_batch_loop()
        try:
            while True:
                event = await running.queue.get()
                if isinstance(event, Exception):
                    raise event
                if isinstance(event, GenerationEnded) and self.faults.drop_end_marker:
                    return
                yield event
                if isinstance(event, GenerationEnded):
                    return
        finally:
            self._remove(running)

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; unknown attempts are ignored."""
        self._check_reachable()
        running = self._running.get(attempt_id)
        if running is not None:
            self._remove(running)

    async def status(self) -> EngineStatus:
        """Return the engine's status, in which the load is ``load_lag_s`` seconds old."""
        self._check_reachable()
        running, waiting = self._delayed_load()
        return EngineStatus(
            server_id=self.server_id,
            incarnation=self.incarnation,
            models=tuple(
                ModelStatus(
                    model=model,
                    active_version=self._reported_version(weights),
                    staged_versions=tuple(sorted(weights.staged)),
                    swap_state=weights.state,
                )
                for model, weights in self._weights.items()
            ),
            running=running,
            waiting=waiting,
            max_running=self.profile.max_running,
            leaving=self.leaving,
            fencing_number=self.fencing_number,
        )

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Stage or activate weights; after a failed swap no version is active."""
        self._check_reachable()
        if self.checks_fencing and order.fencing_number < self.fencing_number:
            raise FencingRefused(
                f"engine {self.server_id} rejects fencing number {order.fencing_number}: "
                f"highest seen is {self.fencing_number}"
            )
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self.orders.append(order)
        async with self._order_lock:
            return await self._execute_order(order)

    async def _execute_order(self, order: EngineOrder) -> EngineStatus:
        incarnation = self.incarnation
        weights = self._weights.setdefault(order.model, _ModelWeights(order.version))
        if order.kind is OrderKind.STAGE:
            await self._clock.sleep(self._stage_s)
            self._check_not_restarted(incarnation)
            weights.staged.add(order.version)
            return await self.status()
        if weights.active is not None and weights.active >= order.version:
            return await self.status()
        await self._activate(order, weights, incarnation)
        return await self.status()

    async def cache_events(self, position: int) -> CacheEvents:
        """Return cache events after *position*, ``event_lag_s`` late; a lost one sets ``gap``."""
        self._check_reachable()
        visible_until_s = self._clock.monotonic_s() - self.profile.event_lag_s
        added: list[int] = []
        gap = False
        end = position
        for at_s, prefix_hash, is_lost in self._events[position:]:
            if at_s > visible_until_s:
                break
            end += 1
            gap = gap or is_lost
            if not is_lost:
                added.append(prefix_hash)
        return CacheEvents(position=end, added_prefix_hashes=tuple(added), gap=gap)

    async def export_cache(self, attempt_id: str) -> bytes:
        """Return a placeholder for the KV cache of a running attempt."""
        self._check_reachable()
        if attempt_id not in self._running:
            raise AdmissionRefused(f"engine {self.server_id} is not running attempt {attempt_id!r}")
        return f"kv:{attempt_id}".encode()

    async def import_cache(self, attempt_id: str, cache: bytes) -> None:
        """Accept a KV cache from ``export_cache``."""
        self._check_reachable()
        if not cache.startswith(b"kv:"):
            raise AdmissionRefused(
                f"engine {self.server_id} cannot read the KV cache of {attempt_id!r}"
            )

    async def aclose(self) -> None:
        """Do nothing: the engine is in memory and has no connection."""

    # Faults and life cycle.

    def crash(self) -> None:
        """Fail every running and queued attempt and refuse calls until the engine is restarted."""
        self.crashes += 1
        self._down = True
        failure = f"engine {self.server_id} crashed"
        for running in [*self._running.values(), *self._waiting]:
            running.queue.put_nowait(BackendServerFailed(failure))
        self._running.clear()
        self._waiting.clear()

    def restart(self) -> None:
        """Start a new incarnation with the initial weights, nothing staged and an empty cache."""
        self._down = False
        self.incarnation += 1
        self.fencing_number = 0
        self.leaving = False
        self._prefixes.clear()
        self._weights = {
            model: _ModelWeights(version) for model, version in self._initial_versions.items()
        }

    @property
    def down(self) -> bool:
        """Whether the engine has crashed and has not been restarted."""
        return self._down

    def active_version(self, model: str) -> int | None:
        """Return the version that generates tokens; None during a swap or after a failed one."""
        return self._weights[model].active

    async def stop(self) -> None:
        """Stop the batch loop."""
        if self._batch_loop is not None:
            self._batch_loop.cancel()

    def _check_reachable(self) -> None:
        if self._down or self.faults.unreachable:
            raise BackendServerUnreachable(f"engine {self.server_id} refuses connections")

    def _check_not_restarted(self, incarnation: int) -> None:
        if self._down or incarnation != self.incarnation:
            raise BackendServerFailed(f"engine {self.server_id} restarted during an order")

    async def _activate(self, order: EngineOrder, weights: _ModelWeights, incarnation: int) -> None:
        if order.version not in weights.staged:
            await self._clock.sleep(self._stage_s)
            self._check_not_restarted(incarnation)
            weights.staged.add(order.version)
        if order.drain_first:
            await self._collect_events(order.model, incarnation)
        weights.state = SwapState.SWAPPING
        weights.previous, weights.active = weights.active, None
        await self._clock.sleep(self._swap_s)
        self._check_not_restarted(incarnation)
        if self.faults.fail_next_swaps > 0:
            self.faults.fail_next_swaps -= 1
            weights.state = SwapState.FAILED
            raise BackendServerFailed(f"engine {self.server_id} failed to swap {order.model!r}")
        weights.active = order.version
        weights.changed_at_s = self._clock.monotonic_s()
        weights.staged.discard(order.version)
        weights.state = SwapState.IDLE

    async def _collect_events(self, model: str, incarnation: int) -> None:
        self._draining.add(model)
        try:
            while any(running.attempt.model == model for running in self._running.values()):
                await self._clock.sleep(self.profile.tick_s)
                self._check_not_restarted(incarnation)
        finally:
            self._draining.discard(model)

    def _reported_version(self, weights: _ModelWeights) -> int | None:
        age_s = self._clock.monotonic_s() - weights.changed_at_s
        if weights.active is not None and age_s < self.faults.version_report_lag_s:
            return weights.previous
        return weights.active

    # Continuous batching.

    def _ensure_batch_loop(self) -> None:
        if self._batch_loop is None or self._batch_loop.done():
            self._batch_loop = asyncio.get_running_loop().create_task(self._run_batch_loop())

    async def _run_batch_loop(self) -> None:
        while self._running or self._waiting:
            await self._clock.sleep(self.profile.tick_s)
            if not self.faults.stalled:
                self._admit()
                self._advance()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.profile.max_running:
            if self._waiting[0].attempt.model in self._draining:
                break
            running = self._waiting.popleft()
            running.ready_at_s = self._clock.monotonic_s() + self._prefill_s(running.attempt)
            self._running[running.attempt.attempt_id] = running
        self._record_load()

    def _advance(self) -> None:
        now_s = self._clock.monotonic_s()
        for running in list(self._running.values()):
            weights = self._weights[running.attempt.model]
            if running.ready_at_s > now_s or weights.active is None:
                continue
            self._generate_tokens(running, weights.active)

    def _generate_tokens(self, running: _AttemptState, version: int) -> None:
        attempt = running.attempt
        start = running.position
        end = min(running.end_position, start + self.profile.tokens_per_tick)
        token_ids = tuple(
            expected_token(attempt.model, version, attempt.prompt, attempt.seed, index)
            for index in range(start, end)
        )
        if token_ids:
            running.queue.put_nowait(
                TokensGenerated(
                    attempt_id=attempt.attempt_id,
                    start=start,
                    token_ids=token_ids,
                    text="".join(f"t{token_id} " for token_id in token_ids),
                    version=version,
                )
            )
        running.position = end
        if end >= running.end_position:
            reason = "length" if running.end_position >= attempt.max_tokens else "stop"
            running.queue.put_nowait(
                GenerationEnded(
                    attempt_id=attempt.attempt_id, token_count=max(end, start), finish_reason=reason
                )
            )
            self._remove(running)

    def _remove(self, running: _AttemptState) -> None:
        self._running.pop(running.attempt.attempt_id, None)
        if running in self._waiting:
            self._waiting.remove(running)
        self._record_load()

    def _prefill_s(self, attempt: GenerationAttempt) -> float:
        blocks = [
            zlib.crc32(attempt.prompt[: end + _BLOCK_CHARACTERS].encode())
            for end in range(0, len(attempt.prompt), _BLOCK_CHARACTERS)
        ]
        uncached = [block for block in blocks if block not in self._prefixes]
        for block in blocks:
            self._prefixes[block] = None
            self._prefixes.move_to_end(block)
        now_s = self._clock.monotonic_s()
        for block in uncached:
            is_lost = self._rng.random() < self.faults.event_gap_rate
            self._events.append((now_s, block, is_lost))
        while len(self._prefixes) > self.profile.prefix_blocks:
            self._prefixes.popitem(last=False)
        characters = len(uncached) * _BLOCK_CHARACTERS + len(attempt.held_token_ids)
        return characters / self.profile.prefill_tokens_per_s

    def _record_load(self) -> None:
        now_s = self._clock.monotonic_s()
        self._load_history.append((now_s, len(self._running), len(self._waiting)))
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= now_s - self.profile.load_lag_s
        ):
            self._load_history.popleft()

    def _delayed_load(self) -> tuple[int, int]:
        self._record_load()
        _, running, waiting = self._load_history[0]
        return running, waiting
