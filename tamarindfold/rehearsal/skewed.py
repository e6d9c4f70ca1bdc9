"""The command with a clock of its own: `python -m tamarindfold.rehearsal.skewed OFFSET_MS DRIFT WORDS...`

The wall clock is OFFSET_MS ahead; wall and monotonic clock run DRIFT faster (0.01: by a hundredth). SIGUSR2
steps the wall clock by STEP_MS. The program knows nothing of it: only the two functions it asks are others.
"""

from __future__ import annotations

import runpy
import signal
import sys
import time

STEP_MS = 10_000.0


def skew(offset_ms: float, drift: float) -> None:
    """From here on, for all that asks after the time."""
    monotonic, wall = time.monotonic, time.time
    began, began_wall = monotonic(), wall()
    ahead = [offset_ms / 1000]

    def gone() -> float:
        return (monotonic() - began) * (1 + drift)

    def skewed_time() -> float:
        return began_wall + ahead[0] + gone()

    def skewed_monotonic() -> float:
        return began + gone()

    def step(_number: int, _frame: object) -> None:
        ahead[0] += STEP_MS / 1000

    time.time, time.monotonic = skewed_time, skewed_monotonic
    signal.signal(signal.SIGUSR2, step)


def main() -> None:
    """Entry point."""
    skew(float(sys.argv[1]), float(sys.argv[2]))
    sys.argv[1:] = sys.argv[3:]
    runpy.run_module("tamarindfold.cli.main", run_name="__main__")


if __name__ == "__main__":
    main()
