"""Registries through which plug-ins make themselves known by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from verbenawind.errors import SettingsInvalid

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps the names that documents and settings use to the factories of plug-ins.

    Args:
        what: What the registry holds, for error messages.
    """

    __slots__ = ("_factories", "_what")

    def __init__(self, what: str) -> None:
        self._what = what
        self._factories: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a factory under *name*.

        Raises:
            ValueError: The name is taken.
        """

        def decorate(factory: T) -> T:
            if name in self._factories:
                raise ValueError(f"{self._what} {name!r} is registered twice")
            self._factories[name] = factory
            return factory

        return decorate

    def get(self, name: str) -> T:
        """Return the factory registered under *name*.

        Raises:
            SettingsInvalid: No plug-in has that name.
        """
        if name not in self._factories:
            known = ", ".join(sorted(self._factories)) or "none"
            raise SettingsInvalid(f"unknown {self._what} {name!r}; known are: {known}")
        return self._factories[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in order."""
        return tuple(sorted(self._factories))
