"""The command type and the registry of commands."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from verbenawind.cli.client import OperatorClient
from verbenawind.cli.exit_codes import ExitCode
from verbenawind.kernel import Registry

__all__ = ["COMMANDS", "Command", "Invocation", "Result", "command"]


class Invocation:
    """One run of a command.

    Args:
        arguments: The arguments after the command's name.
        client: The client for the daemon.
        stage: The stage that the command applies to.
        author: The author of the change.
        expect_revision: The revision that must be in force, or None for any.
        digest: The digest that the promoted document must have, or empty for any.
    """

    __slots__ = ("arguments", "author", "client", "digest", "expect_revision", "stage")

    def __init__(
        self,
        *,
        arguments: Sequence[str],
        client: OperatorClient,
        stage: str,
        author: str,
        expect_revision: int | None,
        digest: str,
    ) -> None:
        self.arguments = arguments
        self.client = client
        self.stage = stage
        self.author = author
        self.expect_revision = expect_revision
        self.digest = digest


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The output of a command: ``value`` with ``--json``, ``text`` without."""

    value: Any
    text: str
    exit_code: ExitCode = ExitCode.DONE


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A command of ``verbenawind`` with its help text."""

    arguments: tuple[str, ...]
    flags: tuple[str, ...]
    help: str
    run: Callable[[Invocation], Result]

    def accepts(self, count: int) -> bool:
        """Return whether *count* arguments are valid; a last name with "..." may be repeated."""
        if self.arguments and self.arguments[-1].endswith("..."):
            return count >= len(self.arguments)
        return count == len(self.arguments)


COMMANDS: Registry[Command] = Registry("command")


def command(
    name: str, *arguments: str, flags: tuple[str, ...] = ()
) -> Callable[[Callable[[Invocation], Result]], Callable[[Invocation], Result]]:
    """Return a decorator that registers a function as a command; its docstring is the help."""

    def decorate(run: Callable[[Invocation], Result]) -> Callable[[Invocation], Result]:
        COMMANDS.register(name)(
            Command(arguments=arguments, flags=flags, help=(run.__doc__ or "").strip(), run=run)
        )
        return run

    return decorate
