"""Keeps answers for a while, so that a caller that reconnects gets the rest."""

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

__all__ = ["Answer", "AnswerKeeper", "HeldAnswer"]

_KEPT_S = 60.0
_KEPT_BYTES = 8 * 1024 * 1024
_EVENT_OVERHEAD_BYTES = 200
_TOKEN_BYTES = 8
_HAND_OVER_CALL = "answer-hand-over"
_ASK_TIMEOUT_S = 0.5
_MAX_ASKED_PEERS = 16


class HeldAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What was generated of an answer, as one daemon hands it over to another."""

    digest: str
    tokens: tuple[TokensGenerated, ...] = ()
    ended: GenerationEnded | None = None


class Answer:
    """One request's answer so far; a reconnect supersedes the run before it.

    Args:
        digest: Of everything that must be the same when the request id comes again.
    """

    __slots__ = (
        "digest",
        "ended",
        "server_id",
        "size_bytes",
        "superseded",
        "token_ids",
        "tokens",
        "until_s",
    )

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.tokens: list[TokensGenerated] = []
        self.token_ids: list[int] = []
        self.ended: GenerationEnded | None = None
        self.server_id: str | None = None
        self.size_bytes = 0
        self.superseded = False
        self.until_s = 0.0

    def add(self, event: EngineEvent) -> None:
        """Append an event that continues the answer.

        Raises:
            BackendServerFailed: Another run of the request has taken over.
        """
        if self.superseded:
            raise BackendServerFailed("the caller reconnected; this run of its request is void")
        if isinstance(event, GenerationEnded):
            self.ended = event
            return
        self.tokens.append(event)
        self.token_ids.extend(event.token_ids)
        self.size_bytes += (
            _EVENT_OVERHEAD_BYTES + len(event.text) + _TOKEN_BYTES * len(event.token_ids)
        )

    def continued(self) -> "Answer":
        """Return a copy for a new run and void this one."""
        copy = Answer(self.digest)
        copy.server_id = self.server_id
        for event in self.tokens:
            copy.add(event)
        copy.ended = self.ended
        self.superseded = True
        return copy


class AnswerKeeper:
    """Finds answers by request id, here and at peers, bounded in time and bytes.

    Args:
        clock: Time source.
        peers: The other daemons.
        fleet: Says which zone this is; its daemons are asked first.
    """

    __slots__ = ("_answers", "_clock", "_fleet", "_kept_bytes", "_peers")

    def __init__(self, clock: Clock, peers: PeerBus, fleet: Fleet) -> None:
        self._clock = clock
        self._peers = peers
        self._fleet = fleet
        self._answers: OrderedDict[str, Answer] = OrderedDict()
        self._kept_bytes = 0
        peers.on_call(_HAND_OVER_CALL, self._answer_hand_over)

    async def open(self, request: GenerateRequest) -> Answer:
        """Return the answer to continue: an empty one unless the request is known.

        Raises:
            InvalidRequest: The request id was used for another request.
        """
        key, digest = _key(request), _digest(request)
        known = self._answers.pop(key, None)
        if known is not None:
            self._forget_bytes(known)
            if known.digest != digest:
                self._answers[key] = known
                raise InvalidRequest(
                    f"request id {request.request_id!r} of caller {request.caller!r} "
                    "was used for another request"
                )
            answer = known.continued()
        elif request.reconnect:
            answer = await self._ask_peers(key, digest)
        else:
            answer = Answer(digest)
        answer.until_s = float("inf")
        self._answers[key] = answer
        return answer

    def close(self, request: GenerateRequest, answer: Answer) -> None:
        """Keep an answer whose run is over for a while."""
        key = _key(request)
        if self._answers.get(key) is not answer:
            return
        answer.until_s = self._clock.monotonic_s() + _KEPT_S
        self._kept_bytes += answer.size_bytes
        self._answers.move_to_end(key)
        self._drop_old()

    def forget(self, request: GenerateRequest, answer: Answer) -> None:
        """Drop an answer that nothing can be continued from."""
        if self._answers.get(_key(request)) is answer:
            del self._answers[_key(request)]

    async def _ask_peers(self, key: str, digest: str) -> Answer:
        peers = sorted(self._peers.peers(), key=self._far)[:_MAX_ASKED_PEERS]
        replies = await asyncio.gather(*(self._ask(peer, key, digest) for peer in peers))
        answer = Answer(digest)
        held = max(
            (reply for reply in replies if reply is not None),
            key=lambda reply: (reply.ended is not None, len(reply.tokens)),
            default=None,
        )
        if held is not None and held.digest == digest:
            for event in held.tokens:
                answer.add(event)
            answer.ended = held.ended
        return answer

    async def _ask(self, peer: Peer, key: str, digest: str) -> HeldAnswer | None:
        body = msgspec.json.encode((key, digest))
        with contextlib.suppress(PeerUnreachable):
            reply = await self._peers.call(peer.peer_id, _HAND_OVER_CALL, body, _ASK_TIMEOUT_S)
            return msgspec.json.decode(reply, type=HeldAnswer | None)
        return None

    async def _answer_hand_over(self, body: bytes) -> bytes:
        key, digest = msgspec.json.decode(body, type=tuple[str, str])
        answer = self._answers.get(key)
        if answer is None or answer.digest != digest:
            return msgspec.json.encode(None)
        del self._answers[key]
        self._forget_bytes(answer)
        answer.superseded = True
        return msgspec.json.encode(
            HeldAnswer(digest=answer.digest, tokens=tuple(answer.tokens), ended=answer.ended)
        )

    def _far(self, peer: Peer) -> tuple[bool, str]:
        return peer.location.zone != self._fleet.location.zone, peer.peer_id

    def _forget_bytes(self, answer: Answer) -> None:
        if answer.until_s != float("inf"):
            self._kept_bytes -= answer.size_bytes

    def _drop_old(self) -> None:
        now_s = self._clock.monotonic_s()
        for key, answer in list(self._answers.items()):
            if answer.until_s == float("inf"):
                continue
            if answer.until_s > now_s and self._kept_bytes <= _KEPT_BYTES:
                return
            del self._answers[key]
            self._forget_bytes(answer)


def _key(request: GenerateRequest) -> str:
    return f"{request.environment}/{request.caller}/{request.request_id}"


def _digest(request: GenerateRequest) -> str:
    parts = (request.model, request.prompt, request.max_tokens, request.temperature)
    return digest_hex(msgspec.json.encode(parts))
