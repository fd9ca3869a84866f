"""Tests of the placement of new jobs."""

from verbenawind.batches.placement import place_job

PEERS = ("a#1", "b#1", "c#1")


class TestPlacement:
    def test_jobs_of_one_model_go_to_one_daemon(self) -> None:
        """Jobs with the same key are placed on one daemon, whichever daemon accepts them."""
        daemons = (*PEERS, "d#1")
        places = {
            place_job(
                "model",
                own,
                [name for name in daemons if name != own],
                stopping=False,
                view_is_fresh=True,
            ).owner_id
            for own in daemons
        }
        assert len(places) == 1

    def test_models_are_spread(self) -> None:
        """Jobs of many models are distributed over all daemons."""
        places = {
            place_job(f"m{n}", "d#1", PEERS, stopping=False, view_is_fresh=True).owner_id
            for n in range(40)
        }
        assert len(places) == 4

    def test_accepting_daemon_runs_the_job_without_a_fresh_view(self) -> None:
        """A daemon without recent heartbeats of others runs the job itself."""
        place = place_job("m", "d#1", PEERS, stopping=False, view_is_fresh=False)
        assert place.owner_id == "d#1"
        assert place_job("m", "d#1", (), stopping=False, view_is_fresh=True).owner_id == "d#1"

    def test_stopping_daemon_leaves_the_job_without_owner(self) -> None:
        """A daemon that is shutting down records the job without an owner, for others to claim."""
        assert not place_job("m", "d#1", PEERS, stopping=True, view_is_fresh=True).owner_id
