"""Tests of the unmodified openai client against a daemon."""

import asyncio
from typing import Any

import openai
import pytest

from loopback import APPLICATION_TOKEN, Loopback, run_loopback
from verbenawind.standins.engine import EngineProfile, expected_token, natural_length

FAST = EngineProfile(tick_s=0.002)
SLOW = EngineProfile(tick_s=0.05, load_lag_s=0.0)
PROMPT = "glue spec of die 7"
UNSUPPORTED: list[tuple[dict[str, Any], str]] = [
    ({"n": 2}, "n:"),
    ({"top_p": 0.5}, "top_p"),
    ({"logprobs": 3}, "logprobs"),
    ({"stop": ["a"] * 5}, "stop"),
    ({"stop": ""}, "stop"),
    ({"max_tokens": 10**9}, "max_tokens"),
    ({"max_tokens": -1}, "max_tokens"),
    ({"max_tokens": 0}, "max_tokens"),
    ({"temperature": 3.0}, "temperature"),
    ({"seed": 2**70}, "seed"),
    ({"prompt": ["a", "b"]}, "prompt"),
    ({"prompt": [1, 2]}, "prompt"),
    ({"prompt": None}, "prompt"),
]
MESSAGES: list[Any] = [{"role": "user", "content": PROMPT}]


def client_of(loopback: Loopback, token: str = APPLICATION_TOKEN) -> openai.AsyncOpenAI:
    """Return an openai client without retries, so that errors are visible."""
    return openai.AsyncOpenAI(api_key=token, base_url=loopback.v1, max_retries=0, timeout=10.0)


def expected_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the text that weight version 0 generates."""
    length = min(max_tokens, natural_length(prompt, seed))
    return "".join(
        f"t{expected_token('tuner', 0, prompt, seed, index)} " for index in range(length)
    )


class TestCompleteResponses:
    def test_completion_and_chat(self) -> None:
        """Both endpoints return the complete text, usage and finish reason."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                response = await client.completions.create(
                    model="tuner", prompt=PROMPT, seed=3, max_tokens=12
                )
                assert response.choices[0].text.split() == expected_text(PROMPT, 3, 12).split()
                assert response.usage is not None
                assert response.usage.completion_tokens == len(response.choices[0].text.split())
                chat = await client.chat.completions.create(
                    model="tuner",
                    messages=[{"role": "user", "content": [{"type": "text", "text": PROMPT}]}],
                    seed=3,
                    max_completion_tokens=12,
                )
                expected = expected_text(f"user: {PROMPT}", 3, 12)
                assert (chat.choices[0].message.content or "").split() == expected.split()
                assert chat.choices[0].finish_reason in ("stop", "length")

        run_loopback(scenario, profile=FAST)

    def test_models(self) -> None:
        """The caller's models are listed and described."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                assert [model.id async for model in client.models.list()] == ["tuner"]
                assert (await client.models.retrieve("tuner")).owned_by == "siam-fold"
                with pytest.raises(openai.NotFoundError):
                    await client.models.retrieve("nothing")

        run_loopback(scenario)

    def test_sync_client(self) -> None:
        """Streaming works with the synchronous client."""

        def ask(base_url: str) -> str:
            with openai.OpenAI(
                api_key=APPLICATION_TOKEN, base_url=base_url, max_retries=0
            ) as client:
                stream = client.completions.create(
                    model="tuner", prompt=PROMPT, seed=5, max_tokens=8, stream=True
                )
                return "".join(chunk.choices[0].text for chunk in stream)

        async def scenario(loopback: Loopback) -> str:
            await loopback.accept()
            return await asyncio.to_thread(ask, loopback.v1)

        text = run_loopback(scenario, profile=FAST)
        assert text.split() == expected_text(PROMPT, 5, 8).split()


class TestStreams:
    def test_chat_stream_with_usage(self) -> None:
        """The chunks add up to the complete text; the last one has the usage."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                stream = await client.chat.completions.create(
                    model="tuner",
                    messages=MESSAGES,
                    seed=1,
                    max_tokens=20,
                    stream=True,
                    stream_options={"include_usage": True},
                )
                chunks = [chunk async for chunk in stream]
            text = "".join(
                chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices
            )
            assert chunks[0].choices[0].delta.role == "assistant"
            assert text.split() == expected_text(f"user: {PROMPT}", 1, 20).split()
            assert chunks[-2].choices[0].finish_reason in ("stop", "length")
            assert chunks[-1].choices == []
            assert chunks[-1].usage is not None
            assert chunks[-1].usage.completion_tokens == len(text.split())

        run_loopback(scenario, profile=FAST)

    def test_error_in_mid_stream_is_raised(self) -> None:
        """If no engine can finish the stream, the client raises and gets no finish reason."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            got = []
            async with client_of(loopback) as client:
                stream = await client.completions.create(
                    model="tuner",
                    prompt=PROMPT,
                    seed=long_seed(),
                    max_tokens=4000,
                    stream=True,
                    extra_headers={"X-Deadline-S": "1.0"},
                )
                with pytest.raises(openai.APIError) as caught:
                    async for chunk in stream:
                        got.append(chunk.choices[0])
                        for engine in loopback.engines:
                            engine.faults.stalled = True
            assert got
            assert all(choice.finish_reason is None for choice in got)
            body: Any = caught.value.body
            assert body["outcome"] == "ran"

        run_loopback(scenario, profile=SLOW)

    def test_stop_sequence_ends_the_text(self) -> None:
        """The text ends before the stop sequence, streamed or not."""
        full_text = expected_text(PROMPT, long_seed(), 40)
        stop = full_text.split()[5]

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                response = await client.completions.create(
                    model="tuner", prompt=PROMPT, seed=long_seed(), max_tokens=40, stop=stop
                )
                assert response.choices[0].finish_reason == "stop"
                assert response.choices[0].text.split() == full_text.split()[:5]
                stream = await client.completions.create(
                    model="tuner",
                    prompt=PROMPT,
                    seed=long_seed(),
                    max_tokens=40,
                    stop=[stop],
                    stream=True,
                )
                text = "".join([chunk.choices[0].text async for chunk in stream])
                assert text.split() == full_text.split()[:5]

        run_loopback(scenario, profile=FAST)


def long_seed() -> int:
    """Return a seed whose generation has more than 80 tokens."""
    return next(seed for seed in range(1000) if natural_length(PROMPT, seed) > 80)


class TestRejections:
    def test_unsupported_values(self) -> None:
        """Unsupported values are rejected with 400 by name and reach no engine."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client() as client:
                for body, expected_name in UNSUPPORTED:
                    request_body = {"model": "tuner", "prompt": "a"} | body
                    response = await client.post(f"{loopback.v1}/completions", json=request_body)
                    error = response.json()["error"]
                    assert (response.status_code, error["outcome"]) == (400, "not_run"), body
                    assert expected_name in error["message"]
            assert not any(engine.started_request_ids for engine in loopback.engines)

        run_loopback(scenario)

    def test_errors_map_to_client_exceptions(self) -> None:
        """Each error raises the matching exception class of the client."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback, "wrong") as client:
                with pytest.raises(openai.AuthenticationError):
                    await client.models.list()
            async with client_of(loopback) as client:
                with pytest.raises(openai.NotFoundError) as missing:
                    await client.completions.create(model="nothing", prompt="a")
                assert missing.value.code == "not_found"
                with pytest.raises(openai.BadRequestError):
                    await client.chat.completions.create(
                        model="tuner", messages=MESSAGES, tools=[{"type": "function"}]
                    )
                with pytest.raises(openai.BadRequestError):
                    await client.chat.completions.create(
                        model="tuner",
                        messages=[
                            {
                                "role": "user",
                                "content": [{"type": "image_url", "image_url": {"url": "x"}}],
                            }
                        ],
                    )

        run_loopback(scenario)


async def wait_for_load(loopback: Loopback, wanted: int) -> None:
    """Wait until the engines run *wanted* generations; the test's timeout bounds it."""
    while True:
        reports = [await engine.status() for engine in loopback.engines]
        if sum(report.running + report.waiting for report in reports) == wanted:
            return
        await asyncio.sleep(0.01)


class TestDisconnect:
    @pytest.mark.parametrize("stream", [True, False])
    def test_disconnect_cancels_the_generation(self, stream: bool) -> None:
        """When the caller disconnects, its generation is cancelled on the engine."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            body = {
                "model": "tuner",
                "prompt": PROMPT,
                "seed": long_seed(),
                "max_tokens": 4000,
                "stream": stream,
            }

            async def ask() -> None:
                async with (
                    loopback.client() as client,
                    client.stream("POST", f"{loopback.v1}/completions", json=body) as response,
                ):
                    async for _ in response.aiter_bytes():
                        pass

            request_task = asyncio.create_task(ask())
            await wait_for_load(loopback, 1)
            request_task.cancel()
            await wait_for_load(loopback, 0)

        run_loopback(scenario, profile=SLOW)
