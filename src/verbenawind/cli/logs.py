"""Commands that read the daemons' files and need no running daemon."""

from collections.abc import Collection, Iterator
from pathlib import Path
from typing import Any

import msgspec

from verbenawind.cli.client import CommandFailed
from verbenawind.cli.commands import Invocation, Result, command
from verbenawind.cli.exit_codes import ExitCode
from verbenawind.errors import SettingsInvalid
from verbenawind.gateway.fingerprints import base_fingerprint
from verbenawind.platform.settings import load_host_settings

__all__: list[str] = []

# Fields that hold the ID of a request, job or server.
_ID_FIELDS = ("request_id", "job_id", "server", "owner", "group", "call_id")
_FINGERPRINT = "fingerprint"
_LEADING_FIELDS = ("timestamp", "event", "host", "level", "logger")


@command("trace", "ID", "FILE...")
def trace(invocation: Invocation) -> Result:
    """Merge the log lines of a request, job or server from several hosts, sorted by time.

    With the ID of a batch item, the lines of its job and of its scoring call are included. With the
    ID of a request, what its repeats met is included, whichever callers sent them: ends of servers,
    refusals and trials.
    Timestamps are from the hosts' own clocks, which may differ.
    """
    identifier, *paths = invocation.arguments
    lines = [line for path in paths for line in _read_lines(path)]
    own_lines = [line for line in lines if line.get("request_id") == identifier]
    job_ids = {str(line["job_id"]) for line in own_lines if "job_id" in line} - {identifier}
    ids = {identifier} | {str(line["call_id"]) for line in own_lines if "call_id" in line}
    ids |= {base_fingerprint(str(line[_FINGERPRINT])) for line in own_lines if _FINGERPRINT in line}
    matching = [line for line in lines if _matches(line, ids, job_ids)]
    if not matching:
        raise CommandFailed(
            ExitCode.NOT_FOUND,
            f"none of {len(lines)} lines has ID {identifier!r}; is the file complete?",
        )
    matching.sort(key=lambda line: str(line.get("timestamp", "")))
    return Result(value=matching, text="\n".join(map(_render_line, matching)))


@command("check", "deploy", "SETTINGS")
def check(invocation: Invocation) -> Result:
    """Validate a host's settings file as the daemon does; all faults are printed."""
    subject, path = invocation.arguments
    if subject != "deploy":
        raise CommandFailed(ExitCode.USAGE, f"check: the subject must be 'deploy', not {subject!r}")
    try:
        settings = load_host_settings(path)
    except SettingsInvalid as error:
        raise CommandFailed(ExitCode.INVALID, f"{path}: {error.message}") from error
    value = msgspec.to_builtins(settings)
    text = "\n".join([f"{path}: valid", *(f"  {name}: {item}" for name, item in value.items())])
    return Result(value=value, text=text)


def _read_lines(path: str) -> Iterator[dict[str, Any]]:
    """Yield the log lines in a file; text before the JSON of a line is ignored."""
    try:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            for raw in file:
                start = raw.find("{")
                if start < 0:
                    continue
                try:
                    line = msgspec.json.decode(raw[start:].encode())
                except msgspec.DecodeError:
                    continue
                if isinstance(line, dict) and "event" in line:
                    yield line
    except OSError as error:
        raise CommandFailed(ExitCode.USAGE, f"log file {path}: {error.strerror}") from error


def _matches(line: dict[str, Any], ids: Collection[str], job_ids: Collection[str]) -> bool:
    if any(line.get(name) in ids for name in _ID_FIELDS):
        return True
    if base_fingerprint(str(line.get(_FINGERPRINT, ""))) in ids:
        return True
    return "request_id" not in line and line.get("job_id") in job_ids


def _render_line(line: dict[str, Any]) -> str:
    values = " ".join(
        f"{name}={value}" for name, value in line.items() if name not in _LEADING_FIELDS
    )
    return f"{line.get('timestamp', '')} {line.get('host', '')} {line['event']} {values}"
