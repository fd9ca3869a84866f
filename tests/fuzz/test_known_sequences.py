"""Sequences of rules that violated a promise in a fuzzing run, replayed unshortened."""

from fuzz.machine import TrainerMachine


class TestKnownSequences:
    def test_step_completes_after_crashes_partitions_and_lost_daemons(self) -> None:
        """A step accepted during crashes, partitions and daemon failures completes afterwards."""
        machine = TrainerMachine()
        machine.begin(seed=3)
        machine.crash_engine(engine=3)
        machine.crash_engine(engine=1)
        machine.cut(both_ways=False, platform=False, zone=1)
        machine.cut(both_ways=False, platform=True, zone=2)
        machine.cut(both_ways=False, platform=False, zone=1)
        machine.change_store(fault="slow")
        machine.lose_daemon(index=2, pause=False)
        machine.cut(both_ways=False, platform=False, zone=2)
        machine.change_store(fault="lossy")
        machine.crash_engine(engine=0)
        machine.cut(both_ways=False, platform=False, zone=1)
        machine.lose_daemon(index=2, pause=False)
        machine.cut(both_ways=True, platform=True, zone=1)
        machine.crash_engine(engine=0)
        machine.overtake(index=0, trainer="salons")
        machine.crash_engine(engine=1)
        machine.change_document(index=2)
        machine.crash_engine(engine=0)
        machine.overtake(index=2, trainer="folders")
        machine.cut(both_ways=False, platform=False, zone=2)
        machine.overtake(index=2, trainer="salons")
        machine.lose_daemon(index=2, pause=False)
        machine.crash_engine(engine=3)
        machine.crash_engine(engine=1)
        machine.lose_daemon(index=2, pause=True)
        machine.crash_engine(engine=0)
        machine.change_store(fault="lossy")
        machine.change_store(fault="healthy")
        machine.change_store(fault="lossy")
        machine.teardown()
