"""Reads environment documents and reports every fault at once."""

import types
import typing
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

import jsonc
import msgspec

from verbenawind.document.types import EnvironmentDocument
from verbenawind.errors import DocumentInvalid
from verbenawind.ids import digest_hex

__all__ = ["canonical_bytes", "convert_all", "document_digest", "parse_document"]


def parse_document(text: str) -> EnvironmentDocument:
    """Return the checked document in *text*, JSON with comments.

    Raises:
        DocumentInvalid: The text is no JSON or has faults; all of them are listed.
    """
    try:
        raw = jsonc.loads(text)
    except ValueError as error:
        raise DocumentInvalid([f"$: not JSON with comments: {error}"]) from error
    faults = list(convert_all(raw, EnvironmentDocument, "$"))
    if faults:
        raise DocumentInvalid(faults)
    document = msgspec.convert(raw, EnvironmentDocument)
    faults = list(_reference_faults(document))
    if faults:
        raise DocumentInvalid(faults)
    return document


def canonical_bytes(document: EnvironmentDocument) -> bytes:
    """Return the document's canonical JSON, in which every default is spelled out."""
    return msgspec.json.encode(document, order="deterministic")


def document_digest(document: EnvironmentDocument) -> str:
    """Return the SHA-256 of the document's canonical form."""
    return digest_hex(canonical_bytes(document))


def convert_all(raw: Any, kind: Any, path: str) -> Iterator[str]:
    """Yield every fault that keeps *raw* from being a *kind*, with path and value."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(raw, kind, path)
        return
    if typing.get_origin(kind) is tuple and isinstance(raw, list):
        item_kind = typing.get_args(kind)[0]
        for index, item in enumerate(raw):
            yield from convert_all(item, item_kind, f"{path}[{index}]")
        return
    if isinstance(kind, types.UnionType) and raw is None:
        return
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        yield f"{path}: {error} (value {_shown(raw)})"


def _struct_faults(raw: Any, kind: type[msgspec.Struct], path: str) -> Iterator[str]:
    if not isinstance(raw, dict):
        yield f"{path}: expected an object (value {_shown(raw)})"
        return
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in raw.keys() - fields.keys():
        yield f"{path}.{name}: unknown field (value {_shown(raw[name])})"
    for name, field in fields.items():
        if name in raw:
            yield from convert_all(raw[name], hints[field.name], f"{path}.{name}")
        elif field.required:
            yield f"{path}.{name}: missing"


def _shown(raw: Any) -> str:
    text = msgspec.json.encode(raw).decode()
    return text if len(text) <= 80 else text[:77] + "..."


def _reference_faults(document: EnvironmentDocument) -> Iterator[str]:
    pools = {pool.name for pool in document.pools}
    models = {model.name for model in document.models}
    callers = {caller.name for caller in document.callers}
    scoring = {service.name for service in document.scoring_services}
    services = {service.name for service in document.services}
    for part in ("pools", "models", "callers", "trainers", "scoring_services", "services"):
        yield from _duplicate_faults(part, [item.name for item in getattr(document, part)])
    for index, model in enumerate(document.models):
        yield from _missing(f"$.models[{index}].pool", "pool", [model.pool], pools)
    for index, caller in enumerate(document.callers):
        yield from _missing(f"$.callers[{index}].models", "model", caller.models, models)
        yield from _missing(f"$.callers[{index}].services", "service", caller.services, services)
    for index, trainer in enumerate(document.trainers):
        path = f"$.trainers[{index}]"
        yield from _missing(f"{path}.caller", "caller", [trainer.caller], callers)
        yield from _missing(f"{path}.model", "model", [trainer.model], models)
        wanted = [trainer.scoring_service] if trainer.scoring_service else []
        yield from _missing(f"{path}.scoring_service", "scoring service", wanted, scoring)


def _missing(path: str, what: str, names: Iterable[str], known: set[str]) -> Iterator[str]:
    for name in names:
        if name not in known:
            yield f"{path}: no {what} is called {name!r}"


def _duplicate_faults(part: str, names: Sequence[str]) -> Iterator[str]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield f"$.{part}[{index}].name: {name!r} stands twice"
        seen.add(name)
