"""Field-by-field comparison of two documents."""

from collections.abc import Iterator
from typing import Any

import msgspec

from verbenawind.document.loading import canonical_bytes
from verbenawind.document.types import EnvironmentDocument

__all__ = ["Change", "diff_documents"]


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A field that differs; ``before`` or ``after`` is None where the field is absent."""

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after}"
        if self.after is None:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def diff_documents(
    before: EnvironmentDocument | None, after: EnvironmentDocument | None
) -> tuple[Change, ...]:
    """Return the fields that differ, sorted by path; list items are matched by name."""
    old, new = _fields(before), _fields(after)
    return tuple(
        Change(path=path, before=old.get(path), after=new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def _fields(document: EnvironmentDocument | None) -> dict[str, str]:
    if document is None:
        return {}
    return dict(_leaves(msgspec.json.decode(canonical_bytes(document)), "$"))


def _leaves(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for name, item in value.items():
            yield from _leaves(item, f"{path}.{name}")
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for index, item in enumerate(value):
            label = item.get("name") or item.get("path_prefix") or index
            yield from _leaves(item, f"{path}[{label}]")
    else:
        yield path, msgspec.json.encode(value).decode()
