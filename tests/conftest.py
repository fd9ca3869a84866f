"""Expects the tests listed in KNOWN-RED.txt, and no others, to fail, and prints them."""

import logging
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog

KNOWN_RED_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def expected_failures() -> frozenset[str]:
    """Return the node ids listed in KNOWN-RED.txt, each the first word of its entry's line."""
    lines = KNOWN_RED_FILE.read_text().splitlines() if KNOWN_RED_FILE.exists() else []
    return frozenset(line.split()[0] for line in lines if line.startswith("tests/"))


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item, call: pytest.CallInfo[None]) -> Iterator[None]:
    """Report the result of a listed test as an expected failure or an unexpected pass."""
    outcome = yield
    report = outcome.get_result()
    if item.nodeid not in expected_failures():
        return
    if report.failed:
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"
    elif report.passed and report.when == "call":
        report.wasxfail = "listed in KNOWN-RED.txt, but it passes"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that failed, and those that passed and need no entry."""
    for report in terminalreporter.stats.get("xfailed", []):
        if "KNOWN-RED" in report.wasxfail:
            terminalreporter.write_line(f"KNOWN RED {report.nodeid}", red=True)
    for report in terminalreporter.stats.get("xpassed", []):
        if "KNOWN-RED" in report.wasxfail:
            terminalreporter.write_line(
                f"KNOWN RED BUT PASSING, remove its entry: {report.nodeid}", yellow=True
            )


@pytest.fixture(autouse=True, scope="session")
def _quiet_logs() -> None:
    """Log errors only; a test that checks log lines configures structlog itself."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
