"""The trainer's side: steps, samples, versions, delivery and grades."""

from verbenawind.rollout.service import Rollouts

__all__ = ["Rollouts"]
