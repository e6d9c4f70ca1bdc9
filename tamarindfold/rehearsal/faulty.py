"""The command with a planted fault: `python -m tamarindfold.rehearsal.faulty FAULT ARGUMENTS...`

FAULT is a name in modelcheck.planted.LEASE_FAULTS. A run with it shows that the judge detects the fault.
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
