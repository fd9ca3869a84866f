"""Registry of plug-in factories by name."""

from collections.abc import Callable
from typing import Generic, TypeVar

from verbenawind.errors import SettingsInvalid

__all__ = ["Registry"]

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps the names used in documents and settings to plug-in factories.

    Args:
        kind: Kind of plug-in, for error messages.
    """

    __slots__ = ("_factories", "_kind")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers a factory under *name*.

        Raises:
            ValueError: The name is already registered.
        """

        def decorate(factory: T) -> T:
            if name in self._factories:
                raise ValueError(f"{self._kind} {name!r} is already registered")
            self._factories[name] = factory
            return factory

        return decorate

    def get(self, name: str) -> T:
        """Return the factory registered under *name*.

        Raises:
            SettingsInvalid: The name is not registered.
        """
        if name not in self._factories:
            known = ", ".join(sorted(self._factories)) or "none"
            raise SettingsInvalid(f"unknown {self._kind} {name!r}; known: {known}")
        return self._factories[name]

    def names(self) -> tuple[str, ...]:
        """Return the registered names in sorted order."""
        return tuple(sorted(self._factories))
