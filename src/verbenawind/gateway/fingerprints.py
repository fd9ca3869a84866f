"""Identifies repeats of a caller's request."""

import hashlib

from verbenawind.gateway.ports import CallerRequest

__all__ = ["request_fingerprint"]

_DIGEST_BYTES = 16


def request_fingerprint(request: CallerRequest) -> str:
    """Return a digest that is the same for every repeat of a request, whatever its id."""
    head = "\0".join((request.method, request.host, request.target, ""))
    data = head.encode() + request.body
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()
