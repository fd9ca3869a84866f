"""Tests of streamed completion responses."""

import asyncio
import gc
from collections.abc import AsyncGenerator
from typing import Any

from verbenawind.api.completion_responses import CompletionFormatter, stream_response
from verbenawind.kernel.messages import EngineEvent, GenerationEnded, TokensGenerated


async def generation() -> AsyncGenerator[EngineEvent, None]:
    """Yield one token and the end; closing takes 10 ms."""
    try:
        yield TokensGenerated(attempt_id="a", start=0, token_ids=(1,), text="t", version=0)
        yield GenerationEnded(attempt_id="a", token_count=1, finish_reason="stop")
    finally:
        await asyncio.sleep(0.01)


class TestStreamResponse:
    def test_generators_are_closed_in_order(self) -> None:
        """The end of a stream closes the generation without errors in the event loop.

        A generator left to the garbage collector is closed in a task of its own, which fails if
        the generator is still running.
        """
        faults: list[dict[str, Any]] = []

        async def stream() -> list[bytes]:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: faults.append(context))
            form = CompletionFormatter("r", "tuner", 0, chat=False, include_usage=False)
            chunks = [c async for c in stream_response(form, generation(), (), lambda _: None)]
            gc.collect()
            await asyncio.sleep(0.1)
            gc.collect()
            return chunks

        assert asyncio.run(stream())[-1].endswith(b"data: [DONE]\n\n")
        assert faults == []
