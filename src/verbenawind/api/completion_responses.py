"""OpenAI-compatible responses, complete or streamed."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Any

import msgspec

from verbenawind.api.errors import error_body
from verbenawind.api.stop_sequences import StopSequenceScanner
from verbenawind.errors import StreamTruncated, VerbenawindError
from verbenawind.kernel.messages import EngineEvent, GenerationEnded

__all__ = ["CompletionFormatter", "collect_response", "generated_text", "stream_response"]

_ENCODER = msgspec.json.Encoder()
_DONE_EVENT = b"data: [DONE]\n\n"
_FINISH_REASON_STOP = "stop"


class CompletionFormatter:
    """Formats the response to one request.

    Args:
        request_id: The identifier of the response.
        model: The requested model.
        created_s: Unix time of the request, in whole seconds.
        chat: Whether the response is a chat completion.
        include_usage: Whether a stream ends with a usage chunk.
    """

    __slots__ = ("_base", "_chat", "_include_usage", "_middle", "_object", "_prefix", "_suffix")

    def __init__(
        self, request_id: str, model: str, created_s: int, *, chat: bool, include_usage: bool
    ) -> None:
        self._base = {"id": request_id, "created": created_s, "model": model}
        self._chat = chat
        self._include_usage = include_usage
        self._object = "chat.completion.chunk" if chat else "text_completion"
        response_body = self._encode_chunk(self._choice("\x00", None))
        self._prefix, self._suffix = response_body.split(_ENCODER.encode("\x00"))

    def text_chunk(self, text: str) -> bytes:
        """Return the event for a piece of text; the JSON around it is encoded once per request."""
        return b"".join((self._prefix, _ENCODER.encode(text), self._suffix))

    def first_chunk(self) -> bytes | None:
        """Return the role event that starts a chat stream, or None for a completion."""
        if not self._chat:
            return None
        delta = {"role": "assistant", "content": ""}
        return self._encode_chunk({"index": 0, "delta": delta, "finish_reason": None})

    def final_chunks(self, finish_reason: str, token_count: int) -> bytes:
        """Return the events that end a complete stream."""
        chunks = self._encode_chunk(self._choice(None, finish_reason))
        if self._include_usage:
            chunks += self._encode_chunk(None, _usage(token_count))
        return chunks + _DONE_EVENT

    def response_body(self, text: str, finish_reason: str, token_count: int) -> dict[str, Any]:
        """Return the body of a response that is not streamed."""
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

    def _encode_chunk(
        self, choice: dict[str, Any] | None, usage: dict[str, int] | None = None
    ) -> bytes:
        payload = self._base | {"object": self._object, "choices": [choice] if choice else []}
        if self._include_usage:
            payload["usage"] = usage
        return b"data: " + _ENCODER.encode(payload) + b"\n\n"


async def collect_response(
    formatter: CompletionFormatter,
    events: AsyncGenerator[EngineEvent, None],
    stop_texts: tuple[str, ...],
) -> dict[str, Any]:
    """Collect the generation and return the response body; errors of the generation propagate."""
    pieces = []
    ending: tuple[str, int] | None = None
    async with aclosing(generated_text(events, stop_texts)) as parts:
        async for part in parts:
            if isinstance(part, str):
                pieces.append(part)
            else:
                ending = part
    if ending is None:
        raise StreamTruncated("the generation ended without a finish reason")
    return formatter.response_body("".join(pieces), *ending)


async def stream_response(
    formatter: CompletionFormatter,
    events: AsyncGenerator[EngineEvent, None],
    stop_texts: tuple[str, ...],
    on_failure: Callable[[VerbenawindError], None],
) -> AsyncGenerator[bytes, None]:
    """Yield the events of a streamed response.

    An error before the first piece is raised. A later one ends the stream with an error event and
    without ``[DONE]``, so that clients do not take the stream for complete.
    """
    started = False
    try:
        async with aclosing(generated_text(events, stop_texts)) as pieces:
            async for piece in pieces:
                if not started and (opening := formatter.first_chunk()) is not None:
                    yield opening
                started = True
                if not isinstance(piece, str):
                    yield formatter.final_chunks(*piece)
                    return
                if piece:
                    yield formatter.text_chunk(piece)
        raise StreamTruncated("the generation ended without a finish reason")
    except VerbenawindError as error:
        if not started:
            raise
        on_failure(error)
        yield _error_event(error)


async def generated_text(
    events: AsyncGenerator[EngineEvent, None], stop_texts: tuple[str, ...]
) -> AsyncGenerator[str | tuple[str, int], None]:
    """Yield the generated text in pieces, then the finish reason and token count.

    A stop sequence is left out of the text and cancels the rest of the generation.
    """
    scanner = StopSequenceScanner(stop_texts)
    token_count = 0
    try:
        async for event in events:
            if isinstance(event, GenerationEnded):
                if remaining_text := scanner.finish():
                    yield remaining_text
                yield event.finish_reason, event.token_count
                return
            token_count += len(event.token_ids)
            yield scanner.feed(event.text)
            if scanner.stopped:
                yield _FINISH_REASON_STOP, token_count
                return
    finally:
        await events.aclose()


def _usage(token_count: int) -> dict[str, int]:
    return {"prompt_tokens": 0, "completion_tokens": token_count, "total_tokens": token_count}


def _error_event(error: VerbenawindError) -> bytes:
    return b"data: " + _ENCODER.encode(error_body(error)) + b"\n\n"
