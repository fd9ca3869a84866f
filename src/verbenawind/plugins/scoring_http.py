"""Adapter for scoring services over HTTP."""

import httpx
import msgspec

from verbenawind.errors import BackendServerFailed
from verbenawind.kernel.messages import BackendServer, ScoringRequest, ScoringResponse
from verbenawind.kernel.ports import ScoringClient
from verbenawind.plugins.http_bounds import send_bounded
from verbenawind.plugins.http_errors import backend_errors
from verbenawind.plugins.registries import SCORING_ADAPTERS

__all__ = ["HttpScoringClient"]

_MAX_GRADE_BYTES = 64 * 1024


class HttpScoringClient:
    """HTTP client of one scoring service host; implements the ScoringClient port.

    Args:
        server: The host of the scoring service.
    """

    __slots__ = ("_client", "_server")

    def __init__(self, server: BackendServer) -> None:
        self._server = server
        self._client = httpx.AsyncClient(base_url=f"http://{server.address}", trust_env=False)

    async def score(self, request: ScoringRequest, timeout_s: float) -> ScoringResponse:
        """Return the grade of one sample."""
        operation = f"scoring host {self._server.server_id} sample {request.sample_id}"
        with backend_errors(operation):
            http_request = self._client.build_request(
                "POST", "/score", content=msgspec.json.encode(request), timeout=timeout_s
            )
            response = await send_bounded(self._client, http_request, max_bytes=_MAX_GRADE_BYTES)
        if response.status_code != httpx.codes.OK:
            raise BackendServerFailed(f"{operation}: status {response.status_code}")
        try:
            return msgspec.json.decode(response.content, type=ScoringResponse)
        except msgspec.DecodeError as error:
            raise BackendServerFailed(f"{operation}: malformed response") from error

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


@SCORING_ADAPTERS.register("scoring-http")
def _create_client(server: BackendServer) -> ScoringClient:
    return HttpScoringClient(server)
