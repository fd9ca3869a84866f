"""Tests of KNOWN-RED.txt, the list of tests that may fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import conftest

TESTS = """
def test_failing():
    assert False

def test_passing():
    assert True
"""


def run_pytest(directory: Path, entries: str) -> subprocess.CompletedProcess[str]:
    """Run a failing and a passing test with these contents of KNOWN-RED.txt."""
    (directory / "tests").mkdir()
    shutil.copy(conftest.__file__, directory / "tests" / "conftest.py")
    (directory / "tests" / "test_some.py").write_text(TESTS)
    (directory / "KNOWN-RED.txt").write_text(entries)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(
        [*command, f"--rootdir={directory}"], cwd=directory, capture_output=True, text=True
    )


class TestKnownRed:
    def test_listed_failure_passes_and_is_printed(self, tmp_path: Path) -> None:
        """A listed test may fail, and a listed test that passes is reported."""
        entries = (
            "tests/test_some.py::test_failing  seed 1\n"
            "tests/test_some.py::test_passing  seed 1\n"
        )
        result = run_pytest(tmp_path, entries)
        assert result.returncode == 0
        assert "KNOWN RED tests/test_some.py::test_failing" in result.stdout
        assert "remove its entry: tests/test_some.py::test_passing" in result.stdout

    def test_other_failure_fails(self, tmp_path: Path) -> None:
        """A failing test that is not listed fails the run."""
        assert run_pytest(tmp_path, "tests/test_some.py::test_other  seed 1\n").returncode == 1
