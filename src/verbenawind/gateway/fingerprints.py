"""Identifies repeats of a caller's request."""

import hashlib

from verbenawind.gateway.ports import CallerRequest

__all__ = ["base_fingerprint", "caller_of", "request_fingerprint"]

_DIGEST_BYTES = 16
_CALLER_BYTES = 6
_SEPARATOR = "."


def request_fingerprint(request: CallerRequest) -> str:
    """Return a digest that is the same for every repeat of a caller's request, whatever its id."""
    head = "\0".join((request.method, request.host, request.target, ""))
    base = _digest(head.encode() + request.body, _DIGEST_BYTES)
    if not request.caller:
        return base
    return f"{base}{_SEPARATOR}{_digest(request.caller.encode(), _CALLER_BYTES)}"


def base_fingerprint(fingerprint: str) -> str:
    """Return the part of a fingerprint that the same requests of all callers share."""
    return fingerprint.partition(_SEPARATOR)[0]


def caller_of(fingerprint: str) -> str:
    """Return the digest of the caller's address, empty if the request named none."""
    return fingerprint.partition(_SEPARATOR)[2]


def _digest(data: bytes, size_bytes: int) -> str:
    return hashlib.blake2b(data, digest_size=size_bytes).hexdigest()
