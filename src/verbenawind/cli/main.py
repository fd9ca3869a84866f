"""Command-line parsing, help and command dispatch of ``verbenawind``."""

import getpass
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TextIO

import msgspec
from absl import flags

from verbenawind.cli import documents, logs, system
from verbenawind.cli.client import CommandFailed, OperatorClient
from verbenawind.cli.commands import COMMANDS, Command, Invocation, Result
from verbenawind.cli.exit_codes import DESCRIPTIONS, ExitCode
from verbenawind.document import Stage

__all__ = ["main", "run"]

_COMMAND_MODULES = (documents, logs, system)
_DEFAULT_SERVER = "http://127.0.0.1:8080"
_SERVER_VARIABLE = "VERBENAWIND_SERVER"
_TOKEN_VARIABLE = "VERBENAWIND_TOKEN"


def run() -> None:
    """Run ``verbenawind`` with the arguments of the process and exit."""
    sys.exit(main(sys.argv))


def main(arguments: Sequence[str], out: TextIO | None = None, err: TextIO | None = None) -> int:
    """Run one command line and return the exit code."""
    out, err = out or sys.stdout, err or sys.stderr
    values = _flag_values()
    try:
        positional = values(arguments)[1:]
    except flags.Error as error:
        return _usage_error(str(error), err)
    if values["help"].value or not positional or positional[0] == "help":
        topics = [word for word in positional if word != "help"][:1]
        print(_help(topics[0] if topics else None, values), file=out)
        return ExitCode.DONE if values["help"].value or positional else ExitCode.USAGE
    name, rest = positional[0], positional[1:]
    if name not in COMMANDS.names():
        return _usage_error(f"unknown command {name!r}", err)
    selected = COMMANDS.get(name)
    if not selected.accepts(len(rest)):
        usage = " ".join([name, *selected.arguments])
        return _usage_error(f"{name} requires {len(selected.arguments)} arguments: {usage}", err)
    return _execute(selected, rest, values, out, err)


def _execute(
    selected: Command,
    arguments: Sequence[str],
    values: flags.FlagValues,
    out: TextIO,
    err: TextIO,
) -> int:
    as_json = bool(values["json"].value)
    try:
        client = OperatorClient(values["server"].value, _token(values["token_file"].value))
        invocation = Invocation(
            arguments=arguments,
            client=client,
            stage=values["stage"].value,
            author=values["author"].value,
            expect_revision=values["expect_revision"].value,
            digest=values["digest"].value,
        )
        try:
            result = selected.run(invocation)
        finally:
            client.close()
    except CommandFailed as error:
        _print_failure(error, as_json, out, err)
        return error.exit_code
    print(_rendered(result, as_json), file=out)
    return result.exit_code


def _rendered(result: Result, as_json: bool) -> str:
    return msgspec.json.encode(result.value).decode() if as_json else result.text


def _print_failure(error: CommandFailed, as_json: bool, out: TextIO, err: TextIO) -> None:
    if as_json:
        body = {**error.error, "message": error.message, "exit_code": int(error.exit_code)}
        print(msgspec.json.encode({"error": body}).decode(), file=out)
        return
    for line in (error.message, *(f"  {detail}" for detail in error.details)):
        print(line, file=err)


def _token(path: str) -> str:
    if not path:
        return os.environ.get(_TOKEN_VARIABLE, "")
    try:
        return Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise CommandFailed(ExitCode.USAGE, f"token file {path}: {error.strerror}") from error


def _usage_error(message: str, err: TextIO) -> int:
    print(f"verbenawind: {message}\ntry 'verbenawind --help'", file=err)
    return ExitCode.USAGE


def _flag_values() -> flags.FlagValues:
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_string(
        "server",
        os.environ.get(_SERVER_VARIABLE, _DEFAULT_SERVER),
        f"URL of any daemon (or the environment variable {_SERVER_VARIABLE}).",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token_file",
        "",
        f"File with the operators' token (or the environment variable {_TOKEN_VARIABLE}).",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "stage",
        Stage.TRIAL,
        [str(stage) for stage in Stage],
        "Stage that the command applies to.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "author", _user(), "Author of the change; stored with the revision.", flag_values=values
    )
    flags.DEFINE_integer(
        "expect_revision",
        None,
        "Fail unless this revision is in force (0: none yet).",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "digest", "", "Fail unless the trial document has this digest.", flag_values=values
    )
    flags.DEFINE_bool("json", False, "Print one JSON value.", flag_values=values)
    flags.DEFINE_bool(
        "help",
        False,
        "Show help on the program or the given command.",
        short_name="h",
        flag_values=values,
    )
    return values


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def _help(name: str | None, values: flags.FlagValues) -> str:
    if name in COMMANDS.names():
        return _command_help(str(name), COMMANDS.get(str(name)), values)
    lines = ["Operates a verbenawind service through any of its daemons.", ""]
    lines += ["usage: verbenawind COMMAND [ARGUMENTS] [FLAGS]", "", "commands:"]
    for known in COMMANDS.names():
        selected = COMMANDS.get(known)
        usage = " ".join([known, *selected.arguments])
        lines.append(f"  {usage:34} {selected.help.splitlines()[0]}")
    lines += ["", "flags:", *_flag_lines(values, [flag for flag in values if len(flag) > 1])]
    lines += ["", "exit codes:"]
    lines += [f"  {int(code)}  {text}" for code, text in DESCRIPTIONS.items()]
    lines += [
        "",
        "example:",
        "  verbenawind validate siam.jsonc",
        "  verbenawind apply siam.jsonc                  # to trial",
        "  verbenawind diff siam.jsonc --stage=production",
        "  verbenawind promote siam-fold                 # the same document, to production",
    ]
    return "\n".join(lines)


def _command_help(name: str, selected: Command, values: flags.FlagValues) -> str:
    usage = " ".join(["usage: verbenawind", name, *selected.arguments, "[FLAGS]"])
    flag_names = (*selected.flags, "server", "token_file", "json")
    text = "\n".join(line.strip() for line in selected.help.splitlines())
    return "\n".join([usage, "", text, "", "flags:", *_flag_lines(values, flag_names)])


def _flag_lines(values: flags.FlagValues, names: Sequence[str]) -> list[str]:
    return [f"  --{name:18} {values[name].help}" for name in sorted(set(names))]
