"""Registers all adapters for external systems by importing them."""

from verbenawind.plugins import (
    backend_clients,
    engine_http,
    platform_http,
    scoring_http,
    service_http,
)

__all__ = ["backend_clients", "engine_http", "platform_http", "scoring_http", "service_http"]
