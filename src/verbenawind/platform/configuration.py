"""Decodes the store rows that operators, trainers and backend servers write."""

import math
from collections.abc import Mapping
from typing import Any, Literal

import msgspec

from verbenawind.errors import Undecodable
from verbenawind.gateway import (
    EngineTraits,
    GatewayConfiguration,
    IngressLimits,
    Instance,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from verbenawind.kernel.decoding import convert_value, decode_json
from verbenawind.kernel.messages import Location
from verbenawind.kernel.wire_types import (
    Count,
    DurationMs,
    DurationS,
    Identifier,
    Int64,
    PositiveCount,
    is_socket_address,
)
from verbenawind.node import NamedVersion
from verbenawind.platform.names import OPERATOR_TABLE, SERVERS_TABLE

__all__ = ["PlatformRegistry", "decode_configuration", "decode_instance"]

_CONFIGURATION_KEY = "config"
_VERSION_KEY_PREFIX = "version/"
_MS = 1000.0

_ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
    "rollout": RouteKind.BATCH,
    "batch": RouteKind.BATCH,
}


class _Wire(msgspec.Struct, frozen=True, kw_only=True, rename="kebab"):
    """A JSON record of the platform; unknown fields are ignored."""


class _Share(_Wire, frozen=True, kw_only=True):
    service: str
    weight: float


class _Route(_Wire, frozen=True, kw_only=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: DurationMs = 0
    target_latency_ms: DurationMs = 0
    max_attempts: Int64 = 1
    priority: Int64 = 0
    service: str = ""
    weighted_services: list[_Share] = []
    resumable: bool = False
    single_version: bool = False
    # Both count from the first submission of a batch job.
    result_deadline_ms: DurationMs = 0
    retention_s: DurationS = 0


class _EngineModel(_Wire, frozen=True, kw_only=True):
    name: str


class _Engine(_Wire, frozen=True, kw_only=True):
    # The number of concurrent requests, not of connections.
    slots: Int64
    models: list[_EngineModel] = []


class _Service(_Wire, frozen=True, kw_only=True):
    name: str
    max_connections: Int64 = 0
    engine: _Engine | None = None


class _Limits(_Wire, frozen=True, kw_only=True):
    max_header_bytes: Count = 16 * 1024
    max_body_bytes: Count = 32 * 1024 * 1024
    # The time limit for receiving a request's head.
    header_timeout_ms: DurationMs = 3000
    # How long a connection may be idle between requests.
    idle_timeout_ms: DurationMs = 15000


class _Configuration(_Wire, frozen=True, kw_only=True):
    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()


class _LoadedModel(_Wire, frozen=True, kw_only=True):
    name: str
    # The version of the weights; the field of this name in the server's own record is the version
    # of its software.
    version: Count


class _Server(_Wire, frozen=True, kw_only=True):
    service: str
    address: str
    zone: str
    slots: PositiveCount
    state: Literal["ready", "draining"]
    # Start time of the server's current incarnation, in Unix milliseconds.
    born: Count = 0
    # Not used, but an entry with another type here is no server's.
    version: str = ""
    cold_remaining_ms: float = 0
    seq: Int64 = 0
    models: list[_LoadedModel] = []


class _NamedVersion(_Wire, frozen=True, kw_only=True):
    model: str
    version: Count


class PlatformRegistry:
    """Decodes the platform's rows; implements the RegistryFormat port.

    Args:
        region_of_zone: The region of each availability zone.
    """

    operator_table = OPERATOR_TABLE
    servers_table = SERVERS_TABLE

    def __init__(self, region_of_zone: Mapping[str, str]) -> None:
        self._region_of_zone = region_of_zone

    def operator_row(self, key: str, value: bytes) -> GatewayConfiguration | NamedVersion | None:
        """Decode a configuration or a trainer's version; None for other keys.

        Raises:
            Undecodable: The row is malformed.
        """
        if key == _CONFIGURATION_KEY:
            return decode_configuration(value)
        if not key.startswith(_VERSION_KEY_PREFIX):
            return None
        wire = decode_json(value, _NamedVersion)
        return NamedVersion(model=wire.model, version=wire.version)

    def instance(self, instance_id: str, value: bytes) -> Instance:
        """Decode a backend server's registration.

        Raises:
            Undecodable: The entry is malformed or names no server that could be used.
        """
        return decode_instance(instance_id, value, self._region_of_zone)


def decode_configuration(value: bytes) -> GatewayConfiguration:
    """Decode the operator's configuration; routes of an unknown kind are ignored.

    Raises:
        Undecodable: The value is not a valid configuration.
    """
    wire = decode_json(value, _Configuration)
    limits = wire.limits
    return GatewayConfiguration(
        version=wire.version,
        routes=tuple(_route(route) for route in wire.routes if route.kind in _ROUTE_KINDS),
        services={service.name: _service(service) for service in wire.services},
        limits=IngressLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS,
            idle_timeout_s=limits.idle_timeout_ms / _MS,
        ),
    )


def decode_instance(instance_id: str, value: bytes, region_of_zone: Mapping[str, str]) -> Instance:
    """Decode a backend server's registration.

    Raises:
        Undecodable: The entry is malformed or names no server that could be used.
    """
    raw = decode_json(value, object)
    try:
        raw = _integral_floats_to_int(raw)
    except RecursionError as error:
        raise Undecodable(f"not a valid Server: {error}") from error
    wire = convert_value(raw, _Server)
    convert_value(instance_id, Identifier)
    if not wire.service or not is_socket_address(wire.address):
        raise Undecodable(f"not a valid Server: service {wire.service!r}, address {wire.address!r}")
    return Instance(
        instance_id=instance_id,
        service=wire.service,
        address=wire.address,
        location=Location(zone=wire.zone, region=region_of_zone.get(wire.zone, "")),
        slots=wire.slots,
        draining=wire.state == "draining",
        started_ms=wire.born,
        versions={model.name: model.version for model in wire.models},
    )


def _route(wire: _Route) -> Route:
    shares = [
        ServiceShare(service=share.service, weight=share.weight)
        for share in wire.weighted_services
        if share.weight > 0
    ]
    if wire.service:
        shares = [ServiceShare(service=wire.service, weight=1.0)]
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=_ROUTE_KINDS[wire.kind],
        timeout_s=wire.timeout_ms / _MS if wire.timeout_ms else math.inf,
        target_latency_s=wire.target_latency_ms / _MS,
        max_attempts=max(1, wire.max_attempts),
        priority=wire.priority,
        services=tuple(shares),
        resumable=wire.resumable,
        single_version=wire.single_version,
        result_deadline_s=wire.result_deadline_ms / _MS,
        retention_s=wire.retention_s,
    )


def _service(wire: _Service) -> Service:
    engine = None
    if wire.engine is not None:
        engine = EngineTraits(
            slots=wire.engine.slots, models=tuple(model.name for model in wire.engine.models)
        )
    return Service(name=wire.name, max_connections=wire.max_connections, engine=engine)


def _integral_floats_to_int(raw: Any) -> Any:
    """Convert floats without a fractional part, such as 5.0, to integers, recursively.

    Some writers encode integers with a decimal point.
    """
    if isinstance(raw, dict):
        return {key: _integral_floats_to_int(value) for key, value in raw.items()}
    if isinstance(raw, list):
        return [_integral_floats_to_int(value) for value in raw]
    if isinstance(raw, float) and raw.is_integer():
        return int(raw)
    return raw
