"""Entry point of ``python -m verbenawind.cli``."""

from verbenawind.cli.main import run

if __name__ == "__main__":
    run()
