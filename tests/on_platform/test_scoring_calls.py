"""Tests of scoring calls in the platform's formats, over loopback sockets."""

import base64
import json
from typing import Any

from on_platform.harness import HOST, PlatformHarness, run_with_harness, submission


def scored_submission(body: bytes = b"\x00reward") -> bytes:
    """Return a job whose items have scoring calls to the plain service."""
    job = json.loads(submission())
    for item in job["items"]:
        item["scorer"] = {
            "id": f"score-{item['id']}",
            "host": HOST,
            "path": f"/plain/score/{item['id']}?v=1",
            "body": base64.b64encode(body).decode(),
        }
    return json.dumps(job).encode()


class TestScoringCalls:
    def test_call_and_score_have_the_platform_s_form(self) -> None:
        """The call is a POST with the scorer's id, path and bytes; its stamp is the score."""

        async def work(harness: PlatformHarness) -> None:
            response = await harness.call("POST", "/batch/7", scored_submission(), request_id="j1")
            assert response.status == 202
            results: list[dict[str, Any]] = []
            for _ in range(50):
                response = await harness.call(
                    "GET", f"/api/lots/j1?after={len(results)}", X_Verbenawind_Wait_Ms="1000"
                )
                results += json.loads(response.body)["results"]
                if len(results) == 4:
                    break
            assert {result["state"] for result in results} == {"completed"}
            assert {result["score"] for result in results} <= {"stamp-p0", "stamp-p1"}
            calls = [seen for server in harness.plain for seen in server.seen]
            assert sorted(target for _, target, _, _ in calls) == [
                f"/plain/score/i{index}?v=1" for index in range(4)
            ]
            for method, target, headers, body in calls:
                item_id = target.split("/")[-1].partition("?")[0]
                assert (method, body) == ("POST", b"\x00reward")
                assert headers["x-verbenawind-attempt-id"] == f"score-{item_id}"
                assert headers["host"] == HOST
                assert int(headers["x-verbenawind-deadline-ms"]) > 0

        run_with_harness(work)

    def test_malformed_scorer_is_refused(self) -> None:
        """A scorer without an id, or whose body is not base64, gets status 400."""

        async def work(harness: PlatformHarness) -> None:
            for change in ({"id": None}, {"body": "%"}):
                job = json.loads(scored_submission())
                job["items"][0]["scorer"] |= change
                response = await harness.call(
                    "POST", "/batch/7", json.dumps(job).encode(), request_id="j1"
                )
                assert response.status == 400

        run_with_harness(work)
