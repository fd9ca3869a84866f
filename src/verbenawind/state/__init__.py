"""Clients of the platform's stores, leases and the configuration store."""

from verbenawind.state.clients import ObjectClient, TableClient
from verbenawind.state.configuration import ConfigurationStore
from verbenawind.state.leases import LeaseManager

__all__ = ["ConfigurationStore", "LeaseManager", "ObjectClient", "TableClient"]
