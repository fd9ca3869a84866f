"""Tests that the catalogue of log events matches the log lines that the code writes."""

import ast
import gc
from collections import defaultdict
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from log_lines import capture_log_lines
from node.fleet import MODEL, Fleet, check_complete, job, run_fleet
from verbenawind.log_events import EVENTS, PLATFORM_EVENTS, PRODUCT_EVENTS, LineFields
from verbenawind.reference import EVENTS_PAGE, render_events

ROOT = Path(__file__).parents[1]
LEVELS = {"debug", "info", "warning", "error", "exception"}


def parse_source(text: str) -> ast.Module:
    """Parse Python source without a garbage collection meanwhile.

    CPython 3.11 counts the recursion of all calls of ``ast.parse`` in one place, so that a
    finalizer that parses, such as one that formats a traceback, fails the call it interrupts.
    """
    was_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        return ast.parse(text)
    finally:
        if was_enabled:
            gc.enable()


def log_calls() -> Iterator[tuple[str, set[str], str]]:
    """Yield the event, fields and location of every log call in the sources."""
    for path in sorted((ROOT / "src").rglob("*.py")):
        tree = parse_source(path.read_text(encoding="utf-8"))
        for node in ast.walk(tree):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
                continue
            if node.func.attr not in LEVELS or not node.args or "log" not in _source(node.func):
                continue
            event = ast.literal_eval(node.args[0])
            fields: set[str] = set()
            for keyword in node.keywords:
                fields |= {keyword.arg} if keyword.arg else _keys(tree, keyword.value)
            yield event, fields, f"{path.name}:{node.lineno}"


def _source(function: ast.Attribute) -> str:
    return ast.unparse(function.value)


def _keys(tree: ast.Module, call: ast.expr) -> set[str]:
    """Return the keys of the dictionary literal that a called function of the module returns."""
    name = ast.unparse(call).partition("(")[0]
    found = next(n for n in tree.body if isinstance(n, ast.FunctionDef) and n.name == name)
    returned = next(n for n in ast.walk(found) if isinstance(n, ast.Return))
    assert isinstance(returned.value, ast.Dict)
    return {ast.literal_eval(key) for key in returned.value.keys if key is not None}


class TestCatalogue:
    def test_every_call_is_listed(self) -> None:
        """Every event in a log call is in the catalogue, with all fields of the call."""
        wrong = [
            (
                f"{place}: {event}: {sorted(fields - set(EVENTS[event].fields))}"
                if event in EVENTS
                else f"{place}: {event} is not listed"
            )
            for event, fields, place in log_calls()
            if event not in EVENTS or not fields <= set(EVENTS[event].fields)
        ]
        assert not wrong

    def test_nothing_else_is_listed(self) -> None:
        """Every event and field of the catalogue is written; no event is in both parts of it."""
        written: dict[str, set[str]] = defaultdict(set)
        for event, fields, _ in log_calls():
            written[event] |= fields
        assert {name: set(event.fields) for name, event in EVENTS.items()} == written
        assert not PLATFORM_EVENTS.keys() & PRODUCT_EVENTS.keys()
        used = {field for event in EVENTS.values() for field in event.fields}
        assert used == set(LineFields.__struct_fields__)

    def test_no_event_overrides_common_fields(self) -> None:
        """No event has a field that all lines have, as it would replace that field."""
        own = {"event", "level", "timestamp", "host", "omitted_before"}
        assert not [name for name, event in EVENTS.items() if own & set(event.fields)]

    def test_committed_page_is_current(self) -> None:
        """The committed operators' page is equal to the generated one."""
        page = ROOT / "docs" / "operators" / EVENTS_PAGE
        assert page.read_text(encoding="utf-8") == render_events()


class TestLinesOfRunningHosts:
    def test_fields_have_the_listed_types(self) -> None:
        """Lines written during loads, a host failure and a store failure have the listed types."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            first, second, _ = fleet.members.values()
            for version in range(2, 5):
                fleet.name_version(version)
                submission = job(f"job-{version}", min_version=version - 1, step=version, groups=4)
                await fleet.submit(first, submission)
                await fleet.clock.sleep(0.4)
                if version == 3:
                    fleet.kill(await fleet.owner_of(submission.job_id))
                    fleet.add_host("late")
                if version == 4:
                    second.view.cut = True
                    await fleet.clock.sleep(1.0)
                    second.view.cut = False
                reader = next(m for m in fleet.members.values() if m is not second)
                check_complete(submission, await fleet.collect(reader, submission))
            await next(iter(fleet.members.values())).node.jobs.end("job-4")

        with capture_log_lines() as lines:
            run_fleet(work)
        assert {line["event"] for line in lines} >= {
            "job_accepted",
            "job_claim",
            "item_run",
            "results_listed",
            "order_planned",
            "order_answered",
            "engine_loaded",
            "lease_acquired",
            "job_ended",
        }
        for line in lines:
            fields = {k: v for k, v in line.items() if k not in ("event", "log_level")}
            try:
                msgspec.convert(fields, LineFields)
            except msgspec.ValidationError as error:
                pytest.fail(f"{line}: {error}")
            assert set(fields) <= set(EVENTS[line["event"]].fields), line
        assert any(line.get("model") == MODEL for line in lines)


class ParsingFinalizer:
    """An object that only the garbage collector frees, and whose finalizer parses source."""

    def __init__(self) -> None:
        self.cycle = self

    def __del__(self) -> None:
        ast.parse("f(g(h(x)))")


class TestParsing:
    def test_finalizers_do_not_disturb_the_parser(self) -> None:
        """The garbage of an earlier test is collected within the parsing of a source file.

        Each file is parsed beside such objects, with a collector that runs all the time.
        """
        thresholds = gc.get_threshold()
        gc.set_threshold(50, 2, 2)
        try:
            for path in sorted((ROOT / "src" / "verbenawind" / "gateway").glob("*.py")):
                garbage = [ParsingFinalizer() for _ in range(20)]
                del garbage
                parse_source(path.read_text(encoding="utf-8"))
        finally:
            gc.set_threshold(*thresholds)
