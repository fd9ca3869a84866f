"""Checks the users' rule LIMIT on simulated servers, and harness parts of the tests of limits."""

from collections.abc import Sequence

from node.fleet import Fleet
from node.test_crashing_requests import DESK, Desk
from verbenawind.errors import VerbenawindError
from verbenawind.gateway import Reply
from verbenawind.standins.opaque_engines import OpaqueEngine

CONTACT_S = 4.0
WINDOW_S = 4.0
# The rule allows this many times the limit in a window, and some requests more.
TOLERANCE = 1.5
SPARE_REQUESTS = 5


def most_in_a_window(arrivals_s: Sequence[float], since_s: float) -> int:
    """Return the largest number of arrivals in any window of the rule that begins after a time."""
    late_s = sorted(at_s for at_s in arrivals_s if at_s >= since_s)
    most, first = 0, 0
    for last, at_s in enumerate(late_s):
        while at_s - late_s[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed(limit_per_s: float) -> float:
    """Return how many requests a server with a limit may get in a window."""
    return TOLERANCE * WINDOW_S * limit_per_s + SPARE_REQUESTS


def check_limit(engine: OpaqueEngine, limit_per_s: float, since_s: float) -> None:
    """Check that a server gets no more than its limit allows, long enough after it named it."""
    most = most_in_a_window(engine.arrivals_s, since_s + CONTACT_S)
    name = engine.instance.instance_id
    assert most <= allowed(limit_per_s), (
        f"{name} names {limit_per_s}/s and got {most} requests in {WINDOW_S:g} s, "
        f"{allowed(limit_per_s):g} allowed"
    )


class Load:
    """Callers of the desk that send requests at an even rate, and how these ended."""

    def __init__(self, desk: Desk) -> None:
        self.desk = desk
        self.replies: list[Reply | VerbenawindError | None] = []
        self.refused_after_s: list[float] = []
        self.served_after_s: list[float] = []

    @property
    def served(self) -> int:
        """Number of requests that were answered."""
        return sum(isinstance(reply, Reply) for reply in self.replies)

    @property
    def errors(self) -> list[VerbenawindError]:
        """The errors that callers got."""
        return [reply for reply in self.replies if isinstance(reply, VerbenawindError)]

    async def ask(self, host: int, body: bytes, **options: object) -> None:
        """Send one request and record its end."""
        clock = self.desk.fleet.clock
        started_s = clock.monotonic_s()
        reply = await self.desk.ask(host, body, **options)  # type: ignore[arg-type]
        self.replies.append(reply)
        took_s = clock.monotonic_s() - started_s
        refused = isinstance(reply, VerbenawindError)
        (self.refused_after_s if refused else self.served_after_s).append(took_s)


def desk_servers(fleet: Fleet) -> list[OpaqueEngine]:
    """Return the servers of the desk."""
    return [e for name, e in fleet.engines.engines.items() if name.startswith(DESK)]
