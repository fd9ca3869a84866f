"""Commands on documents and revisions."""

import json
from pathlib import Path
from typing import Any

from verbenawind.adapter_names import known_adapters
from verbenawind.cli.client import CommandFailed
from verbenawind.cli.commands import Invocation, Result, command
from verbenawind.cli.exit_codes import ExitCode
from verbenawind.cli.tables import aligned
from verbenawind.document import EnvironmentDocument, document_digest, parse_document
from verbenawind.errors import DocumentInvalid

__all__: list[str] = []

_DIGEST_SHOWN = 12
_SIGNS = {(False, True): "+", (True, False): "-", (True, True): "~"}


@command("validate", "FILE")
def validate(call: Invocation) -> Result:
    """Check a document without a daemon; every fault is printed with its path and value."""
    path = call.arguments[0]
    document, _ = _read(path)
    value = {
        "valid": True,
        "environment": document.environment,
        "digest": document_digest(document),
    }
    return Result(value=value, text=f"{path}: environment {document.environment} is valid")


@command("apply", "FILE", flags=("stage", "expect_revision", "author"))
def apply(call: Invocation) -> Result:
    """Make a document the next revision of its environment's stage."""
    document, text = _read(call.arguments[0])
    revision = call.client.change(
        "PUT", _path(document.environment, call.stage), content=text, parameters=_guards(call)
    )
    return _accepted(revision)


@command("diff", "FILE", flags=("stage",))
def diff(call: Invocation) -> Result:
    """Compare a document with the one in force; exits with 1 where they differ."""
    document, text = _read(call.arguments[0])
    answer = call.client.ask(f"{_path(document.environment, call.stage)}/diff", text)
    changes = answer["changes"]
    lines = [_change_line(change) for change in changes]
    where = f"{document.environment}/{call.stage} revision {answer['revision']}"
    summary = f"{len(lines)} fields differ from {where}" if lines else f"the same as {where}"
    exit_code = ExitCode.DIFFERENT if lines else ExitCode.DONE
    return Result(value=answer, text="\n".join([*lines, summary]), exit_code=exit_code)


@command("show", "ENVIRONMENT", flags=("stage",))
def show(call: Invocation) -> Result:
    """Print the document in force, with every default spelled out."""
    revision = call.client.get(_path(call.arguments[0], call.stage))
    return Result(value=revision, text=_indented(revision["document"]))


@command("history", "ENVIRONMENT", flags=("stage",))
def history(call: Invocation) -> Result:
    """List the accepted revisions of a stage, oldest first."""
    answer = call.client.get(f"{_path(call.arguments[0], call.stage)}/history")
    rows = [
        (str(item["revision"]), item["accepted_at"], item["digest"][:_DIGEST_SHOWN], item["author"])
        for item in answer["revisions"]
    ]
    return Result(value=answer, text=aligned(("REVISION", "ACCEPTED", "DIGEST", "AUTHOR"), rows))


@command("rollback", "ENVIRONMENT", "REVISION", flags=("stage", "expect_revision", "author"))
def rollback(call: Invocation) -> Result:
    """Accept the document of an old revision again, as the next revision."""
    environment, number = call.arguments
    if not number.isdigit():
        raise CommandFailed(ExitCode.USAGE, f"rollback: {number!r} is no revision number")
    revision = call.client.change(
        "POST",
        f"{_path(environment, call.stage)}/rollback",
        parameters={"to": number, **_guards(call)},
    )
    return _accepted(revision)


@command("promote", "ENVIRONMENT", flags=("digest", "expect_revision", "author"))
def promote(call: Invocation) -> Result:
    """Make the trial's document the next production revision, unchanged.

    The trial is read first and promoted by its digest, so that a trial that another operator
    changes in between isn't promoted unseen.
    """
    environment = call.arguments[0]
    digest = call.digest or call.client.get(_path(environment, "trial"))["digest"]
    revision = call.client.change(
        "POST",
        f"/environments/{environment}/promote",
        parameters={"digest": digest, **_guards(call)},
    )
    return _accepted(revision)


def _read(path: str) -> tuple[EnvironmentDocument, str]:
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailed(ExitCode.USAGE, f"{path}: {error}") from error
    try:
        return parse_document(text, known_adapters()), text
    except DocumentInvalid as error:
        count = len(error.faults)
        raise CommandFailed(
            ExitCode.INVALID,
            f"{path}: {count} fault{'s' if count != 1 else ''}",
            error.faults,
            {"code": error.code, "faults": error.faults},
        ) from error


def _guards(call: Invocation) -> dict[str, str | int | None]:
    return {"expect_revision": call.expect_revision, "author": call.author or None}


def _accepted(revision: dict[str, Any]) -> Result:
    name = f"{revision['environment']}/{revision['stage']}"
    text = f"{name} is at revision {revision['revision']} ({revision['digest'][:_DIGEST_SHOWN]})"
    value = {key: item for key, item in revision.items() if key != "document"}
    return Result(value=value, text=text)


def _path(environment: str, stage: str) -> str:
    return f"/environments/{environment}/{stage}"


def _change_line(change: dict[str, Any]) -> str:
    before, after = change["before"], change["after"]
    sign = _SIGNS[(before is not None, after is not None)]
    if sign == "~":
        return f"~ {change['path']}: {before} -> {after}"
    return f"{sign} {change['path']}: {after if before is None else before}"


def _indented(value: Any) -> str:
    return json.dumps(value, indent=2)
