"""New weights: which engine gets which version when, and the orders that bring them there."""

from verbenawind.weights.controller import WeightsController

__all__ = ["WeightsController"]
