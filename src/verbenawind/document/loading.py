"""Parsing of environment documents; all faults are reported at once."""

import types
import typing
from collections.abc import Iterator
from typing import Any

import jsonc
import msgspec

from verbenawind.document.references import KnownAdapters, adapter_faults, reference_faults
from verbenawind.document.types import EnvironmentDocument
from verbenawind.errors import DocumentInvalid
from verbenawind.ids import digest_hex

__all__ = [
    "canonical_bytes",
    "conversion_faults",
    "document_digest",
    "parse_document",
    "parse_jsonc",
]


def parse_document(text: str, adapters: KnownAdapters | None = None) -> EnvironmentDocument:
    """Parse and validate the document in *text*, which is JSON with comments.

    Args:
        text: The document.
        adapters: The adapter names that it may use; None skips this check.

    Raises:
        DocumentInvalid: The text is not JSON or is invalid; all faults are listed.
    """
    raw, faults = parse_jsonc(text)
    if raw is not None:
        faults += conversion_faults(raw, EnvironmentDocument, "$")
    if faults:
        raise DocumentInvalid(faults)
    document = msgspec.convert(raw, EnvironmentDocument)
    faults = [*reference_faults(document), *adapter_faults(document, adapters)]
    if faults:
        raise DocumentInvalid(faults)
    return document


def parse_jsonc(text: str) -> tuple[Any, list[str]]:
    """Return the value in *text*, which is JSON with comments, and any syntax faults."""
    faults: list[str] = []

    def build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        faults.extend(
            f"$: field {name!r} appears {names.count(name)} times in one object"
            for name in dict.fromkeys(names)
            if names.count(name) > 1
        )
        return dict(pairs)

    try:
        return (
            jsonc.loads(text, object_pairs_hook=build_object, parse_constant=_reject_constant),
            faults,
        )
    except (ValueError, RecursionError) as error:
        return None, [f"$: not JSON with comments: {error}"]


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a valid number")


def canonical_bytes(document: EnvironmentDocument) -> bytes:
    """Return the document's canonical JSON, which includes all default values."""
    return msgspec.json.encode(document, order="deterministic")


def document_digest(document: EnvironmentDocument) -> str:
    """Return the SHA-256 digest of the document's canonical JSON."""
    return digest_hex(canonical_bytes(document))


def conversion_faults(
    raw: Any, kind: Any, path: str, *, unknown_allowed: bool = False
) -> Iterator[str]:
    """Yield every fault that prevents the conversion of *raw* to *kind*, with path and value.

    ``msgspec.convert`` stops at the first fault, so structs and tuples are checked part by part.

    Args:
        raw: The parsed JSON value.
        kind: The type to convert it to.
        path: The path of the value in the document.
        unknown_allowed: Whether fields that *kind* does not have are ignored.
    """
    while typing.get_origin(kind) is typing.Annotated and _is_composite(typing.get_args(kind)[0]):
        kind = typing.get_args(kind)[0]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(raw, kind, path, unknown_allowed)
        return
    if typing.get_origin(kind) is tuple and isinstance(raw, list):
        item_kind = typing.get_args(kind)[0]
        for index, item in enumerate(raw):
            yield from conversion_faults(
                item, item_kind, f"{path}[{index}]", unknown_allowed=unknown_allowed
            )
        return
    if isinstance(kind, types.UnionType) and raw is None:
        return
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        yield f"{path}: {error} (value {_abbreviated(raw)})"


def _is_composite(kind: Any) -> bool:
    is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    return is_struct or typing.get_origin(kind) is tuple


def _struct_faults(
    raw: Any, kind: type[msgspec.Struct], path: str, unknown_allowed: bool
) -> Iterator[str]:
    if not isinstance(raw, dict):
        yield f"{path}: expected an object (value {_abbreviated(raw)})"
        return
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in () if unknown_allowed else raw.keys() - fields.keys():
        yield f"{path}.{name}: unknown field (value {_abbreviated(raw[name])})"
    for name, field in fields.items():
        if name in raw:
            yield from conversion_faults(
                raw[name], hints[field.name], f"{path}.{name}", unknown_allowed=unknown_allowed
            )
        elif field.required:
            yield f"{path}.{name}: missing"


def _abbreviated(raw: Any) -> str:
    text = msgspec.json.encode(raw).decode()
    return text if len(text) <= 80 else text[:77] + "..."
