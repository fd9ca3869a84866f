"""Tests of the commands that read log and settings files."""

import io
import json
from pathlib import Path

from on_platform.test_settings import SETTINGS
from verbenawind.cli import ExitCode, main


def call(*words: str) -> tuple[int, str, str]:
    """Run a command line and return its exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    return main(["verbenawind", *words], out, err), out.getvalue(), err.getvalue()


def write(path: Path, *lines: dict[str, object]) -> str:
    """Write log lines, each with a prefix as log collectors add it, and a line of noise."""
    path.write_text("\n".join(f"   3.25 host {json.dumps(line)}" for line in lines) + "\nnoise\n")
    return str(path)


class TestTrace:
    def test_item_lines_of_two_hosts_are_merged(self, tmp_path: Path) -> None:
        """Lines of an item and its job are sorted by time; other lines are omitted."""
        first = write(
            tmp_path / "a",
            {"event": "job_accepted", "timestamp": "10:00:01", "job_id": "j", "host": "a"},
            {"event": "item_run", "timestamp": "10:00:03", "job_id": "j", "request_id": "i1"},
            {"event": "item_run", "timestamp": "10:00:03", "job_id": "j", "request_id": "i2"},
        )
        second = write(
            tmp_path / "b",
            {"event": "job_claim", "timestamp": "10:00:02", "job_id": "j", "host": "b"},
            {"event": "job_claim", "timestamp": "10:00:02", "job_id": "other", "host": "b"},
        )
        code, out, _ = call("trace", "i1", first, second)
        assert code == ExitCode.DONE
        assert [line.split()[0] for line in out.splitlines()] == [
            "10:00:01",
            "10:00:02",
            "10:00:03",
        ]
        assert "i2" not in out and "other" not in out
        code, out, _ = call("trace", "j", first, second, "--json")
        assert len(json.loads(out)) == 4

    def test_repeats_of_a_request_are_shown(self, tmp_path: Path) -> None:
        """From a refused request's ID, the ends of servers under its repeats are found."""
        path = write(
            tmp_path / "a",
            {"event": "send_failed", "timestamp": "1", "request_id": "r1", "fingerprint": "f"},
            {"event": "request_suspected", "timestamp": "2", "fingerprint": "f", "crash": "s.1"},
            {"event": "request_suspected", "timestamp": "2", "fingerprint": "g", "crash": "s.1"},
            {
                "event": "request_refused_as_convicted",
                "timestamp": "3",
                "request_id": "r2",
                "fingerprint": "f",
            },
        )
        code, out, _ = call("trace", "r2", path)
        assert code == ExitCode.DONE
        assert [line.split()[0] for line in out.splitlines()] == ["1", "2", "3"]

    def test_repeats_of_other_callers_are_shown(self, tmp_path: Path) -> None:
        """Ends under the same request of another caller explain the refusal as well."""
        path = write(
            tmp_path / "a",
            {"event": "request_suspected", "timestamp": "1", "fingerprint": "f.x", "crash": "s.1"},
            {"event": "request_suspected", "timestamp": "1", "fingerprint": "g.y", "crash": "s.1"},
            {
                "event": "request_refused_as_convicted",
                "timestamp": "2",
                "request_id": "r2",
                "fingerprint": "f.y",
            },
        )
        code, out, _ = call("trace", "r2", path)
        assert code == ExitCode.DONE
        assert [line.split()[0] for line in out.splitlines()] == ["1", "2"]
        assert "g.y" not in out

    def test_both_stages_of_an_item_are_shown(self, tmp_path: Path) -> None:
        """With an item's ID, the sends of its scoring call are included; by the call's ID, too."""
        path = write(
            tmp_path / "a",
            {"event": "item_run", "timestamp": "1", "job_id": "j", "request_id": "i1"},
            {"event": "request_sent", "timestamp": "2", "request_id": "c1"},
            {"event": "request_sent", "timestamp": "2", "request_id": "c2"},
            {
                "event": "score_call",
                "timestamp": "3",
                "job_id": "j",
                "request_id": "i1",
                "call_id": "c1",
            },
        )
        _, out, _ = call("trace", "i1", path)
        assert [line.split()[1] for line in out.splitlines()] == [
            "item_run",
            "request_sent",
            "score_call",
        ]
        _, out, _ = call("trace", "c1", path)
        assert [line.split()[0] for line in out.splitlines()] == ["2", "3"]

    def test_unknown_id_and_file(self, tmp_path: Path) -> None:
        """An ID without lines exits as not found, a missing file or argument as wrong usage."""
        path = write(tmp_path / "a", {"event": "started", "timestamp": "1"})
        assert call("trace", "nobody", path)[0] == ExitCode.NOT_FOUND
        assert call("trace", "nobody", str(tmp_path / "none"))[0] == ExitCode.USAGE
        assert call("trace", "nobody")[0] == ExitCode.USAGE


class TestCheck:
    def test_settings_of_a_host(self, tmp_path: Path) -> None:
        """A valid file is printed as the daemon parses it, an invalid one with all faults."""
        path = tmp_path / "boot.toml"
        path.write_text(SETTINGS)
        code, out, _ = call("check", "deploy", str(path))
        assert code == ExitCode.DONE and "order_gap_s: 4.0" in out
        path.write_text(SETTINGS.replace('"edge-1"', "7").replace('zone = "a"', ""))
        code, _, err = call("check", "deploy", str(path))
        assert code == ExitCode.INVALID
        assert "$.node-name" in err and "$.zone: missing" in err
        assert call("check", "moon", str(path))[0] == ExitCode.USAGE
