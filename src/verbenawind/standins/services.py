"""In-memory plain service and scoring service with fault injection."""

import asyncio
import zlib
from collections import Counter

import msgspec

from verbenawind.clock import Clock
from verbenawind.errors import BackendServerFailed, BackendServerUnreachable
from verbenawind.kernel.messages import (
    ScoringRequest,
    ScoringResponse,
    ServiceRequest,
    ServiceResponse,
)

__all__ = ["StandinScoring", "StandinService", "expected_grade"]


def expected_grade(text: str) -> float:
    """Return the grade from 0 to 1 that the stand-in scoring service assigns to a text."""
    return zlib.crc32(text.encode()) % 1000 / 1000.0


class StandinService:
    """A host of a plain service that counts the runs of each request; implements ServiceClient.

    ``unreachable`` refuses connections; ``lose_next_answers`` is the number of next requests whose
    connection is dropped after they have run.
    """

    def __init__(self, server_id: str, clock: Clock, *, answer_s: float = 0.01) -> None:
        self.server_id = server_id
        self.answer_s = answer_s
        self.unreachable = False
        self.lose_next_answers = 0
        self.leaving = False
        self.runs: Counter[str] = Counter()
        self.starts: list[tuple[float, ServiceRequest]] = []
        self._clock = clock

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Run the request and return its method, path and body."""
        if self.unreachable:
            raise BackendServerUnreachable(f"service host {self.server_id} refuses connections")
        self.runs[request.idempotency_key or request.request_id] += 1
        self.starts.append((self._clock.monotonic_s(), request))
        await self._clock.sleep(self.answer_s)
        if self.lose_next_answers > 0:
            self.lose_next_answers -= 1
            raise BackendServerFailed(f"service host {self.server_id} dropped the connection")
        answer = {
            "method": request.method,
            "path": request.path,
            "body": request.body.decode(errors="replace"),
        }
        return ServiceResponse(
            status=200,
            headers={"content-type": "application/json"},
            body=msgspec.json.encode(answer),
        )

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""


class StandinScoring:
    """A host of a scoring service; implements ScoringClient.

    ``unreachable`` refuses connections; ``never_answer_next`` is the number of next calls that
    hang until their timeout.
    """

    def __init__(self, server_id: str, clock: Clock, *, answer_s: float = 0.01) -> None:
        self.server_id = server_id
        self.answer_s = answer_s
        self.unreachable = False
        self.never_answer_next = 0
        self.calls: Counter[str] = Counter()
        self._clock = clock

    async def score(self, request: ScoringRequest, timeout_s: float) -> ScoringResponse:
        """Return ``expected_grade`` of the sample's text."""
        if self.unreachable:
            raise BackendServerUnreachable(f"scoring host {self.server_id} refuses connections")
        self.calls[request.sample_id] += 1
        if self.never_answer_next > 0:
            self.never_answer_next -= 1
            await self._clock.sleep(timeout_s)
            raise BackendServerFailed(f"scoring host {self.server_id} did not respond")
        async with asyncio.timeout(timeout_s):
            await self._clock.sleep(self.answer_s)
        return ScoringResponse(sample_id=request.sample_id, value=expected_grade(request.text))

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""
