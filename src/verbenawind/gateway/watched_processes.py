"""What is known of a server's process that left requests unanswered."""

import asyncio

from verbenawind.gateway.directory import Backend
from verbenawind.gateway.unanswered_sends import UnansweredSend
from verbenawind.kernel.probe_ports import ProbeResult

__all__ = ["ProcessWatch"]


class ProcessWatch:
    """The unanswered sends of one incarnation."""

    __slots__ = (
        "answered_at_s",
        "backend",
        "decided_at_s",
        "ended",
        "probe",
        "sends",
        "silent",
        "unanswered_at_s",
        "was_removed",
        "was_replaced",
        "watched_at_s",
    )

    def __init__(self, backend: Backend, watched_at_s: float) -> None:
        self.backend = backend
        # Times of its first and its latest unanswered send.
        self.watched_at_s = watched_at_s
        self.unanswered_at_s = 0.0
        # Time at which an answer from its address was first noticed, None before.
        self.answered_at_s: float | None = None
        self.sends: dict[UnansweredSend, None] = {}
        self.probe: asyncio.Task[ProbeResult] | None = None
        self.ended = False
        # Whether nothing responds to connections, which was told as an uncertain end.
        self.silent = False
        self.decided_at_s = 0.0
        self.was_removed = False
        # Whether the registry has ever named a later process in its place.
        self.was_replaced = False
