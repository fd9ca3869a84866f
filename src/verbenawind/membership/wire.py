"""The messages between daemons and their CBOR encoding."""

import zlib
from collections.abc import Iterable, Sequence

import cbor2
import msgspec

from verbenawind.errors import PeerUnreachable
from verbenawind.kernel.ports import SpreadItem

__all__ = [
    "BucketDigests",
    "Bye",
    "Call",
    "Challenge",
    "Entry",
    "Heartbeat",
    "Hello",
    "Items",
    "Message",
    "Ping",
    "PingRequest",
    "Pong",
    "Proof",
    "Prune",
    "Reply",
    "Summary",
    "Want",
    "decode",
    "encode",
]


class _Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all messages, which are encoded as arrays that begin with their tag."""


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The encoded form of a spread item."""

    kind: str
    key: str
    rank: tuple[int, ...]
    body: bytes
    expires_at_s: float | int = 0

    @classmethod
    def of(cls, item: SpreadItem) -> "Entry":
        """Return the encoded form of *item*."""
        return cls(
            kind=item.kind,
            key=item.key,
            rank=item.rank,
            body=item.body,
            expires_at_s=item.expires_at_s or 0,
        )

    def item(self) -> SpreadItem:
        """Return the spread item."""
        return SpreadItem(
            kind=self.kind,
            key=self.key,
            rank=self.rank,
            body=self.body,
            expires_at_s=float(self.expires_at_s),
        )


class Hello(_Message, frozen=True, kw_only=True, array_like=True, tag=0):
    """The dialler's first message, with its identity and nonce."""

    nonce: bytes
    peer_id: str
    address: str
    zone: str
    region: str
    incarnation: int
    purpose: str


class Challenge(_Message, frozen=True, kw_only=True, array_like=True, tag=1):
    """The acceptor's reply, with its nonce but not its identity."""

    nonce: bytes


class Proof(_Message, frozen=True, kw_only=True, array_like=True, tag=2):
    """A MAC over both nonces with the shared key; the acceptor's also carries its Hello."""

    mac: bytes
    hello: bytes = b""


class Heartbeat(_Message, frozen=True, kw_only=True, array_like=True, tag=3):
    """A sign of life with digests of the sender's items.

    Digests of recently changed items are omitted, because they differ from the receiver's until the
    changes have spread.
    """

    urgent_digest: int | None
    bulk_class: int
    first_bucket: int
    bucket_digests: tuple[int | None, ...]


class Ping(_Message, frozen=True, kw_only=True, array_like=True, tag=4):
    """Requests an immediate Pong."""

    number: int


class Pong(_Message, frozen=True, kw_only=True, array_like=True, tag=5):
    """Replies to a Ping, or to a PingRequest if the requested *peer_id* is alive."""

    number: int
    peer_id: str = ""


class PingRequest(_Message, frozen=True, kw_only=True, array_like=True, tag=6):
    """Requests a Pong if *peer_id* is alive as seen by the receiver."""

    number: int
    peer_id: str


class Items(_Message, frozen=True, kw_only=True, array_like=True, tag=7):
    """Items that are probably new to the receiver."""

    entries: tuple[Entry, ...]


class Summary(_Message, frozen=True, kw_only=True, array_like=True, tag=8):
    """Key and content hashes of all of the sender's items in some buckets.

    Without buckets it announces single items whose bodies are too large to be pushed.
    """

    item_class: int
    buckets: tuple[int, ...]
    entries: tuple[tuple[int, int], ...]


class BucketDigests(_Message, frozen=True, kw_only=True, array_like=True, tag=9):
    """The digests of all buckets of one class."""

    item_class: int
    digests: tuple[int, ...]


class Want(_Message, frozen=True, kw_only=True, array_like=True, tag=10):
    """Requests the items with the given key hashes."""

    item_class: int
    key_hashes: tuple[int, ...]


class Prune(_Message, frozen=True, kw_only=True, array_like=True, tag=11):
    """Requests that no bulk items be pushed on this link: they arrive earlier on another one."""


class Call(_Message, frozen=True, kw_only=True, array_like=True, tag=12):
    """A call to one of the receiver's handlers."""

    number: int
    kind: str
    body: bytes


class Reply(_Message, frozen=True, kw_only=True, array_like=True, tag=13):
    """The reply to a call; *error* is empty if the handler succeeded."""

    number: int
    body: bytes = b""
    error: str = ""


class Bye(_Message, frozen=True, kw_only=True, array_like=True, tag=14):
    """Announces that the sender closes this link deliberately and stays alive."""


Message = (
    Hello
    | Challenge
    | Proof
    | Heartbeat
    | Ping
    | Pong
    | PingRequest
    | Items
    | Summary
    | BucketDigests
    | Want
    | Prune
    | Call
    | Reply
    | Bye
)

_MIN_COMPRESSED_BYTES = 128
_COMPRESSION_LEVEL = 6
_ZLIB_HEADER = b"\x78"  # No CBOR array starts with this byte.
_MAX_FRAME_BYTES = 16 * 1024 * 1024
_MESSAGES = tuple[Message, ...]


def encode(messages: Iterable[Message]) -> bytes:
    """Return one frame that contains *messages* in order."""
    built = [msgspec.to_builtins(message, builtin_types=(bytes,)) for message in messages]
    frame = cbor2.dumps(built)
    if len(frame) < _MIN_COMPRESSED_BYTES:
        return frame
    return zlib.compress(frame, _COMPRESSION_LEVEL)


def decode(data: bytes) -> Sequence[Message]:
    """Return the messages of a frame.

    Raises:
        PeerUnreachable: The frame is malformed or too large.
    """
    try:
        frame = _decompress(data) if data[:1] == _ZLIB_HEADER else data
        return msgspec.convert(cbor2.loads(frame), type=_MESSAGES)
    except (cbor2.CBORError, msgspec.ValidationError, zlib.error) as error:
        raise PeerUnreachable(f"malformed frame of {len(data)} bytes: {error}") from error


def _decompress(data: bytes) -> bytes:
    inflater = zlib.decompressobj()
    frame = inflater.decompress(data, _MAX_FRAME_BYTES)
    if not inflater.eof:
        raise PeerUnreachable(f"frame of more than {_MAX_FRAME_BYTES} bytes")
    return frame
