"""Tests of the two programs as processes."""

import asyncio
import json
import signal
from pathlib import Path

import httpx
from processes import DaemonProcess, ProcessHarness, run_with_harness, start_python

from loopback import APPLICATION_TOKEN, DOCUMENT_TEXT, TRAINER_TOKEN
from verbenawind.cli import ExitCode
from verbenawind.standins.engine import EngineProfile, natural_length

PROMPT = "die 7"
SEED = next(seed for seed in range(1000) if natural_length(PROMPT, seed) > 60)
CHANGED_TEXT = DOCUMENT_TEXT.replace('"max_versions": 1', '"max_versions": 3')


def client(token: str = APPLICATION_TOKEN) -> httpx.AsyncClient:
    """Return an HTTP client with a bearer token."""
    headers = {"authorization": f"Bearer {token}"}
    return httpx.AsyncClient(headers=headers, timeout=20.0, trust_env=False)


class TestPrograms:
    def test_apply_request_and_explain(self, tmp_path: Path) -> None:
        """A document is applied, a request succeeds, and explain shows how it was routed."""

        async def scenario(harness: ProcessHarness) -> None:
            daemon = await harness.daemon()
            path = harness.document()
            assert (await harness.command(daemon, "validate", path))[0] == ExitCode.DONE
            assert (await harness.command(daemon, "diff", path))[0] == ExitCode.DIFFERENT
            assert (await harness.command(daemon, "apply", path))[0] == ExitCode.DONE
            changed = harness.document(CHANGED_TEXT)
            conflict = await harness.command(daemon, "apply", changed, "--expect_revision=0")
            assert conflict[0] == ExitCode.CONFLICT
            assert (await harness.command(daemon, "promote", "siam-fold"))[0] == ExitCode.DONE
            async with client() as caller:
                answer = await caller.post(
                    f"{daemon.v1}/completions",
                    json={"model": "tuner", "prompt": PROMPT, "max_tokens": 4},
                    headers={"X-Request-Id": "shift-7"},
                )
            assert answer.status_code == 200
            code, out, _ = await harness.command(daemon, "explain", "shift-7", "--json")
            assert code == ExitCode.DONE
            assert "engine-0" in json.dumps(json.loads(out)["daemons"]["daemon-0"])
            code, out, _ = await harness.command(daemon, "status")
            assert code == ExitCode.DONE
            assert "siam-fold/production" in out
            assert (await harness.command(daemon, "drain", "engine-0"))[0] == ExitCode.DONE
            missing = await harness.command(daemon, "drain", "nothing")
            assert missing[0] == ExitCode.NOT_FOUND
            daemon.process.send_signal(signal.SIGTERM)
            assert await daemon.exit_code() == 0
            gone = await harness.command(daemon, "status")
            assert gone[0] == ExitCode.UNREACHABLE

        run_with_harness(tmp_path, scenario)

    def test_all_settings_faults_are_reported(self, tmp_path: Path) -> None:
        """A daemon with invalid settings exits at once and prints every fault, not a traceback."""
        path = tmp_path / "faulty.jsonc"
        path.write_text('{"daemon_id": "", "listen": "nowhere:80", "typo": 1}')

        async def scenario(_: ProcessHarness) -> None:
            process = await start_python("verbenawind.daemon", f"--settings={path}")
            _, err = await process.communicate()
            assert process.returncode == 2
            for fault in (b"$.daemon_id", b"$.listen", b"$.typo", b"$.platform_url: missing"):
                assert fault in err
            assert b"Traceback" not in err

        run_with_harness(tmp_path, scenario)


class TestGracefulShutdown:
    def test_sigterm_completes_requests_in_flight(self, tmp_path: Path) -> None:
        """A stream and a poll in flight at SIGTERM complete, and the log has no errors."""

        async def scenario(harness: ProcessHarness) -> None:
            daemon = await harness.daemon()
            path = harness.document()
            await harness.command(daemon, "apply", path, "--stage=production")
            first = asyncio.Event()
            streaming = asyncio.create_task(_stream(daemon, first))
            polling = asyncio.create_task(_poll(daemon))
            await first.wait()
            daemon.process.send_signal(signal.SIGTERM)
            text = await streaming
            answer = await polling
            assert text.rstrip().endswith("data: [DONE]")
            assert '"error"' not in text
            assert (answer.status_code, answer.json()["groups"]) == (200, [])
            assert await daemon.exit_code() == 0
            levels = {json.loads(line)["level"] for line in daemon.lines}
            assert levels <= {"info"}, "\n".join(daemon.lines)

        run_with_harness(tmp_path, scenario, profile=EngineProfile(tick_s=0.05))


async def _stream(daemon: DaemonProcess, first: asyncio.Event) -> str:
    body = {"model": "tuner", "prompt": PROMPT, "seed": SEED, "max_tokens": 60, "stream": True}
    pieces = []
    async with (
        client() as caller,
        caller.stream("POST", f"{daemon.v1}/completions", json=body) as answer,
    ):
        async for piece in answer.aiter_text():
            pieces.append(piece)
            first.set()
    return "".join(pieces)


async def _poll(daemon: DaemonProcess) -> httpx.Response:
    async with client(TRAINER_TOKEN) as trainer:
        return await trainer.post(
            f"{daemon.v1}/rollouts/poll",
            json={"cursor": 0, "current_version": 0, "wait_s": 3.0},
        )
