"""The exit codes of ``verbenawind`` and how errors of a daemon map to them."""

from enum import IntEnum

from verbenawind.errors import Outcome

__all__ = ["DESCRIPTIONS", "ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """What became of the command."""

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
    ExitCode.DONE: "done; for diff: the documents are the same",
    ExitCode.DIFFERENT: "diff found differences",
    ExitCode.USAGE: "the command line is wrong; nothing was sent",
    ExitCode.INVALID: "the document has faults, all of them are printed; nothing changed",
    ExitCode.CONFLICT: "another revision is in force than was expected; nothing changed",
    ExitCode.UNREACHABLE: "no daemon answered and nothing was sent to it; nothing changed",
    ExitCode.OUTCOME_UNKNOWN: "no answer came: the change may have taken effect; look first",
    ExitCode.UNAUTHORIZED: "the operators' token is missing or wrong; nothing changed",
    ExitCode.NOT_FOUND: "there is no such environment, revision, server or request",
    ExitCode.REFUSED: "the daemon refused the command; nothing changed",
}

_BY_CODE = {
    "document_invalid": ExitCode.INVALID,
    "revision_conflict": ExitCode.CONFLICT,
    "unauthorized": ExitCode.UNAUTHORIZED,
    "unknown_environment": ExitCode.NOT_FOUND,
    "not_found": ExitCode.NOT_FOUND,
}


def exit_code_of(code: str, outcome: str) -> ExitCode:
    """Return the exit code of an error answer with a code and an outcome."""
    if outcome != Outcome.NOT_RUN:
        return ExitCode.OUTCOME_UNKNOWN
    return _BY_CODE.get(code, ExitCode.REFUSED)
