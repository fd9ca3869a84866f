"""Adapter for plain services over HTTP."""

import httpx

from verbenawind.errors import AdmissionRefused
from verbenawind.kernel.messages import BackendServer, ServiceRequest, ServiceResponse
from verbenawind.kernel.ports import ServiceClient
from verbenawind.plugins.http_errors import backend_errors
from verbenawind.plugins.registries import SERVICE_ADAPTERS

__all__ = ["HttpServiceClient"]

_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 60.0
_NOT_ADMITTED_HEADER = "x-not-admitted"


class HttpServiceClient:
    """Speaks to one host of a plain service; implements the ServiceClient port.

    A 503 answer with the header ``X-Not-Admitted: true`` is a refusal to start the request.

    Args:
        server: The host of the service.
    """

    __slots__ = ("_client", "_server")

    def __init__(self, server: BackendServer) -> None:
        self._server = server
        self._client = httpx.AsyncClient(
            base_url=f"http://{server.address}",
            timeout=httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
            trust_env=False,
        )

    async def call(self, request: ServiceRequest) -> ServiceResponse:
        """Send the request once."""
        what = f"service host {self._server.server_id} request {request.request_id}"
        headers = dict(request.headers) | {"x-request-id": request.request_id}
        if request.idempotency_key is not None:
            headers["idempotency-key"] = request.idempotency_key
        url = f"{request.path}?{request.query}" if request.query else request.path
        with backend_errors(what):
            response = await self._client.request(
                request.method, url, content=request.body, headers=headers
            )
        if _NOT_ADMITTED_HEADER in response.headers:
            raise AdmissionRefused(f"{what}: refused")
        return ServiceResponse(
            status=response.status_code, headers=dict(response.headers), body=response.content
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


@SERVICE_ADAPTERS.register("service-http")
def _connect(server: BackendServer) -> ServiceClient:
    return HttpServiceClient(server)
