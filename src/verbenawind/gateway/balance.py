"""Load balancing: selects the backend server with the lowest expected response time."""

from collections.abc import Callable, Collection, Sequence

from verbenawind.errors import NoBackendServer, Outcome
from verbenawind.gateway.directory import Backend
from verbenawind.gateway.types import Instance
from verbenawind.kernel.messages import Location, Value

__all__ = ["Choice", "choose", "no_server_error"]

# Round-trip times assumed for servers whose latency is not known yet.
_CROSS_ZONE_S = 0.003
_CROSS_REGION_S = 0.025
_NO_SERVER_RETRY_S = 0.5


def no_server_error(service: str, outcome: Outcome = Outcome.NOT_RUN) -> NoBackendServer:
    """Return the error for a request whose service has no available server.

    Args:
        service: The service.
        outcome: Whether a server may have run the request before.
    """
    return NoBackendServer(
        f"service {service} has no available server",
        outcome=outcome,
        retry_after_s=_NO_SERVER_RETRY_S,
    )


class Choice(Value, frozen=True, kw_only=True):
    """A selected server and the reasons for its selection."""

    instance_id: str
    expected_s: float
    outstanding: int
    candidates: int
    suspected: bool


def choose(
    backends: Sequence[Backend],
    location: Location,
    excluded: Collection[str],
    delay_s: Callable[[Instance], float],
) -> tuple[Backend, Choice] | None:
    """Return the server with the lowest expected response time, suspected servers last.

    Args:
        backends: The servers of the service.
        location: Where this daemon runs.
        excluded: Servers that the request has already been sent to.
        delay_s: Returns by how much a server's own limit delays a request.
    """
    candidates = [backend for backend in backends if backend.instance.instance_id not in excluded]
    if not candidates:
        return None
    best = min(
        candidates,
        key=lambda backend: (
            backend.suspected,
            _expected_s(backend, location) + delay_s(backend.instance),
            backend.instance.instance_id,
        ),
    )
    return best, Choice(
        instance_id=best.instance.instance_id,
        expected_s=round(_expected_s(best, location) + delay_s(best.instance), 4),
        outstanding=best.outstanding,
        candidates=len(candidates),
        suspected=best.suspected,
    )


def _expected_s(backend: Backend, location: Location) -> float:
    round_trip_s = _round_trip_s(backend.instance.location, location)
    queue = 1.0 + backend.outstanding / max(1, backend.instance.slots)
    return round_trip_s + backend.latency_s * queue + 0.001 * backend.outstanding


def _round_trip_s(there: Location, here: Location) -> float:
    if there.zone == here.zone:
        return 0.0
    return _CROSS_ZONE_S if there.region == here.region else _CROSS_REGION_S
