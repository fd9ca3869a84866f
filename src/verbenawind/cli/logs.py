"""Commands that read files of the daemons, and need no daemon."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from verbenawind.cli.client import CommandFailed
from verbenawind.cli.commands import Invocation, Result, command
from verbenawind.cli.exit_codes import ExitCode
from verbenawind.errors import SettingsInvalid
from verbenawind.platform.settings import load_host_settings

__all__: list[str] = []

# Fields that name requests, jobs and servers.
_ID_FIELDS = ("request_id", "job_id", "server", "owner", "group")
_SHOWN_FIRST = ("timestamp", "event", "host", "level", "logger")


@command("trace", "ID", "FILE...")
def trace(call: Invocation) -> Result:
    """Put the log lines of a request, job or server from several hosts in order of time.

    With the id of a batch item the lines of its job are shown as well. Times are those of the
    hosts that wrote the lines; clocks of two hosts may differ.
    """
    wanted, *paths = call.arguments
    lines = [line for path in paths for line in _lines(path)]
    ids = {wanted} | {
        str(line["job_id"])
        for line in lines
        if line.get("request_id") == wanted and "job_id" in line
    }
    found = [line for line in lines if _concerns(line, wanted, ids - {wanted})]
    if not found:
        raise CommandFailed(
            ExitCode.NOT_FOUND, f"no line of {len(lines)} names {wanted!r}; is the file complete?"
        )
    found.sort(key=lambda line: str(line.get("timestamp", "")))
    return Result(value=found, text="\n".join(map(_shown, found)))


@command("check", "deploy", "SETTINGS")
def check(call: Invocation) -> Result:
    """Check a host's settings file as the daemon does; every fault is printed at once."""
    what, path = call.arguments
    if what != "deploy":
        raise CommandFailed(ExitCode.USAGE, f"check knows 'deploy', not {what!r}")
    try:
        settings = load_host_settings(path)
    except SettingsInvalid as error:
        raise CommandFailed(ExitCode.INVALID, f"{path}: {error.message}") from error
    value = msgspec.to_builtins(settings)
    text = "\n".join([f"{path}: valid", *(f"  {name}: {item}" for name, item in value.items())])
    return Result(value=value, text=text)


def _lines(path: str) -> Iterator[dict[str, Any]]:
    """Yield the log lines in a file; whatever stands before a line's JSON is passed over."""
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


def _concerns(line: dict[str, Any], wanted: str, jobs: Iterable[str]) -> bool:
    if any(line.get(name) == wanted for name in _ID_FIELDS):
        return True
    return "request_id" not in line and line.get("job_id") in set(jobs)


def _shown(line: dict[str, Any]) -> str:
    values = " ".join(f"{name}={value}" for name, value in line.items() if name not in _SHOWN_FIRST)
    return f"{line.get('timestamp', '')} {line.get('host', '')} {line['event']} {values}"
