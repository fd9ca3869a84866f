"""The exit codes of ``verbenawind`` and their mapping from error responses."""

from enum import IntEnum

from verbenawind.errors import Outcome

__all__ = ["DESCRIPTIONS", "ExitCode", "exit_code_for"]


class ExitCode(IntEnum):
    """The result of a command."""

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6
    UNAUTHORIZED = 7
    NOT_FOUND = 8
    REFUSED = 9


DESCRIPTIONS = {
    ExitCode.DONE: "success; for diff: the documents are equal",
    ExitCode.DIFFERENT: "diff: the documents differ",
    ExitCode.USAGE: "invalid command line; nothing was sent",
    ExitCode.INVALID: "invalid document; all faults are printed, nothing changed",
    ExitCode.CONFLICT: "another revision than expected is in force; nothing changed",
    ExitCode.UNREACHABLE: "no daemon could be reached; nothing changed",
    ExitCode.OUTCOME_UNKNOWN: "no response: the change may have taken effect; check before a retry",
    ExitCode.UNAUTHORIZED: "the operators' token is missing or invalid; nothing changed",
    ExitCode.NOT_FOUND: "unknown environment, revision, server or request",
    ExitCode.REFUSED: "the daemon rejected the command; nothing changed",
}

_EXIT_CODE_BY_ERROR_CODE = {
    "document_invalid": ExitCode.INVALID,
    "revision_conflict": ExitCode.CONFLICT,
    "unauthorized": ExitCode.UNAUTHORIZED,
    "unknown_environment": ExitCode.NOT_FOUND,
    "not_found": ExitCode.NOT_FOUND,
}


def exit_code_for(code: str, outcome: str) -> ExitCode:
    """Return the exit code for an error response with this code and outcome."""
    if outcome != Outcome.NOT_RUN:
        return ExitCode.OUTCOME_UNKNOWN
    return _EXIT_CODE_BY_ERROR_CODE.get(code, ExitCode.REFUSED)
