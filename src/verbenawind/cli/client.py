"""Speaks to a daemon's operators' interface and says truly what became of a change."""

from collections.abc import Mapping
from typing import Any

import httpx
import msgspec

from verbenawind.cli.exit_codes import ExitCode, exit_code_of

__all__ = ["CommandFailed", "OperatorClient"]

_CONNECT_TIMEOUT_S = 5.0
_READ_TIMEOUT_S = 60.0
_NOTHING_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol)
_LOOK_FIRST = "the change may have taken effect: look with 'status' or 'history' before a retry"


class CommandFailed(Exception):
    """Raised when a command ends without its result.

    Args:
        exit_code: What the program exits with.
        message: What failed.
        details: One line for each fault or difference.
        error: The daemon's error answer, where there was one.
    """

    def __init__(
        self,
        exit_code: ExitCode,
        message: str,
        details: tuple[str, ...] = (),
        error: Mapping[str, Any] | None = None,
    ) -> None:
        super().__init__(message)
        self.exit_code = exit_code
        self.message = message
        self.details = details
        self.error = error or {}


class OperatorClient:
    """Sends an operator's requests to one daemon.

    Args:
        server: URL of the daemon.
        token: The operators' bearer token.
        transport: Replaces the network in tests.
    """

    __slots__ = ("_client", "_server")

    def __init__(
        self, server: str, token: str, transport: httpx.BaseTransport | None = None
    ) -> None:
        self._server = server
        self._client = httpx.Client(
            base_url=f"{server.rstrip('/')}/operators/v1",
            headers={"authorization": f"Bearer {token}"},
            timeout=httpx.Timeout(_READ_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
            trust_env=False,
            transport=transport,
        )

    def get(self, path: str) -> Any:
        """Return the answer to a GET; raises CommandFailed."""
        return self._send("GET", path, changes=False)

    def ask(self, path: str, content: str) -> Any:
        """Return the answer to a POST that changes nothing; raises CommandFailed."""
        return self._send("POST", path, changes=False, content=content)

    def change(
        self,
        method: str,
        path: str,
        *,
        content: str = "",
        parameters: Mapping[str, str | int | None] | None = None,
    ) -> Any:
        """Return the answer to a request that changes something; raises CommandFailed."""
        given = {name: value for name, value in (parameters or {}).items() if value is not None}
        return self._send(method, path, changes=True, content=content, parameters=given)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _send(
        self,
        method: str,
        path: str,
        *,
        changes: bool,
        content: str = "",
        parameters: Mapping[str, str | int] | None = None,
    ) -> Any:
        try:
            response = self._client.request(
                method, path, content=content.encode(), params=parameters
            )
        except (*_NOTHING_SENT, httpx.InvalidURL) as error:
            raise CommandFailed(
                ExitCode.UNREACHABLE, f"no daemon answers at {self._server}: {error}"
            ) from error
        except httpx.HTTPError as error:
            if not changes:
                raise CommandFailed(
                    ExitCode.UNREACHABLE, f"the daemon at {self._server} gave no answer: {error!r}"
                ) from error
            raise CommandFailed(
                ExitCode.OUTCOME_UNKNOWN,
                f"the daemon at {self._server} gave no answer ({error!r}); {_LOOK_FIRST}",
            ) from error
        if response.is_success:
            return _decoded(response, changes)
        raise _failure(response, changes)


def _decoded(response: httpx.Response, changes: bool) -> Any:
    try:
        return msgspec.json.decode(response.content)
    except msgspec.DecodeError as error:
        code = ExitCode.OUTCOME_UNKNOWN if changes else ExitCode.REFUSED
        raise CommandFailed(code, f"the answer is no JSON: {response.text[:200]!r}") from error


def _failure(response: httpx.Response, changes: bool) -> CommandFailed:
    try:
        error = msgspec.json.decode(response.content, type=dict[str, dict[str, Any]])["error"]
    except (msgspec.DecodeError, KeyError):
        unknown = changes and response.is_server_error
        code = ExitCode.OUTCOME_UNKNOWN if unknown else ExitCode.REFUSED
        return CommandFailed(code, f"status {response.status_code}: {response.text[:200]!r}")
    message = str(error.get("message", ""))
    outcome = str(error.get("outcome", "may_have_run")) if changes else "not_run"
    exit_code = exit_code_of(str(error.get("code", "")), outcome)
    if exit_code is ExitCode.OUTCOME_UNKNOWN:
        message = f"{message}; {_LOOK_FIRST}"
    if (retry_after_s := error.get("retry_after_s")) is not None:
        message = f"{message} (retry after {retry_after_s} s)"
    details = (*error.get("faults", ()), *error.get("difference", ()))
    return CommandFailed(exit_code, message, details, error)
