"""Chooses the backend server that is expected to answer first."""

from collections.abc import Collection, Sequence

from verbenawind.errors import NoBackendServer
from verbenawind.gateway.directory import Backend
from verbenawind.kernel.messages import Location, Value

__all__ = ["Choice", "choose", "no_server"]

# Usual round trips, until measured latencies outweigh them.
_OTHER_ZONE_S = 0.003
_OTHER_REGION_S = 0.025
_NO_SERVER_RETRY_S = 0.5


def no_server(service: str) -> NoBackendServer:
    """Return the error of a request that no server of its service could be chosen for."""
    return NoBackendServer(
        f"service {service} has no server to send to", retry_after_s=_NO_SERVER_RETRY_S
    )


class Choice(Value, frozen=True, kw_only=True):
    """A chosen server and what decided it."""

    instance_id: str
    expected_s: float
    outstanding: int
    candidates: int
    suspected: bool


def choose(
    backends: Sequence[Backend], location: Location, excluded: Collection[str]
) -> tuple[Backend, Choice] | None:
    """Return the server with the least expected time; suspected ones come last.

    Args:
        backends: The servers of the service.
        location: Where this daemon runs.
        excluded: Servers that the request was already sent to.
    """
    candidates = [backend for backend in backends if backend.instance.instance_id not in excluded]
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda backend: (
            backend.suspected,
            _expected_s(backend, location),
            backend.instance.instance_id,
        ),
    )
    return best, Choice(
        instance_id=best.instance.instance_id,
        expected_s=round(_expected_s(best, location), 4),
        outstanding=best.outstanding,
        candidates=len(candidates),
        suspected=best.suspected,
    )


def _expected_s(backend: Backend, location: Location) -> float:
    distance_s = _distance_s(backend.instance.location, location)
    queue = 1.0 + backend.outstanding / max(1, backend.instance.slots)
    return distance_s + backend.latency_s * queue + 0.001 * backend.outstanding


def _distance_s(there: Location, here: Location) -> float:
    if there.zone == here.zone:
        return 0.0
    return _OTHER_ZONE_S if there.region == here.region else _OTHER_REGION_S
