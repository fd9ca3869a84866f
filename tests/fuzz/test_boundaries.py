"""Property tests of every place at which bytes of another program enter or leave a daemon.

Only the boundary's own error may come out; whatever it accepts can be sent on, and arrives as one
request with the same method, path, headers and body.
"""

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

import cbor2
import h11
import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from fuzz.boundaries import documents, odd_texts, raw_bytes
from verbenawind.batches import BatchSubmission, JobRecord
from verbenawind.batches.job_rows import KeptText, StoredResult
from verbenawind.clock import SystemClock
from verbenawind.errors import (
    BackendServerFailed,
    InvalidRequest,
    RequestUnsendable,
    SettingsInvalid,
    Undecodable,
)
from verbenawind.gateway.crash_rows import Clearance, CrashReport, TrialClaim
from verbenawind.gateway.events import EventReader
from verbenawind.http_server import HttpServer
from verbenawind.kernel.decoding import decode_json, decode_msgpack
from verbenawind.platform.backends import HttpAnswer
from verbenawind.platform.batches import decode_submission
from verbenawind.platform.configuration import (
    PlatformRegistry,
    decode_configuration,
    decode_instance,
)
from verbenawind.platform.settings import parse_host_settings
from verbenawind.plugins.http1_client import Http1Client, Http1Request
from verbenawind.state.heartbeats import HostHeartbeat
from verbenawind.state.relay import StoreReply, decode_call, decode_reply

CI_EXAMPLES = 60
# Each example opens a connection.
CI_CONNECTIONS = 25

ITEM = {
    "id": "e5b2907c14da6f38",
    "path": "/tune/3/91c4?x=1",
    "headers": {"X-Verbenawind-Model-Name": "m", "X-Verbenawind-Length-Hint": "12"},
    "body": "q83vEjRWeJA=",
    "tokens": 940,
    "group": "g1",
    "scorer": {"id": "c1", "host": "grade.example", "path": "/grade/1", "body": "YQ=="},
}
JOB = {"step": 7, "model": "m", "min-version": 6, "desired-count": 1, "items": [ITEM, ITEM]}
SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 16,
    "state": "ready",
    "born": 17,
    "models": [{"name": "m", "version": 3}],
}
CONFIGURATION = {
    "version": 3,
    "limits": {"max-body-bytes": 1000, "idle-timeout-ms": 15000},
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "path-prefix": "/a/",
            "kind": "rollout",
            "timeout-ms": 3000,
            "weighted-services": [{"service": "s", "weight": 1.0}],
        }
    ],
    "services": [{"name": "s", "engine": {"slots": 4, "models": [{"name": "m"}]}}],
}
HEARTBEAT = {
    "host": "h",
    "incarnation": "x",
    "address": "10.0.0.1:7300",
    "location": {"zone": "a", "region": "r"},
    "number": 1,
}
RECORD = {
    "job_id": "j",
    "host": "h",
    "path": "/a/",
    "model": "m",
    "step": 1,
    "min_version": 1,
    "total": 4,
    "submitted_ms": 5,
    "owner": "h#1",
    "epoch": 1,
    "state": "open",
}
REPORT = {"incarnation": "i", "service": "s", "ended_ms": 4, "sends": [], "alive_ms": 3}
CLAIM = {"claim_id": "c", "claimed_ms": 1, "terms": {"": {"trials": 1, "until_ms": 4}}}
SETTINGS = """
node-name = "e"
ip = "10.1.0.10"
zone = "a"
region = "r"
internal-ports = [7300, 7315]
[listen]
front = "10.1.0.10:8263"
ready = "10.1.0.10:8268"
[platform]
address = "10.2.0.1:80"
"""
REGISTRY = PlatformRegistry({})


def fuzz(examples: int = CI_EXAMPLES) -> Callable[[Any], Any]:
    """Run the fixed examples of CI, or those that ``make fuzz`` asks for."""
    run_seed = os.environ.get("VERBENAWIND_FUZZ_SEED")
    configured = settings(
        max_examples=int(os.environ.get("VERBENAWIND_FUZZ_EXAMPLES", examples)),
        derandomize=run_seed is None,
        deadline=None,
        database=None,
        phases=(Phase.generate,) if run_seed is None else (Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )

    def decorate(test: Any) -> Any:
        return configured(test if run_seed is None else seed(int(run_seed))(test))

    return decorate


class TestRows:
    @pytest.mark.parametrize(
        ("decode", "sound"),
        [
            (lambda data: decode_instance("i-1", data, {}), SERVER),
            (decode_configuration, CONFIGURATION),
            (lambda data: REGISTRY.operator_row("version/m", data), {"model": "m", "version": 2}),
            (lambda data: decode_json(data, HostHeartbeat), HEARTBEAT),
            (lambda data: decode_json(data, JobRecord), RECORD),
            (lambda data: decode_json(data, CrashReport), REPORT),
            (lambda data: decode_json(data, Clearance), {"cleared_ms": 4}),
            (lambda data: decode_json(data, TrialClaim), CLAIM),
        ],
        ids=[
            "server",
            "configuration",
            "version",
            "heartbeat",
            "job",
            "crash report",
            "clearance",
            "trial claim",
        ],
    )
    def test_row_is_decoded_or_undecodable(
        self, decode: Callable[[bytes], Any], sound: Any
    ) -> None:
        """A decoder returns a value that can be written again, or raises Undecodable alone."""
        decode(json.dumps(sound).encode())

        @fuzz()
        @given(documents(sound))
        def check(data: bytes) -> None:
            try:
                value = decode(data)
            except Undecodable:
                return
            msgspec.json.encode(value)

        check()

    @pytest.mark.parametrize("kind", [BatchSubmission, KeptText, list[StoredResult]])
    def test_packed_row_is_decoded_or_undecodable(self, kind: Any) -> None:
        """The same for the rows of batch jobs, which are MessagePack."""
        sound = msgspec.msgpack.encode(["i", 0, ["x"], 1, [1], 1, False])

        @fuzz()
        @given(raw_bytes(sound))
        def check(data: bytes) -> None:
            try:
                decode_msgpack(data, kind)
            except Undecodable:
                return

        check()

    @fuzz()
    @given(st.one_of(odd_texts(), st.text(max_size=200)))
    def test_id_of_a_server_can_be_sent_or_is_undecodable(self, instance_id: str) -> None:
        """The key of an entry travels in a header of every request to its server."""
        try:
            decode_instance(instance_id, json.dumps(SERVER).encode(), {})
        except Undecodable:
            return
        Http1Request(method="GET", target="/", headers=[("X-Id", instance_id)]).encode()

    @fuzz()
    @given(raw_bytes(SETTINGS.encode()), odd_texts())
    def test_settings_are_parsed_or_invalid(self, data: bytes, text: str) -> None:
        """A settings file with any content, and any text as an address."""
        for content in (data.decode("latin-1"), SETTINGS.replace("10.2.0.1:80", json.dumps(text))):
            try:
                parse_host_settings(content)
            except SettingsInvalid:
                continue


class TestPeers:
    @fuzz()
    @given(
        st.one_of(
            raw_bytes(cbor2.dumps([1, {"method": "GET", "target": "/api/rows-get"}])),
            st.tuples(odd_texts(), odd_texts(), st.floats()).map(
                lambda found: cbor2.dumps(
                    [1, {"method": found[0], "target": found[1], "timeout_s": found[2]}]
                )
            ),
        )
    )
    def test_relayed_call_is_decoded_or_undecodable(self, data: bytes) -> None:
        """A peer's message is a call to the store, an answer to one, or Undecodable."""
        for decode in (decode_call, decode_reply):
            try:
                decoded = decode(data)
            except Undecodable:
                continue
            assert not isinstance(decoded, StoreReply)


class TestSubmissions:
    @fuzz()
    @given(documents(JOB | {"items": [ITEM]}), st.one_of(st.just("7c41"), odd_texts()))
    def test_accepted_items_arrive_unchanged(self, body: bytes, job_id: str) -> None:
        """An item is refused with an error of the caller, or a strict parser reads it as it was."""
        try:
            submission = decode_submission(job_id, "tune.example", "/tune/1", body)
        except InvalidRequest:
            return
        msgspec.msgpack.encode(submission)
        for item in submission.items:
            headers = [("Host", "tune.example"), ("X-Id", item.item_id), *item.headers]
            check_arrives("POST", item.path, headers, item.body)
            if item.scoring is not None:
                call = item.scoring
                headers = [("Host", call.host), ("X-Id", call.call_id)]
                check_arrives("POST", call.path, headers, call.body)

    @pytest.mark.parametrize(
        "change",
        [
            {"id": "a\r\nX: y"},
            {"id": ""},
            {"id": "x" * 129},
            {"path": "/a HTTP/1.1\r\n\r\nPOST /b"},
            {"path": "/a b"},
            {"path": "a"},
            {"path": "/é"},
            {"headers": {"X": "a\r\n\r\nPOST /b HTTP/1.1"}},
            {"headers": {"X": "日本"}},
            {"headers": {"X: y\r\nZ": "a"}},
            {"headers": {"": "a"}},
            {"headers": {"X-Verbenawind-Length-Hint": "²"}},
            {"headers": {"X-Verbenawind-Length-Hint": "9" * 5000}},
            {"body": "é"},
            {"body": "a"},
            {"tokens": -1},
            {"tokens": 10**30},
            {"scorer": {"id": "c", "host": "a b", "path": "/"}},
            {"scorer": {"id": "c", "host": "h", "path": "/a\r\nX: y"}},
            {"scorer": {"id": "c\r\nX: y", "host": "h", "path": "/"}},
        ],
        ids=str,
    )
    def test_item_that_cannot_be_sent_is_refused(self, change: dict[str, Any]) -> None:
        """A trainer's text must not end a header, and so start a request that nobody sent."""
        body = json.dumps(JOB | {"items": [ITEM | change]}).encode()
        with pytest.raises(InvalidRequest):
            decode_submission("7c41", "tune.example", "/tune/1", body)

    def test_deeply_nested_submission_is_refused(self) -> None:
        """5,000 nested objects are an error of the caller, not one of the daemon."""
        with pytest.raises(InvalidRequest):
            decode_submission("7c41", "tune.example", "/tune/1", b'{"a":' * 5000)

    def test_framing_headers_are_not_forwarded(self) -> None:
        """Headers of one connection are those of the caller's own, not of the engine's."""
        headers = {"Content-Length": "3", "Transfer-Encoding": "chunked", "Connection": "X-A"}
        item = ITEM | {"headers": headers | {"X-A": "1", "X-B": "2"}}
        body = json.dumps(JOB | {"items": [item]}).encode()
        submission = decode_submission("7c41", "tune.example", "/tune/1", body)
        assert submission.items[0].headers == (("X-B", "2"),)


class TestHttp:
    @fuzz()
    @given(
        st.one_of(st.just("POST"), odd_texts()),
        st.one_of(st.just("/a"), odd_texts()),
        st.lists(st.tuples(st.one_of(st.just("X-A"), odd_texts()), odd_texts()), max_size=3),
        st.binary(max_size=20),
    )
    def test_request_arrives_unchanged_or_is_unsendable(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Whoever calls the client, what it writes is one request with the parts that it got."""
        try:
            check_arrives(method, target, [("Host", "h"), *headers], body)
        except RequestUnsendable:
            return

    @fuzz(CI_CONNECTIONS)
    @given(raw_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=3\r\n\r\nok"))
    def test_any_response_is_read_or_fails(self, data: bytes) -> None:
        """A server's bytes are a response or the client's own error, and end in any case."""
        asyncio.run(self._read_response(data))

    @pytest.mark.parametrize(
        "line",
        ["X-Verbenawind-Weight-Versions: ²", "Keep-Alive: timeout=²", "Retry-After: " + "9" * 5000],
    )
    def test_odd_numbers_in_response_headers(self, line: str) -> None:
        """A number that Python's ``isdigit`` accepts and ``int`` does not is no number."""
        data = f"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n{line}\r\n\r\nok".encode("latin-1")
        assert asyncio.run(self._read_response(data)) == b"ok"

    @pytest.mark.parametrize("status", ["099", "600", "999"])
    def test_status_that_no_caller_can_get_fails(self, status: str) -> None:
        """A status outside 200 to 599 cannot be sent on, and so is no response."""
        data = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
        assert asyncio.run(self._read_response(data)) is None

    @staticmethod
    async def _read_response(data: bytes) -> bytes | None:
        """Return the body that the client reads from a server that sends *data* and closes."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = Http1Client(SystemClock(), 1.0)
        request = Http1Request(method="GET", target="/", headers=[("Host", "h")])
        try:
            async with asyncio.timeout(10):
                response = await client.send(f"{host}:{port}", request)
                await response.head()
                answer = HttpAnswer(response)
                assert answer.version is None or answer.version >= 0
                assert answer.limit_per_s is None or isinstance(answer.limit_per_s, float)
                for name, value in response.headers:
                    Http1Request(method="GET", target="/", headers=[("X-" + name, value)]).encode()
                return await response.body()
        except BackendServerFailed:
            return None
        finally:
            client.close()
            server.close()

    @fuzz()
    @given(raw_bytes(b"id: 1\ndata: x\nx-version: 3\n\nid: 2\ndata: y\n\n"))
    def test_any_event_stream_is_read_or_fails(self, data: bytes) -> None:
        """An engine's stream is events or the reader's own error."""
        try:
            events = EventReader("x-version").feed(data)
        except BackendServerFailed:
            return
        assert all(event.event_id >= 0 for event in events)

    @fuzz(CI_CONNECTIONS)
    @given(raw_bytes(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"))
    def test_any_request_is_answered_or_closed(self, data: bytes) -> None:
        """A caller's bytes get a response or a closed connection, and none of status 500."""

        async def app(_scope: Any, receive: Any, send: Any) -> None:
            while (message := await receive())["type"] == "http.request":
                if not message.get("more_body"):
                    break
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b""})

        async def work() -> None:
            server = HttpServer(app, "127.0.0.1", 0, header_timeout_s=0.3)
            await server.start()
            try:
                async with asyncio.timeout(10):
                    host, _, port = server.address.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                    writer.write(data)
                    writer.write_eof()
                    try:
                        answer = await reader.read()
                    except ConnectionResetError:
                        answer = b""
                    writer.close()
                assert not answer.startswith(b"HTTP/1.1 500")
            finally:
                await server.kill()

        asyncio.run(work())


def check_arrives(method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> None:
    """Check that a strict parser reads one request with these parts from what the client writes.

    Raises:
        RequestUnsendable: The client refuses to write it.
    """
    data = Http1Request(method=method, target=target, headers=headers, body=body).encode()
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    event = parser.next_event()
    assert isinstance(event, h11.Request)
    assert (event.method.decode(), event.target.decode()) == (method, target)
    arrived = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in event.headers
        if name != b"content-length"
    ]
    assert arrived == [(name.lower(), value) for name, value in headers]
    received = b""
    while not isinstance(event := parser.next_event(), h11.EndOfMessage):
        assert isinstance(event, h11.Data)
        received += event.data
    assert received == body
    assert parser.trailing_data == (b"", False)
