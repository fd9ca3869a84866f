"""Bearer tokens of callers and operators."""

import hmac
from typing import Any

from litestar import Request

from verbenawind.document import CallerSpec, EnvironmentRevision
from verbenawind.errors import Unauthorized
from verbenawind.ids import digest_hex

__all__ = ["authenticate_caller", "authenticate_operator"]

_SCHEME = "bearer "


def authenticate_caller(
    request: Request[Any, Any, Any], revision: EnvironmentRevision
) -> CallerSpec:
    """Return the caller whose token the request bears.

    Raises:
        Unauthorized: There is no token, or no caller has it.
    """
    digest = digest_hex(_token(request).encode())
    for caller in revision.document.callers:
        if hmac.compare_digest(caller.token_sha256, digest):
            return caller
    raise Unauthorized(f"no caller of {revision.name} has this bearer token")


def authenticate_operator(request: Request[Any, Any, Any], token_sha256: str) -> None:
    """Raise Unauthorized unless the request bears the operators' token."""
    if not hmac.compare_digest(digest_hex(_token(request).encode()), token_sha256):
        raise Unauthorized("the bearer token is not the operators'")


def _token(request: Request[Any, Any, Any]) -> str:
    header = str(request.headers.get("authorization", ""))
    if not header.lower().startswith(_SCHEME):
        raise Unauthorized("the Authorization header bears no token")
    return header[len(_SCHEME) :].strip()
