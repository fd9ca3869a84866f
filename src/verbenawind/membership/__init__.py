"""What daemons know of each other."""

from verbenawind.membership.bus import GossipBus
from verbenawind.membership.dialling import Seed

__all__ = ["GossipBus", "Seed"]
