"""Cluster membership, gossip between daemons, and discovery of backend servers."""

from verbenawind.membership.bus import GossipBus
from verbenawind.membership.dialling import Seed
from verbenawind.membership.watching import FleetWatcher

__all__ = ["FleetWatcher", "GossipBus", "Seed"]
