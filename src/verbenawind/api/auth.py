"""Bearer token authentication of callers and operators."""

import hmac
from typing import Any

from litestar import Request

from verbenawind.document import CallerSpec, EnvironmentRevision
from verbenawind.errors import Unauthorized
from verbenawind.ids import digest_hex

__all__ = ["CallerIndex", "authenticate_operator"]

_SCHEME = "bearer "


class CallerIndex:
    """Looks up callers by the SHA-256 digest of their bearer token, in constant time."""

    __slots__ = ("_by_environment",)

    def __init__(self) -> None:
        self._by_environment: dict[str, tuple[str, int, dict[str, CallerSpec]]] = {}

    def authenticate(
        self, request: Request[Any, Any, Any], revision: EnvironmentRevision
    ) -> CallerSpec:
        """Return the caller that the request's bearer token belongs to.

        Raises:
            Unauthorized: The token is missing or belongs to no caller.
        """
        digest = digest_hex(_bearer_token(request).encode())
        caller = self._callers(revision).get(digest)
        if caller is None:
            raise Unauthorized(f"no caller of {revision.name} has this bearer token")
        return caller

    def _callers(self, revision: EnvironmentRevision) -> dict[str, CallerSpec]:
        cached = self._by_environment.get(revision.name)
        if cached is not None and cached[:2] == (revision.digest, revision.revision):
            return cached[2]
        callers = {caller.token_sha256: caller for caller in revision.document.callers}
        self._by_environment[revision.name] = (revision.digest, revision.revision, callers)
        return callers


def authenticate_operator(request: Request[Any, Any, Any], token_sha256: str) -> None:
    """Raise Unauthorized unless the request has the operators' bearer token."""
    if not hmac.compare_digest(digest_hex(_bearer_token(request).encode()), token_sha256):
        raise Unauthorized("the bearer token is not the operators' token")


def _bearer_token(request: Request[Any, Any, Any]) -> str:
    header = str(request.headers.get("authorization", ""))
    if not header.lower().startswith(_SCHEME):
        raise Unauthorized("the Authorization header has no bearer token")
    return header[len(_SCHEME) :].strip()
