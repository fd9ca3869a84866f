"""What the HTTP handlers work with."""

from typing import Any

from litestar import Request

from verbenawind.api.auth import authenticate_caller
from verbenawind.clock import Clock
from verbenawind.document import CallerSpec, EnvironmentRevision
from verbenawind.errors import UnknownEnvironment
from verbenawind.kernel.ports import Generator, RolloutService, ServiceCaller
from verbenawind.settings import DaemonSettings
from verbenawind.state import ConfigurationStore

__all__ = ["ApiServices", "caller_of"]


class ApiServices:
    """The parts of a daemon that its HTTP interface exposes.

    Args:
        settings: The daemon's settings.
        configuration: Revisions in force and their acceptance.
        generator: Runs generations.
        service_caller: Routes calls to plain services.
        rollouts: The trainer's side.
        clock: Time source.
    """

    __slots__ = (
        "clock",
        "configuration",
        "generator",
        "rollouts",
        "service_caller",
        "settings",
    )

    def __init__(
        self,
        *,
        settings: DaemonSettings,
        configuration: ConfigurationStore,
        generator: Generator,
        service_caller: ServiceCaller,
        rollouts: RolloutService,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.generator = generator
        self.service_caller = service_caller
        self.rollouts = rollouts
        self.clock = clock


def caller_of(
    request: Request[Any, Any, Any], environment: str, stage: str
) -> tuple[ApiServices, EnvironmentRevision, CallerSpec]:
    """Return the services, the revision the request begins under, and its caller.

    Raises:
        UnknownEnvironment: No revision of the environment and stage is known.
        Unauthorized: The request bears no caller's token.
    """
    services: ApiServices = request.app.state["services"]
    revision = services.configuration.current(environment, stage)
    if revision is None:
        raise UnknownEnvironment(f"environment {environment!r} has no stage {stage!r} in force")
    return services, revision, authenticate_caller(request, revision)
