"""Retains generated tokens for a time, so that a reconnecting caller can resume its stream."""

import asyncio
import contextlib
from collections import OrderedDict

import msgspec

from verbenawind.clock import Clock
from verbenawind.errors import BackendServerFailed, InvalidRequest, PeerUnreachable
from verbenawind.ids import digest_hex
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import (
    EngineEvent,
    GenerateRequest,
    GenerationEnded,
    TokensGenerated,
)
from verbenawind.kernel.ports import Peer, PeerBus

__all__ = ["Generation", "GenerationCache", "HandedOverGeneration"]

_RETENTION_S = 60.0
_MAX_RETAINED_BYTES = 8 * 1024 * 1024
_EVENT_OVERHEAD_BYTES = 200
_TOKEN_BYTES = 8
_HAND_OVER_CALL = "answer-hand-over"
_HAND_OVER_TIMEOUT_S = 0.5
_MAX_QUERIED_PEERS = 16


class HandedOverGeneration(msgspec.Struct, frozen=True, kw_only=True):
    """The events of a generation so far, as one daemon hands them over to another."""

    digest: str
    tokens: tuple[TokensGenerated, ...] = ()
    ended: GenerationEnded | None = None


class Generation:
    """The events generated so far for one request.

    When the caller reconnects, a new run of the request supersedes the previous one.

    Args:
        digest: Digest of everything that must match when the request id is reused.
    """

    __slots__ = (
        "digest",
        "ended",
        "expires_at_s",
        "server_id",
        "size_bytes",
        "superseded",
        "token_events",
        "token_ids",
    )

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.token_events: list[TokensGenerated] = []
        self.token_ids: list[int] = []
        self.ended: GenerationEnded | None = None
        self.server_id: str | None = None
        self.size_bytes = 0
        self.superseded = False
        self.expires_at_s = 0.0

    def add(self, event: EngineEvent) -> None:
        """Append the next event.

        Raises:
            BackendServerFailed: A later run of the request has superseded this one.
        """
        if self.superseded:
            raise BackendServerFailed(
                "the caller reconnected; a later run of its request supersedes this one"
            )
        if isinstance(event, GenerationEnded):
            self.ended = event
            return
        self.token_events.append(event)
        self.token_ids.extend(event.token_ids)
        self.size_bytes += (
            _EVENT_OVERHEAD_BYTES + len(event.text) + _TOKEN_BYTES * len(event.token_ids)
        )

    def supersede(self) -> "Generation":
        """Return a copy for a new run and mark this one as superseded."""
        successor = Generation(self.digest)
        successor.server_id = self.server_id
        for event in self.token_events:
            successor.add(event)
        successor.ended = self.ended
        self.superseded = True
        return successor


class GenerationCache:
    """Looks up generations by request id, at this daemon and its peers.

    Finished runs are retained for a bounded time and up to a bounded number of bytes.

    Args:
        clock: Time source.
        peers: The other daemons.
        fleet: Provides the zone of this daemon; daemons of the same zone are queried first.
    """

    __slots__ = ("_clock", "_fleet", "_generations", "_peers", "_retained_bytes")

    def __init__(self, clock: Clock, peers: PeerBus, fleet: Fleet) -> None:
        self._clock = clock
        self._peers = peers
        self._fleet = fleet
        self._generations: OrderedDict[str, Generation] = OrderedDict()
        self._retained_bytes = 0
        peers.on_call(_HAND_OVER_CALL, self._on_hand_over_call)

    async def open(self, request: GenerateRequest) -> Generation:
        """Return the generation to continue, empty if none is retained for the request.

        Peers are queried only if the caller says that it reconnects.

        Raises:
            InvalidRequest: The request id was used for a different request.
        """
        key, digest = _key(request), _digest(request)
        cached = self._generations.pop(key, None)
        if cached is not None:
            self._subtract_bytes(cached)
            if cached.digest != digest:
                self._generations[key] = cached
                raise InvalidRequest(
                    f"request id {request.request_id!r} of caller {request.caller!r} "
                    "was already used for a different request"
                )
            generation = cached.supersede()
        elif request.reconnect:
            generation = await self._fetch_from_peers(key, digest)
        else:
            generation = Generation(digest)
        generation.expires_at_s = float("inf")
        self._generations[key] = generation
        return generation

    def close(self, request: GenerateRequest, generation: Generation) -> None:
        """Retain the generation of a run that has ended, for a bounded time."""
        key = _key(request)
        if self._generations.get(key) is not generation:
            return
        generation.expires_at_s = self._clock.monotonic_s() + _RETENTION_S
        self._retained_bytes += generation.size_bytes
        self._generations.move_to_end(key)
        self._evict()

    def discard(self, request: GenerateRequest, generation: Generation) -> None:
        """Remove a generation that must not be resumed or replayed."""
        if self._generations.get(_key(request)) is generation:
            del self._generations[_key(request)]

    async def _fetch_from_peers(self, key: str, digest: str) -> Generation:
        peers = sorted(self._peers.peers(), key=self._proximity_key)[:_MAX_QUERIED_PEERS]
        replies = await asyncio.gather(
            *(self._fetch_from_peer(peer, key, digest) for peer in peers)
        )
        generation = Generation(digest)
        handed_over = max(
            (reply for reply in replies if reply is not None),
            key=lambda reply: (reply.ended is not None, len(reply.tokens)),
            default=None,
        )
        if handed_over is not None and handed_over.digest == digest:
            for event in handed_over.tokens:
                generation.add(event)
            generation.ended = handed_over.ended
        return generation

    async def _fetch_from_peer(
        self, peer: Peer, key: str, digest: str
    ) -> HandedOverGeneration | None:
        body = msgspec.json.encode((key, digest))
        with contextlib.suppress(PeerUnreachable):
            reply = await self._peers.call(
                peer.peer_id, _HAND_OVER_CALL, body, _HAND_OVER_TIMEOUT_S
            )
            return msgspec.json.decode(reply, type=HandedOverGeneration | None)
        return None

    async def _on_hand_over_call(self, body: bytes) -> bytes:
        key, digest = msgspec.json.decode(body, type=tuple[str, str])
        generation = self._generations.get(key)
        if generation is None or generation.digest != digest:
            return msgspec.json.encode(None)
        del self._generations[key]
        self._subtract_bytes(generation)
        generation.superseded = True
        return msgspec.json.encode(
            HandedOverGeneration(
                digest=generation.digest,
                tokens=tuple(generation.token_events),
                ended=generation.ended,
            )
        )

    def _proximity_key(self, peer: Peer) -> tuple[bool, str]:
        return peer.location.zone != self._fleet.location.zone, peer.peer_id

    def _subtract_bytes(self, generation: Generation) -> None:
        if generation.expires_at_s != float("inf"):
            self._retained_bytes -= generation.size_bytes

    def _evict(self) -> None:
        now_s = self._clock.monotonic_s()
        for key, generation in list(self._generations.items()):
            if generation.expires_at_s == float("inf"):
                continue
            if generation.expires_at_s > now_s and self._retained_bytes <= _MAX_RETAINED_BYTES:
                return
            del self._generations[key]
            self._subtract_bytes(generation)


def _key(request: GenerateRequest) -> str:
    return f"{request.environment}/{request.caller}/{request.request_id}"


def _digest(request: GenerateRequest) -> str:
    parts = (request.model, request.prompt, request.max_tokens, request.temperature)
    return digest_hex(msgspec.json.encode(parts))
