"""Tests of the list of tests that may fail."""

import shutil
import subprocess
import sys
from pathlib import Path

import conftest

TESTS = """
def test_red():
    assert False

def test_mended():
    assert True
"""


def run(directory: Path, listed: str) -> subprocess.CompletedProcess[str]:
    """Run two tests, one of them failing, under a list of known red ones."""
    (directory / "tests").mkdir()
    shutil.copy(conftest.__file__, directory / "tests" / "conftest.py")
    (directory / "tests" / "test_some.py").write_text(TESTS)
    (directory / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    return subprocess.run(
        [*command, f"--rootdir={directory}"], cwd=directory, capture_output=True, text=True
    )


class TestKnownRed:
    def test_listed_failure_passes_and_is_printed(self, tmp_path: Path) -> None:
        """A listed test may fail, and a listed one that passes is named."""
        entries = "tests/test_some.py::test_red  seed 1\ntests/test_some.py::test_mended  seed 1\n"
        done = run(tmp_path, entries)
        assert done.returncode == 0
        assert "KNOWN RED tests/test_some.py::test_red" in done.stdout
        assert "remove its entry: tests/test_some.py::test_mended" in done.stdout

    def test_other_failure_fails(self, tmp_path: Path) -> None:
        """A test that is not listed fails the run."""
        assert run(tmp_path, "tests/test_some.py::test_other  seed 1\n").returncode == 1
