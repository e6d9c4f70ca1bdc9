"""The command with a fault planted in it: `python -m tamarindfold.rehearsal.faulty FAULT WORDS...`

FAULT is a name of modelcheck.planted.LEASE_FAULTS. What judges a run must find it.
"""

from __future__ import annotations

import runpy
import sys

from tamarindfold.modelcheck.planted import planted


def main() -> None:
    """Entry point."""
    name = sys.argv[1]
    sys.argv[1:] = sys.argv[2:]
    with planted(name):
        runpy.run_module("tamarindfold.cli.main", run_name="__main__")


if __name__ == "__main__":
    main()
