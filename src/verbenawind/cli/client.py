"""HTTP client for the operator API of a daemon.

A change is reported as not made only where that is certain.
"""

from collections.abc import Mapping
from typing import Any

import httpx
import msgspec

from verbenawind.cli.exit_codes import ExitCode, exit_code_for

__all__ = ["CommandFailed", "OperatorClient"]

_CONNECT_TIMEOUT_S = 5.0
_READ_TIMEOUT_S = 60.0
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol)
_CHECK_BEFORE_RETRY = "the change may have taken effect: check 'status' or 'history' before a retry"


class CommandFailed(Exception):
    """Raised when a command fails.

    Args:
        exit_code: The exit code of the program.
        message: The error message.
        details: One line for each fault or difference.
        error: The daemon's error response, if there was one.
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
    """Sends operator requests to one daemon.

    Args:
        server: URL of the daemon.
        token: The bearer token of the operators.
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
        """Send a GET and return the response; raise CommandFailed on errors."""
        return self._send("GET", path, mutating=False)

    def query(self, path: str, content: str) -> Any:
        """Send a POST without effect and return the response; raise CommandFailed on errors."""
        return self._send("POST", path, mutating=False, content=content)

    def change(
        self,
        method: str,
        path: str,
        *,
        content: str = "",
        parameters: Mapping[str, str | int | None] | None = None,
    ) -> Any:
        """Send a request that makes a change and return the response.

        Raises:
            CommandFailed: The request failed; the exit code shows whether it may have run.
        """
        parameters_set = {
            name: value for name, value in (parameters or {}).items() if value is not None
        }
        return self._send(method, path, mutating=True, content=content, parameters=parameters_set)

    def close(self) -> None:
        """Close the connection."""
        self._client.close()

    def _send(
        self,
        method: str,
        path: str,
        *,
        mutating: bool,
        content: str = "",
        parameters: Mapping[str, str | int] | None = None,
    ) -> Any:
        try:
            response = self._client.request(
                method, path, content=content.encode(), params=parameters
            )
        except (*_NOT_SENT_ERRORS, httpx.InvalidURL) as error:
            raise CommandFailed(
                ExitCode.UNREACHABLE, f"no daemon answers at {self._server}: {error}"
            ) from error
        except httpx.HTTPError as error:
            if not mutating:
                raise CommandFailed(
                    ExitCode.UNREACHABLE,
                    f"no response from the daemon at {self._server}: {error!r}",
                ) from error
            raise CommandFailed(
                ExitCode.OUTCOME_UNKNOWN,
                f"no response from the daemon at {self._server} ({error!r}); {_CHECK_BEFORE_RETRY}",
            ) from error
        if response.is_success:
            return _decode_response(response, mutating)
        raise _command_failure(response, mutating)


def _decode_response(response: httpx.Response, mutating: bool) -> Any:
    try:
        return msgspec.json.decode(response.content)
    except msgspec.DecodeError as error:
        code = ExitCode.OUTCOME_UNKNOWN if mutating else ExitCode.REFUSED
        raise CommandFailed(code, f"the response is not JSON: {response.text[:200]!r}") from error


def _command_failure(response: httpx.Response, mutating: bool) -> CommandFailed:
    try:
        error = msgspec.json.decode(response.content, type=dict[str, dict[str, Any]])["error"]
    except (msgspec.DecodeError, KeyError):
        unknown = mutating and response.is_server_error
        code = ExitCode.OUTCOME_UNKNOWN if unknown else ExitCode.REFUSED
        return CommandFailed(code, f"status {response.status_code}: {response.text[:200]!r}")
    message = str(error.get("message", ""))
    outcome = str(error.get("outcome", "may_have_run")) if mutating else "not_run"
    exit_code = exit_code_for(str(error.get("code", "")), outcome)
    if exit_code is ExitCode.OUTCOME_UNKNOWN:
        message = f"{message}; {_CHECK_BEFORE_RETRY}"
    if (retry_after_s := error.get("retry_after_s")) is not None:
        message = f"{message} (retry after {retry_after_s} s)"
    details = (*error.get("faults", ()), *error.get("difference", ()))
    return CommandFailed(exit_code, message, details, error)
