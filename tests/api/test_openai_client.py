"""Tests that the openai client works unchanged against a daemon."""

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
    """Return an openai client that retries nothing, so that errors show."""
    return openai.AsyncOpenAI(api_key=token, base_url=loopback.v1, max_retries=0, timeout=10.0)


def expected_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the text that version 0 generates."""
    length = min(max_tokens, natural_length(prompt, seed))
    return "".join(
        f"t{expected_token('tuner', 0, prompt, seed, index)} " for index in range(length)
    )


class TestWholeAnswers:
    def test_completion_and_chat(self) -> None:
        """Both endpoints give the whole text, the usage and the finish reason."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                answer = await client.completions.create(
                    model="tuner", prompt=PROMPT, seed=3, max_tokens=12
                )
                assert answer.choices[0].text.split() == expected_text(PROMPT, 3, 12).split()
                assert answer.usage is not None
                assert answer.usage.completion_tokens == len(answer.choices[0].text.split())
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
        """The models that the caller may use are listed and described."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                assert [model.id async for model in client.models.list()] == ["tuner"]
                assert (await client.models.retrieve("tuner")).owned_by == "siam-fold"
                with pytest.raises(openai.NotFoundError):
                    await client.models.retrieve("nothing")

        run_loopback(scenario)

    def test_sync_client(self) -> None:
        """The synchronous client streams too."""

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
        """The pieces make up the whole text; the last chunk gives the usage."""

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

    def test_error_in_the_middle_is_raised(self) -> None:
        """When no engine can end the answer the client raises; nothing looks whole."""

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

    def test_stop_sequence_ends_the_answer(self) -> None:
        """The text ends before the stop sequence, streamed or not."""
        whole = expected_text(PROMPT, long_seed(), 40)
        stop = whole.split()[5]

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with client_of(loopback) as client:
                answer = await client.completions.create(
                    model="tuner", prompt=PROMPT, seed=long_seed(), max_tokens=40, stop=stop
                )
                assert answer.choices[0].finish_reason == "stop"
                assert answer.choices[0].text.split() == whole.split()[:5]
                stream = await client.completions.create(
                    model="tuner",
                    prompt=PROMPT,
                    seed=long_seed(),
                    max_tokens=40,
                    stop=[stop],
                    stream=True,
                )
                text = "".join([chunk.choices[0].text async for chunk in stream])
                assert text.split() == whole.split()[:5]

        run_loopback(scenario, profile=FAST)


def long_seed() -> int:
    """Return a seed whose generation is long."""
    return next(seed for seed in range(1000) if natural_length(PROMPT, seed) > 80)


class TestRefusals:
    def test_unsupported_values(self) -> None:
        """What isn't supported is refused as bad request, and named; no engine hears of it."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client() as client:
                for body, named in UNSUPPORTED:
                    whole = {"model": "tuner", "prompt": "a"} | body
                    answer = await client.post(f"{loopback.v1}/completions", json=whole)
                    error = answer.json()["error"]
                    assert (answer.status_code, error["outcome"]) == (400, "not_run"), body
                    assert named in error["message"]
            assert not any(engine.started_request_ids for engine in loopback.engines)

        run_loopback(scenario)

    def test_errors_are_the_clients_own(self) -> None:
        """Each refusal reaches the client as the class it knows for it."""

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


async def until_load(loopback: Loopback, wanted: int) -> None:
    """Wait until the engines run *wanted* generations; the test's timeout bounds it."""
    while True:
        reports = [await engine.status() for engine in loopback.engines]
        if sum(report.running + report.waiting for report in reports) == wanted:
            return
        await asyncio.sleep(0.01)


class TestDisconnect:
    @pytest.mark.parametrize("stream", [True, False])
    def test_caller_that_goes_away_frees_the_engine(self, stream: bool) -> None:
        """When the caller closes its connection its generation is cancelled on the engine."""

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
                    client.stream("POST", f"{loopback.v1}/completions", json=body) as answer,
                ):
                    async for _ in answer.aiter_bytes():
                        pass

            asking = asyncio.create_task(ask())
            await until_load(loopback, 1)
            asking.cancel()
            await until_load(loopback, 0)

        run_loopback(scenario, profile=SLOW)
