"""Runs the fault soak: ``make soak SEED=7 SECONDS=30``; exits with 1 and names what was broken."""

import asyncio
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from soak.run import Soak

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults and of the load.")
_SECONDS = flags.DEFINE_float("seconds", 30.0, "How long faults are injected.")
_HOSTS = flags.DEFINE_integer("hosts", 4, "Daemons, each a process of its own.")
_ENGINES = flags.DEFINE_integer("engines", 3, "Engines.")
_KEEP = flags.DEFINE_string("keep", "", "Directory for logs; a temporary one when empty.")


def main(_: list[str]) -> None:
    """Run one seed and print what was done and what was broken."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(_KEEP.value or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = Soak(_SEED.value, _HOSTS.value, _ENGINES.value, directory)
        asyncio.run(soak.run(_SECONDS.value))
        print(soak.summary())
    sys.exit(1 if soak.broken else 0)


if __name__ == "__main__":
    app.run(main)
