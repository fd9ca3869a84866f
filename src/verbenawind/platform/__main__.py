"""Runs the daemon on the platform: ``python -m verbenawind.platform``."""

from verbenawind.platform.daemon import run

if __name__ == "__main__":
    run()
