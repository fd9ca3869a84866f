"""The answers that OpenAI-compatible clients expect, whole and as streams."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Any

import msgspec

from verbenawind.api.errors import error_answer
from verbenawind.api.stop_sequences import StopScanner
from verbenawind.errors import StreamTruncated, VerbenawindError
from verbenawind.kernel.messages import EngineEvent, GenerationEnded

__all__ = ["AnswerForm", "answer_text", "stream_answer", "whole_answer"]

_ENCODER = msgspec.json.Encoder()
_DONE = b"data: [DONE]\n\n"
_STOPPED = "stop"


class AnswerForm:
    """The form of one request's answer.

    Args:
        request_id: Becomes the answer's identifier.
        model: The model that was asked.
        created_s: Unix time of the request, in whole seconds.
        chat: Whether the request was a conversation.
        include_usage: Whether a stream ends with a chunk that gives the usage.
    """

    __slots__ = ("_base", "_chat", "_include_usage", "_middle", "_object", "_prefix", "_suffix")

    def __init__(
        self, request_id: str, model: str, created_s: int, *, chat: bool, include_usage: bool
    ) -> None:
        self._base = {"id": request_id, "created": created_s, "model": model}
        self._chat = chat
        self._include_usage = include_usage
        self._object = "chat.completion.chunk" if chat else "text_completion"
        whole = self._encoded_chunk(self._choice("\x00", None))
        self._prefix, self._suffix = whole.split(_ENCODER.encode("\x00"))

    def token_chunk(self, text: str) -> bytes:
        """Return the event for a stretch of text; only the text itself is encoded."""
        return b"".join((self._prefix, _ENCODER.encode(text), self._suffix))

    def first_chunk(self) -> bytes | None:
        """Return the event that opens a conversation's answer, None for a completion."""
        if not self._chat:
            return None
        delta = {"role": "assistant", "content": ""}
        return self._encoded_chunk({"index": 0, "delta": delta, "finish_reason": None})

    def last_chunks(self, finish_reason: str, token_count: int) -> bytes:
        """Return the events that end a whole answer."""
        chunks = self._encoded_chunk(self._choice(None, finish_reason))
        if self._include_usage:
            chunks += self._encoded_chunk(None, _usage(token_count))
        return chunks + _DONE

    def whole(self, text: str, finish_reason: str, token_count: int) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text, "refusal": None}
        else:
            choice["text"] = text
        kind = "chat.completion" if self._chat else "text_completion"
        return self._base | {"object": kind, "choices": [choice], "usage": _usage(token_count)}

    def _choice(self, text: str | None, finish_reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason, "logprobs": None}
        if self._chat:
            choice["delta"] = {} if text is None else {"content": text}
        else:
            choice["text"] = text or ""
        return choice

    def _encoded_chunk(
        self, choice: dict[str, Any] | None, usage: dict[str, int] | None = None
    ) -> bytes:
        payload = self._base | {"object": self._object, "choices": [choice] if choice else []}
        if self._include_usage:
            payload["usage"] = usage
        return b"data: " + _ENCODER.encode(payload) + b"\n\n"


async def whole_answer(
    form: AnswerForm, events: AsyncGenerator[EngineEvent, None], stops: tuple[str, ...]
) -> dict[str, Any]:
    """Return the body of a whole answer; raises what the generation raises."""
    pieces = []
    ended: tuple[str, int] | None = None
    async with aclosing(answer_text(events, stops)) as parts:
        async for part in parts:
            if isinstance(part, str):
                pieces.append(part)
            else:
                ended = part
    if ended is None:
        raise StreamTruncated("the generation ended without its end mark")
    return form.whole("".join(pieces), *ended)


async def stream_answer(
    form: AnswerForm,
    events: AsyncGenerator[EngineEvent, None],
    stops: tuple[str, ...],
    on_failure: Callable[[VerbenawindError], None],
) -> AsyncGenerator[bytes, None]:
    """Yield the events of a streamed answer.

    What fails before the first piece is raised; later the stream ends with an error event, and
    without the mark that ends a whole answer.
    """
    started = False
    try:
        async with aclosing(answer_text(events, stops)) as pieces:
            async for piece in pieces:
                if not started and (opening := form.first_chunk()) is not None:
                    yield opening
                started = True
                if not isinstance(piece, str):
                    yield form.last_chunks(*piece)
                    return
                if piece:
                    yield form.token_chunk(piece)
        raise StreamTruncated("the generation ended without its end mark")
    except VerbenawindError as error:
        if not started:
            raise
        on_failure(error)
        yield _error_event(error)


async def answer_text(
    events: AsyncGenerator[EngineEvent, None], stops: tuple[str, ...]
) -> AsyncGenerator[str | tuple[str, int], None]:
    """Yield the answer's text in pieces, then its finish reason and token count.

    A stop sequence ends the answer before itself and cancels the rest of the generation.
    """
    scanner = StopScanner(stops)
    token_count = 0
    try:
        async for event in events:
            if isinstance(event, GenerationEnded):
                if held := scanner.finish():
                    yield held
                yield event.finish_reason, event.token_count
                return
            token_count += len(event.token_ids)
            yield scanner.feed(event.text)
            if scanner.stopped:
                yield _STOPPED, token_count
                return
    finally:
        await events.aclose()


def _usage(token_count: int) -> dict[str, int]:
    return {"prompt_tokens": 0, "completion_tokens": token_count, "total_tokens": token_count}


def _error_event(error: VerbenawindError) -> bytes:
    return b"data: " + _ENCODER.encode(error_answer(error)) + b"\n\n"
