"""A round-robin generator without routing policy, as the baseline of the rollout bench."""

from collections.abc import AsyncGenerator

from verbenawind.clock import Clock
from verbenawind.errors import VerbenawindError
from verbenawind.ids import new_id
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import (
    BackendKind,
    EngineEvent,
    GenerateRequest,
    GenerationAttempt,
)
from verbenawind.kernel.ports import BackendClients

__all__ = ["RoundRobinGenerator"]

_RETRY_DELAY_S = 0.5


class RoundRobinGenerator:
    """Sends each request to the next engine in turn; implements the Generator port.

    Args:
        fleet: View of the engines.
        clients: Clients of the engines.
        clock: Time source.
        slots_per_engine: Maximum number of concurrent requests per engine, on average.
    """

    def __init__(
        self, fleet: Fleet, clients: BackendClients, clock: Clock, slots_per_engine: int
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._clock = clock
        self._slots_per_engine = slots_per_engine
        self._next = 0
        self._running = 0

    def free_slots(self, pool: str) -> int:
        """Return how many more requests may start in a pool."""
        engines = self._fleet.group(BackendKind.ENGINE, pool)
        return max(0, self._slots_per_engine * len(engines) - self._running)

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[EngineEvent, None]:
        """Stream the answer of the next engine; on an error, start over on the one after it."""
        self._running += 1
        try:
            while True:
                engines = self._fleet.group(BackendKind.ENGINE, request.pool)
                self._next += 1
                view = engines[self._next % len(engines)]
                attempt = GenerationAttempt(
                    attempt_id=new_id("att"),
                    request_id=request.request_id,
                    model=request.model,
                    prompt=request.prompt,
                    max_tokens=request.max_tokens,
                    seed=request.seed,
                )
                try:
                    async for event in self._clients.engine(view.server).generate(attempt):
                        yield event
                    return
                except VerbenawindError:
                    await self._clock.sleep(_RETRY_DELAY_S)
        finally:
            self._running -= 1
