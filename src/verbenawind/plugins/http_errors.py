"""Turns httpx's failures into errors that say truly whether the call may have run."""

import contextlib
from collections.abc import Iterator

import httpx

from verbenawind.errors import BackendServerFailed, BackendServerUnreachable, StoreUnavailable

__all__ = ["backend_errors", "store_errors"]

_NOTHING_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@contextlib.contextmanager
def backend_errors(what: str) -> Iterator[None]:
    """Raise BackendServerUnreachable or BackendServerFailed for failures of a backend call."""
    try:
        yield
    except _NOTHING_SENT as error:
        raise BackendServerUnreachable(f"{what}: {error!r}") from error
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise BackendServerFailed(f"{what}: {error!r}") from error


@contextlib.contextmanager
def store_errors(what: str) -> Iterator[None]:
    """Raise StoreUnavailable for failures of a platform call."""
    try:
        yield
    except _NOTHING_SENT as error:
        raise StoreUnavailable(f"{what}: {error!r}", effect_possible=False) from error
    except httpx.HTTPError as error:
        raise StoreUnavailable(f"{what}: {error!r}", effect_possible=True) from error
