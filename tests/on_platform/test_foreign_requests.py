"""Tests of what callers, trainers and engines write, over loopback sockets."""

import asyncio
import json
from typing import Any

import pytest

from on_platform.harness import HOST, PlatformHarness, run_with_harness, submission

SMUGGLED = "POST /batch/smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


class TestSubmissions:
    @pytest.mark.parametrize(
        "change",
        [
            {"path": f"/batch/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n{SMUGGLED}"},
            {"path": "/batch/1 2"},
            {"path": "/batch/é"},
            {"headers": {"X-A": f"1\r\nContent-Length: 0\r\n\r\n{SMUGGLED}"}},
            {"headers": {f"X-A: 1\r\nContent-Length: 0\r\n\r\n{SMUGGLED}X": "1"}},
            {"headers": {"X-A": "日本"}},
            {"headers": {"X-Verbenawind-Length-Hint": "²"}},
            {"headers": {"X-Verbenawind-Length-Hint": "9" * 5000}},
            {"id": "i\r\nX: y"},
            {"body": "é"},
            {"tokens": 10**30},
        ],
        ids=lambda change: repr(change)[:40],
    )
    def test_item_that_cannot_be_sent_is_refused(self, change: dict[str, Any]) -> None:
        """400, and no engine gets a request: neither the item nor one that its text makes up."""

        async def work(harness: PlatformHarness) -> None:
            job = json.loads(submission(1, size=1))
            job["items"][0] |= change
            response = await harness.call(
                "POST", "/batch/7c41", json.dumps(job).encode(), request_id="7c41"
            )
            assert response.status == 400
            await asyncio.sleep(0.3)
            assert not any(engine.seen for engine in harness.engines)

        run_with_harness(work)

    @pytest.mark.parametrize("name", ["Content-Length", "Transfer-Encoding", "Connection"])
    def test_headers_of_one_connection_are_not_forwarded(self, name: str) -> None:
        """A framing header of an item is dropped, and the item runs."""

        async def work(harness: PlatformHarness) -> None:
            job = json.loads(submission(1, size=1))
            job["items"][0]["headers"][name] = "chunked" if name[0] == "T" else "0"
            response = await harness.call(
                "POST", "/batch/7c41", json.dumps(job).encode(), request_id="7c41"
            )
            assert response.status == 202
            page: dict[str, Any] = {"results": []}
            for _ in range(30):
                found = await harness.call(
                    "GET", "/api/lots/7c41?after=0", X_Verbenawind_Wait_Ms="1000"
                )
                page = json.loads(found.body)
                if page["results"]:
                    break
            assert page["results"][0]["text"] == "i0.1\ni0.2\ni0.3"

        run_with_harness(work)

    def test_nested_submission_is_refused(self) -> None:
        """A body of 5,000 nested objects is an error of the caller."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.call("POST", "/batch/7c41", b'{"a":' * 5000, request_id="7c41")
            assert response.status == 400

        run_with_harness(work)


class TestNumbers:
    def test_numbers_that_int_does_not_read(self) -> None:
        """Digits outside ASCII, and thousands of them, in a position and in Last-Event-Id."""

        async def work(harness: PlatformHarness) -> None:
            await harness.call("POST", "/batch/7c41", submission(), request_id="7c41")
            for text in ("%C2%B2", "9" * 5000):
                response = await harness.call("GET", f"/api/lots/7c41?after={text}")
                assert response.status == 400
            for value in ("\u00b2", "9" * 5000):
                data = (
                    f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                    f"X-Verbenawind-Attempt-Id: s\r\nX-Verbenawind-Model-Name: tuner\r\n"
                    f"Last-Event-Id: {value}\r\nContent-Length: 1\r\n\r\n2"
                ).encode("latin-1")
                response = await harness.raw(data)
                assert response.status == 200

        run_with_harness(work)
