"""Reads environment documents and reports every fault at once."""

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
    "convert_all",
    "document_digest",
    "parse_document",
    "read_json",
]


def parse_document(text: str, adapters: KnownAdapters | None = None) -> EnvironmentDocument:
    """Return the checked document in *text*, JSON with comments.

    Args:
        text: The document.
        adapters: The names of adapters that it may use; not checked when None.

    Raises:
        DocumentInvalid: The text is no JSON or has faults; all of them are listed.
    """
    raw, faults = read_json(text)
    if raw is not None:
        faults += convert_all(raw, EnvironmentDocument, "$")
    if faults:
        raise DocumentInvalid(faults)
    document = msgspec.convert(raw, EnvironmentDocument)
    faults = [*reference_faults(document), *adapter_faults(document, adapters)]
    if faults:
        raise DocumentInvalid(faults)
    return document


def read_json(text: str) -> tuple[Any, list[str]]:
    """Return the value in *text*, JSON with comments, and what is wrong with its form."""
    faults: list[str] = []

    def members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        faults.extend(
            f"$: field {name!r} stands {names.count(name)} times in one object"
            for name in dict.fromkeys(names)
            if names.count(name) > 1
        )
        return dict(pairs)

    try:
        return jsonc.loads(text, object_pairs_hook=members, parse_constant=_refuse_constant), faults
    except (ValueError, RecursionError) as error:
        return None, [f"$: not JSON with comments: {error}"]


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is no number")


def canonical_bytes(document: EnvironmentDocument) -> bytes:
    """Return the document's canonical JSON, in which every default is spelled out."""
    return msgspec.json.encode(document, order="deterministic")


def document_digest(document: EnvironmentDocument) -> str:
    """Return the SHA-256 of the document's canonical form."""
    return digest_hex(canonical_bytes(document))


def convert_all(raw: Any, kind: Any, path: str, *, unknown_allowed: bool = False) -> Iterator[str]:
    """Yield every fault that keeps *raw* from being a *kind*, with path and value.

    Args:
        raw: The value as it was read.
        kind: The type that it should convert to.
        path: Where the value stands.
        unknown_allowed: Whether fields that *kind* does not have are passed over.
    """
    while typing.get_origin(kind) is typing.Annotated and _has_parts(typing.get_args(kind)[0]):
        kind = typing.get_args(kind)[0]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(raw, kind, path, unknown_allowed)
        return
    if typing.get_origin(kind) is tuple and isinstance(raw, list):
        item_kind = typing.get_args(kind)[0]
        for index, item in enumerate(raw):
            yield from convert_all(
                item, item_kind, f"{path}[{index}]", unknown_allowed=unknown_allowed
            )
        return
    if isinstance(kind, types.UnionType) and raw is None:
        return
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        yield f"{path}: {error} (value {_shown(raw)})"


def _has_parts(kind: Any) -> bool:
    is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
    return is_struct or typing.get_origin(kind) is tuple


def _struct_faults(
    raw: Any, kind: type[msgspec.Struct], path: str, unknown_allowed: bool
) -> Iterator[str]:
    if not isinstance(raw, dict):
        yield f"{path}: expected an object (value {_shown(raw)})"
        return
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in () if unknown_allowed else raw.keys() - fields.keys():
        yield f"{path}.{name}: unknown field (value {_shown(raw[name])})"
    for name, field in fields.items():
        if name in raw:
            yield from convert_all(
                raw[name], hints[field.name], f"{path}.{name}", unknown_allowed=unknown_allowed
            )
        elif field.required:
            yield f"{path}.{name}: missing"


def _shown(raw: Any) -> str:
    text = msgspec.json.encode(raw).decode()
    return text if len(text) <= 80 else text[:77] + "..."
