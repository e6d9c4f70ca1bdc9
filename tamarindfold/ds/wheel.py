"""A hierarchical timing wheel for many timers, nearly all of which are cancelled before they expire.

After Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987), scheme 7. Scheduling and cancelling
are one dictionary operation each; no timer fires early, and none more than one slot late.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

BITS = 8
SIZE = 1 << BITS
MASK = SIZE - 1
LEVELS = 4


class Timer:
    """One timer; the caller of `TimerWheel.advance` invokes `callback`."""

    __slots__ = ("callback", "slot", "tick")

    def __init__(self, tick: int, callback: Callable[[], None]) -> None:
        self.tick, self.callback = tick, callback
        self.slot: dict[Timer, None] | None = None  # None once fired or cancelled


class TimerWheel:
    """Timers in slots of slot_ms: SIZE slots per level, each level SIZE times as coarse as the one below."""

    def __init__(self, now_ms: float, slot_ms: float = 4.0) -> None:
        self.slot_ms = slot_ms
        self.tick = int(now_ms // slot_ms)
        self.levels: list[list[dict[Timer, None]]] = [[{} for _ in range(SIZE)] for _ in range(LEVELS)]
        self.count = 0

    def schedule(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Add a timer in the first slot that ends at or after due_ms, at the earliest the next slot."""
        timer = Timer(max(self.tick + 1, ceil(due_ms / self.slot_ms)), callback)
        self._insert(timer)
        self.count += 1
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; no effect if it has fired or was cancelled."""
        if timer.slot is not None:
            del timer.slot[timer]
            timer.slot = None
            self.count -= 1

    def advance(self, now_ms: float) -> list[Timer]:
        """Advance to now and return the expired timers, earlier slots first."""
        target = int(now_ms // self.slot_ms)
        expired: list[Timer] = []
        while self.tick < target:
            if not self.count:
                self.tick = target
                break
            self.tick += 1
            level = 1
            while level < LEVELS and not self.tick & ((1 << BITS * level) - 1):
                self._cascade(level)
                level += 1
            slot = self.levels[0][self.tick & MASK]
            if slot:
                for timer in slot:
                    timer.slot = None
                expired += slot
                self.count -= len(slot)
                slot.clear()
        return expired

    def _insert(self, timer: Timer) -> None:
        distance, level = timer.tick - self.tick, 0
        while distance >= SIZE and level < LEVELS - 1:
            distance >>= BITS
            level += 1
        # A timer beyond the range of the last level is inserted again on each turn until it is in range.
        slot = self.levels[level][(timer.tick >> BITS * level) & MASK]
        slot[timer] = None
        timer.slot = slot

    def _cascade(self, level: int) -> None:
        slot = self.levels[level][(self.tick >> BITS * level) & MASK]
        timers = list(slot)
        slot.clear()
        for timer in timers:
            self._insert(timer)
