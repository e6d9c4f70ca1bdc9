"""The timing wheel against a heap with lazy deletion, for timers that are nearly all cancelled."""

from __future__ import annotations

import argparse
import heapq
import sys
import time
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import msgspec

sys.path.insert(0, str(Path(__file__).parent.parent))

from tamarindfold.ds.wheel import TimerWheel


class HeapTimers:
    """The structure to compare with: a heap, in which cancelled timers stay until they are due."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int]] = []
        self.cancelled: set[int] = set()
        self.numbers = count()

    def schedule(self, due: float, _callback: Any) -> int:
        number = next(self.numbers)
        heapq.heappush(self.heap, (due, number))
        return number

    def cancel(self, number: int) -> None:
        self.cancelled.add(number)

    def advance(self, now: float) -> list[int]:
        expired = []
        while self.heap and self.heap[0][0] <= now:
            _, number = heapq.heappop(self.heap)
            if number in self.cancelled:
                self.cancelled.discard(number)
            else:
                expired.append(number)
        return expired


def entry_count(timers: Any) -> int:
    """The number of stored timers, including cancelled ones."""
    return timers.count if isinstance(timers, TimerWheel) else len(timers.heap)


def run(timers: Any, pending: int, operations: int) -> tuple[float, int]:
    """Microseconds to cancel and schedule one of this many pending timers; stored timers at the end."""
    random = Random(1)
    handles = [timers.schedule(75_000 + random.random() * 1000, None) for _ in range(pending)]
    started_at = time.perf_counter()
    now = 0.0
    for i in range(operations):
        slot = random.randrange(pending)
        timers.cancel(handles[slot])
        handles[slot] = timers.schedule(now + (75_000 if i % 2 else 4_000), None)
        now += 0.02
        if i % 200 == 0:
            timers.advance(now)
    return (time.perf_counter() - started_at) / operations * 1e6, entry_count(timers)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = {}
    for pending in (1_000, 10_000, 100_000):
        wheel_us, wheel_entries = run(TimerWheel(0.0), pending, 200_000)
        heap_us, heap_entries = run(HeapTimers(), pending, 200_000)
        result[str(pending)] = {
            "wheel_us": round(wheel_us, 2),
            "heap_us": round(heap_us, 2),
            "time_ratio": round(wheel_us / heap_us, 2),
            "entries_ratio": round(wheel_entries / heap_entries, 2),
        }
        print(
            f"{pending} pending: wheel {wheel_us:.2f} us, {wheel_entries} entries; "
            f"heap {heap_us:.2f} us, {heap_entries} entries"
        )
    if args.json:
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
