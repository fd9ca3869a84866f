"""The calls of trainers for batch jobs: submit, read results, read an item's body, end."""

import contextlib
from urllib.parse import parse_qs, unquote

import structlog

from verbenawind.batches import BatchJobs
from verbenawind.clock import Clock
from verbenawind.errors import InvalidRequest, TooLarge
from verbenawind.gateway import Drain, Route
from verbenawind.kernel.http_syntax import parse_decimal
from verbenawind.platform.batches import decode_submission, encode_page
from verbenawind.platform.exchange import Exchange
from verbenawind.platform.names import ATTEMPT_HEADER, DEADLINE_HEADER, WAIT_HEADER

__all__ = ["ITEMS_PATH", "JOBS_PATH", "JobCalls", "job_id_of_path"]

JOBS_PATH = "/api/lots/"
ITEMS_PATH = "/api/items/"
_JSON = [("Content-Type", "application/json")]
# A submission that the store does not accept fails after this fraction of the time that the caller
# waits, so that the caller can retry at another host, unless it may have been recorded.
_SUBMIT_FRACTION = 0.4
_DEFAULT_SUBMIT_S = 5.0
_MAX_READ_WAIT_S = 1.0


def job_id_of_path(path: str) -> str | None:
    """Return the job id in the path of a job call, None for other paths."""
    for prefix in (JOBS_PATH, ITEMS_PATH):
        if path.startswith(prefix):
            return unquote(path.removeprefix(prefix))
    return None


class JobCalls:
    """Serves the calls for batch jobs.

    Args:
        jobs: Serves batch jobs.
        drain: Tells when this host ends.
        clock: Time source.
    """

    __slots__ = ("_clock", "_drain", "_jobs", "_log")

    def __init__(self, jobs: BatchJobs, drain: Drain, clock: Clock) -> None:
        self._jobs = jobs
        self._drain = drain
        self._clock = clock
        self._log = structlog.get_logger("front")

    def is_repeated_submission(self, exchange: Exchange) -> bool:
        """Return whether a request submits a job that is known to have been accepted."""
        job_id = exchange.header(ATTEMPT_HEADER)
        return exchange.method == "POST" and bool(job_id) and self._jobs.is_known(job_id or "")

    async def confirm(self, exchange: Exchange, max_body_bytes: int) -> None:
        """Confirm a job that was accepted before, whatever its route and the limits are now."""
        with contextlib.suppress(TooLarge):
            await exchange.read_body(max_body_bytes)
        self._log.info("job_repeated", job_id=exchange.header(ATTEMPT_HEADER))
        await exchange.respond(202)

    async def submit(self, exchange: Exchange, route: Route, max_body_bytes: int) -> None:
        """Accept a batch job.

        Raises:
            InvalidRequest: The submission is malformed.
            StoreUnavailable: The job was not confirmed in time.
        """
        job_id = exchange.header(ATTEMPT_HEADER)
        if not job_id or exchange.method != "POST":
            raise InvalidRequest(
                f"a job submission must be a POST with the header {ATTEMPT_HEADER}"
            )
        body = await exchange.read_body(max_body_bytes)
        submission = decode_submission(job_id, exchange.host, exchange.path, body)
        caller_timeout_ms = exchange.float_header(DEADLINE_HEADER)
        caller_timeout_s = (
            _DEFAULT_SUBMIT_S if caller_timeout_ms is None else caller_timeout_ms / 1000
        )
        limit_s = min(caller_timeout_s * _SUBMIT_FRACTION, route.timeout_s)
        await self._jobs.submit(submission, self._drain.bound_s(exchange.arrived_s + limit_s))
        await exchange.respond(202)

    async def serve(self, exchange: Exchange, job_id: str) -> None:
        """Serve a call for a job that was submitted before.

        Raises:
            UnknownResource: There is no such job.
            StoreUnavailable: Nothing can be said about it.
        """
        query = parse_qs(exchange.query)
        if exchange.path.startswith(ITEMS_PATH):
            body = await self._jobs.body(job_id, query.get("id", [""])[0])
            await exchange.respond(200, body, [("Content-Type", "application/octet-stream")])
            return
        if exchange.method == "DELETE":
            await self._jobs.end(job_id)
            await exchange.respond(200)
            return
        after_text = query.get("after", ["0"])[0]
        after = parse_decimal(after_text)
        if after is None:
            raise InvalidRequest(f"the position must be a non-negative integer, not {after_text!r}")
        wait_s = min((exchange.float_header(WAIT_HEADER) or 0.0) / 1000, _MAX_READ_WAIT_S)
        page = await self._jobs.results(job_id, after, wait_s)
        self._log.info(
            "results_read",
            job_id=job_id,
            after=after,
            results=len(page.results),
            total=page.total,
            took_s=round(self._clock.monotonic_s() - exchange.arrived_s, 3),
        )
        await exchange.respond(200, encode_page(page, after), _JSON)
