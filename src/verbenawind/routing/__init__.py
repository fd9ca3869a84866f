"""The path of a request: choice of backend server, limits, retries, whole answers."""

from verbenawind.routing.dispatcher import Dispatcher
from verbenawind.routing.policy import RoutingPolicy

__all__ = ["Dispatcher", "RoutingPolicy"]
