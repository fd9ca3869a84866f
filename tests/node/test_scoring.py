"""Tests of the scores of results on simulated hosts, engines and scoring services.

A result is complete only with the signature of a response to its own scoring call, which is sent
after the last event of its text. Faults of scoring servers cost time, never a result or a score of
another text.
"""

from collections.abc import Sequence

import msgspec

from node.fleet import (
    HOST,
    SCORING_PREFIX,
    SCORING_SERVICE,
    Fleet,
    check_complete,
    job,
    run_fleet,
    scoring_call,
)
from verbenawind.batches import ItemResult, ResultState
from verbenawind.gateway import CallerRequest
from verbenawind.standins.opaque_engines import OpaqueEngine


def check_scores(
    fleet: Fleet, servers: Sequence[OpaqueEngine], results: Sequence[ItemResult]
) -> None:
    """Check that each score is a signature of a call that was sent after the text was complete."""
    engines = [engine for engine in fleet.engines.engines.values() if engine not in servers]
    for result in results:
        call_id = scoring_call(result.item_id).call_id
        assert result.score in set().union(*(server.signatures[call_id] for server in servers))
        text_complete_at_s = max(
            engine.finished[result.item_id]
            for engine in engines
            if result.item_id in engine.finished
        )
        started_s = [
            at_s
            for server in servers
            for at_s, request_id, _ in server.started
            if request_id == call_id
        ]
        assert min(started_s) >= text_complete_at_s


def calls_of(servers: Sequence[OpaqueEngine], item_id: str) -> int:
    """Return how many scoring calls of an item the servers ran."""
    call_id = scoring_call(item_id).call_id
    return sum(
        1 for server in servers for _, request_id, _ in server.started if request_id == call_id
    )


class TestScores:
    def test_every_result_has_the_score_of_its_text(self) -> None:
        """Each item is listed once, with the score of a call made after its last event."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server(f"scorer-{index}") for index in range(2)]
            await fleet.start()
            first, second = fleet.members.values()
            submission = job(scored=True)
            await fleet.submit(first, submission)
            results = await fleet.collect(second, submission)
            check_complete(submission, results)
            check_scores(fleet, servers, results)

        run_fleet(work)

    def test_items_without_a_scoring_call_have_no_score(self) -> None:
        """Such items are listed as soon as their text is complete."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job()
            await fleet.submit(first, submission)
            assert {result.score for result in await fleet.collect(first, submission)} == {""}

        run_fleet(work)

    def test_last_item_of_a_group_is_scored_first(self) -> None:
        """With one free slot, the call that completes a group precedes older calls of others."""

        async def work(fleet: Fleet) -> None:
            server = fleet.add_scoring_server("scorer", slots=2, work_s=1.0)
            await fleet.start(engines=1)
            first, _ = fleet.members.values()
            whole = job(groups=2, size=3, events=(20, 2), scored=True)
            # A group of one long item, and a group of three short ones, which starts its calls.
            submission = msgspec.structs.replace(whole, items=whole.items[2:])
            await fleet.submit(first, submission)
            await fleet.collect(first, submission)
            order = [request_id for _, request_id, _ in server.started]
            assert order.index(scoring_call(submission.items[0].item_id).call_id) == 1

        run_fleet(work)


class TestFaultsOfScoringServers:
    def test_call_that_always_fails_terminates_its_item(self) -> None:
        """An item whose call gets max_attempts responses with status 500 is terminated."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server(f"scorer-{index}") for index in range(5)]
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(scored=True)
            bad = submission.items[0].item_id
            for server in servers:
                server.fail_items.add(scoring_call(bad).call_id)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            states = {result.item_id: result.state for result in results}
            assert states.pop(bad) is ResultState.TERMINATED
            assert set(states.values()) == {ResultState.COMPLETED}

        run_fleet(work)

    def test_call_that_fails_sometimes_is_repeated(self) -> None:
        """Fewer responses with status 500 than max_attempts do not terminate the item."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server(f"scorer-{index}") for index in range(2)]
            await fleet.start()
            first, _ = fleet.members.values()
            servers[0].failures_left = 1
            servers[1].failures_left = 2
            submission = job(groups=1, size=1, scored=True)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            check_complete(submission, results)
            check_scores(fleet, servers, results)

        run_fleet(work)

    def test_faulty_servers_are_not_the_item_s_fault(self) -> None:
        """Refusing, dark, unsigned and response-losing servers delay the scores only."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server(f"scorer-{index}") for index in range(5)]
            await fleet.start()
            first, _ = fleet.members.values()
            servers[0].down = True
            servers[1].unresponsive = True
            servers[2].unsigned = True
            servers[3].loses_responses = True
            submission = job(groups=3, scored=True)
            await fleet.submit(first, submission)
            results = await fleet.collect(first, submission)
            check_complete(submission, results)
            check_scores(fleet, servers[4:], results)
            assert fleet.clock.monotonic_s() < 20.0

        run_fleet(work)

    def test_service_that_is_away_is_waited_for(self) -> None:
        """Items wait for a service without servers, and are scored once it is back."""

        async def work(fleet: Fleet) -> None:
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(scored=True)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(4.0)
            assert await fleet.results(first, submission.job_id) == []
            servers = [fleet.add_scoring_server("scorer")]
            results = await fleet.collect(first, submission)
            check_complete(submission, results)
            check_scores(fleet, servers, results)

        run_fleet(work)


class TestScoringAndApplications:
    def test_burst_of_scoring_calls_leaves_slots_to_applications(self) -> None:
        """While a step's texts are scored, a caller's request is answered at its usual pace."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server(f"scorer-{index}") for index in range(3)]
            await fleet.start(engines=8)
            first, second = fleet.members.values()
            submission = job(groups=14, size=4, events=2, scored=True)
            await fleet.submit(first, submission)
            route = first.node.routes.match(HOST, SCORING_PREFIX)
            assert route is not None
            took_s = []
            for number in range(5):
                await fleet.clock.sleep(0.15)
                started_s = fleet.clock.monotonic_s()
                request = CallerRequest(
                    request_id=f"caller-{number}",
                    method="POST",
                    host=HOST,
                    target=f"{SCORING_PREFIX}card",
                    headers=(),
                    body=b"card",
                    arrived_s=started_s,
                    deadline_s=started_s + 2.0,
                )
                await second.node.forwarder.forward(request, route, SCORING_SERVICE)
                took_s.append(fleet.clock.monotonic_s() - started_s)
            assert max(took_s) < 0.25
            check_complete(submission, await fleet.collect(first, submission))
            slots = sum(server.instance.slots for server in servers)
            assert sum(server.peak_running for server in servers) <= slots

        run_fleet(work)


class TestTakeoverBetweenTheStages:
    def test_complete_text_survives_its_owner(self) -> None:
        """A text that waits for its score is taken over and is not generated again."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first = next(iter(fleet.members.values()))
            submission = job(events=4, scored=True)
            await fleet.submit(first, submission)
            owner = await fleet.owner_of(submission.job_id)
            await fleet.clock.sleep(2.0)
            starts = _generations(fleet)
            assert starts == len(submission.items)
            fleet.power_off(owner)
            reader = next(iter(fleet.members.values()))
            servers = [fleet.add_scoring_server("scorer")]
            results = await fleet.collect(reader, submission)
            check_complete(submission, results)
            check_scores(fleet, servers, results)
            assert _generations(fleet) == starts

        run_fleet(work)

    def test_shutdown_keeps_complete_texts(self) -> None:
        """An orderly shutdown hands over texts that wait for their scores."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3)
            first = next(iter(fleet.members.values()))
            submission = job(events=4, scored=True)
            await fleet.submit(first, submission)
            owner = await fleet.owner_of(submission.job_id)
            await fleet.clock.sleep(0.6)
            starts = _generations(fleet)
            await fleet.members[owner].node.hand_over()
            fleet.kill(owner)
            reader = next(iter(fleet.members.values()))
            fleet.add_scoring_server("scorer")
            check_complete(submission, await fleet.collect(reader, submission))
            assert _generations(fleet) == starts

        run_fleet(work)

    def test_all_hosts_lost_at_once(self) -> None:
        """After a loss of all hosts in the middle of both stages, positions and scores hold."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server("scorer", slots=2, work_s=0.4)]
            await fleet.start(hosts=3)
            first = next(iter(fleet.members.values()))
            submission = job(groups=4, events=(4, 8, 20, 40), scored=True)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(1.5)
            listed = await fleet.results(first, submission.job_id)
            assert 0 < len(listed) < len(submission.items)
            for name in list(fleet.members):
                fleet.power_off(name)
            fleet.powered_off.clear()
            for index in range(3):
                fleet.add_host(f"host-{index}")
            reader = next(iter(fleet.members.values()))
            await fleet.until(lambda: reader.node.ready)
            results = await fleet.collect(reader, submission)
            assert results[: len(listed)] == listed
            check_complete(submission, results)
            assert all(result.score.startswith("scorer/") for result in results)
            assert sum(len(server.signatures) for server in servers) == len(results)

        run_fleet(work)

    def test_scored_items_are_not_scored_again(self) -> None:
        """Items whose score is listed get no further call after a takeover."""

        async def work(fleet: Fleet) -> None:
            servers = [fleet.add_scoring_server("scorer")]
            await fleet.start(hosts=3)
            first = next(iter(fleet.members.values()))
            submission = job(groups=2, events=(2, 60), scored=True)
            await fleet.submit(first, submission)
            owner = await fleet.owner_of(submission.job_id)
            await fleet.clock.sleep(1.2)
            reader = next(member for name, member in fleet.members.items() if name != owner)
            listed = await fleet.results(reader, submission.job_id)
            assert listed
            fleet.power_off(owner)
            check_complete(submission, await fleet.collect(reader, submission))
            assert {calls_of(servers, result.item_id) for result in listed} == {1}

        run_fleet(work)


class TestEndOfScoredJobs:
    def test_end_stops_the_calls(self) -> None:
        """No scoring call starts after a job's end is known, and calls in flight are closed."""

        async def work(fleet: Fleet) -> None:
            server = fleet.add_scoring_server("scorer", work_s=1.0)
            await fleet.start()
            first, _ = fleet.members.values()
            submission = job(groups=4, events=4, scored=True)
            await fleet.submit(first, submission)
            await fleet.until(lambda: server.running > 0)
            await first.node.jobs.end(submission.job_id)
            await fleet.clock.sleep(0.6)
            assert server.running == 0
            calls = len(server.started)
            await fleet.clock.sleep(3.0)
            assert len(server.started) == calls

        run_fleet(work)


def _generations(fleet: Fleet) -> int:
    """Return how many runs of items the engines have started."""
    return sum(
        len(engine.started)
        for engine in fleet.engines.engines.values()
        if engine.instance.service != SCORING_SERVICE
    )
