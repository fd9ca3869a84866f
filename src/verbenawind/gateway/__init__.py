"""Routes requests by host and path to registered backend servers, without reading the bodies."""

from verbenawind.gateway.directory import Backend, Directory, ServerState
from verbenawind.gateway.forwarding import Forwarder, Reply
from verbenawind.gateway.ports import Answer, Attempt, BackendPort, CallerRequest
from verbenawind.gateway.routes import RouteTable, service_of
from verbenawind.gateway.streaming import StreamForwarder
from verbenawind.gateway.types import (
    EngineTraits,
    GatewayConfiguration,
    IngressLimits,
    Instance,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)

__all__ = [
    "Answer",
    "Attempt",
    "Backend",
    "BackendPort",
    "CallerRequest",
    "Directory",
    "EngineTraits",
    "Forwarder",
    "GatewayConfiguration",
    "IngressLimits",
    "Instance",
    "Reply",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServerState",
    "Service",
    "ServiceShare",
    "StreamForwarder",
    "service_of",
]
