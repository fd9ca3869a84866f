"""Short seeded runs of the soak of repeats, as real processes.

The failure: beside a caller that sends the same path and body soundly, a request that ends servers
was sent to them again without bound, and the sound caller was refused.
"""

import asyncio
from pathlib import Path

import pytest

from soak.repeats import RepeatSoak


class TestRepeatsOnRealProcesses:
    @pytest.mark.parametrize("with_sound_callers", [False, True])
    def test_repeats_are_bounded(self, with_sound_callers: bool, tmp_path: Path) -> None:
        """Six daemons, three servers and four callers whose requests end these."""
        soak = RepeatSoak(1, 6, tmp_path, with_sound_callers=with_sound_callers)
        asyncio.run(soak.run(16.0))
        assert not soak.violations, soak.summary()

    def test_sound_callers_are_not_refused(self, tmp_path: Path) -> None:
        """Callers that send the same requests soundly are never refused for these ends."""
        soak = RepeatSoak(2, 6, tmp_path)
        asyncio.run(soak.run(12.0))
        assert not soak.refused_sound, soak.summary()
