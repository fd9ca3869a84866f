"""What daemons know of each other."""

from verbenawind.membership.bus import LonePeerBus

__all__ = ["LonePeerBus"]
