"""Benchmarks of the service; ``python -m bench`` runs them."""
