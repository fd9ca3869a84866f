"""A rollout service for reinforcement learning."""

from verbenawind.document import EnvironmentDocument, parse_document
from verbenawind.errors import Outcome, VerbenawindError

__all__ = ["EnvironmentDocument", "Outcome", "VerbenawindError", "parse_document"]
