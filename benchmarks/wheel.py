"""The timing wheel against a heap with lazy deletion: timers that are nearly all called off."""

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


class Heap:
    """The plain structure: a heap, with called-off timers left in it until they come up."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int]] = []
        self.dead: set[int] = set()
        self.numbers = count()

    def schedule(self, due: float, _call: Any) -> int:
        number = next(self.numbers)
        heapq.heappush(self.heap, (due, number))
        return number

    def cancel(self, number: int) -> None:
        self.dead.add(number)

    def advance(self, now: float) -> list[int]:
        out = []
        while self.heap and self.heap[0][0] <= now:
            _, number = heapq.heappop(self.heap)
            if number in self.dead:
                self.dead.discard(number)
            else:
                out.append(number)
        return out


def entries(timers: Any) -> int:
    """What is kept, called-off timers among it."""
    return timers.count if isinstance(timers, TimerWheel) else len(timers.heap)


def run(timers: Any, standing: int, operations: int) -> tuple[float, int]:
    """Microseconds for one set and call-off with this many timers standing; entries kept at the end."""
    random = Random(1)
    held = [timers.schedule(75_000 + random.random() * 1000, None) for _ in range(standing)]
    began = time.perf_counter()
    now = 0.0
    for i in range(operations):
        slot = random.randrange(standing)
        timers.cancel(held[slot])
        held[slot] = timers.schedule(now + (75_000 if i % 2 else 4_000), None)
        now += 0.02
        if i % 200 == 0:
            timers.advance(now)
    return (time.perf_counter() - began) / operations * 1e6, entries(timers)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    result = {}
    for standing in (1_000, 10_000, 100_000):
        wheel, kept = run(TimerWheel(0.0), standing, 200_000)
        heap, kept_by_heap = run(Heap(), standing, 200_000)
        result[str(standing)] = {
            "wheel_us": round(wheel, 2),
            "heap_us": round(heap, 2),
            "time_ratio": round(wheel / heap, 2),
            "entries_ratio": round(kept / kept_by_heap, 2),
        }
        print(
            f"{standing} standing: wheel {wheel:.2f} us, {kept} entries; "
            f"heap {heap:.2f} us, {kept_by_heap} entries"
        )
    if args.json:
        print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
