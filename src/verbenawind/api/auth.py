"""Bearer tokens of callers and operators."""

import hmac
from typing import Any

from litestar import Request

from verbenawind.document import CallerSpec, EnvironmentRevision
from verbenawind.errors import Unauthorized
from verbenawind.ids import digest_hex

__all__ = ["CallerIndex", "authenticate_operator"]

_SCHEME = "bearer "


class CallerIndex:
    """Finds callers by the digest of their token, in constant time for each request."""

    __slots__ = ("_by_environment",)

    def __init__(self) -> None:
        self._by_environment: dict[str, tuple[str, int, dict[str, CallerSpec]]] = {}

    def authenticate(
        self, request: Request[Any, Any, Any], revision: EnvironmentRevision
    ) -> CallerSpec:
        """Return the caller whose token the request bears.

        Raises:
            Unauthorized: There is no token, or no caller has it.
        """
        digest = digest_hex(_token(request).encode())
        caller = self._callers(revision).get(digest)
        if caller is None:
            raise Unauthorized(f"no caller of {revision.name} has this bearer token")
        return caller

    def _callers(self, revision: EnvironmentRevision) -> dict[str, CallerSpec]:
        kept = self._by_environment.get(revision.name)
        if kept is not None and kept[:2] == (revision.digest, revision.revision):
            return kept[2]
        callers = {caller.token_sha256: caller for caller in revision.document.callers}
        self._by_environment[revision.name] = (revision.digest, revision.revision, callers)
        return callers


def authenticate_operator(request: Request[Any, Any, Any], token_sha256: str) -> None:
    """Raise Unauthorized unless the request bears the operators' token."""
    if not hmac.compare_digest(digest_hex(_token(request).encode()), token_sha256):
        raise Unauthorized("the bearer token is not the operators'")


def _token(request: Request[Any, Any, Any]) -> str:
    header = str(request.headers.get("authorization", ""))
    if not header.lower().startswith(_SCHEME):
        raise Unauthorized("the Authorization header bears no token")
    return header[len(_SCHEME) :].strip()
