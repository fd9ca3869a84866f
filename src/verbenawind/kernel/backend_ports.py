"""Ports for backend servers: engines, plain services and scoring services."""

from collections.abc import AsyncGenerator
from typing import Protocol

from verbenawind.kernel.messages import (
    BackendServer,
    CacheEvents,
    EngineEvent,
    EngineOrder,
    EngineStatus,
    GenerationAttempt,
    ScoringRequest,
    ScoringResponse,
    ServiceRequest,
    ServiceResponse,
)

__all__ = ["BackendClients", "EngineClient", "ScoringClient", "ServiceClient"]


class EngineClient(Protocol):
    """The client of one model engine.

    Every method raises BackendServerUnreachable if no byte of the request reached the engine, and
    BackendServerFailed if the call failed after that.
    """

    def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream the tokens that follow the attempt's held tokens, then one GenerationEnded.

        Closing the generator cancels the generation. Raises AdmissionRefused if the engine refuses
        to start it, and StreamTruncated if the stream ends without its end marker.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; unknown attempts are ignored."""

    async def status(self) -> EngineStatus:
        """Return the engine's reported status."""

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Execute an order and return the engine's resulting status.

        Raises FencingRefused if the engine checks fencing numbers and has seen a higher one.
        """

    async def cache_events(self, position: int) -> CacheEvents:
        """Return the prefix-cache events after *position*."""

    async def export_cache(self, attempt_id: str) -> bytes:
        """Return the KV cache of a running attempt."""

    async def import_cache(self, attempt_id: str, cache: bytes) -> None:
        """Load a KV cache for a later attempt with the id *attempt_id*."""

    async def aclose(self) -> None:
        """Close the connections to the engine."""


class ServiceClient(Protocol):
    """The client of one host of a plain service; raises the same errors as EngineClient."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send the request once and return the complete response."""

    async def aclose(self) -> None:
        """Close the connections to the service."""


class ScoringClient(Protocol):
    """The client of one host of a scoring service; raises the same errors as EngineClient."""

    async def score(self, request: ScoringRequest, timeout_s: float) -> ScoringResponse:
        """Return the grade of one sample."""

    async def aclose(self) -> None:
        """Close the connections to the scoring service."""


class BackendClients(Protocol):
    """Provides one client for each backend server."""

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain service host."""

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring service host."""
