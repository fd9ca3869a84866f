"""Cluster membership, gossip between daemons, and discovery of backend servers."""

from verbenawind.membership.bus import GossipBus
from verbenawind.membership.dialler import Seed
from verbenawind.membership.fleet_watcher import FleetWatcher

__all__ = ["FleetWatcher", "GossipBus", "Seed"]
