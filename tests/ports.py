"""Loopback ports that no other process of a test run or soak takes."""

import functools
import os
import socket

__all__ = ["PortRange", "own_ports"]

# Below the ports that the kernel gives to sockets bound to port 0 and to outgoing connections.
_FIRST_PORT = 20_000
_RANGE_SIZE = 400
_RANGE_COUNT = 31


class PortRange:
    """A range of ports that no other process uses while this one lives.

    The first port is bound as long as the process lives. A port that only looks free may belong to
    a daemon that is being restarted, or to one that has bound it and does not listen yet.
    """

    def __init__(self) -> None:
        self._guard, self._first = self._claim()
        self._next = self._first

    def take(self, count: int = 1) -> int:
        """Take *count* consecutive ports that are not in use, each only after all others.

        Returns:
            The first of the ports.

        Raises:
            OSError: No such ports are left in the range.
        """
        for _ in range(_RANGE_SIZE):
            if self._next + count > self._first + _RANGE_SIZE - 1:
                self._next = self._first
            taken = range(self._next, self._next + count)
            self._next += count
            if all(_is_free(port) for port in taken):
                return taken.start
        raise OSError("no ports are left in this process's range")

    @staticmethod
    def _claim() -> tuple[socket.socket, int]:
        for number in range(_RANGE_COUNT):
            begin = _FIRST_PORT + (os.getpid() + number) % _RANGE_COUNT * _RANGE_SIZE
            guard = socket.socket()
            try:
                guard.bind(("127.0.0.1", begin))
            except OSError:
                guard.close()
                continue
            return guard, begin + 1
        raise OSError("all ranges of ports are in use")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        # As daemons do, so that connections of an ended daemon in TIME_WAIT do not count.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@functools.cache
def own_ports() -> PortRange:
    """Return the range of this process, which is claimed on first use."""
    return PortRange()
