"""What must be agreed or last: the clients of the platform's stores, leases, configuration."""

from verbenawind.state.clients import ObjectClient, TableClient
from verbenawind.state.configuration import ConfigurationStore
from verbenawind.state.leases import LeaseManager

__all__ = ["ConfigurationStore", "LeaseManager", "ObjectClient", "TableClient"]
