"""Tests of the command-line client against a daemon on loopback."""

import asyncio
import io
import json
from pathlib import Path
from typing import Any

import httpx
import pytest

from loopback import DOCUMENT_TEXT, OPERATOR_TOKEN, Loopback, run_loopback
from verbenawind.cli import ExitCode, main
from verbenawind.cli.client import CommandFailed, OperatorClient
from verbenawind.cli.commands import COMMANDS

CHANGED_TEXT = DOCUMENT_TEXT.replace('"max_versions": 1', '"max_versions": 3')


@pytest.fixture(autouse=True)
def _token(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("VERBENAWIND_TOKEN", OPERATOR_TOKEN)


def call(*words: str) -> tuple[int, str, str]:
    """Run a command line and return its exit code, standard output and standard error."""
    out, err = io.StringIO(), io.StringIO()
    code = main(["verbenawind", *words], out, err)
    return code, out.getvalue(), err.getvalue()


async def call_at(loopback: Loopback, *words: str) -> tuple[int, str, str]:
    """Run a command in a thread, because the daemon runs in this event loop."""
    return await asyncio.to_thread(call, *words, f"--server={loopback.url}")


class TestCommands:
    def test_document_commands_from_validate_to_rollback(self, tmp_path: Path) -> None:
        """Each document command works and exits with its documented code."""
        path, changed = tmp_path / "a.jsonc", tmp_path / "b.jsonc"
        path.write_text(DOCUMENT_TEXT)
        changed.write_text(CHANGED_TEXT)

        async def scenario(loopback: Loopback) -> None:
            assert call("validate", str(path))[0] == ExitCode.DONE
            code, out, _ = await call_at(loopback, "apply", str(path), "--json")
            assert (code, json.loads(out)["revision"]) == (ExitCode.DONE, 1)
            assert (await call_at(loopback, "diff", str(path)))[0] == ExitCode.DONE
            code, out, _ = await call_at(loopback, "diff", str(changed))
            assert code == ExitCode.DIFFERENT
            assert "~ $.models[tuner].staleness.max_versions: 1 -> 3" in out
            code, _, err = await call_at(loopback, "apply", str(changed), "--expect_revision=0")
            assert code == ExitCode.CONFLICT
            assert "max_versions: 1 -> 3" in err
            assert (await call_at(loopback, "apply", str(changed)))[0] == ExitCode.DONE
            assert (await call_at(loopback, "promote", "siam-fold"))[0] == ExitCode.DONE
            code, out, _ = await call_at(loopback, "show", "siam-fold", "--stage=production")
            assert json.loads(out)["models"][0]["staleness"]["max_versions"] == 3
            assert (await call_at(loopback, "rollback", "siam-fold", "1"))[0] == ExitCode.DONE
            code, out, _ = await call_at(loopback, "history", "siam-fold", "--json")
            assert [item["revision"] for item in json.loads(out)["revisions"]] == [1, 2, 3]
            assert (await call_at(loopback, "history", "nothing"))[0] == ExitCode.NOT_FOUND

        run_loopback(scenario)

    def test_running_system(self) -> None:
        """Status, drain and explain work with a running daemon."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            code, out, _ = await call_at(loopback, "drain", "engine-0")
            assert code == ExitCode.DONE
            code, out, _ = await call_at(loopback, "status")
            assert code == ExitCode.DONE
            assert "siam-fold/production" in out
            assert "leaving" in out
            assert (await call_at(loopback, "drain", "nothing"))[0] == ExitCode.NOT_FOUND
            assert (await call_at(loopback, "explain", "nothing"))[0] == ExitCode.NOT_FOUND

        run_loopback(scenario)

    def test_faults_of_a_document(self, tmp_path: Path) -> None:
        """All faults are printed, on standard error or as JSON."""
        path = tmp_path / "faulty.jsonc"
        path.write_text('{"environment": "No", "unknown": 1}')
        code, _, err = call("validate", str(path))
        assert code == ExitCode.INVALID
        assert "$.environment" in err
        assert "$.unknown" in err
        code, out, _ = call("validate", str(path), "--json")
        assert len(json.loads(out)["error"]["faults"]) == 2


class TestFailures:
    @pytest.mark.parametrize(
        "words",
        [["nothing"], ["apply"], ["apply", "/no/such/file"], ["status", "--no_such_flag"], []],
    )
    def test_wrong_usage(self, words: list[str]) -> None:
        """An invalid command line exits with the usage code."""
        assert call(*words)[0] == ExitCode.USAGE

    def test_no_daemon(self) -> None:
        """Without a listening daemon the command fails as unreachable, not as unknown outcome."""
        code, _, err = call("promote", "siam-fold", "--digest=x", "--server=http://127.0.0.1:1")
        assert code == ExitCode.UNREACHABLE
        assert "no daemon answers" in err

    def test_wrong_token(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """An invalid token exits with the unauthorized code."""
        monkeypatch.setenv("VERBENAWIND_TOKEN", "wrong")

        async def scenario(loopback: Loopback) -> None:
            assert (await call_at(loopback, "status"))[0] == ExitCode.UNAUTHORIZED

        run_loopback(scenario)

    @pytest.mark.parametrize(
        ("answer", "expected"),
        [
            (httpx.ReadTimeout("no answer"), ExitCode.OUTCOME_UNKNOWN),
            (httpx.RemoteProtocolError("closed"), ExitCode.OUTCOME_UNKNOWN),
            (httpx.ConnectError("refused"), ExitCode.UNREACHABLE),
            ((503, {"code": "store_unavailable", "outcome": "may_have_run"}), 6),
            ((503, {"code": "store_unavailable", "outcome": "not_run"}), ExitCode.REFUSED),
            ((500, {"code": "internal", "outcome": "may_have_run"}), ExitCode.OUTCOME_UNKNOWN),
        ],
    )
    def test_change_with_an_ambiguous_response(self, answer: Any, expected: int) -> None:
        """A change is reported as not made only if that is certain."""

        def handler(_: httpx.Request) -> httpx.Response:
            if isinstance(answer, Exception):
                raise answer
            status, error = answer
            return httpx.Response(status, json={"error": error | {"message": "failed"}})

        client = OperatorClient("http://127.0.0.1:1", "", httpx.MockTransport(handler))
        with pytest.raises(CommandFailed) as caught:
            client.change("PUT", "/environments/a/trial")
        assert caught.value.exit_code == expected


class TestHelp:
    def test_help_names_every_command_and_exit_code(self) -> None:
        """The help lists all commands and exit codes, and each command has its own help."""
        code, out, _ = call("--help")
        assert code == ExitCode.DONE
        for name in COMMANDS.names():
            assert name in out
            assert f"usage: verbenawind {name}" in call(name, "--help")[1]
        for number in ExitCode:
            assert f"  {int(number)}  " in out
