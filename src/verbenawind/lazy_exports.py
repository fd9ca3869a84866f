"""Re-exports of packages that are imported on their first use."""

import importlib
from collections.abc import Callable, Mapping
from typing import Any

__all__ = ["lazy_exports"]


def lazy_exports(package: str, modules: Mapping[str, str]) -> Callable[[str], Any]:
    """Return a module-level ``__getattr__`` that imports re-exported names on their first use.

    A program that needs one module of a package then does not wait for the others at its start.

    Args:
        package: Name of the package.
        modules: The module that defines each re-exported name.
    """

    def get_attribute(name: str) -> Any:
        if name not in modules:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(importlib.import_module(modules[name]), name)

    return get_attribute
