"""Adapters to the deployment platform: its settings file, row formats and HTTP interfaces.

Decisions are made elsewhere; this package only translates.
"""
