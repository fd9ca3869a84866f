"""Documents and bytes as other programs might write them: sound, mutated, and arbitrary."""

import json
from collections.abc import Iterator
from copy import deepcopy
from typing import Any

from hypothesis import strategies as st

__all__ = ["documents", "odd_texts", "raw_bytes"]

# Texts that end lines, leave ASCII, look like numbers, or start another message.
_ODD_TEXTS = [
    "",
    " ",
    "a b",
    "x\r\n\r\nPOST /other HTTP/1.1",
    "x\r\ny: z",
    "x\ny",
    "\x00",
    "\x7f",
    "é",
    "²",
    "٣",
    "日本",
    "9" * 5000,
    "-1",
    "1_0",
    "#",
    "%",
    "/a#b",
    "10.0.0.1:70000",
    "10.0.0.1:0",
    "10.0.0.1:²",
    "host:80",
    "Content-Length",
    "Transfer-Encoding",
]
_ODD_VALUES: list[Any] = [None, True, -1, 0, 1.5, 2**31, 2**63, 2**64, 10**30, 1e300, [], {}]


def odd_texts() -> st.SearchStrategy[str]:
    """Return texts that some part of a message cannot hold."""
    return st.one_of(st.sampled_from(_ODD_TEXTS), st.text(max_size=20))


def documents(sound: Any) -> st.SearchStrategy[bytes]:
    """Return a sound JSON document with up to three of its values replaced, and bytes of any kind.

    Args:
        sound: A document that its decoder accepts.
    """
    paths = list(_paths(sound))
    value = st.one_of(
        odd_texts(), st.sampled_from(_ODD_VALUES), st.integers(), st.floats(allow_nan=False)
    )
    changes = st.lists(st.tuples(st.sampled_from(paths), value), max_size=3)
    mutated = changes.map(lambda found: json.dumps(_changed(sound, found)).encode())
    return st.one_of(mutated, raw_bytes(json.dumps(sound).encode()))


def raw_bytes(sound: bytes) -> st.SearchStrategy[bytes]:
    """Return bytes of any kind: random, deeply nested, and those of a message cut or spliced."""
    nested = st.tuples(
        st.sampled_from([b"[", b'{"a":', b'{"service":[', b"\x91", b"\x81"]),
        st.integers(1, 6000),
    ).map(lambda found: found[0] * found[1])
    cut = st.integers(0, len(sound)).map(lambda end: sound[:end])
    spliced = st.tuples(st.integers(0, len(sound)), st.binary(max_size=12)).map(
        lambda found: sound[: found[0]] + found[1] + sound[found[0] :]
    )
    return st.one_of(st.binary(max_size=200), nested, cut, spliced)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each value in a document."""
    if path:
        yield path
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return
    for key, part in items:
        yield from _paths(part, (*path, key))


def _changed(sound: Any, changes: list[tuple[tuple[Any, ...], Any]]) -> Any:
    document = json.loads(json.dumps(sound))
    for path, value in changes:
        parent = document
        try:
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = deepcopy(value)
        except (TypeError, KeyError, IndexError):
            # An earlier change has replaced a parent of this value.
            continue
    return document
