"""Routes requests to backend servers: selection, limits, retries and resumption."""

from verbenawind.routing.dispatcher import Dispatcher
from verbenawind.routing.policy import RoutingPolicy

__all__ = ["Dispatcher", "RoutingPolicy"]
