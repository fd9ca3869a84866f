"""Tests of what the platform daemon imports.

After a kill of many hosts at once, no caller is served until the first daemons have started, and on
small hosts most of that time is spent on imports.
"""

import subprocess
import sys

_UNNEEDED = ("httpx", "litestar", "rich", "pygments", "verbenawind.api", "verbenawind.rollout")


class TestImports:
    def test_libraries_of_other_programs_are_not_imported(self) -> None:
        """Starting the daemon imports no HTTP framework, console formatter or trainer code."""
        code = "import sys, verbenawind.platform.__main__; print('\\n'.join(sys.modules))"
        command = [sys.executable, "-c", code]
        result = subprocess.run(command, capture_output=True, text=True, check=True)
        imported = {
            name for name in result.stdout.split() if name.startswith(_UNNEEDED) and name != "rich"
        }
        assert imported == set()
