"""Adapter for plain services over HTTP."""

import httpx

from verbenawind.errors import AdmissionRefused
from verbenawind.kernel.messages import BackendServer, ServiceRequest, ServiceResponse
from verbenawind.kernel.ports import ServiceClient
from verbenawind.plugins.http_bounds import send_bounded
from verbenawind.plugins.http_errors import backend_errors
from verbenawind.plugins.registries import SERVICE_ADAPTERS

__all__ = ["HttpServiceClient"]

_CONNECT_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 60.0
_NOT_ADMITTED_HEADER = "x-not-admitted"


class HttpServiceClient:
    """HTTP client of one plain service host; implements the ServiceClient port.

    A host refuses to start a request with status 503 and the header ``X-Not-Admitted: true``; the
    client checks only that the header is present.

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
        """Send the request once and return the complete response."""
        operation = f"service host {self._server.server_id} request {request.request_id}"
        headers = dict(request.headers) | {"x-request-id": request.request_id}
        if request.idempotency_key is not None:
            headers["idempotency-key"] = request.idempotency_key
        url = f"{request.path}?{request.query}" if request.query else request.path
        with backend_errors(operation):
            response = await send_bounded(
                self._client,
                self._client.build_request(
                    request.method, url, content=request.body, headers=headers
                ),
            )
        if _NOT_ADMITTED_HEADER in response.headers:
            raise AdmissionRefused(f"{operation}: admission refused")
        return ServiceResponse(
            status=response.status_code, headers=dict(response.headers), body=response.content
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


@SERVICE_ADAPTERS.register("service-http")
def _create_client(server: BackendServer) -> ServiceClient:
    return HttpServiceClient(server)
