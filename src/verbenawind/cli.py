"""The operators' command line ``verbenawind``."""

import sys

import httpx
from absl import app as absl_app
from absl import flags

from verbenawind.document import parse_document
from verbenawind.errors import VerbenawindError

__all__ = ["run"]

_SERVER = flags.DEFINE_string("server", "http://127.0.0.1:8080", "URL of any daemon.")
_TOKEN = flags.DEFINE_string("token", "", "The operators' bearer token.")
_STAGE = flags.DEFINE_string("stage", "trial", "Stage to work on: trial or production.")


def _validate(path: str) -> int:
    with open(path, encoding="utf-8") as file:
        document = parse_document(file.read())
    print(f"{path}: environment {document.environment} is valid")
    return 0


def _apply(path: str) -> int:
    with open(path, encoding="utf-8") as file:
        text = file.read()
    document = parse_document(text)
    answer = httpx.put(
        f"{_SERVER.value}/operators/v1/environments/{document.environment}/{_STAGE.value}",
        content=text,
        headers={"authorization": f"Bearer {_TOKEN.value}"},
    )
    print(answer.text)
    return 0 if answer.is_success else 1


_COMMANDS = {"validate": _validate, "apply": _apply}


def _main(arguments: list[str]) -> int:
    if len(arguments) != 3 or arguments[1] not in _COMMANDS:
        print(f"usage: verbenawind {{{','.join(_COMMANDS)}}} FILE", file=sys.stderr)
        return 2
    try:
        return _COMMANDS[arguments[1]](arguments[2])
    except VerbenawindError as error:
        print(error.message, file=sys.stderr)
        return 1


def run() -> None:
    """Run the program ``verbenawind``."""
    absl_app.run(_main)


if __name__ == "__main__":
    run()
