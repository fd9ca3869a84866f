"""Tests of the loopback ports that tests and soaks take."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

import ports
from ports import PortRange, own_ports

# Ends only when its input is closed, since its range is free for others then.
_TAKE_PORTS = """
import sys
from ports import own_ports
print(*[own_ports().take() for _ in range(60)], flush=True)
sys.stdin.read()
"""


class TestPortRange:
    def test_processes_take_separate_ranges(self) -> None:
        """Two soaks at once never share a port, also where one looks free while a host restarts."""
        ranges = [PortRange() for _ in range(3)]
        taken = [{one.take(4) for _ in range(20)} for one in ranges]
        assert not taken[0] & taken[1] and not taken[1] & taken[2] and not taken[0] & taken[2]

    # Guards against a daemon of a test that found its port in use when it began to listen.
    def test_processes_of_a_test_run_never_take_the_same_port(self) -> None:
        """Ports are only asked for, not yet bound, when another process asks for its own."""
        command = [sys.executable, "-c", _TAKE_PORTS]
        processes = [
            subprocess.Popen(
                command, cwd=Path(__file__).parent, stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
            for _ in range(4)
        ]
        taken = [
            port
            for process in processes
            if process.stdout
            for port in process.stdout.readline().split()
        ]
        own = [b"%d" % own_ports().take() for _ in range(60)]
        for process in processes:
            process.communicate()
        assert len(taken) == len(set(taken)) == 4 * 60
        assert not set(own) & set(taken)

    def test_port_in_use_is_passed_over(self) -> None:
        """A port that some other program listens on is not taken."""
        port_range = PortRange()
        first = port_range.take()
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", first + 1))
            listener.listen()
            assert first + 1 not in [port_range.take() for _ in range(5)]

    def test_range_is_used_again(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Test runs longer than a range take its ports again, each after all others."""
        monkeypatch.setattr(ports, "_is_free", lambda port: True)
        port_range = PortRange()
        taken = [port_range.take() for _ in range(ports._RANGE_SIZE)]
        assert len(set(taken)) == ports._RANGE_SIZE - 1
        assert taken[-1] == taken[0]

    def test_range_without_free_ports(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A clear error, not an endless search."""
        monkeypatch.setattr(ports, "_is_free", lambda port: False)
        with pytest.raises(OSError, match="no ports are left"):
            PortRange().take()
