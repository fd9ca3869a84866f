"""Which adapter speaks to which group of backend servers, as the documents say."""

from verbenawind.document import EnvironmentRevision, KnownAdapters
from verbenawind.plugins.registries import ENGINE_ADAPTERS, SCORING_ADAPTERS, SERVICE_ADAPTERS

__all__ = ["AdapterNames", "known_adapters"]

_DEFAULT_ENGINE = "openai-http"
_DEFAULT_SERVICE = "service-http"
_DEFAULT_SCORING = "scoring-http"


def known_adapters() -> KnownAdapters:
    """Return the names of every adapter that is registered."""
    import verbenawind.plugins  # noqa: F401  # Its adapters register themselves on import.

    return KnownAdapters(
        engines=ENGINE_ADAPTERS.names(),
        services=SERVICE_ADAPTERS.names(),
        scoring_services=SCORING_ADAPTERS.names(),
    )


class AdapterNames:
    """Follows the documents in force."""

    __slots__ = ("_engines", "_scoring", "_services")

    def __init__(self) -> None:
        self._engines: dict[str, str] = {}
        self._services: dict[str, str] = {}
        self._scoring: dict[str, str] = {}

    def apply(self, revision: EnvironmentRevision) -> None:
        """Take in what a revision that comes into force says."""
        document = revision.document
        self._engines |= {pool.name: pool.engine for pool in document.pools}
        self._services |= {service.name: service.plugin for service in document.services}
        self._scoring |= {service.name: service.plugin for service in document.scoring_services}

    def engine(self, pool: str) -> str:
        """Return the adapter of a pool's engines."""
        return self._engines.get(pool, _DEFAULT_ENGINE)

    def service(self, service: str) -> str:
        """Return the adapter of a plain service's hosts."""
        return self._services.get(service, _DEFAULT_SERVICE)

    def scoring(self, service: str) -> str:
        """Return the adapter of a scoring service's hosts."""
        return self._scoring.get(service, _DEFAULT_SCORING)
