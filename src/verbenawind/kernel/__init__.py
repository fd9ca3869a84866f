"""The kernel: messages, ports, the registries of plug-ins and the view of the fleet."""

from verbenawind.kernel.fleet import Fleet, ServerView
from verbenawind.kernel.registry import Registry

__all__ = ["Fleet", "Registry", "ServerView"]
