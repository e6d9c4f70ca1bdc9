"""Hostile clients beside good ones: peak memory of `run` and the good clients' times, by shape and limits.

Prints a table in Markdown. The shapes and the processes are those of tests/test_hostile_input.py.
"""

from __future__ import annotations

import argparse
import contextlib
import resource
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT)]

from hostile_clients import FLOODING, HOLDING  # noqa: E402
from ingress_process import start_run  # noqa: E402
from rig import read_answer  # noqa: E402
from test_hostile_input import BUDGET_S, MEGABYTE, Target  # noqa: E402
from testbed import PlatformTestbed  # noqa: E402

HELD_CONNECTIONS = 600
FLOODING_CONNECTIONS = 8
LIMITS = ((32, 256), (32, 1024), (192, 256), (192, 1024))  # memory in MB, descriptors


def play(shape: str, connections: int, memory_mb: int, descriptors: int, seed: int) -> str:
    """One play; peak memory in MB, and median and 99th percentile of the good clients' times in ms."""
    testbed = PlatformTestbed()
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        stack.callback(testbed.stop)
        process = start_run(testbed, Path(folder), memory_mb, descriptors)
        stack.callback(process.stop)

        def ask() -> int:
            with process.connect() as sock:
                sock.sendall(testbed.request_bytes(X_Budget=f"{BUDGET_S:.3f}"))
                return read_answer(sock).status

        good, _ = Target(process, ask).play(shape, connections, seed)
        peak = process.memory_bytes() / MEGABYTE if process.process.poll() is None else float("nan")
        times = sorted(good.times_s)
        unserved = sum(status != 200 for status in good.statuses)
        return (
            f"{peak:.1f}, {times[len(times) // 2] * 1000:.0f}/{times[int(len(times) * 0.99)] * 1000:.0f}"
            + (f", {unserved} of {len(times)} not served" if unserved else "")
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--shapes", nargs="*", default=[*HOLDING, *FLOODING])
    args = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    print("| shape | " + " | ".join(f"{mb} MB, {fds}" for mb, fds in LIMITS) + " |")
    print("| --- |" + " --- |" * len(LIMITS))
    for shape in args.shapes:
        connections = HELD_CONNECTIONS if shape in HOLDING else FLOODING_CONNECTIONS
        cells = [play(shape, connections, *limits, args.seed) for limits in LIMITS]
        print(f"| {connections} x {shape} | " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()
