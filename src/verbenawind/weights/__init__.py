"""Weight updates: decides which engine loads which version when, and gives the orders."""

from verbenawind.weights.controller import WeightsController

__all__ = ["WeightsController"]
