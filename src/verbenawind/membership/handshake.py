"""Mutual authentication of two daemons by the shared key, before any other message."""

import asyncio
import hashlib
import hmac
import secrets
from typing import TypeVar

import msgspec

from verbenawind.errors import PeerUnauthenticated, PeerUnreachable
from verbenawind.kernel.ports import PeerChannel
from verbenawind.membership.wire import Challenge, Hello, Proof, decode, encode

__all__ = ["Identity", "accept_link", "open_link"]

T = TypeVar("T", Hello, Challenge, Proof)

_NONCE_BYTES = 16
_RECEIVE_TIMEOUT_S = 2.0
_DIALLER = b"dialler"
_ACCEPTOR = b"acceptor"


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The identity that a daemon sends when a link opens."""

    peer_id: str
    address: str
    zone: str
    region: str
    incarnation: int
    purpose: str = ""


async def open_link(channel: PeerChannel, key: bytes, own: Identity) -> Identity:
    """Authenticate with the dialled daemon and return its identity.

    Raises:
        PeerUnauthenticated: The dialled daemon did not prove possession of the key.
        PeerUnreachable: The link closed or the dialled daemon did not respond in time.
    """
    hello = _hello(own)
    await channel.send(encode([hello]))
    challenge = await _receive(channel, Challenge)
    nonces = hello.nonce + challenge.nonce
    await channel.send(encode([Proof(mac=_mac(key, _DIALLER, nonces, encode([hello])))]))
    proof = await _receive(channel, Proof)
    if not hmac.compare_digest(proof.mac, _mac(key, _ACCEPTOR, nonces, proof.hello)):
        raise PeerUnauthenticated("the dialled peer did not prove possession of the shared key")
    remote_hello = decode(proof.hello)[0]
    if not isinstance(remote_hello, Hello):
        raise PeerUnauthenticated("the dialled peer sent no Hello in its proof")
    return _identity(remote_hello)


async def accept_link(channel: PeerChannel, key: bytes, own: Identity) -> Identity:
    """Authenticate a dialler, then prove the key to it, and return its identity.

    Raises:
        PeerUnauthenticated: The dialler did not prove possession of the key; it is told nothing
            about this daemon.
        PeerUnreachable: The link closed or the dialler did not respond in time.
    """
    hello = await _receive(channel, Hello)
    challenge = Challenge(nonce=secrets.token_bytes(_NONCE_BYTES))
    await channel.send(encode([challenge]))
    nonces = hello.nonce + challenge.nonce
    proof = await _receive(channel, Proof)
    if not hmac.compare_digest(proof.mac, _mac(key, _DIALLER, nonces, encode([hello]))):
        raise PeerUnauthenticated(
            f"dialler {hello.peer_id!r} did not prove possession of the shared key"
        )
    body = encode([_hello(own)])
    await channel.send(encode([Proof(mac=_mac(key, _ACCEPTOR, nonces, body), hello=body)]))
    return _identity(hello)


async def _receive(channel: PeerChannel, kind: type[T]) -> T:
    try:
        async with asyncio.timeout(_RECEIVE_TIMEOUT_S):
            data = await channel.receive()
    except TimeoutError as error:
        raise PeerUnreachable(
            f"no {kind.__name__} message within {_RECEIVE_TIMEOUT_S} s"
        ) from error
    messages = decode(data)
    if len(messages) != 1 or not isinstance(messages[0], kind):
        raise PeerUnauthenticated(f"the peer sent something other than one {kind.__name__}")
    return messages[0]


def _mac(key: bytes, role: bytes, nonces: bytes, hello: bytes) -> bytes:
    return hmac.digest(key, role + nonces + hello, hashlib.sha256)


def _hello(own: Identity) -> Hello:
    return Hello(
        nonce=secrets.token_bytes(_NONCE_BYTES),
        peer_id=own.peer_id,
        address=own.address,
        zone=own.zone,
        region=own.region,
        incarnation=own.incarnation,
        purpose=own.purpose,
    )


def _identity(hello: Hello) -> Identity:
    return Identity(
        peer_id=hello.peer_id,
        address=hello.address,
        zone=hello.zone,
        region=hello.region,
        incarnation=hello.incarnation,
        purpose=hello.purpose,
    )
