"""The one clock: monotonic, and near enough to the other gateways' for the counter's names."""

from __future__ import annotations

import time
from collections.abc import Callable

SLEW = 0.005  # of the time gone by: how fast the clock is drawn toward the wall clock, never backward


class SteadyClock:
    """Milliseconds since the epoch that never go back: a monotonic clock drawn slowly to the wall clock."""

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time
    ) -> None:
        self._monotonic, self._wall = monotonic, wall
        self._at = monotonic()
        self._base_ms = wall() * 1000

    def now(self) -> float:
        """The time in milliseconds."""
        return self._base_ms + (self._monotonic() - self._at) * 1000

    def slew(self) -> float:
        """Called now and then: moves by at most SLEW of the time since the last call; gives what is left."""
        at = self._monotonic()
        gone_ms = (at - self._at) * 1000
        self._base_ms += gone_ms
        self._at = at
        off = self._wall() * 1000 - self._base_ms
        self._base_ms += max(-SLEW * gone_ms, min(SLEW * gone_ms, off))
        return off
