"""The command with a skewed clock: `python -m tamarindfold.rehearsal.skewed OFFSET_MS DRIFT ARGUMENTS...`

The wall clock is OFFSET_MS ahead. Wall clock and monotonic clock run faster by the ratio DRIFT (0.01: 1 %).
SIGUSR2 steps the wall clock by STEP_MS. The program is unchanged: only `time.time` and `time.monotonic` are
replaced.
"""

from __future__ import annotations

import runpy
import signal
import sys
import time

STEP_MS = 10_000.0


def skew(offset_ms: float, drift: float) -> None:
    """Replace the clocks of this process."""
    monotonic, wall = time.monotonic, time.time
    started_at, started_wall = monotonic(), wall()
    offset_s = [offset_ms / 1000]

    def elapsed() -> float:
        return (monotonic() - started_at) * (1 + drift)

    def skewed_time() -> float:
        return started_wall + offset_s[0] + elapsed()

    def skewed_monotonic() -> float:
        return started_at + elapsed()

    def step(_number: int, _frame: object) -> None:
        offset_s[0] += STEP_MS / 1000

    time.time, time.monotonic = skewed_time, skewed_monotonic
    signal.signal(signal.SIGUSR2, step)


def main() -> None:
    """Entry point."""
    skew(float(sys.argv[1]), float(sys.argv[2]))
    sys.argv[1:] = sys.argv[3:]
    runpy.run_module("tamarindfold.cli.main", run_name="__main__")


if __name__ == "__main__":
    main()
