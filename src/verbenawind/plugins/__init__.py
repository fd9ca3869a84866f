"""Adapters for external systems; importing this package registers all of them."""

from verbenawind.plugins import (
    backend_clients,
    engine_http,
    platform_http,
    scoring_http,
    service_http,
)

__all__ = ["backend_clients", "engine_http", "platform_http", "scoring_http", "service_http"]
