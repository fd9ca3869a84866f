"""Tests of error responses."""

import inspect

import msgspec
import pytest

from verbenawind import errors
from verbenawind.api.errors import error_body, http_status
from verbenawind.errors import Outcome, VerbenawindError

INTERNAL = {"SettingsInvalid", "FencingRefused", "PeerUnreachable", "PeerUnauthenticated"}
CLASSES = [
    kind
    for name, kind in inspect.getmembers(errors, inspect.isclass)
    if issubclass(kind, VerbenawindError) and kind is not VerbenawindError and name not in INTERNAL
]


class TestErrors:
    @pytest.mark.parametrize("kind", CLASSES, ids=lambda kind: kind.__name__)
    def test_no_caller_error_has_status_500(self, kind: type[VerbenawindError]) -> None:
        """Errors that callers can get have a status other than 500, which is for bugs."""
        error = kind.__new__(kind)
        assert http_status(error) != 500

    def test_codes_are_unique(self) -> None:
        """Each error class has its own code, so that callers can distinguish them."""
        codes = [kind.code for kind in CLASSES]
        assert len(set(codes)) == len(codes)

    def test_cursor_conflict_has_the_acknowledged_cursor(self) -> None:
        """A trainer that lost its cursor gets the cursor to continue from."""
        error = errors.CursorConflict("cursor 3 is void", acknowledged_cursor=2)
        assert error_body(error).error.acknowledged_cursor == 2

    def test_body(self) -> None:
        """The body has code, outcome and retry delay."""
        error = errors.Overloaded("full", outcome=Outcome.NOT_RUN, retry_after_s=1.5)
        body = msgspec.to_builtins(error_body(error))["error"]
        assert body == {
            "message": "full",
            "code": "overloaded",
            "type": "server_error",
            "outcome": "not_run",
            "retry_after_s": 1.5,
        }
