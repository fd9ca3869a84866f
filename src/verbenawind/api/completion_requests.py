"""OpenAI-compatible request bodies and the checks for supported options."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from verbenawind.errors import InvalidRequest

__all__ = ["ChatRequest", "CompletionRequest", "GenerationOptions"]

_DEFAULT_MAX_TOKENS = 256
_MAX_STOPS = 4
_MAX_STOP_LENGTH = 256

Temperature = Annotated[float, Meta(ge=0.0, le=2.0)]
Seed = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]


class _StreamOptions(msgspec.Struct, frozen=True):
    include_usage: bool = False


class GenerationOptions(msgspec.Struct, frozen=True, kw_only=True):
    """The options shared by both request types; unknown fields are ignored.

    A field typed as a literal is not supported: only its neutral value is accepted.
    """

    model: str
    max_tokens: Annotated[int, Meta(ge=1)] | None = None
    temperature: Temperature | None = None
    seed: Seed | None = None
    stop: str | list[str] | None = None
    stream: bool | None = None
    stream_options: _StreamOptions | None = None
    n: int | None = None
    top_p: float | None = None
    frequency_penalty: float | None = None
    presence_penalty: float | None = None
    logit_bias: dict[str, float] | None = None
    logprobs: bool | int | None = None

    def check(self, max_tokens_limit: int) -> None:
        """Raise InvalidRequest for an unsupported option or a value above its limit."""
        if self.n not in (None, 1):
            raise InvalidRequest(f"n: {self.n} is not supported, only 1")
        if self.top_p not in (None, 1, 1.0):
            raise InvalidRequest(f"top_p: {self.top_p} is not supported, only 1")
        for name in ("frequency_penalty", "presence_penalty", "logit_bias", "logprobs"):
            if getattr(self, name):
                raise InvalidRequest(f"{name}: {getattr(self, name)!r} is not supported")
        if self.token_limit() > max_tokens_limit:
            raise InvalidRequest(
                f"max_tokens: {self.token_limit()} exceeds the daemon's max_tokens_per_generation, "
                f"{max_tokens_limit}"
            )
        stop_texts = self.stop_texts()
        if len(stop_texts) > _MAX_STOPS or any(
            not 0 < len(s) <= _MAX_STOP_LENGTH for s in stop_texts
        ):
            raise InvalidRequest(
                f"stop: only up to {_MAX_STOPS} strings of 1 to {_MAX_STOP_LENGTH} characters"
            )

    def token_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_tokens or _DEFAULT_MAX_TOKENS

    def stop_texts(self) -> tuple[str, ...]:
        """Return the stop sequences."""
        if self.stop is None:
            return ()
        return (self.stop,) if isinstance(self.stop, str) else tuple(self.stop)

    def includes_usage(self) -> bool:
        """Return whether a stream ends with a usage chunk."""
        return self.stream_options is not None and self.stream_options.include_usage


class CompletionRequest(GenerationOptions, frozen=True, kw_only=True):
    """The body of ``completions``."""

    prompt: str | list[Any]
    echo: Literal[False] | None = None
    suffix: Literal[""] | None = None
    best_of: Literal[1] | None = None

    def prompt_text(self) -> str:
        """Return the prompt; raise InvalidRequest unless it is a single string."""
        if isinstance(self.prompt, str):
            return self.prompt
        if len(self.prompt) == 1 and isinstance(self.prompt[0], str):
            return self.prompt[0]
        raise InvalidRequest("prompt: only a single string is supported, not several or token IDs")


class _Part(msgspec.Struct, frozen=True):
    type: str
    text: str = ""


class _Message(msgspec.Struct, frozen=True):
    role: Literal["system", "developer", "user", "assistant"]
    content: str | list[_Part] | None = None


class _ResponseFormat(msgspec.Struct, frozen=True):
    type: Literal["text"]


class ChatRequest(GenerationOptions, frozen=True, kw_only=True):
    """The body of ``chat/completions``."""

    messages: Annotated[list[_Message], Meta(min_length=1)]
    max_completion_tokens: Annotated[int, Meta(ge=1)] | None = None
    tools: list[Any] | None = None
    functions: list[Any] | None = None
    response_format: _ResponseFormat | None = None

    def check(self, max_tokens_limit: int) -> None:
        """Raise InvalidRequest for an unsupported option or a value above its limit."""
        super().check(max_tokens_limit)
        if self.tools or self.functions:
            raise InvalidRequest("tools: tool calls are not supported")

    def token_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_completion_tokens or super().token_limit()

    def prompt_text(self) -> str:
        """Return the conversation as one prompt; raise InvalidRequest for parts other than text."""
        return "\n".join(
            f"{message.role}: {_content_text(index, message)}"
            for index, message in enumerate(self.messages)
        )


def _content_text(index: int, message: _Message) -> str:
    if message.content is None or isinstance(message.content, str):
        return message.content or ""
    for part in message.content:
        if part.type != "text":
            raise InvalidRequest(
                f"messages[{index}].content: parts of type {part.type!r} are not supported"
            )
    return "".join(part.text for part in message.content)
