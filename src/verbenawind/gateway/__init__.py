"""Routes requests by host and path to registered backend servers, without reading the bodies."""

from verbenawind.gateway.allowances import Allowances
from verbenawind.gateway.crash_guard import CrashGuard
from verbenawind.gateway.crash_history import CrashHistory
from verbenawind.gateway.crash_records import CRASH_KEY_PREFIX, CrashRecords
from verbenawind.gateway.directory import Backend, Directory, ServerState
from verbenawind.gateway.drain import Drain, RequestDurations
from verbenawind.gateway.forwarding import Forwarder, Reply
from verbenawind.gateway.guarded_request import GuardedRequest
from verbenawind.gateway.leaving import StayingBackends
from verbenawind.gateway.limit_records import LIMIT_KEY_PREFIX, LimitRecords
from verbenawind.gateway.limited_backends import LimitedBackends
from verbenawind.gateway.ports import Attempt, BackendPort, BackendResponse, CallerRequest
from verbenawind.gateway.routes import RouteTable, service_of
from verbenawind.gateway.server_ends import EndEvidence, ServerEndMonitor
from verbenawind.gateway.server_limits import NamedLimit, Permit, ServerLimits
from verbenawind.gateway.streaming import StreamForwarder
from verbenawind.gateway.turn_pool import LIMITS_TABLE
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
    "CRASH_KEY_PREFIX",
    "LIMITS_TABLE",
    "LIMIT_KEY_PREFIX",
    "Allowances",
    "Attempt",
    "Backend",
    "BackendPort",
    "BackendResponse",
    "CallerRequest",
    "CrashGuard",
    "CrashHistory",
    "CrashRecords",
    "Directory",
    "Drain",
    "EndEvidence",
    "EngineTraits",
    "Forwarder",
    "GatewayConfiguration",
    "GuardedRequest",
    "IngressLimits",
    "Instance",
    "LimitRecords",
    "LimitedBackends",
    "NamedLimit",
    "Permit",
    "Reply",
    "RequestDurations",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServerEndMonitor",
    "ServerLimits",
    "ServerState",
    "Service",
    "ServiceShare",
    "StayingBackends",
    "StreamForwarder",
    "service_of",
]
