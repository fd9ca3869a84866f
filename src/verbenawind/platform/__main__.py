"""Runs the platform daemon: ``python -m verbenawind.platform``."""

from verbenawind.platform.daemon import run

if __name__ == "__main__":
    run()
