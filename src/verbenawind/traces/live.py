"""Records the requests that a running daemon serves to a trace file."""

from collections import Counter

from verbenawind.clock import Clock
from verbenawind.kernel import Fleet
from verbenawind.kernel.messages import BackendKind
from verbenawind.kernel.ports import (
    Configuration,
    Generator,
    PeerBus,
    RolloutService,
    ServiceCaller,
)
from verbenawind.traces.recorder import TraceRecorder
from verbenawind.traces.types import Header

__all__ = ["LiveRecording"]


class LiveRecording:
    """A trace recorder and the file that it appends to.

    Args:
        path: File to which lines are appended.
        clock: Time source.
        fleet: Backend servers, counted in the header.
        peers: Other daemons, counted in the header.
        configuration: Source of the active revisions.
        generator: Generator whose calls are recorded.
        services: Plain-service caller whose calls are recorded.
        rollouts: Rollout service whose calls are recorded.
    """

    def __init__(
        self,
        path: str,
        clock: Clock,
        *,
        fleet: Fleet,
        peers: PeerBus,
        configuration: Configuration,
        generator: Generator,
        services: ServiceCaller,
        rollouts: RolloutService,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._configuration = configuration
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 - closed in close().
        self.recorder = TraceRecorder(
            self._file.write, clock, generator=generator, services=services, rollouts=rollouts
        )

    def begin(self) -> None:
        """Write the header and the active revisions, then record every call."""
        views = self._fleet.all()
        regions = {view.server.location.region for view in views} | {self._fleet.location.region}
        groups = Counter((view.server.kind, view.server.group) for view in views)
        header = Header(
            name=f"recorded by {self._peers.peer_id}",
            user=self._peers.peer_id,
            seed=1,
            regions=tuple(sorted(regions)),
            daemons=len(self._peers.peers()) + 1,
            engines={name: n for (kind, name), n in groups.items() if kind is BackendKind.ENGINE},
            services={name: n for (kind, name), n in groups.items() if kind is BackendKind.SERVICE},
        )
        self.recorder.begin(header, self._configuration.environments())
        self._configuration.subscribe(self.recorder.revision_in_force)

    def close(self) -> None:
        """Close the trace file."""
        self._file.close()
