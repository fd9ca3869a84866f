"""Data types of the gateway: routes, services, limits and backend servers."""

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
    """How the requests of a route are handled, and whether they may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


class ServiceShare(Value, frozen=True, kw_only=True):
    """A service that serves a route, with its relative traffic weight."""

    service: str
    weight: float


class Route(Value, frozen=True, kw_only=True):
    """The settings for requests to one host and path prefix.

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
    """The configured properties of a service's model engines."""

    slots: int
    models: tuple[str, ...]


class Service(Value, frozen=True, kw_only=True):
    """A pool of backend servers. ``engine`` is None for a service without model engines."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None


class IngressLimits(Value, frozen=True, kw_only=True):
    """Size and time limits for callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class GatewayConfiguration(Value, frozen=True, kw_only=True):
    """One version of the operator's complete configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: IngressLimits


class Instance(Value, frozen=True, kw_only=True):
    """The registry entry of a backend server.

    ``started_ms`` distinguishes incarnations with the same id. ``versions`` maps each model that
    an engine serves to its weight version.
    """

    instance_id: str
    service: str
    address: str
    location: Location
    slots: int
    draining: bool
    started_ms: int
    versions: Mapping[str, int]
