"""Weight updates: decides which engine loads which version when, and gives the orders."""

from typing import TYPE_CHECKING

from verbenawind.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from verbenawind.weights.controller import WeightsController

__all__ = ["WeightsController"]

__getattr__ = lazy_exports(__name__, {"WeightsController": "verbenawind.weights.controller"})
