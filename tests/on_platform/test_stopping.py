"""Tests of what callers get from a daemon that was told to stop, over loopback sockets."""

import asyncio

from on_platform.harness import HOST, PlatformHarness, Response, run_with_harness

GRACE_S = 2.4


class KeptConnection:
    """A caller's connection that stays open between requests."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(self._host, self._port)

    async def call(self, target: str, request_id: str, body: bytes, *extra: str) -> Response | None:
        """Send a request and return the response, None if the connection ends before it does."""
        lines = [f"POST {target} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
        lines += [f"X-Verbenawind-Attempt-Id: {request_id}", *extra]
        try:
            self._writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)
            head = await self._reader.readuntil(b"\r\n\r\n")
            if b"content-length" in head.lower():
                length = int(Response(head).headers["content-length"])
                return Response(head + await self._reader.readexactly(length))
            return Response(head + await self._reader.readuntil(b"0\r\n\r\n"))
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            if self._reader.at_eof():
                self._writer.close()


class TestStopping:
    def test_stream_that_cannot_end_in_time_is_not_passed_on(self) -> None:
        """A stream over a kept connection is refused, not run, if it would be cut at the exit."""

        async def work(harness: PlatformHarness) -> None:
            harness.configure(2, timeout_ms=30_000)
            daemon = await harness.add_daemon("host-1", stop_grace_s=GRACE_S)
            await harness.until(
                lambda: daemon.node.routes and daemon.node.routes.configuration.version == 2
            )
            for engine in harness.engines:
                engine.event_s = 0.05
            caller = KeptConnection(daemon.settings.callers_address)
            await caller.open()
            model = "X-Verbenawind-Model-Name: tuner"
            first = await caller.call("/stream/x", "before", b"60", model)
            assert first is not None and first.body.count(b"data:") == 60
            stop = asyncio.get_running_loop().create_task(daemon.stop())
            await asyncio.sleep(0.1)
            refused = await caller.call("/stream/x", "after", b"60", model)
            assert refused is not None and refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            assert refused.headers["connection"] == "close"
            seen = [
                headers["x-verbenawind-attempt-id"]
                for engine in harness.engines
                for _, _, headers, _ in engine.seen
            ]
            assert "after" not in seen
            await stop

        run_with_harness(work)

    def test_short_request_is_served_until_connections_close(self) -> None:
        """A stopping daemon serves what can end in time, and closes the connection with it."""

        async def work(harness: PlatformHarness) -> None:
            harness.configure(2, timeout_ms=30_000)
            daemon = await harness.add_daemon("host-1", stop_grace_s=GRACE_S)
            caller = KeptConnection(daemon.settings.callers_address)
            await caller.open()
            stop = asyncio.get_running_loop().create_task(daemon.stop())
            await asyncio.sleep(0.1)
            response = await caller.call("/once/x", "after", b"b")
            assert response is not None and response.status == 200
            assert response.headers["connection"] == "close"
            await stop

        run_with_harness(work)

    def test_request_in_flight_at_the_end_gets_an_answer(self) -> None:
        """A server does not answer before the daemon exits: 502 rather than a cut connection."""

        async def work(harness: PlatformHarness) -> None:
            harness.configure(2, timeout_ms=30_000)
            daemon = await harness.add_daemon("host-1", stop_grace_s=GRACE_S)
            await harness.until(
                lambda: daemon.node.routes and daemon.node.routes.configuration.version == 2
            )
            for server in harness.plain:
                server.answer_s = 20.0
            caller = KeptConnection(daemon.settings.callers_address)
            await caller.open()
            task = asyncio.get_running_loop().create_task(caller.call("/once/x", "slow", b"b"))
            await harness.until(lambda: any(server.seen for server in harness.plain))
            await daemon.stop()
            response = await task
            assert response is not None and response.status == 502

        run_with_harness(work)

    def test_response_after_the_signal_closes_its_connection(self) -> None:
        """A request that arrived before the signal must not leave its connection for another."""

        async def work(harness: PlatformHarness) -> None:
            daemon = await harness.add_daemon("host-1", stop_grace_s=GRACE_S)
            for server in harness.plain:
                server.answer_s = 0.3
            caller = KeptConnection(daemon.settings.callers_address)
            await caller.open()
            task = asyncio.get_running_loop().create_task(caller.call("/once/x", "slow", b"b"))
            await harness.until(lambda: any(server.seen for server in harness.plain))
            stop = asyncio.get_running_loop().create_task(daemon.stop())
            response = await task
            assert response is not None and response.status == 200
            assert response.headers["connection"] == "close"
            await stop

        run_with_harness(work)
