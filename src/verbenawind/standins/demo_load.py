"""The demonstration's application callers, which retry depending on the outcome in the error."""

import asyncio
from collections.abc import Sequence

import httpx
import msgspec

from verbenawind.api.errors import ErrorBody
from verbenawind.errors import Outcome
from verbenawind.standins.demo_deployment import APPLICATION_TOKEN, MODEL, SERVICE
from verbenawind.standins.engine import expected_token, natural_length

__all__ = ["ApplicationCallers"]

_TIMEOUT_S = 15.0
_RETRY_S = 0.3
_MAX_ATTEMPTS = 40
_MAX_TOKENS = 64


class ApplicationCallers:
    """Sends generation requests and non-idempotent service calls to all daemons, round-robin.

    Args:
        base_urls: Base URLs of the daemons; updated in place when a daemon is replaced.
        answers: Number of generation requests.
        bookings: Number of service calls.
        period_s: Time between generation requests, in seconds; the service calls are spread over
            the same total time.
        versions: Weight versions that may have generated an answer.
    """

    def __init__(
        self,
        base_urls: Sequence[str],
        *,
        answers: int,
        bookings: int,
        period_s: float,
        versions: range,
    ) -> None:
        self.answers_whole = 0
        self.bookings_confirmed = 0
        self._urls = base_urls
        self._answers = answers
        self._bookings = bookings
        self._period_s = period_s
        self._versions = versions
        self._client = httpx.AsyncClient(
            headers={"authorization": f"Bearer {APPLICATION_TOKEN}"},
            timeout=_TIMEOUT_S,
            trust_env=False,
        )

    async def run(self) -> None:
        """Send all requests and wait for the last response."""
        async with self._client, asyncio.TaskGroup() as tasks:
            for number in range(self._answers):
                tasks.create_task(self._request_answer(number))
            for number in range(self._bookings):
                tasks.create_task(self._make_booking(number))

    async def _request_answer(self, number: int) -> None:
        await asyncio.sleep(number * self._period_s)
        prompt = f"glue spec of die {number}"
        body = {"model": MODEL, "prompt": prompt, "seed": number, "max_tokens": _MAX_TOKENS}
        for attempt in range(_MAX_ATTEMPTS):
            url = f"{self._urls[(number + attempt) % len(self._urls)]}/completions"
            try:
                answer = await self._client.post(url, json=body)
            except httpx.HTTPError:
                await asyncio.sleep(_RETRY_S)
                continue
            if answer.status_code == httpx.codes.OK:
                text = answer.json()["choices"][0]["text"]
                self.answers_whole += self._is_complete(text, prompt, number)
                return
            await asyncio.sleep(_RETRY_S)

    async def _make_booking(self, number: int) -> None:
        await asyncio.sleep(number * self._period_s * self._answers / self._bookings)
        headers = {"idempotency-key": f"booking-{number}"}
        for attempt in range(_MAX_ATTEMPTS):
            base = self._urls[(number + attempt) % len(self._urls)]
            url = f"{base}/services/{SERVICE}/bookings/{number}"
            try:
                answer = await self._client.post(url, headers=headers, content=b"one pallet")
            except httpx.HTTPError:
                await asyncio.sleep(_RETRY_S)
                continue
            if answer.status_code == httpx.codes.OK:
                self.bookings_confirmed += 1
                return
            error = msgspec.json.decode(answer.content, type=ErrorBody).error
            if error.outcome is not Outcome.NOT_RUN and error.retry_after_s is None:
                return
            await asyncio.sleep(error.retry_after_s or _RETRY_S)

    def _is_complete(self, text: str, prompt: str, seed: int) -> bool:
        tokens = [int(word[1:]) for word in text.split()]
        if len(tokens) != min(_MAX_TOKENS, natural_length(prompt, seed)):
            return False
        return all(
            any(
                token == expected_token(MODEL, version, prompt, seed, index)
                for version in self._versions
            )
            for index, token in enumerate(tokens)
        )
