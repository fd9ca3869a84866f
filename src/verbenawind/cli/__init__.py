"""The operators' command-line client ``verbenawind``."""

from verbenawind.cli.exit_codes import ExitCode
from verbenawind.cli.main import main, run

__all__ = ["ExitCode", "main", "run"]
