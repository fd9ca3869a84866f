"""Random identifiers for requests and attempts, deterministic ones for samples, and digests."""

import hashlib
import secrets

__all__ = ["digest_hex", "new_id", "sample_id"]

_RANDOM_BYTES = 10


def new_id(prefix: str) -> str:
    """Return a new random identifier such as ``req-1f0c...``."""
    return f"{prefix}-{secrets.token_hex(_RANDOM_BYTES)}"


def sample_id(environment: str, trainer: str, step: int, group: int, index: int) -> str:
    """Return the deterministic identifier of one sample of a step."""
    return f"{environment}:{trainer}:{step}:{group}:{index}"


def digest_hex(data: bytes) -> str:
    """Return the SHA-256 digest of *data* in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
