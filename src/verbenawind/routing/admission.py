"""Admission control: refuses requests during shutdown or beyond the caller's limits."""

import asyncio

from verbenawind.clock import Clock
from verbenawind.document import CallerSpec, EnvironmentDocument
from verbenawind.errors import Draining
from verbenawind.kernel.messages import WorkKind
from verbenawind.kernel.ports import Configuration, PeerBus
from verbenawind.routing.caller_limits import CallerLimits

__all__ = ["Admission"]

_DRAIN_RETRY_AFTER_S = 1.0


class Admission:
    """Tracks requests in flight and refuses new ones while the daemon shuts down.

    Args:
        configuration: Provides the current documents.
        peers: The other daemons.
        clock: Time source.
    """

    __slots__ = (
        "_callers",
        "_clock",
        "_configuration",
        "_idle",
        "_in_flight",
        "_peers",
        "draining",
    )

    def __init__(self, configuration: Configuration, peers: PeerBus, clock: Clock) -> None:
        self._configuration = configuration
        self._peers = peers
        self._clock = clock
        self._callers = CallerLimits()
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.draining = False

    def admit(self, environment: str, caller: str, kind: WorkKind) -> CallerSpec | None:
        """Admit a request and return the caller whose limits it counts against, if any.

        Raises:
            Draining: The daemon is shutting down.
            RateLimited: The caller has exceeded its request rate or concurrency.
        """
        if self.draining:
            raise Draining(
                f"daemon {self._peers.peer_id} is shutting down", retry_after_s=_DRAIN_RETRY_AFTER_S
            )
        spec = self._caller_spec(environment, caller) if kind is WorkKind.APPLICATION else None
        if spec is not None:
            daemons = len(self._peers.peers()) + 1
            self._callers.admit(environment, spec, daemons, self._clock.monotonic_s())
        self._in_flight += 1
        self._idle.clear()
        return spec

    def release(self, environment: str, spec: CallerSpec | None) -> None:
        """Record that an admitted request has ended."""
        if spec is not None:
            self._callers.release(environment, spec.name)
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    async def drain(self) -> None:
        """Refuse new requests and return once every request in flight has ended."""
        self.draining = True
        await self._idle.wait()

    def document(self, environment: str) -> EnvironmentDocument | None:
        """Return the current document of an environment given as ``name/stage``."""
        name, _, stage = environment.partition("/")
        revision = self._configuration.current(name, stage)
        return revision.document if revision else None

    def _caller_spec(self, environment: str, caller: str) -> CallerSpec | None:
        document = self.document(environment)
        if document is None:
            return None
        return next((spec for spec in document.callers if spec.name == caller), None)
