"""Decodes what other programs have written: a checked value or one error comes out."""

from typing import Any, TypeVar

import msgspec

from verbenawind.errors import Undecodable

__all__ = ["convert_value", "decode_json", "decode_msgpack"]

T = TypeVar("T")

# Deep nesting raises RecursionError; numbers and text that Python cannot hold raise the others.
_FAILURES = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode JSON.

    Raises:
        Undecodable: The data is not JSON, or not a value of this type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except _FAILURES as error:
        raise Undecodable(f"not a valid {_name(kind)}: {error}") from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode MessagePack.

    Raises:
        Undecodable: The data is not MessagePack, or not a value of this type.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except _FAILURES as error:
        raise Undecodable(f"not a valid {_name(kind)}: {error}") from error


def convert_value(raw: Any, kind: type[T], *, strict: bool = True) -> T:
    """Convert an untyped value, such as one that another codec has decoded.

    Raises:
        Undecodable: It is not a value of this type.
    """
    try:
        return msgspec.convert(raw, kind, strict=strict)
    except _FAILURES as error:
        raise Undecodable(f"not a valid {_name(kind)}: {error}") from error


def _name(kind: Any) -> str:
    return getattr(kind, "__name__", str(kind)).lstrip("_")
