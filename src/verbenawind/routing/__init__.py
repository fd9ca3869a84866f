"""The path of a request: choice of backend server, limits, retries, whole answers."""

from verbenawind.routing.dispatcher import Dispatcher

__all__ = ["Dispatcher"]
