"""The callers' and the operators' HTTP interfaces."""

from verbenawind.api.app import ApiServices, build_app

__all__ = ["ApiServices", "build_app"]
