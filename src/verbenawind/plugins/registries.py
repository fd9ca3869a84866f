"""Registries of the adapters for backend servers."""

from collections.abc import Callable

from verbenawind.kernel import Registry
from verbenawind.kernel.messages import BackendServer
from verbenawind.kernel.ports import EngineClient, ScoringClient, ServiceClient

__all__ = ["ENGINE_ADAPTERS", "SCORING_ADAPTERS", "SERVICE_ADAPTERS"]

ENGINE_ADAPTERS: Registry[Callable[[BackendServer], EngineClient]] = Registry("engine adapter")
SERVICE_ADAPTERS: Registry[Callable[[BackendServer], ServiceClient]] = Registry("service adapter")
SCORING_ADAPTERS: Registry[Callable[[BackendServer], ScoringClient]] = Registry("scoring adapter")
