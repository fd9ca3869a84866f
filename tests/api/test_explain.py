"""Tests of the decision record and of explain, status and drain across daemons."""

import asyncio
from collections.abc import Coroutine, Iterator
from random import Random
from typing import Any

import httpx
import pytest
import structlog

from loopback import DOCUMENT, OPERATOR_TOKEN, TEST_TIMEOUT_S
from verbenawind.daemon import Daemon
from verbenawind.decisions import DecisionRecord, record_decision_line
from verbenawind.document import Stage
from verbenawind.ids import digest_hex
from verbenawind.kernel.ports import ExternalDependencies
from verbenawind.logs import configure_logs
from verbenawind.plugins.peer_websocket import WebSocketPeerTransport
from verbenawind.settings import DaemonSettings
from verbenawind.standins.deployment import Deployment
from verbenawind.standins.network import Process
from verbenawind.state import revision_spreader

POLLS = 500


@pytest.fixture(autouse=True)
def _logs() -> Iterator[None]:
    configure_logs("error")
    yield
    structlog.reset_defaults()
    structlog.contextvars.clear_contextvars()


class TestDecisionRecord:
    def test_oldest_request_is_dropped_first(self) -> None:
        """The record is bounded in the number of requests and of lines per request."""
        record = DecisionRecord(2)
        for request_id in ("a", "b", "c"):
            for number in range(100):
                record.add(request_id, {"event": "chosen", "number": number})
        assert record.lines("a") == []
        assert [line["number"] for line in record.lines("c")] == list(range(64))

    def test_lines_without_a_request_are_not_recorded(self) -> None:
        """A line without a request ID is passed on unchanged."""
        assert record_decision_line(None, "info", {"event": "x"}) == {"event": "x"}


class TestExplain:
    def test_decisions_of_another_daemon_are_found(self) -> None:
        """Explain at one daemon shows the decisions of the other one at any log level."""

        async def scenario() -> None:
            deployment = Deployment()
            deployment.add_engine("engine-0", "tuning", {"tuner": 0})
            first = await start_daemon(deployment, "daemon-a", ())
            second = await start_daemon(deployment, "daemon-b", (first.core.peers.address,))
            await second.core.configuration.accept(DOCUMENT, Stage.PRODUCTION)
            for _ in range(POLLS):
                if first.core.peers.peers():
                    break
                await asyncio.sleep(0.01)
            body = {"model": "tuner", "prompt": "a", "max_tokens": 2}
            headers = {"x-request-id": "shift-7", "authorization": "Bearer application-token"}
            async with httpx.AsyncClient(trust_env=False) as client:
                url = f"http://{second.address}/environments/siam-fold/production/v1/completions"
                assert (await client.post(url, json=body, headers=headers)).status_code == 200
                operator = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
                base = f"http://{first.address}/operators/v1/requests"
                response = await client.get(f"{base}/shift-7/explain", headers=operator)
                missing = await client.get(f"{base}/nothing/explain", headers=operator)
            lines = response.json()["daemons"]["daemon-b"]
            assert "daemon-a" not in response.json()["daemons"]
            chosen = [line for line in lines if line.get("server_id") == "engine-0"]
            assert chosen
            assert any("reason" in line for line in chosen)
            assert missing.status_code == 404
            await first.kill()
            await second.kill()
            await deployment.engines["engine-0"].stop()

        run_bounded(scenario())


class TestStatusAndDrain:
    @pytest.mark.parametrize("daemons_listed", [32, 0])
    def test_status_lists_both_holders_and_drain_reaches_both(
        self, daemons_listed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Status at one daemon lists both holders, also where gossip does not carry them.

        A drain at one daemon takes effect at the other.
        """
        monkeypatch.setattr(revision_spreader, "_MAX_DAEMONS_LISTED", daemons_listed)

        async def scenario() -> None:
            deployment = Deployment()
            deployment.add_engine("engine-0", "tuning", {"tuner": 0})
            first = await start_daemon(deployment, "daemon-a", ())
            second = await start_daemon(deployment, "daemon-b", (first.core.peers.address,))
            await second.core.configuration.accept(DOCUMENT, Stage.PRODUCTION)
            base = f"http://{first.address}/operators/v1"
            headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
            async with httpx.AsyncClient(trust_env=False, headers=headers) as client:
                for _ in range(POLLS):
                    status = (await client.get(f"{base}/status")).json()
                    if status["environments"] and len(status["environments"][0]["held_by"]) == 2:
                        break
                    await asyncio.sleep(0.01)
                holders = status["environments"][0]["held_by"]
                assert [holder["daemon_id"] for holder in holders] == ["daemon-a", "daemon-b"]
                assert all(holder["revision"] == 1 and holder["since"] for holder in holders)
                drained = await client.post(f"{base}/servers/engine-0/drain")
                assert drained.status_code == 200
            for _ in range(POLLS):
                view = second.core.fleet.view("engine-0")
                if view is not None and view.leaving:
                    break
                await asyncio.sleep(0.01)
            assert view is not None
            assert view.leaving
            await first.kill()
            await second.kill()
            await deployment.engines["engine-0"].stop()

        run_bounded(scenario())


def run_bounded(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario with a timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await scenario

    asyncio.run(bounded())


async def start_daemon(deployment: Deployment, daemon_id: str, seeds: tuple[str, ...]) -> Daemon:
    """Start a daemon with real websocket peer links."""
    dependencies = deployment.dependencies(
        Process(deployment.network, deployment.locations[0].zone)
    )
    settings = DaemonSettings(
        daemon_id=daemon_id,
        zone=deployment.locations[0].zone,
        region=deployment.locations[0].region,
        listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        peer_key="the-shared-peer-key",
        platform_url="http://127.0.0.1:1",
        operator_token_sha256=digest_hex(OPERATOR_TOKEN.encode()),
        peer_seeds=seeds,
    )
    daemon = Daemon(
        settings,
        ExternalDependencies(
            clock=dependencies.clock,
            rng=Random(daemon_id),
            table=dependencies.table,
            objects=dependencies.objects,
            hosts=dependencies.hosts,
            weights=dependencies.weights,
            clients=dependencies.clients,
            transport=WebSocketPeerTransport(),
        ),
    )
    await daemon.start()
    return daemon
