"""Rollouts for trainers: steps, samples, weight versions, delivery and grades."""

from verbenawind.rollout.service import Rollouts

__all__ = ["Rollouts"]
