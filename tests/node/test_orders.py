"""Tests of new weights over hosts: who orders, when, and what jobs see of it."""

import itertools

from node.fleet import MODEL, ORDER_GAP_S, Fleet, check_whole, job, run_fleet


def orders_in_time(fleet: Fleet, name: str) -> list[tuple[float, int]]:
    """Return when an engine accepted orders, and under which fencing number."""
    return [(at_s, number) for at_s, number, _ in fleet.engines.engines[name].orders]


def check_turns(fleet: Fleet) -> None:
    """Check that orders of two holders to one engine are far enough apart."""
    for name in fleet.engines.engines:
        orders = orders_in_time(fleet, name)
        for (before_s, before), (after_s, after) in itertools.pairwise(orders):
            assert after >= before
            assert after == before or after_s - before_s >= ORDER_GAP_S


class TestLoads:
    def test_engines_load_by_turns(self) -> None:
        """With jobs that accept the version before, half of the engines load each version."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=4)
            first, _ = fleet.members.values()
            for version in range(2, 8):
                fleet.name_version(version)
                submission = job(f"job-{version}", min_version=version - 1, step=version)
                await fleet.submit(first, submission)
                results = await fleet.collect(first, submission)
                check_whole(submission, results)
                assert all(min(result.versions) >= version - 1 for result in results)
                await fleet.clock.sleep(1.0)
            loads = sum(len(engine.orders) for engine in fleet.engines.engines.values())
            assert loads <= 6 * 2 + 2
            check_turns(fleet)

        run_fleet(work)

    def test_all_engines_load_for_jobs_that_want_the_newest(self) -> None:
        """With jobs that accept the newest version only, every engine loads it, not all at once."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=5)
            first, _ = fleet.members.values()
            for version in range(2, 5):
                fleet.name_version(version)
                await fleet.until(lambda version=version: first.node.newest.get(MODEL) == version)  # type: ignore[misc]
                submission = job(f"job-{version}", min_version=version, groups=6)
                await fleet.submit(first, submission)
                results = await fleet.collect(first, submission)
                check_whole(submission, results)
                assert {result.versions for result in results} == {(version,)}
                await fleet.clock.sleep(4.0)
            engines = fleet.engines.engines.values()
            assert {engine.versions[MODEL] for engine in engines} == {4}

        run_fleet(work)

    def test_single_version_results_mix_no_versions(self) -> None:
        """On a single-version route each text was made by one version, also while engines load."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=3, single_version=True)
            first, _ = fleet.members.values()
            submission = job(groups=4, events=60)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.5)
            fleet.name_version(2)
            results = await fleet.collect(first, submission)
            check_whole(submission, results)
            assert all(len(result.versions) == 1 for result in results)

        run_fleet(work)


class TestReadiness:
    """A trainer names a version and asks for the next step a second or two later."""

    def test_engines_load_before_the_step_is_asked(self) -> None:
        """Engines that the next step cannot use load as soon as the version is named."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=5)
            first, _ = fleet.members.values()
            for version in range(2, 8):
                fleet.name_version(version)
                await fleet.clock.sleep(2.5)
                usable = [
                    engine.versions[MODEL] >= version - 1
                    for engine in fleet.engines.engines.values()
                ]
                assert all(usable), f"version {version}: {sum(usable)} of 5 engines are of use"
                submission = job(f"job-{version}", min_version=version - 1, step=version)
                await fleet.submit(first, submission)
                await fleet.collect(first, submission)

        run_fleet(work)

    def test_late_end_of_a_job_does_not_mislead(self) -> None:
        """A job that ends after the next version was named tells nothing of the trainer's lag."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=5)
            first, _ = fleet.members.values()
            for version in range(2, 8):
                fleet.name_version(version)
                await fleet.clock.sleep(1.5)
                submission = job(f"job-{version}", min_version=version - 1, step=version)
                await fleet.submit(first, submission)
                if version > 3:
                    await first.node.jobs.end(f"job-{version - 1}")
                await fleet.collect(first, submission)
            fleet.name_version(8)
            took_s = await fleet.until(
                lambda: all(e.versions[MODEL] >= 7 for e in fleet.engines.engines.values())
            )
            assert took_s < 2.5

        run_fleet(work)


class TestHolders:
    def test_next_holder_orders_though_it_does_not_know_the_counts(self) -> None:
        """An engine that refuses an order for its count is ordered again at once."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=2)
            await fleet.until(lambda: any(m.node.lease.epoch for m in fleet.members.values()))
            for version in range(2, 6):
                fleet.name_version(version)
                await fleet.clock.sleep(3.0)
            assert all(engine.orders for engine in fleet.engines.engines.values())
            holder = next(m for m in fleet.members.values() if m.node.lease.epoch)
            fleet.name_version(9)
            fleet.kill(holder.name)
            await fleet.until(
                lambda: any(m.node.lease.may_act(0.0) for m in fleet.members.values())
            )
            took_s = await fleet.until(
                lambda: any(e.versions[MODEL] == 9 for e in fleet.engines.engines.values())
            )
            assert took_s < 0.9 + 0.35
            check_turns(fleet)

        run_fleet(work)

    def test_killed_holder_is_followed_without_taking_turns(self) -> None:
        """After the holder's death another orders, never too soon after the last order."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=2)
            await fleet.until(lambda: any(m.node.lease.epoch for m in fleet.members.values()))
            for version in range(2, 5):
                holder = next(m for m in fleet.members.values() if m.node.lease.epoch)
                fleet.name_version(version)
                await fleet.until(
                    lambda version=version: any(  # type: ignore[misc]
                        engine.versions[MODEL] == version
                        for engine in fleet.engines.engines.values()
                    )
                )
                fleet.kill(holder.name)
                await fleet.until(lambda: any(m.node.lease.epoch for m in fleet.members.values()))
                fleet.add_host(f"{holder.name}-{version}")
            check_turns(fleet)

        run_fleet(work)

    def test_next_holder_need_not_wait_after_a_quiet_time(self) -> None:
        """When the last order was long ago the next holder orders within the lease's time."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=2)
            await fleet.until(lambda: any(m.node.lease.epoch for m in fleet.members.values()))
            fleet.name_version(2)
            await fleet.clock.sleep(6.0)
            holder = next(m for m in fleet.members.values() if m.node.lease.epoch)
            fleet.kill(holder.name)
            fleet.name_version(3)
            took_s = await fleet.until(
                lambda: any(e.versions[MODEL] == 3 for e in fleet.engines.engines.values())
            )
            assert took_s < 4.0
            check_turns(fleet)

        run_fleet(work)

    def test_holder_that_is_cut_off_stops_in_time(self) -> None:
        """A holder that cannot renew gives no order once another may."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(hosts=3, engines=3)
            await fleet.until(lambda: any(m.node.lease.epoch for m in fleet.members.values()))
            for version in range(2, 7):
                holder = next(m for m in fleet.members.values() if m.node.lease.epoch)
                fleet.name_version(version)
                await fleet.clock.sleep(0.2)
                holder.view.cut = True
                await fleet.clock.sleep(7.0)
                holder.view.cut = False
                await fleet.clock.sleep(1.0)
            check_turns(fleet)

        run_fleet(work)
