"""Lets requests in: shutdown and the callers' own limits, before anything else is done."""

import asyncio

from verbenawind.clock import Clock
from verbenawind.document import CallerSpec, EnvironmentDocument
from verbenawind.errors import Draining
from verbenawind.kernel.messages import WorkKind
from verbenawind.kernel.ports import Configuration, PeerBus
from verbenawind.routing.callers import CallerLimits

__all__ = ["Admission"]

_DRAIN_RETRY_AFTER_S = 1.0


class Admission:
    """Counts requests in and out, and refuses them while the daemon shuts down.

    Args:
        configuration: The documents in force.
        peers: The other daemons.
        clock: Time source.
    """

    __slots__ = ("_active", "_callers", "_clock", "_configuration", "_idle", "_peers", "draining")

    def __init__(self, configuration: Configuration, peers: PeerBus, clock: Clock) -> None:
        self._configuration = configuration
        self._peers = peers
        self._clock = clock
        self._callers = CallerLimits()
        self._active = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self.draining = False

    def enter(self, environment: str, caller: str, kind: WorkKind) -> CallerSpec | None:
        """Count a request in and return the caller whose limits it counts against.

        Raises:
            Draining: The daemon is shutting down.
            RateLimited: The caller's rate or concurrency is exceeded.
        """
        if self.draining:
            raise Draining(
                f"daemon {self._peers.peer_id} is shutting down", retry_after_s=_DRAIN_RETRY_AFTER_S
            )
        spec = self._caller_spec(environment, caller) if kind is WorkKind.APPLICATION else None
        if spec is not None:
            daemons = len(self._peers.peers()) + 1
            self._callers.enter(environment, spec, daemons, self._clock.monotonic_s())
        self._active += 1
        self._idle.clear()
        return spec

    def leave(self, environment: str, spec: CallerSpec | None) -> None:
        """Count a request out."""
        if spec is not None:
            self._callers.leave(environment, spec.name)
        self._active -= 1
        if not self._active:
            self._idle.set()

    async def drain(self) -> None:
        """Refuse new requests and return once every request in flight has ended."""
        self.draining = True
        await self._idle.wait()

    def document(self, environment: str) -> EnvironmentDocument | None:
        """Return the document in force of an environment given as ``name/stage``."""
        name, _, stage = environment.partition("/")
        revision = self._configuration.current(name, stage)
        return revision.document if revision else None

    def _caller_spec(self, environment: str, caller: str) -> CallerSpec | None:
        document = self.document(environment)
        if document is None:
            return None
        return next((spec for spec in document.callers if spec.name == caller), None)
