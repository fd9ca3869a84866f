"""Adapters for external systems; importing ``plugins.adapters`` registers all of them.

The package itself imports nothing: a daemon on the users' platform needs few of its modules, and
what it imports delays its start.
"""
