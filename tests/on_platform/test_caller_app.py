"""Tests of the platform daemon's HTTP interface for callers, over loopback sockets."""

import asyncio
import json

import pytest

from log_lines import capture_log_lines
from on_platform.harness import HOST, PlatformHarness, run_with_harness, submission
from on_platform.stubs import StubServer


class TestCrashingRequests:
    def test_request_under_which_servers_ended_is_refused(self) -> None:
        """Real sockets: three servers close their ports under a request; another host refuses it.

        The status promises that the request did not run, and the header tells when to return.
        """

        async def work(harness: PlatformHarness) -> None:
            other = await harness.add_daemon("host-1")
            extra = [StubServer(f"p{index}") for index in range(2, 5)]
            for server in extra:
                await server.start()
                harness.register(server, "plain")
            servers = [*harness.plain, *extra]
            for server in servers:
                server.crash_body = b"poison"
            directory = other.node.directory
            await harness.until(lambda: len(directory.backends("plain")) == 5)
            await harness.until(
                lambda: len(harness.daemons[0].node.directory.backends("plain")) == 5
            )
            statuses = [
                (await harness.call("POST", "/once/x", b"poison", request_id=f"r{index}")).status
                for index in range(3)
            ]
            assert statuses == [502, 502, 502]
            await harness.until(lambda: other.node.guard.convicted)
            response = await harness.call("POST", "/once/x", b"poison", request_id="r9", daemon=1)
            assert response.status == 503
            assert 0 < float(response.headers["retry-after"]) <= 1.0
            assert "r9" not in {
                headers["x-verbenawind-attempt-id"]
                for server in servers
                for _, _, headers, _ in server.seen
            }
            for server in extra:
                await server.stop()

        run_with_harness(work)


class TestLeavingServers:
    def test_announcement_is_passed_on_and_heeded(self) -> None:
        """The header reaches the caller as it came, and the server gets no request after it."""

        async def work(harness: PlatformHarness) -> None:
            leaving = harness.plain[0]
            leaving.leaving = True
            headers = []
            while not leaving.seen:
                request_id = f"r{len(headers)}"
                response = await harness.call("POST", "/plain/x", b"b", request_id=request_id)
                headers.append(response.headers.get("server-leaving"))
            assert headers[-1] == "1" and set(headers[:-1]) <= {None}
            for index in range(10):
                request_id = f"later-{index}"
                response = await harness.call("POST", "/plain/x", b"b", request_id=request_id)
                assert response.status == 200
            assert len(leaving.seen) == 1

        run_with_harness(work)

    def test_same_header_of_a_caller_means_nothing(self) -> None:
        """A request that carries the header changes nothing about the servers."""

        async def work(harness: PlatformHarness) -> None:
            for index in range(8):
                await harness.call(
                    "POST", "/plain/x", b"b", request_id=f"r{index}", Server_Leaving="1"
                )
            servers = harness.daemons[0].node.directory.backends("plain")
            assert len(servers) == 2

        run_with_harness(work)

    def test_announcement_counts_for_the_server_that_answered(self) -> None:
        """Another server answers at the address of one that is gone: 421, and it leaves."""

        async def work(harness: PlatformHarness) -> None:
            harness.register(harness.plain[1], "plain", address=harness.plain[0].address)
            directory = harness.daemons[0].node.directory

            def moved() -> bool:
                known = directory.get("p1")
                return known is not None and known.instance.address == harness.plain[0].address

            await harness.until(moved)
            harness.plain[0].leaving = True
            for index in range(6):
                await harness.call("POST", "/plain/x", b"b", request_id=f"r{index}")
            first, second = directory.get("p0"), directory.get("p1")
            assert first is not None and first.announced_leaving
            assert second is not None and not second.announced_leaving

        run_with_harness(work)

    def test_answers_to_orders_announce(self) -> None:
        """An engine says in its answer to a load order that it leaves."""

        async def work(harness: PlatformHarness) -> None:
            harness.engines[0].leaving = True
            harness.store.put("op", "version/tuner", {"model": "tuner", "version": 2})
            harness.store.put("op", "version/tuner", {"model": "tuner", "version": 3})
            directory = harness.daemons[0].node.directory

            def announced() -> bool:
                known = directory.get("e0")
                return known is not None and known.announced_leaving

            await harness.until(announced)

        run_with_harness(work)


class TestLimitedServers:
    def test_limit_is_passed_on_and_kept(self) -> None:
        """The header reaches the caller; what gets no turn is refused, not run, with a time."""

        async def work(harness: PlatformHarness) -> None:
            for server in harness.plain:
                server.limit = "0.25"
            named = 0
            for index in range(8):
                response = await harness.call("POST", "/plain/x", b"b", request_id=f"r{index}")
                named += response.headers.get("server-limit") == "0.25"
                if response.status == 503:
                    break
            assert named >= 2
            refused = []
            for index in range(6):
                request_id = f"later-{index}"
                response = await harness.call("POST", "/plain/x", b"b", request_id=request_id)
                if response.status == 503:
                    assert float(response.headers["retry-after"]) > 0
                    refused.append(request_id)
            assert refused
            ran = {
                headers["x-verbenawind-attempt-id"]
                for server in harness.plain
                for _, _, headers, _ in server.seen
            }
            assert not ran & set(refused)

        run_with_harness(work)

    @pytest.mark.parametrize("limit", ["", "many", "-1", "nan"])
    def test_unreadable_limit_is_no_limit(self, limit: str) -> None:
        """A header that is no non-negative number changes nothing."""

        async def work(harness: PlatformHarness) -> None:
            for server in harness.plain:
                server.limit = limit
            for index in range(20):
                response = await harness.call("POST", "/plain/x", b"b", request_id=f"r{index}")
                assert response.status == 200

        run_with_harness(work)

    def test_same_header_of_a_caller_means_nothing(self) -> None:
        """A request that carries the header limits no server."""

        async def work(harness: PlatformHarness) -> None:
            for index in range(8):
                await harness.call(
                    "POST", "/plain/x", b"b", request_id=f"r{index}", Server_Limit="0.1"
                )
            assert not harness.daemons[0].node.limits.active()

        run_with_harness(work)

    def test_answers_to_orders_name_a_limit(self) -> None:
        """An engine names its limit in its answer to a load order."""

        async def work(harness: PlatformHarness) -> None:
            harness.engines[0].limit = "3.5"
            for version in (2, 3):
                row = {"model": "tuner", "version": version}
                harness.store.put("op", "version/tuner", row)
            limits = harness.daemons[0].node.limits
            await harness.until(limits.active)
            assert [limit.rate_per_s for limit in limits.active().values()] == [3.5]

        run_with_harness(work)


class TestPlainRequests:
    def test_request_and_response_are_forwarded_unchanged(self) -> None:
        """Method, target, body and end-to-end headers are forwarded; so is the response."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.call(
                "POST",
                "/plain/a%20b?x=1&y",
                b"die 7",
                X_Kept="yes",
                X_Verbenawind_Deadline_Ms="900",
            )
            assert response.status == 200 and response.body == b"echo die 7"
            assert response.headers["x-verbenawind-server-stamp"].startswith("stamp-p")
            assert response.headers["x-own"] == "kept"
            (seen,) = [seen for server in harness.plain for seen in server.seen]
            method, target, headers, body = seen
            assert (method, target, body) == ("POST", "/plain/a%20b?x=1&y", b"die 7")
            assert headers["x-kept"] == "yes" and headers["host"] == HOST
            assert headers["x-verbenawind-attempt-id"] == "r1"
            assert 0 < int(headers["x-verbenawind-deadline-ms"]) <= 900

        run_with_harness(work)

    def test_unknown_routes_are_not_found(self) -> None:
        """A request whose host or path has no route gets status 404."""

        async def work(harness: PlatformHarness) -> None:
            assert (await harness.call("GET", "/nothing/x")).status == 404
            assert (await harness.call("GET", "/plain/x", host="other.example")).status == 404

        run_with_harness(work)

    def test_refused_request_goes_to_another_server(self) -> None:
        """A request that a server refused without running it is sent to another server."""

        async def work(harness: PlatformHarness) -> None:
            harness.plain[0].refusing = True
            for index in range(4):
                response = await harness.call("POST", "/once/x", b"b", request_id=f"r{index}")
                assert response.status == 200

        run_with_harness(work)

    def test_request_refused_by_all_servers_gets_503_with_retry_after(self) -> None:
        """If every server refuses a request, the caller gets status 503 with a retry delay."""

        async def work(harness: PlatformHarness) -> None:
            for server in harness.plain:
                server.refusing = True
            response = await harness.call("POST", "/once/x", b"b")
            assert response.status == 503 and float(response.headers["retry-after"]) > 0

        run_with_harness(work)

    def test_lost_response_is_retried_only_for_idempotent_requests(self) -> None:
        """After a lost response, an idempotent request is retried; another one gets status 502."""

        async def work(harness: PlatformHarness) -> None:
            for server in harness.plain:
                server.drop_next = 1
            assert (await harness.call("POST", "/once/x", b"b", request_id="o")).status == 502
            assert (await harness.call("POST", "/plain/x", b"b", request_id="p")).status == 200
            once = [s for server in harness.plain for s in server.seen if s[1] == "/once/x"]
            assert len(once) == 1

        run_with_harness(work)

    def test_reused_server_address_is_detected(self) -> None:
        """A server that has reused another one's address refuses; the request runs elsewhere."""

        async def work(harness: PlatformHarness) -> None:
            harness.plain[0].instance_id = "somebody-else"
            for index in range(4):
                response = await harness.call("POST", "/once/x", b"b", request_id=f"r{index}")
                assert response.status == 200
            assert not harness.plain[0].seen

        run_with_harness(work)


class TestBadInput:
    def test_ambiguous_framing_is_refused(self) -> None:
        """Content-Length with Transfer-Encoding gets status 400 and the connection is closed."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.raw(
                b"POST /plain/x HTTP/1.1\r\nHost: rollouts.example\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\nX-Verbenawind-Attempt-Id: r\r\n\r\n0\r\n\r\n"
            )
            assert response.status == 400
            assert not any(server.seen for server in harness.plain)

        run_with_harness(work)

    def test_large_head_is_refused(self) -> None:
        """Headers beyond the configured limit, or beyond the server's own limit, get status 431."""

        async def work(harness: PlatformHarness) -> None:
            for size in (20_000, 400_000):
                response = await harness.call("GET", "/plain/x", X_Large="a" * size)
                assert response.status == 431

        run_with_harness(work)

    def test_large_body_is_refused(self) -> None:
        """A body beyond the configured limit gets status 413."""

        async def work(harness: PlatformHarness) -> None:
            assert (await harness.call("POST", "/plain/x", b"a" * 200_000)).status == 413

        run_with_harness(work)

    def test_request_without_id_is_refused(self) -> None:
        """A request without the attempt id header gets status 400."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.raw(
                b"GET /plain/x HTTP/1.1\r\nHost: rollouts.example\r\nConnection: close\r\n\r\n"
            )
            assert response.status == 400

        run_with_harness(work)


class TestStreams:
    def test_events_are_forwarded_to_the_end(self) -> None:
        """All events of a stream are forwarded, with the status of the server's response."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.call(
                "POST", "/stream/x", b"3", request_id="s", X_Verbenawind_Model_Name="tuner"
            )
            assert response.status == 200
            assert response.body == b"".join(
                f"id: {n}\ndata: s.{n}\n\n".encode() for n in (1, 2, 3)
            )

        run_with_harness(work)

    def test_caller_resumes_a_stream(self) -> None:
        """A request with Last-Event-Id gets only the events after it."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.call(
                "POST",
                "/stream/x",
                b"3",
                request_id="s",
                X_Verbenawind_Model_Name="tuner",
                Last_Event_Id="2",
            )
            assert response.body == b"id: 3\ndata: s.3\n\n"

        run_with_harness(work)


class TestJobs:
    def test_job_from_submission_to_end(self) -> None:
        """A job can be submitted, repeated, read and ended at any daemon."""

        async def work(harness: PlatformHarness) -> None:
            assert (
                await harness.call("POST", "/batch/j", submission(), request_id="j")
            ).status == 202
            again = await harness.call("POST", "/batch/j", submission(), request_id="j", daemon=1)
            assert again.status == 202
            results: list[dict[str, object]] = []
            for _ in range(50):
                response = await harness.call(
                    "GET",
                    f"/api/lots/j?after={len(results)}",
                    daemon=1,
                    X_Verbenawind_Wait_Ms="900",
                )
                page = json.loads(response.body)
                assert page["total"] == 4 and page["next"] == len(results) + len(page["results"])
                results += page["results"]
                if len(results) == 4:
                    break
            assert sorted(str(result["id"]) for result in results) == ["i0", "i1", "i2", "i3"]
            for result in results:
                assert result["state"] == "completed" and result["versions"] == [1]
                assert result["text"] == "\n".join(f"{result['id']}.{n}" for n in (1, 2, 3))
            body = await harness.call("GET", "/api/items/j?id=i2", daemon=1)
            assert (body.status, body.body) == (200, b"3")
            for daemon in (0, 1):
                assert (await harness.call("DELETE", "/api/lots/j", daemon=daemon)).status == 200
            assert (await harness.call("GET", "/api/lots/other")).status == 404

        run_with_harness(work, daemons=2)

    def test_malformed_job_is_refused(self) -> None:
        """A malformed job submission gets status 400."""

        async def work(harness: PlatformHarness) -> None:
            for body in (b"{", b'{"items": 3}', b'{"items": [{"id": "a"}]}'):
                response = await harness.call("POST", "/batch/j", body, request_id="j")
                assert response.status == 400

        run_with_harness(work)

    def test_lost_store_response_does_not_duplicate_the_job(self) -> None:
        """If the store's response to a submission is lost, the job is accepted and runs once."""

        async def work(harness: PlatformHarness) -> None:
            harness.store.drop_next = 2
            assert (
                await harness.call("POST", "/batch/j", submission(), request_id="j")
            ).status == 202
            await harness.until(lambda: sum(len(engine.seen) for engine in harness.engines) == 4)

        run_with_harness(work)


class TestStart:
    def test_request_waits_for_the_first_configuration(self) -> None:
        """A request to a daemon that has just started is served once the routes are known."""

        async def work(harness: PlatformHarness) -> None:
            harness.store.busy = True
            await harness.add_daemon("late", ready=False)
            asking = asyncio.ensure_future(harness.call("POST", "/plain/x", b"b", daemon=1))
            await asyncio.sleep(0.1)
            harness.store.busy = False
            assert (await asking).status == 200

        run_with_harness(work)

    def test_request_is_refused_without_a_configuration(self) -> None:
        """A daemon that cannot read the store after its start gives 503 with a retry delay."""

        async def work(harness: PlatformHarness) -> None:
            harness.store.busy = True
            await harness.add_daemon("late", ready=False)
            response = await harness.call("POST", "/plain/x", b"b", daemon=1)
            assert response.status == 503 and float(response.headers["retry-after"]) > 0

        run_with_harness(work)


class TestOperation:
    def test_failed_read_is_logged_with_its_job(self) -> None:
        """A read that fails in a store outage is logged with its job id and retry delay."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.call("POST", "/batch/j", submission(), request_id="j")
            assert response.status == 202
            harness.store.busy = True
            with capture_log_lines() as lines:
                refused = await harness.call("GET", "/api/lots/j?after=0", b"")
            assert refused.status == 503
            (line,) = [line for line in lines if line["event"] == "request_failed"]
            assert line["job_id"] == "j"
            assert line["retry_after_s"] == float(refused.headers["retry-after"])

        run_with_harness(work)

    def test_ready_only_with_a_configuration(self) -> None:
        """A daemon is ready with a configuration, and unready once it hands over its work."""

        async def work(harness: PlatformHarness) -> None:
            daemon = harness.daemons[0]
            get = b"GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            assert (await harness.raw(get, address=daemon.settings.ready_address)).status == 200
            await daemon.node.hand_over()
            assert (await harness.raw(get, address=daemon.settings.ready_address)).status == 503

        run_with_harness(work)

    def test_metrics_are_served(self) -> None:
        """Metrics of the store, requests, feeds, jobs and servers are served as text."""

        async def work(harness: PlatformHarness) -> None:
            await harness.call("POST", "/plain/x", b"b")
            get = b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            daemon = harness.daemons[0]
            response = await harness.raw(get, address=daemon.settings.metrics_address)
            text = response.body.decode()
            for name in (
                "store_calls",
                "store_call_seconds_bucket",
                "request_seconds_bucket",
                "feed_age_seconds",
                "jobs_owned",
                "server_belief_age_seconds",
            ):
                assert f"verbenawind_{name}" in text
            service = next(iter(harness.daemons[0].node.routes.configuration.services))  # type: ignore[union-attr]
            assert f'verbenawind_servers{{belief="good",service="{service}"}}' in text
            assert f'verbenawind_servers{{belief="suspected",service="{service}"}} 0' in text

        run_with_harness(work)

    def test_older_configuration_is_ignored(self) -> None:
        """A newer configuration comes into force; an older one is ignored."""

        async def work(harness: PlatformHarness) -> None:
            node = harness.daemons[0].node
            harness.configure(version=5)
            await harness.until(lambda: node.routes and node.routes.configuration.version == 5)
            harness.configure(version=3)
            await asyncio.sleep(0.5)
            assert node.routes is not None and node.routes.configuration.version == 5

        run_with_harness(work)

    def test_calls_are_relayed_when_the_store_is_unreachable(self) -> None:
        """Store calls of a daemon that cannot reach the store are relayed by a peer."""

        async def work(harness: PlatformHarness) -> None:
            await harness.until(lambda: harness.daemons[1].node.peer_addresses())
            harness.daemons[1].store.set_address("127.0.0.1:9")
            response = await harness.call(
                "POST", "/batch/j", submission(), request_id="j", daemon=1
            )
            assert response.status == 202

        run_with_harness(work, daemons=2)

    def test_new_weights_are_ordered(self) -> None:
        """A published version is sent to the engines as orders with holder and fencing token."""

        async def work(harness: PlatformHarness) -> None:
            harness.store.put("op", "version/tuner", {"model": "tuner", "version": 2})
            await harness.until(lambda: any(engine.orders for engine in harness.engines))
            order = next(engine.orders[0] for engine in harness.engines if engine.orders)
            assert order["op-type"] == "version" and order["version"] == 2
            assert order["holder"] == "host-0" and order["fencing-token"] >= 1
            assert order["mode"] == "retain" and order["expect"] == 0

        run_with_harness(work)
