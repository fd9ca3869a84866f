"""Shared messages, ports, plug-in registries and the fleet view."""

from verbenawind.kernel.fleet import Fleet, ServerView
from verbenawind.kernel.registry import Registry

__all__ = ["Fleet", "Registry", "ServerView"]
