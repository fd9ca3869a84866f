"""Tests that items under which engines ended are placed again.

The failure: the engine on which an item broke was excluded from its next run until another engine
had run it. Where no other engine has the weights that the item accepts, it was never placed again,
and the items behind it were not considered either, though the engine was back and had room.
"""

from node.fleet import MODEL, Fleet, check_complete, job, run_fleet

BACK_AFTER_S = 0.4


async def start_with_one_current_engine(fleet: Fleet) -> None:
    """Start a host, an engine with the newest weights, and one that never loads them."""
    fleet.configure()
    fleet.add_engine("current", version=2)
    fleet.add_engine("behind", version=1, load_s=1e6)
    for engine in fleet.engines.engines.values():
        fleet.restart_after_crashes(engine, BACK_AFTER_S)
    fleet.name_version(2)
    host = fleet.add_host("host-0")
    await fleet.until(lambda: host.node.ready)


class TestItemsUnderWhichEnginesEnded:
    def test_item_returns_to_the_only_engine_with_its_weights(self) -> None:
        """The engine ends several times under the items, and is back each time."""

        async def work(fleet: Fleet) -> None:
            await start_with_one_current_engine(fleet)
            submission = job("job-1", groups=2, size=3, events=20, min_version=2)
            await fleet.submit(fleet.members["host-0"], submission)
            engine = fleet.engines.engines["current"]
            assert engine.versions[MODEL] == 2
            for _ in range(3):
                await fleet.until(lambda: engine.running > 0, timeout_s=5.0)
                await fleet.clock.sleep(0.1)
                engine.crash()
            results = await fleet.collect(fleet.members["host-0"], submission, timeout_s=10.0)
            check_complete(submission, results)

        run_fleet(work)

    def test_item_that_failed_returns_to_the_only_engine_with_its_weights(self) -> None:
        """The engine answers the item's first run with an error."""

        async def work(fleet: Fleet) -> None:
            await start_with_one_current_engine(fleet)
            fleet.engines.engines["current"].failures_left = 1
            submission = job("job-1", groups=1, size=2, events=20, min_version=2)
            await fleet.submit(fleet.members["host-0"], submission)
            results = await fleet.collect(fleet.members["host-0"], submission, timeout_s=10.0)
            check_complete(submission, results)

        run_fleet(work)

    def test_another_engine_is_preferred(self) -> None:
        """Where a second engine has the weights and room, the item continues there."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=1, engines=2)
            submission = job("job-1", groups=1, size=1, events=20)
            await fleet.submit(fleet.members["host-0"], submission)
            engines = list(fleet.engines.engines.values())
            await fleet.until(lambda: any(engine.running for engine in engines))
            first = next(engine for engine in engines if engine.running)
            first.break_after = 0
            await fleet.collect(fleet.members["host-0"], submission, timeout_s=10.0)
            assert len(first.started) == 1

        run_fleet(work)

    def test_item_that_avoids_an_engine_holds_up_no_other(self) -> None:
        """An item waits for the other engine, which is full; the item behind it is placed."""

        async def work(fleet: Fleet) -> None:
            fleet.configure()
            full = fleet.add_engine("full", slots=1)
            host = fleet.add_host("host-0")
            await fleet.until(lambda: host.node.ready)
            await fleet.submit(host, job("job-1", groups=1, size=1, events=300))
            await fleet.until(lambda: full.running)
            free = fleet.add_engine("free", slots=1)
            free.break_after = 2
            await fleet.until(lambda: host.node.directory.get("free"))
            await fleet.submit(host, job("job-2", groups=1, size=2, events=10))
            await fleet.until(lambda: free.started)
            await fleet.until(lambda: not free.running)
            free.break_after = None
            assert await fleet.until(lambda: free.running, timeout_s=2.0) < 0.5
            assert len({request_id for _, request_id, _ in free.started}) == 2

        run_fleet(work)
