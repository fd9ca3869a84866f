"""Commands for documents and revisions."""

import json
from pathlib import Path
from typing import Any

from verbenawind.adapter_names import known_adapters
from verbenawind.cli.client import CommandFailed
from verbenawind.cli.commands import Invocation, Result, command
from verbenawind.cli.exit_codes import ExitCode
from verbenawind.cli.tables import format_table
from verbenawind.document import EnvironmentDocument, document_digest, parse_document
from verbenawind.errors import DocumentInvalid

__all__: list[str] = []

_DIGEST_PREFIX = 12
_SIGNS = {(False, True): "+", (True, False): "-", (True, True): "~"}


@command("validate", "FILE")
def validate(invocation: Invocation) -> Result:
    """Validate a document locally; all faults are printed with path and value."""
    path = invocation.arguments[0]
    document, _ = _read_document(path)
    value = {
        "valid": True,
        "environment": document.environment,
        "digest": document_digest(document),
    }
    return Result(value=value, text=f"{path}: environment {document.environment} is valid")


@command("apply", "FILE", flags=("stage", "expect_revision", "author"))
def apply(invocation: Invocation) -> Result:
    """Apply a document as the next revision of its environment's stage."""
    document, text = _read_document(invocation.arguments[0])
    revision = invocation.client.change(
        "PUT",
        _stage_path(document.environment, invocation.stage),
        content=text,
        parameters=_change_parameters(invocation),
    )
    return _revision_result(revision)


@command("diff", "FILE", flags=("stage",))
def diff(invocation: Invocation) -> Result:
    """Compare a document with the one in force; exits with 1 if they differ."""
    document, text = _read_document(invocation.arguments[0])
    response = invocation.client.query(
        f"{_stage_path(document.environment, invocation.stage)}/diff", text
    )
    changes = response["changes"]
    lines = [_change_line(change) for change in changes]
    where = f"{document.environment}/{invocation.stage} revision {response['revision']}"
    summary = f"{len(lines)} fields differ from {where}" if lines else f"equal to {where}"
    exit_code = ExitCode.DIFFERENT if lines else ExitCode.DONE
    return Result(value=response, text="\n".join([*lines, summary]), exit_code=exit_code)


@command("show", "ENVIRONMENT", flags=("stage",))
def show(invocation: Invocation) -> Result:
    """Print the document in force, including default values."""
    revision = invocation.client.get(_stage_path(invocation.arguments[0], invocation.stage))
    return Result(value=revision, text=_pretty_json(revision["document"]))


@command("history", "ENVIRONMENT", flags=("stage",))
def history(invocation: Invocation) -> Result:
    """List the accepted revisions of a stage, oldest first."""
    response = invocation.client.get(
        f"{_stage_path(invocation.arguments[0], invocation.stage)}/history"
    )
    rows = [
        (
            str(item["revision"]),
            item["accepted_at"],
            item["digest"][:_DIGEST_PREFIX],
            item["author"],
        )
        for item in response["revisions"]
    ]
    return Result(
        value=response, text=format_table(("REVISION", "ACCEPTED", "DIGEST", "AUTHOR"), rows)
    )


@command("rollback", "ENVIRONMENT", "REVISION", flags=("stage", "expect_revision", "author"))
def rollback(invocation: Invocation) -> Result:
    """Apply the document of an earlier revision as the next revision."""
    environment, number = invocation.arguments
    if not number.isdigit():
        raise CommandFailed(ExitCode.USAGE, f"rollback: {number!r} is not a revision number")
    revision = invocation.client.change(
        "POST",
        f"{_stage_path(environment, invocation.stage)}/rollback",
        parameters={"to": number, **_change_parameters(invocation)},
    )
    return _revision_result(revision)


@command("promote", "ENVIRONMENT", flags=("digest", "expect_revision", "author"))
def promote(invocation: Invocation) -> Result:
    """Apply the trial document, unchanged, as the next production revision.

    Without --digest, the digest of the trial is read first and promoted, so that a concurrent
    change to the trial by another operator is not promoted unseen.
    """
    environment = invocation.arguments[0]
    digest = invocation.digest or invocation.client.get(_stage_path(environment, "trial"))["digest"]
    revision = invocation.client.change(
        "POST",
        f"/environments/{environment}/promote",
        parameters={"digest": digest, **_change_parameters(invocation)},
    )
    return _revision_result(revision)


def _read_document(path: str) -> tuple[EnvironmentDocument, str]:
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


def _change_parameters(invocation: Invocation) -> dict[str, str | int | None]:
    return {"expect_revision": invocation.expect_revision, "author": invocation.author or None}


def _revision_result(revision: dict[str, Any]) -> Result:
    name = f"{revision['environment']}/{revision['stage']}"
    text = f"{name} is at revision {revision['revision']} ({revision['digest'][:_DIGEST_PREFIX]})"
    value = {key: item for key, item in revision.items() if key != "document"}
    return Result(value=value, text=text)


def _stage_path(environment: str, stage: str) -> str:
    return f"/environments/{environment}/{stage}"


def _change_line(change: dict[str, Any]) -> str:
    before, after = change["before"], change["after"]
    sign = _SIGNS[(before is not None, after is not None)]
    if sign == "~":
        return f"~ {change['path']}: {before} -> {after}"
    return f"{sign} {change['path']}: {after if before is None else before}"


def _pretty_json(value: Any) -> str:
    return json.dumps(value, indent=2)
