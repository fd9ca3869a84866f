"""What a command is, and the registry that commands enter themselves into."""

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
        client: Speaks to a daemon.
        stage: The stage to work on.
        author: Who makes the change.
        expect_revision: The revision that must be in force, None for any.
        digest: The digest that must be promoted, empty for any.
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
    """What a command prints: ``value`` with ``--json``, ``text`` without."""

    value: Any
    text: str
    exit_code: ExitCode = ExitCode.DONE


class Command(msgspec.Struct, frozen=True, kw_only=True):
    """A command of ``verbenawind`` and the help on it."""

    arguments: tuple[str, ...]
    flags: tuple[str, ...]
    help: str
    run: Callable[[Invocation], Result]

    def takes(self, count: int) -> bool:
        """Return whether so many arguments fit; a last one that ends in dots may be repeated."""
        if self.arguments and self.arguments[-1].endswith("..."):
            return count >= len(self.arguments)
        return count == len(self.arguments)


COMMANDS: Registry[Command] = Registry("command")


def command(
    name: str, *arguments: str, flags: tuple[str, ...] = ()
) -> Callable[[Callable[[Invocation], Result]], Callable[[Invocation], Result]]:
    """Return a decorator that registers a function, whose docstring is the help."""

    def decorate(run: Callable[[Invocation], Result]) -> Callable[[Invocation], Result]:
        COMMANDS.register(name)(
            Command(arguments=arguments, flags=flags, help=(run.__doc__ or "").strip(), run=run)
        )
        return run

    return decorate
