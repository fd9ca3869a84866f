"""A soak of servers that name how many requests a second they take, under faults from outside."""

import asyncio
import json
import time
from collections import Counter
from pathlib import Path

from soak.proxy import LinkFault
from soak.run import Soak
from soak.servers import PlainServer

__all__ = ["LimitSoak"]

_SERVERS = 3
_LIMIT_PER_S = 2.0
_CONTACT_S = 4.0
_WINDOW_S = 4.0
_TOLERANCE = 1.5
_SPARE_REQUESTS = 5


class LimitSoak(Soak):
    """One run: all servers of a service name a limit while callers at every host ask for more.

    Args:
        seed: Seed of the faults and the load.
        hosts: Number of daemons.
        directory: Directory for settings and logs.
        with_faults: Whether hosts are killed, paused and cut off from the store meanwhile.
    """

    def __init__(self, seed: int, hosts: int, directory: Path, *, with_faults: bool = True) -> None:
        super().__init__(seed, hosts, 1, directory, ends_servers=False)
        self._with_faults = with_faults
        self._limited_at_s = 0.0

    def _create_plain_servers(self) -> list[PlainServer]:
        return [PlainServer(f"p{index}", self._harness) for index in range(_SERVERS)]

    async def run(self, seconds: float) -> None:
        """Send requests for some time and record the violated promises."""
        await self._start()
        try:
            load = [asyncio.ensure_future(self._run_callers()) for _ in range(3)]
            for server in self._plain:
                server.limit = str(_LIMIT_PER_S)
            self._limited_at_s = time.monotonic()
            ends_at_s = self._limited_at_s + seconds
            while time.monotonic() < ends_at_s:
                if self._with_faults:
                    await self._inject_one()
                await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            self._injecting_faults = False
            await asyncio.gather(*load)
            for server in self._plain:
                self._check_limit(server)
            self._check_servers()
        finally:
            for host in self.hosts:
                await host.stop()
            for endpoint in (*self._engines, *self._harness.plain, self.store, *self._server_links):
                await endpoint.stop()

    async def _inject_one(self) -> None:
        fault = self._rng.choice(
            [self._kill_host, self._pause_host, self._cut_host, self._no_store]
        )
        self.faults.append(fault.__name__)
        await fault()

    async def _cut_host(self) -> None:
        """Cut a host off from the store, which excuses it."""
        host = self._rng.choice(self.hosts)
        self._interruptions.append((host.name, time.monotonic()))
        faults = [fault for fault in LinkFault if fault is not LinkFault.NONE]
        host.store_link.fault = self._rng.choice(faults)
        host.store_link.reset()
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        host.store_link.fault = LinkFault.NONE
        host.store_link.reset()

    async def _no_store(self) -> None:
        """Let the store reject all hosts, which excuses none."""
        self.store.busy = True
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        self.store.busy = False

    def _check_limit(self, server: PlainServer) -> None:
        """Check the requests of hosts that were not interrupted, in any four seconds."""
        since_s = self._limited_at_s + _CONTACT_S
        arrivals: list[tuple[float, str]] = []
        for (_, _, headers, _), at_s in zip(server.seen, server.seen_at_s, strict=True):
            host, _ = self._sent.get(headers["x-verbenawind-attempt-id"], ("", 0.0))
            if at_s >= since_s:
                arrivals.append((at_s, host))
        allowed = _TOLERANCE * _WINDOW_S * _LIMIT_PER_S + _SPARE_REQUESTS
        for first_s, _ in arrivals:
            counted = Counter(
                host
                for at_s, host in arrivals
                if first_s <= at_s < first_s + _WINDOW_S
                and not self._was_interrupted(host, self._limited_at_s, at_s)
            )
            if counted.total() > allowed:
                self.violations.append(
                    f"{server.instance_id} names {_LIMIT_PER_S}/s and got {counted.total()} "
                    f"requests in {_WINDOW_S:g} s, {allowed:g} allowed: {dict(counted)}"
                )
                return

    def summary(self) -> str:
        """Return the load, the faults and the violations as one line of JSON."""
        return json.dumps(
            {
                "plain_answers": self._status_counts,
                "arrivals": [len(server.seen) for server in self._plain],
                "faults": Counter(self.faults),
                "broken": self.violations,
            }
        )
