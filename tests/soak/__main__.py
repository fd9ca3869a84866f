"""Runs the fault soak, ``make soak SEED=7 SECONDS=30``; exits with 1 on a violated promise."""

import asyncio
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from soak.run import Soak

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults and the load.")
_SECONDS = flags.DEFINE_float("seconds", 30.0, "How long faults are injected, in seconds.")
_HOSTS = flags.DEFINE_integer("hosts", 4, "Number of daemons, each in its own process.")
_ENGINES = flags.DEFINE_integer("engines", 3, "Number of engines.")
_KEEP = flags.DEFINE_string(
    "keep", "", "Directory for settings and logs; a temporary one if empty."
)


def main(_: list[str]) -> None:
    """Run one seed and print a summary of the load, the faults and the violations."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(_KEEP.value or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = Soak(_SEED.value, _HOSTS.value, _ENGINES.value, directory)
        asyncio.run(soak.run(_SECONDS.value))
        print(soak.summary())
    sys.exit(1 if soak.violations else 0)


if __name__ == "__main__":
    app.run(main)
