"""Routes requests by host and path to registered backend servers, without reading the bodies."""

from verbenawind.gateway.directory import Backend, Belief, Directory
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
    "Belief",
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
    "Service",
    "ServiceShare",
    "StreamForwarder",
    "service_of",
]
