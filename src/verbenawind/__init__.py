"""A rollout service for reinforcement learning."""

from typing import TYPE_CHECKING

from verbenawind.lazy_exports import lazy_exports

if TYPE_CHECKING:
    from verbenawind.document import EnvironmentDocument, parse_document
    from verbenawind.errors import Outcome, VerbenawindError

__all__ = ["EnvironmentDocument", "Outcome", "VerbenawindError", "parse_document"]

__getattr__ = lazy_exports(
    __name__,
    {
        "EnvironmentDocument": "verbenawind.document",
        "Outcome": "verbenawind.errors",
        "VerbenawindError": "verbenawind.errors",
        "parse_document": "verbenawind.document",
    },
)
