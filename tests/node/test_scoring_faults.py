"""Seeded sequences of faults against jobs with scoring calls.

Whatever happens to owners, the store and the scoring servers: every accepted item is listed once
and stays at its position, with its whole text and a score of a call made after that text, or is
terminated after as many failures as the route allows.
"""

import random

import pytest

from node.fleet import Fleet, job, run_fleet, scoring_call
from node.test_scoring import calls_of
from verbenawind.batches import ItemResult, ResultState
from verbenawind.errors import StoreUnavailable
from verbenawind.standins.opaque_engines import OpaqueEngine, item_text

SEEDS = range(24)


async def _disturb(fleet: Fleet, rng: random.Random, servers: list[OpaqueEngine]) -> None:
    """Inject one fault, and end it after a while."""
    server = rng.choice(servers)
    kind = rng.choice(
        ["silent", "down", "unsigned", "lost", "failing", "store", "answers", "kill", "all"]
    )
    for_s = rng.uniform(0.3, 2.0)
    match kind:
        case "silent":
            server.unresponsive = True
        case "down":
            server.down = True
        case "unsigned":
            server.unsigned = True
        case "lost":
            server.loses_responses = True
        case "failing":
            server.failures_left = 2
        case "store":
            fleet.store.faults.down = True
        case "answers":
            fleet.store.faults.lost_answers = 0.4
        case "kill":
            name = rng.choice(sorted(fleet.members))
            fleet.kill(name)
        case "all":
            for name in list(fleet.members):
                fleet.kill(name)
    await fleet.clock.sleep(for_s)
    server.unresponsive = server.down = server.unsigned = server.loses_responses = False
    fleet.store.faults.down = False
    fleet.store.faults.lost_answers = 0.0
    for index in range(3):
        if f"host-{index}" not in fleet.members:
            fleet.add_host(f"host-{index}")


async def _read(fleet: Fleet, job_id: str, after: int) -> list[ItemResult]:
    """Read results from any host; while none can read, return none."""
    for name in sorted(fleet.members):
        member = fleet.members[name]
        try:
            return list((await member.node.jobs.results(job_id, after, 0.0)).results)
        except StoreUnavailable:
            continue
    return []


class TestFaultSequences:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_results_are_listed_once_with_their_own_scores(self, seed: int) -> None:
        """Two jobs are whole after five random faults, at the positions that were read."""

        async def work(fleet: Fleet) -> None:
            rng = random.Random(seed)
            servers = [fleet.add_scoring_server(f"scorer-{index}", slots=3) for index in range(3)]
            await fleet.start(hosts=3)
            jobs = [
                job(f"job-{number}", groups=3, events=(4, 12, 40), scored=True)
                for number in range(2)
            ]
            bad = jobs[0].items[rng.randrange(12)].item_id
            for server in servers:
                server.fail_items.add(scoring_call(bad).call_id)
            for submission in jobs:
                await fleet.submit(fleet.members["host-0"], submission)
            read: dict[str, list[ItemResult]] = {submission.job_id: [] for submission in jobs}
            for _ in range(5):
                await fleet.clock.sleep(rng.uniform(0.1, 1.0))
                await _disturb(fleet, rng, servers)
                for job_id, results in read.items():
                    results += await _read(fleet, job_id, len(results))
            for submission in jobs:
                events = {item.item_id: int(item.body) for item in submission.items}
                reader = fleet.members["host-1"]
                await fleet.until(lambda node=reader.node: node.ready)
                results = await fleet.collect(reader, submission)
                seen = read[submission.job_id]
                assert results[: len(seen)] == seen
                terminated = {
                    result.item_id for result in results if result.state is ResultState.TERMINATED
                }
                assert terminated <= {bad}
                whole = [result for result in results if result.item_id not in terminated]
                assert len({result.item_id for result in results}) == len(submission.items)
                for result in whole:
                    assert result.text == item_text(result.item_id, events[result.item_id])
                    call_id = scoring_call(result.item_id).call_id
                    assert any(result.score in server.signatures[call_id] for server in servers)
            assert calls_of(servers, bad) == 0, "a call with status 500 does not run to its end"

        run_fleet(work, seed=seed)
