"""What the gateway routes by: routes, services, limits, and backend servers."""

from collections.abc import Mapping
from enum import StrEnum

from verbenawind.kernel.messages import Location, Value

__all__ = [
    "EngineTraits",
    "GatewayConfiguration",
    "IngressLimits",
    "Instance",
    "Route",
    "RouteKind",
    "Service",
    "ServiceShare",
]


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


class ServiceShare(Value, frozen=True, kw_only=True):
    """A service that serves a route, and its weight among the route's services."""

    service: str
    weight: float


class Route(Value, frozen=True, kw_only=True):
    """Requests of one host below one path prefix.

    ``result_deadline_s`` and ``retention_s`` count from a batch job's first submission.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    services: tuple[ServiceShare, ...]
    resumable: bool = False
    single_version: bool = False
    result_deadline_s: float = 0.0
    retention_s: float = 0.0


class EngineTraits(Value, frozen=True, kw_only=True):
    """What the operator says of a service's model engines."""

    slots: int
    models: tuple[str, ...]


class Service(Value, frozen=True, kw_only=True):
    """A pool of backend servers; ``engine`` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None


class IngressLimits(Value, frozen=True, kw_only=True):
    """What a caller may send, and how long a connection may rest."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class GatewayConfiguration(Value, frozen=True, kw_only=True):
    """One version of the operator's whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: IngressLimits


class Instance(Value, frozen=True, kw_only=True):
    """A backend server as it registered itself.

    ``started_ms`` tells incarnations under one id apart. ``versions`` holds the weight version
    of each model that an engine serves.
    """

    instance_id: str
    service: str
    address: str
    location: Location
    slots: int
    draining: bool
    started_ms: int
    versions: Mapping[str, int]
