"""Runs the fault soak, ``make soak SEED=7 SECONDS=30``; exits with 1 on a violated promise."""

import asyncio
import sys
import tempfile
from pathlib import Path

from absl import app, flags

from soak.limits import LimitSoak
from soak.repeats import RepeatSoak
from soak.run import Soak

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults and the load.")
_SECONDS = flags.DEFINE_float("seconds", 30.0, "How long faults are injected, in seconds.")
_HOSTS = flags.DEFINE_integer("hosts", 4, "Number of daemons, each in its own process.")
_ENGINES = flags.DEFINE_integer("engines", 3, "Number of engines.")
_REPEATS = flags.DEFINE_enum(
    "repeats",
    None,
    ["alone", "mixed", "same_address", "faults"],
    "Soak repeats of crashing requests instead: alone, beside sound callers of the same request, "
    "these from the same address, or with hosts that are killed and paused.",
)
_LIMITS = flags.DEFINE_boolean("limits", False, "Soak servers that name a limit instead.")
_KEEP = flags.DEFINE_string(
    "keep", "", "Directory for settings and logs; a temporary one if empty."
)


def main(_: list[str]) -> None:
    """Run one seed and print a summary of the load, the faults and the violations."""
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(_KEEP.value or temporary)
        directory.mkdir(parents=True, exist_ok=True)
        soak = _create_soak(directory)
        asyncio.run(soak.run(_SECONDS.value))
        print(soak.summary())
    sys.exit(1 if soak.violations else 0)


def _create_soak(directory: Path) -> Soak:
    if _LIMITS.value:
        return LimitSoak(_SEED.value, _HOSTS.value, directory)
    if _REPEATS.value is None:
        return Soak(_SEED.value, _HOSTS.value, _ENGINES.value, directory)
    return RepeatSoak(
        _SEED.value,
        _HOSTS.value,
        directory,
        with_sound_callers=_REPEATS.value != "alone",
        with_faults=_REPEATS.value == "faults",
        same_address=_REPEATS.value == "same_address",
    )


if __name__ == "__main__":
    app.run(main)
