"""The names of the adapters that environment documents can refer to."""

from verbenawind.document import KnownAdapters
from verbenawind.plugins.registries import ENGINE_ADAPTERS, SCORING_ADAPTERS, SERVICE_ADAPTERS

__all__ = ["known_adapters"]


def known_adapters() -> KnownAdapters:
    """Return the names of all registered adapters."""
    import verbenawind.plugins.adapters  # noqa: F401  # The adapters register themselves on import.

    return KnownAdapters(
        engines=ENGINE_ADAPTERS.names(),
        services=SERVICE_ADAPTERS.names(),
        scoring_services=SCORING_ADAPTERS.names(),
    )
