"""Tests of where new jobs are placed."""

from verbenawind.batches.placement import place_job

FELLOWS = ("a#1", "b#1", "c#1")


class TestPlacement:
    def test_jobs_of_one_model_go_to_one_daemon(self) -> None:
        """Whoever accepts them, jobs with one key are placed at one daemon."""
        everybody = (*FELLOWS, "d#1")
        places = {
            place_job(
                "model",
                own,
                [name for name in everybody if name != own],
                stopping=False,
                view_is_fresh=True,
            ).owner_id
            for own in everybody
        }
        assert len(places) == 1

    def test_models_are_spread(self) -> None:
        """Many models don't all go to one daemon."""
        places = {
            place_job(f"m{n}", "d#1", FELLOWS, stopping=False, view_is_fresh=True).owner_id
            for n in range(40)
        }
        assert len(places) == 4

    def test_without_a_view_the_acceptor_runs_the_job(self) -> None:
        """A daemon that cannot tell who lives keeps the job."""
        place = place_job("m", "d#1", FELLOWS, stopping=False, view_is_fresh=False)
        assert place.owner_id == "d#1"
        assert place_job("m", "d#1", (), stopping=False, view_is_fresh=True).owner_id == "d#1"

    def test_ending_daemon_places_nothing_at_itself(self) -> None:
        """A daemon that is about to end leaves the job for a claim."""
        assert not place_job("m", "d#1", FELLOWS, stopping=True, view_is_fresh=True).owner_id
