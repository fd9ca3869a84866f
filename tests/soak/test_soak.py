"""A short seeded run of the fault soak, and the seeds that ever failed."""

import asyncio
from pathlib import Path

import pytest

from soak.run import Soak

# Seeds that found a fault once, with a line on its cause.
REGRESSIONS: dict[int, str] = {
    28: "SIGTERM met a process that still loaded its modules: no fault, the check was too wide",
    208: "a daemon that two faults had started twice outlived its soak and met the next store",
    242: "as 208: an incarnation of h0 that this soak had not started swept the results",
}


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *REGRESSIONS])
    def test_promises_hold_under_faults(self, seed: int, tmp_path: Path) -> None:
        """Three daemons under kills, freezes, cuts and outages keep what they promise."""
        soak = Soak(seed, 3, 2, tmp_path)
        asyncio.run(soak.run(6.0))
        assert not soak.broken, soak.summary()
