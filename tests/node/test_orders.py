"""Tests of weight updates with several hosts: who gives orders, when, and the effect on jobs."""

import itertools

from node.fleet import MODEL, ORDER_GAP_S, Fleet, check_complete, job, run_fleet


def accepted_orders(fleet: Fleet, name: str) -> list[tuple[float, int]]:
    """Return the time and fencing number of each order that an engine accepted."""
    return [(at_s, number) for at_s, number, _ in fleet.engines.engines[name].orders]


def check_order_gaps(fleet: Fleet) -> None:
    """Check that orders of different lease holders to an engine are far enough apart."""
    for name in fleet.engines.engines:
        orders = accepted_orders(fleet, name)
        for (before_s, before), (after_s, after) in itertools.pairwise(orders):
            assert after >= before
            assert after == before or after_s - before_s >= ORDER_GAP_S


class TestLoads:
    def test_engines_load_in_rotation(self) -> None:
        """If jobs accept the previous version, half of the engines load each version."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=4)
            first, _ = fleet.members.values()
            for version in range(2, 8):
                fleet.name_version(version)
                submission = job(f"job-{version}", min_version=version - 1, step=version)
                await fleet.submit(first, submission)
                results = await fleet.collect(first, submission)
                check_complete(submission, results)
                assert all(min(result.versions) >= version - 1 for result in results)
                await fleet.clock.sleep(1.0)
            loads = sum(len(engine.orders) for engine in fleet.engines.engines.values())
            assert loads <= 6 * 2 + 2
            check_order_gaps(fleet)

        run_fleet(work)

    def test_all_engines_load_for_jobs_that_need_the_newest_version(self) -> None:
        """If jobs accept only the newest version, every engine loads it."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=5)
            first, _ = fleet.members.values()
            for version in range(2, 5):
                fleet.name_version(version)
                await fleet.until(
                    lambda version=version: (  # type: ignore[misc]
                        first.node.newest_versions.get(MODEL) == version
                    )
                )
                submission = job(f"job-{version}", min_version=version, groups=6)
                await fleet.submit(first, submission)
                results = await fleet.collect(first, submission)
                check_complete(submission, results)
                assert {result.versions for result in results} == {(version,)}
                await fleet.clock.sleep(4.0)
            engines = fleet.engines.engines.values()
            assert {engine.versions[MODEL] for engine in engines} == {4}

        run_fleet(work)

    def test_single_version_results_do_not_mix_versions(self) -> None:
        """On a single-version route, one version generates each text, also while engines load."""

        async def work(fleet: Fleet) -> None:
            await fleet.start(engines=3, single_version=True)
            first, _ = fleet.members.values()
            submission = job(groups=4, events=60)
            await fleet.submit(first, submission)
            await fleet.clock.sleep(0.5)
            fleet.name_version(2)
            results = await fleet.collect(first, submission)
            check_complete(submission, results)
            assert all(len(result.versions) == 1 for result in results)

        run_fleet(work)


class TestReadiness:
    """A trainer names a version and submits the next step a second or two later."""

    def test_engines_load_before_the_next_step(self) -> None:
        """Engines that the next step cannot use load the version as soon as it is named."""

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
                assert all(
                    usable
                ), f"version {version}: {sum(usable)} of 5 engines can serve the step"
                submission = job(f"job-{version}", min_version=version - 1, step=version)
                await fleet.submit(first, submission)
                await fleet.collect(first, submission)

        run_fleet(work)

    def test_late_end_of_a_job_does_not_change_the_lag(self) -> None:
        """A job that ends after the next version is named does not affect the model's lag."""

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


class TestLeaseHolders:
    def test_new_holder_learns_order_counts(self) -> None:
        """A new holder does not know the order counts; a refused order is retried at once."""

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
            check_order_gaps(fleet)

        run_fleet(work)

    def test_orders_of_successive_holders_keep_the_minimum_gap(self) -> None:
        """When holders are killed, a successor leaves the minimum gap after the last order."""

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
            check_order_gaps(fleet)

        run_fleet(work)

    def test_new_holder_does_not_wait_after_an_idle_period(self) -> None:
        """If the last order is long past, a new holder gives orders once the lease has expired."""

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
            check_order_gaps(fleet)

        run_fleet(work)

    def test_partitioned_holder_stops_in_time(self) -> None:
        """A holder that cannot renew its lease gives no order once another host may."""

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
            check_order_gaps(fleet)

        run_fleet(work)
