"""Tests of the operator API."""

from typing import Any

from loopback import APPLICATION_TOKEN, DOCUMENT_TEXT, OPERATOR_TOKEN, Loopback, run_loopback
from verbenawind.kernel.ports import Transaction

CHANGED_TEXT = DOCUMENT_TEXT.replace('"max_versions": 1', '"max_versions": 3')


class TestDocuments:
    def test_apply_diff_promote_history_and_rollback(self) -> None:
        """A document is promoted unchanged, and a rollback makes a new revision."""

        async def scenario(loopback: Loopback) -> None:
            base = f"{loopback.operators}/environments/siam-fold"
            async with loopback.client(OPERATOR_TOKEN) as client:
                first = await client.put(f"{base}/trial?author=nok", content=DOCUMENT_TEXT)
                assert (first.status_code, first.json()["revision"]) == (200, 1)
                assert first.json()["author"] == "nok"
                same = await client.post(f"{base}/trial/diff", content=DOCUMENT_TEXT)
                assert same.json()["changes"] == []
                differing = await client.post(f"{base}/trial/diff", content=CHANGED_TEXT)
                path = "$.models[tuner].staleness.max_versions"
                change = {"path": path, "before": "1", "after": "3"}
                assert differing.json()["changes"] == [change]
                promoted = await client.post(f"{base}/promote?digest={first.json()['digest']}")
                assert promoted.json()["stage"] == "production"
                assert promoted.json()["digest"] == first.json()["digest"]
                again = await client.post(f"{base}/promote")
                assert again.json()["revision"] == promoted.json()["revision"]
                await client.put(f"{base}/trial?expect_revision=1", content=CHANGED_TEXT)
                back = await client.post(f"{base}/trial/rollback?to=1")
                assert back.json()["revision"] == 3
                assert back.json()["digest"] == first.json()["digest"]
                history = await client.get(f"{base}/trial/history")
                assert [item["revision"] for item in history.json()["revisions"]] == [1, 2, 3]
                old = await client.get(f"{base}/trial/revisions/2")
                assert old.json()["document"]["models"][0]["staleness"]["max_versions"] == 3

        run_loopback(scenario)

    def test_revision_conflict_shows_the_difference(self) -> None:
        """A change with an outdated expected revision gets 409 and the differences."""

        async def scenario(loopback: Loopback) -> None:
            url = f"{loopback.operators}/environments/siam-fold/trial"
            async with loopback.client(OPERATOR_TOKEN) as client:
                await client.put(f"{url}?expect_revision=0", content=DOCUMENT_TEXT)
                conflict = await client.put(f"{url}?expect_revision=0", content=CHANGED_TEXT)
                error = conflict.json()["error"]
                assert (conflict.status_code, error["outcome"]) == (409, "not_run")
                assert error["current_revision"] == 1
                assert error["difference"] == ["~ $.models[tuner].staleness.max_versions: 1 -> 3"]
                shown = await client.get(url)
                assert shown.json()["revision"] == 1
                other = await client.post(
                    f"{loopback.operators}/environments/siam-fold/promote?digest={'0' * 64}"
                )
                assert other.status_code == 409

        run_loopback(scenario)

    def test_faults_are_listed_and_nothing_changes(self) -> None:
        """A document with two faults is rejected with both; no revision is created."""

        async def scenario(loopback: Loopback) -> None:
            url = f"{loopback.operators}/environments/siam-fold/trial"
            faulty = DOCUMENT_TEXT.replace('"pool": "tuning"', '"pool": "no"').replace(
                '"caller": "plant"', '"caller": "nobody"'
            )
            async with loopback.client(OPERATOR_TOKEN) as client:
                response = await client.put(url, content=faulty)
                assert response.status_code == 400
                assert len(response.json()["error"]["faults"]) >= 2
                assert (await client.get(url)).status_code == 404

        run_loopback(scenario)

    def test_unreachable_store_is_not_run(self) -> None:
        """A change that never reached the store has the outcome not_run."""

        async def scenario(loopback: Loopback) -> None:
            url = f"{loopback.operators}/environments/siam-fold/trial"
            loopback.deployment.table.faults.down = True
            async with loopback.client(OPERATOR_TOKEN) as client:
                response = await client.put(url, content=DOCUMENT_TEXT)
            assert response.status_code == 503
            assert response.json()["error"]["outcome"] == "not_run"

        run_loopback(scenario)

    def test_lost_response_may_have_run(self) -> None:
        """A change has the outcome may_have_run if commit and lookup get no response."""

        async def scenario(loopback: Loopback) -> None:
            table = loopback.deployment.table
            commit = table.commit

            async def commit_then_lose_answers(transaction: Transaction) -> None:
                if transaction.writes[0].key.startswith("config/"):
                    table.faults.lose_answer_rate = 1.0
                await commit(transaction)

            table.commit = commit_then_lose_answers  # type: ignore[method-assign]
            url = f"{loopback.operators}/environments/siam-fold/trial"
            async with loopback.client(OPERATOR_TOKEN) as client:
                response = await client.put(url, content=DOCUMENT_TEXT)
            assert response.status_code == 503
            assert response.json()["error"]["outcome"] == "may_have_run"
            assert "config/head/siam-fold/trial" in table.rows

        run_loopback(scenario)

    def test_other_tokens_are_refused(self) -> None:
        """A caller's token is rejected by the operator API."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client(APPLICATION_TOKEN) as client:
                for method, path in (
                    ("GET", "status"),
                    ("PUT", "environments/siam-fold/trial"),
                    ("POST", "servers/engine-0/drain"),
                    ("GET", "requests/x/explain"),
                ):
                    response = await client.request(method, f"{loopback.operators}/{path}")
                    assert response.status_code == 401

        run_loopback(scenario)


class TestRunningSystem:
    def test_status_shows_holders_and_servers(self) -> None:
        """Status lists the engines and this daemon as holder of the revision, with a time."""

        async def scenario(loopback: Loopback) -> dict[str, Any]:
            await loopback.accept()
            async with loopback.client(OPERATOR_TOKEN) as client:
                status: dict[str, Any] = (await client.get(f"{loopback.operators}/status")).json()
                return status

        status = run_loopback(scenario)
        holder = status["environments"][0]["held_by"][0]
        assert (holder["daemon_id"], holder["revision"]) == ("daemon-0", 1)
        assert holder["since"]
        assert {server["server_id"] for server in status["servers"]} >= {"engine-0", "engine-1"}

    def test_drained_server_gets_no_new_work(self) -> None:
        """After a drain all requests go to the other engine, and the drain is gossiped."""

        async def scenario(loopback: Loopback) -> None:
            await loopback.accept()
            async with loopback.client(OPERATOR_TOKEN) as client:
                url = f"{loopback.operators}/servers/engine-0/drain"
                assert (await client.post(url)).json()["leaving"] is True
                missing = await client.post(f"{loopback.operators}/servers/nothing/drain")
                assert missing.status_code == 404
            items = loopback.daemon.core.peers.items("leaving")
            assert [(item.key, item.rank) for item in items] == [("engine-0", (1,))]
            async with loopback.client() as client:
                for number in range(4):
                    body = {"model": "tuner", "prompt": f"p{number}", "max_tokens": 2}
                    response = await client.post(f"{loopback.v1}/completions", json=body)
                    assert response.status_code == 200
            assert loopback.engines[0].started_request_ids == []
            assert len(loopback.engines[1].started_request_ids) == 4

        run_loopback(scenario)
