"""Clients for the stand-in trainer: over HTTP and over daemon cores in the same process."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

import httpx
import msgspec

from verbenawind.api.errors import ErrorBody
from verbenawind.clock import Clock
from verbenawind.daemon import Core
from verbenawind.document import EnvironmentRevision
from verbenawind.errors import CursorConflict, LeaseLost, StoreUnavailable
from verbenawind.kernel.rollouts import (
    GradeSubmission,
    PollRequest,
    PollResponse,
    PublishedVersion,
    StepSubmission,
)

__all__ = ["CoreTrainerCalls", "HttpTrainerCalls"]

T = TypeVar("T")

_RETRY_S = 0.2
_TIMEOUT_S = 10.0


class HttpTrainerCalls:
    """Calls daemons over HTTP, round-robin; implements TrainerCalls.

    Args:
        base_urls: Base URLs of the daemons, including the API version.
        token: The trainer's bearer token.
        clock: Time source.
    """

    def __init__(self, base_urls: Sequence[str], token: str, clock: Clock) -> None:
        self._urls = base_urls
        self._next_url = 0
        self._clock = clock
        self._client = httpx.AsyncClient(
            headers={"authorization": f"Bearer {token}"}, timeout=_TIMEOUT_S, trust_env=False
        )

    async def submit(self, submission: StepSubmission) -> None:
        """Submit a step."""
        await self._post("steps", submission)

    async def poll(self, request: PollRequest) -> PollResponse:
        """Poll for deliveries; raises CursorConflict if the cursor is not valid."""
        return msgspec.json.decode(await self._post("poll", request), type=PollResponse)

    async def publish(self, version: PublishedVersion) -> None:
        """Publish a weight version."""
        await self._post("versions", version)

    async def grade(self, grades: GradeSubmission) -> None:
        """Submit grades."""
        await self._post("grades", grades)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _post(self, path: str, body: object) -> bytes:
        while True:
            url = self._urls[self._next_url % len(self._urls)]
            self._next_url += 1
            try:
                response = await self._client.post(
                    f"{url}/rollouts/{path}", content=msgspec.json.encode(body)
                )
            except httpx.HTTPError:
                await self._clock.sleep(_RETRY_S)
                continue
            if response.status_code == httpx.codes.OK:
                return response.content
            if response.status_code == httpx.codes.CONFLICT:
                _raise_cursor_conflict(response)
            if response.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
                raise RuntimeError(f"trainer {path}: {response.status_code} {response.text}")
            await self._clock.sleep(_RETRY_S)


def _raise_cursor_conflict(response: httpx.Response) -> None:
    error = msgspec.json.decode(response.content, type=ErrorBody).error
    if error.code == CursorConflict.code and error.acknowledged_cursor is not None:
        raise CursorConflict(error.message, acknowledged_cursor=error.acknowledged_cursor)


class CoreTrainerCalls:
    """Calls daemon cores, round-robin; implements TrainerCalls.

    Args:
        cores: Returns the running daemons.
        revision: Active revision.
        clock: Time source.
        trainer: Index of the trainer in the document.
    """

    def __init__(
        self,
        cores: Callable[[], Sequence[Core]],
        revision: EnvironmentRevision,
        clock: Clock,
        trainer: int = 0,
    ) -> None:
        self._cores = cores
        self._revision = revision
        self._clock = clock
        self._trainer = revision.document.trainers[trainer]
        self._next_core = 0

    async def submit(self, submission: StepSubmission) -> None:
        """Submit a step."""
        await self._call_with_retries(
            lambda core: core.rollouts.submit_step(self._revision, self._trainer, submission)
        )

    async def poll(self, request: PollRequest) -> PollResponse:
        """Poll for deliveries; raises CursorConflict if the cursor is not valid."""
        return await self._call_with_retries(
            lambda core: core.rollouts.poll(self._revision, self._trainer, request)
        )

    async def publish(self, version: PublishedVersion) -> None:
        """Publish a weight version."""
        model = self._revision.document.model(version.model)
        assert model is not None
        await self._call_with_retries(
            lambda core: core.rollouts.publish_version(self._revision, model, version)
        )

    async def grade(self, grades: GradeSubmission) -> None:
        """Submit grades."""
        await self._call_with_retries(
            lambda core: core.rollouts.submit_grades(self._revision, self._trainer, grades)
        )

    async def aclose(self) -> None:
        """Do nothing: there is no connection to close."""

    async def _call_with_retries(self, call: Callable[[Core], Awaitable[T]]) -> T:
        while True:
            cores = self._cores()
            self._next_core += 1
            try:
                return await call(cores[self._next_core % len(cores)])
            except CursorConflict:
                raise
            except (StoreUnavailable, LeaseLost):
                await self._clock.sleep(_RETRY_S)
