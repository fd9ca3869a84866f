"""Records one daemon's live work into a file."""

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
    """A recorder together with its file.

    Args:
        path: The file that lines are appended to.
        clock: Time source.
        fleet: The backend servers that the header counts.
        peers: The daemons that the header counts.
        configuration: The revisions in force.
        generator: The generator that is recorded.
        services: The caller of plain services that is recorded.
        rollouts: The rollout service that is recorded.
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
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 - closed by close().
        self.recorder = TraceRecorder(
            self._file.write, clock, generator=generator, services=services, rollouts=rollouts
        )

    def begin(self) -> None:
        """Describe the fleet and what is in force, and record from now on."""
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
        """Close the file."""
        self._file.close()
