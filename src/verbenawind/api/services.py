"""What the HTTP handlers work with."""

from collections.abc import Callable
from typing import Any

from litestar import Request

from verbenawind.api.auth import CallerIndex, authenticate_operator
from verbenawind.clock import Clock
from verbenawind.decisions import DecisionRecord
from verbenawind.document import CallerSpec, EnvironmentRevision
from verbenawind.errors import UnknownEnvironment
from verbenawind.kernel import Fleet
from verbenawind.kernel.ports import Generator, PeerBus, RolloutService, ServiceCaller
from verbenawind.metrics import Metrics
from verbenawind.settings import DaemonSettings
from verbenawind.state import ConfigurationStore

__all__ = ["ApiServices", "caller_of", "operator_services"]


class ApiServices:
    """The parts of a daemon that its HTTP interface exposes.

    Args:
        settings: The daemon's settings.
        configuration: Revisions in force and their acceptance.
        generator: Runs generations.
        service_caller: Routes calls to plain services.
        rollouts: The trainer's side.
        fleet: The view of the backend servers.
        peers: The other daemons.
        decisions: The latest decision lines.
        metrics: The daemon's metrics.
        clock: Time source.
        ready: Tells whether the daemon takes new work.
    """

    __slots__ = (
        "_callers",
        "clock",
        "configuration",
        "decisions",
        "fleet",
        "generator",
        "metrics",
        "peers",
        "ready",
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
        fleet: Fleet,
        peers: PeerBus,
        decisions: DecisionRecord,
        metrics: Metrics,
        clock: Clock,
        ready: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.generator = generator
        self.service_caller = service_caller
        self.rollouts = rollouts
        self.fleet = fleet
        self.peers = peers
        self.decisions = decisions
        self.metrics = metrics
        self.clock = clock
        self.ready = ready
        self._callers = CallerIndex()

    def caller(self, request: Request[Any, Any, Any], revision: EnvironmentRevision) -> CallerSpec:
        """Return the caller of a request; raises Unauthorized."""
        return self._callers.authenticate(request, revision)


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
    return services, revision, services.caller(request, revision)


def operator_services(request: Request[Any, Any, Any]) -> ApiServices:
    """Return the services to an operator.

    Raises:
        Unauthorized: The request does not bear the operators' token.
    """
    services: ApiServices = request.app.state["services"]
    authenticate_operator(request, services.settings.operator_token_sha256)
    return services
