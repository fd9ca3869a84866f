"""Runs the platform daemon: ``python -m verbenawind.platform``."""

import sys

# structlog imports rich, if it is installed, for tracebacks on a console. The daemon logs JSON, and
# hosts that are stopped or lose power are back sooner without that import.
sys.modules.setdefault("rich", None)  # type: ignore[arg-type]

from verbenawind.platform.daemon import run  # noqa: E402

if __name__ == "__main__":
    run()
