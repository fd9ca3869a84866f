"""JSON responses."""

from typing import Any

import msgspec
from litestar import Response

__all__ = ["json_response"]


def json_response(value: Any, status: int = 200) -> Response[bytes]:
    """Return *value* as a JSON response."""
    return Response(msgspec.json.encode(value), status_code=status, media_type="application/json")
