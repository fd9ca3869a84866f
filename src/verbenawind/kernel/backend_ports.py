"""Ports towards backend servers: engines, plain services and scoring services."""

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
    """One model engine.

    Every method raises BackendServerUnreachable when no byte of the call reached the engine,
    and BackendServerFailed when it failed later.
    """

    def generate(self, attempt: GenerationAttempt) -> AsyncGenerator[EngineEvent, None]:
        """Stream the tokens that follow the held ones, then one GenerationEnded.

        Closing the generator cancels the generation. Raises AdmissionRefused when the engine
        refused to start it and StreamTruncated when the end mark is missing.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; unknown attempts are ignored."""

    async def status(self) -> EngineStatus:
        """Return what the engine reports of itself."""

    async def order(self, order: EngineOrder) -> EngineStatus:
        """Carry out an order and return the status after it.

        Raises FencingRefused when the engine checks fencing numbers and knows a higher one.
        """

    async def cache_events(self, position: int) -> CacheEvents:
        """Return the prefix-cache events after *position*."""

    async def export_cache(self, attempt_id: str) -> bytes:
        """Return the KV cache of a running attempt."""

    async def import_cache(self, attempt_id: str, cache: bytes) -> None:
        """Load a KV cache that a later attempt called *attempt_id* will use."""

    async def aclose(self) -> None:
        """Close the connections to the engine."""


class ServiceClient(Protocol):
    """One host of a plain service; raises as EngineClient does."""

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send the request once and return the whole answer."""

    async def aclose(self) -> None:
        """Close the connections to the service."""


class ScoringClient(Protocol):
    """One host of a scoring service; raises as EngineClient does."""

    async def score(self, request: ScoringRequest, timeout_s: float) -> ScoringResponse:
        """Return the grade of one sample."""

    async def aclose(self) -> None:
        """Close the connections to the scoring service."""


class BackendClients(Protocol):
    """Gives the client of a backend server, one for each server and incarnation."""

    def engine(self, server: BackendServer) -> EngineClient:
        """Return the client of an engine."""

    def service(self, server: BackendServer) -> ServiceClient:
        """Return the client of a plain service's host."""

    def scoring(self, server: BackendServer) -> ScoringClient:
        """Return the client of a scoring service's host."""
