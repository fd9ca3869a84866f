"""The messages between daemons and their CBOR form."""

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
    """The base of all messages; they travel as arrays that begin with their tag."""


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A spread item on the wire."""

    kind: str
    key: str
    rank: tuple[int, ...]
    body: bytes
    expires_at_s: float | int = 0

    @classmethod
    def of(cls, item: SpreadItem) -> "Entry":
        """Return the wire form of *item*."""
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
    """The dialler's first message: who it is and its nonce."""

    nonce: bytes
    peer_id: str
    address: str
    zone: str
    region: str
    incarnation: int
    purpose: str


class Challenge(_Message, frozen=True, kw_only=True, array_like=True, tag=1):
    """The acceptor's answer: its nonce, without saying who it is."""

    nonce: bytes


class Proof(_Message, frozen=True, kw_only=True, array_like=True, tag=2):
    """A proof of the shared key over both nonces; the acceptor's also says who it is."""

    mac: bytes
    hello: bytes = b""


class Heartbeat(_Message, frozen=True, kw_only=True, array_like=True, tag=3):
    """Says that the sender lives, and digests of what it holds.

    A digest of what changed lately is left out: it would differ from the receiver's for a while.
    """

    urgent_digest: int | None
    bulk_class: int
    first_bucket: int
    bucket_digests: tuple[int | None, ...]


class Ping(_Message, frozen=True, kw_only=True, array_like=True, tag=4):
    """Asks for a sign of life at once."""

    number: int


class Pong(_Message, frozen=True, kw_only=True, array_like=True, tag=5):
    """Answers a ping, or a ping request for *peer_id* whose subject lives."""

    number: int
    peer_id: str = ""


class PingRequest(_Message, frozen=True, kw_only=True, array_like=True, tag=6):
    """Asks whether *peer_id* gives signs of life to the receiver."""

    number: int
    peer_id: str


class Items(_Message, frozen=True, kw_only=True, array_like=True, tag=7):
    """Spread items that the sender believes to be new to the receiver."""

    entries: tuple[Entry, ...]


class Summary(_Message, frozen=True, kw_only=True, array_like=True, tag=8):
    """Hashes of key and content of everything that the sender holds in some buckets.

    With no buckets it announces single items whose bodies are too large to be pushed unasked.
    """

    item_class: int
    buckets: tuple[int, ...]
    entries: tuple[tuple[int, int], ...]


class BucketDigests(_Message, frozen=True, kw_only=True, array_like=True, tag=9):
    """The digest of each bucket of one class."""

    item_class: int
    digests: tuple[int, ...]


class Want(_Message, frozen=True, kw_only=True, array_like=True, tag=10):
    """Asks for the items with these key hashes."""

    item_class: int
    key_hashes: tuple[int, ...]


class Prune(_Message, frozen=True, kw_only=True, array_like=True, tag=11):
    """Asks not to push bulk items on this link: they come sooner by another one."""


class Call(_Message, frozen=True, kw_only=True, array_like=True, tag=12):
    """A call of one of the receiver's handlers."""

    number: int
    kind: str
    body: bytes


class Reply(_Message, frozen=True, kw_only=True, array_like=True, tag=13):
    """The answer to a call; *error* is empty when the handler returned."""

    number: int
    body: bytes = b""
    error: str = ""


class Bye(_Message, frozen=True, kw_only=True, array_like=True, tag=14):
    """Says that the sender closes the link on purpose and goes on living."""


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
_ZLIB_HEADER = b"\x78"  # No CBOR array of messages begins with this byte.
_MAX_FRAME_BYTES = 16 * 1024 * 1024
_MESSAGES = tuple[Message, ...]


def encode(messages: Iterable[Message]) -> bytes:
    """Return one frame that holds *messages* in order."""
    built = [msgspec.to_builtins(message, builtin_types=(bytes,)) for message in messages]
    frame = cbor2.dumps(built)
    if len(frame) < _MIN_COMPRESSED_BYTES:
        return frame
    return zlib.compress(frame, _COMPRESSION_LEVEL)


def decode(data: bytes) -> Sequence[Message]:
    """Return the messages of a frame; raises PeerUnreachable when it is malformed."""
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
