"""Tests of requests under which servers end, sent again and again to several hosts.

The failure: each caller attempt brought such a request to as many servers as its route allows, at
every host, for as long as the caller came back. The bound is the users' rule BUDGET: at most three
sends later than the contact time after the third server has ended.
"""

from node.fleet import Fleet, run_fleet
from verbenawind.errors import VerbenawindError
from verbenawind.gateway import CallerRequest, Reply, Route, RouteKind, ServiceShare

DESK = "desk"
POISON = b"ends its server"
CONTACT_S = 4.0
MAX_LATE_SENDS = 3


class Desk:
    """A service with its route, and callers that send it requests at any host."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.requests = 0

    async def start(self, *, hosts: int = 3, servers: int = 6, work_s: float = 0.04) -> None:
        """Start hosts and servers, and wait until the hosts know the servers."""
        for index in range(servers):
            self.fleet.add_engine(f"desk-{index}", pace_s=work_s, service=DESK)
        await self.fleet.start(hosts=hosts, engines=1)

    async def ask(
        self,
        host: int,
        body: bytes,
        *,
        kind: RouteKind = RouteKind.IDEMPOTENT,
        target: str = "/desk/card",
        timeout_s: float = 3.0,
    ) -> Reply | VerbenawindError:
        """Send a request at a host and return the reply or the error."""
        self.requests += 1
        now_s = self.fleet.clock.monotonic_s()
        request = CallerRequest(
            request_id=f"ask-{self.requests}",
            method="POST",
            host="desk.example",
            target=target,
            headers=(),
            body=body,
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )
        route = Route(
            name="desk",
            host="desk.example",
            path_prefix="/desk/",
            kind=kind,
            timeout_s=3.0,
            target_latency_s=0.24,
            max_attempts=3,
            priority=0,
            services=(ServiceShare(service=DESK, weight=1.0),),
        )
        try:
            return await self.fleet.members[f"host-{host}"].node.forwarder.forward(
                request, route, DESK
            )
        except VerbenawindError as error:
            return error

    def sends_at_s(self) -> list[float]:
        """Return the times at which servers began to run the crashing request."""
        servers = [e for name, e in self.fleet.engines.engines.items() if name.startswith(DESK)]
        return sorted(at_s for server in servers for at_s, _, _ in server.crash_starts)

    def late_sends(self) -> int:
        """Return the number of sends later than the contact time after the third crash."""
        times_s = self.sends_at_s()
        return sum(at_s > times_s[2] + CONTACT_S for at_s in times_s[3:])


class TestRepeatsOfACrashingRequest:
    def test_repeats_at_several_hosts_are_bounded(self) -> None:
        """An idempotent request that ends each server comes again every 5 s, at another host."""

        async def work(fleet: Fleet) -> None:
            desk = Desk(fleet)
            await desk.start()
            fleet.poison(POISON)
            for attempt in range(12):
                await desk.ask(attempt % 3, POISON)
                await fleet.clock.sleep(5.0)
            assert desk.late_sends() <= MAX_LATE_SENDS

        run_fleet(work)

    def test_repeats_of_what_may_run_once_are_bounded(self) -> None:
        """A non-idempotent request that ends each server comes again, as a new request."""

        async def work(fleet: Fleet) -> None:
            desk = Desk(fleet)
            await desk.start()
            fleet.poison(POISON)
            for attempt in range(16):
                await desk.ask(attempt % 3, POISON, kind=RouteKind.NON_IDEMPOTENT)
                await fleet.clock.sleep(5.0)
            assert desk.late_sends() <= MAX_LATE_SENDS

        run_fleet(work)
