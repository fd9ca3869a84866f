"""Tests of recording a daemon's calls and reading the trace back."""

from pathlib import Path

import pytest

from fuzz.simulations import make_simulation, step_of
from verbenawind.errors import InvalidRequest
from verbenawind.kernel.messages import GenerateRequest, WorkKind
from verbenawind.standins.deployment import run_virtual
from verbenawind.traces import LiveRecording, read_trace
from verbenawind.traces.replay import replay
from verbenawind.traces.types import GenerationRequested, StepSubmitted


class TestRecorder:
    def test_recorded_work_replays(self, tmp_path: Path) -> None:
        """A recorded step and generation contain no prompt text and replay completely."""
        path = tmp_path / "live.jsonl"

        async def serve() -> None:
            simulation = make_simulation(1)
            await simulation.start()
            core = simulation.deployment.daemons["daemon-0"]
            recording = LiveRecording(
                str(path),
                simulation.clock,
                fleet=core.fleet,
                peers=core.peers,
                configuration=core.configuration,
                generator=core.dispatcher,
                services=core.dispatcher,
                rollouts=core.rollouts,
            )
            recording.begin()
            recorder, spec = recording.recorder, simulation.trainers["folders"].spec
            await recorder.submit_step(simulation.revision, spec, step_of("folders", 1))
            request = GenerateRequest(
                request_id="r",
                environment=simulation.revision.name,
                caller="desk",
                kind=WorkKind.APPLICATION,
                model="tuner",
                pool="tuning",
                prompt="a secret die",
                max_tokens=20,
                seed=1,
                deadline_s=simulation.clock.monotonic_s() + 20.0,
            )
            assert [event async for event in recorder.generate(request)]
            recording.close()
            await simulation.stop()

        run_virtual(serve())
        trace = read_trace(path)
        assert [type(event) for event in trace.events[-2:]] == [StepSubmitted, GenerationRequested]
        assert b"secret" not in path.read_bytes()
        result = replay(trace)
        assert (result.whole_steps, result.answered, result.violations) == ({"folders": 1}, 1, ())

    def test_malformed_line_is_named(self, tmp_path: Path) -> None:
        """A line that is not a known event is rejected with its line number."""
        path = tmp_path / "bad.jsonl"
        path.write_text('{"event": "nothing"}\n')
        with pytest.raises(InvalidRequest, match=r"bad\.jsonl, line 1"):
            read_trace(path)
