"""Reads responses of httpx up to a size, since a server may send bytes without end."""

import httpx

__all__ = ["MAX_BODY_BYTES", "send_bounded"]

# Size of a response that is read as a whole, unless the caller gives another one.
MAX_BODY_BYTES = 8 * 1024 * 1024


async def send_bounded(
    client: httpx.AsyncClient, request: httpx.Request, *, max_bytes: int = MAX_BODY_BYTES
) -> httpx.Response:
    """Send a request and return the response with its body.

    Args:
        client: The client.
        request: The request.
        max_bytes: The largest body.

    Raises:
        httpx.ReadError: The body is larger; the connection is closed.
        httpx.HTTPError: The request failed.
    """
    response = await client.send(request, stream=True)
    try:
        parts, size_bytes = [], 0
        async for data in response.aiter_bytes():
            size_bytes += len(data)
            if size_bytes > max_bytes:
                raise httpx.ReadError(
                    f"the body of {request.url} exceeded the limit of {max_bytes} bytes"
                )
            parts.append(data)
    finally:
        await response.aclose()
    return httpx.Response(
        response.status_code,
        # The body is decoded already.
        headers=[
            (name, value)
            for name, value in response.headers.multi_items()
            if name not in ("content-encoding", "content-length", "transfer-encoding")
        ],
        content=b"".join(parts),
        request=request,
    )
