"""Tests of calls to plain services."""

from loopback import Loopback, run_loopback

AMBIGUOUS = [
    "a/%2e%2e/bookings/1",
    "a//bookings",
    "a%5cbookings",
    "%2e/bookings/1",
    "a%2F..%2Fbookings",
]


class TestServiceCalls:
    def test_any_method_with_query_and_body(self) -> None:
        """Each method reaches the service with path, query and body."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client() as client:
                for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
                    url = f"{loopback.v1}/services/job-cards/cards/7%20a?full=1"
                    headers = {"idempotency-key": method} if method in ("POST", "PATCH") else {}
                    response = await client.request(method, url, content=b"x", headers=headers)
                    assert response.status_code == 200
                    assert response.json()["method"] == method
                    assert response.json()["path"] == "/cards/7%20a"
                for method in ("HEAD", "OPTIONS"):
                    response = await client.request(method, f"{loopback.v1}/services/job-cards/a")
                    assert response.status_code == 200

        run_loopback(scenario)

    def test_ambiguous_paths_are_rejected(self) -> None:
        """A path that the service could resolve to a non-idempotent route never reaches it."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client() as client:
                for path in AMBIGUOUS:
                    response = await client.get(f"{loopback.v1}/services/job-cards/{path}")
                    assert response.status_code in (400, 404), path
            assert not loopback.service.runs

        run_loopback(scenario)

    def test_encoded_slash_before_the_service_is_rejected(self) -> None:
        """An encoded slash in the daemon's part of the path does not shift the service's path."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            base = f"{loopback.url}/environments%2Fsiam-fold/production/v1/services"
            async with loopback.client() as client:
                response = await client.get(f"{base}/job-cards/x/bookings/1")
                assert response.status_code in (400, 404)
                assert not loopback.service.runs

        run_loopback(scenario)

    def test_booking_needs_a_key_and_runs_once(self) -> None:
        """A booking without a key is rejected as not_run; repeated with a key it runs once."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client() as client:
                url = f"{loopback.v1}/services/job-cards/bookings/1"
                missing_key = await client.post(url, content=b"pallet")
                assert (missing_key.status_code, missing_key.json()["error"]["outcome"]) == (
                    400,
                    "not_run",
                )
                headers = {"idempotency-key": "order-1"}
                responses = [
                    await client.post(url, content=b"pallet", headers=headers) for _ in range(2)
                ]
                assert responses[0].content == responses[1].content
                assert loopback.service.runs["order-1"] == 1
                bad = await client.post(url, headers={"idempotency-key": "x" * 300})
                assert bad.status_code == 400

        run_loopback(scenario)
