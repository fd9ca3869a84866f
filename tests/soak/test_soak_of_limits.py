"""A short seeded run of the soak of servers that name a limit, as real processes."""

import asyncio
from pathlib import Path

from soak.limits import LimitSoak


class TestLimitsOnRealProcesses:
    def test_limit_holds_under_faults(self, tmp_path: Path) -> None:
        """Four daemons send three servers no more than these take, while faults come."""
        soak = LimitSoak(1, 4, tmp_path)
        asyncio.run(soak.run(14.0))
        assert not soak.violations, soak.summary()
