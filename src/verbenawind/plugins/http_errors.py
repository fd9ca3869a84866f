"""Converts httpx exceptions to errors that state whether the call may have been executed."""

import contextlib
from collections.abc import Iterator

import httpx

from verbenawind.errors import BackendServerFailed, BackendServerUnreachable, StoreUnavailable

__all__ = ["backend_errors", "store_errors"]

_NOTHING_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@contextlib.contextmanager
def backend_errors(operation: str) -> Iterator[None]:
    """Convert httpx exceptions to BackendServerUnreachable or BackendServerFailed."""
    try:
        yield
    except _NOTHING_SENT as error:
        raise BackendServerUnreachable(f"{operation}: {error!r}") from error
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise BackendServerFailed(f"{operation}: {error!r}") from error


@contextlib.contextmanager
def store_errors(operation: str) -> Iterator[None]:
    """Convert httpx exceptions to StoreUnavailable."""
    try:
        yield
    except _NOTHING_SENT as error:
        raise StoreUnavailable(f"{operation}: {error!r}", effect_possible=False) from error
    except httpx.HTTPError as error:
        raise StoreUnavailable(f"{operation}: {error!r}", effect_possible=True) from error
