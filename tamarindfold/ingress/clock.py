"""The gateway's clock: monotonic, and close to the clocks of other gateways.

The names of shared counters contain the time, so all gateways must agree on it approximately.
"""

from __future__ import annotations

import time
from collections.abc import Callable

SLEW = 0.005  # at most this fraction of the elapsed time is corrected


class SteadyClock:
    """Milliseconds since the epoch that never go back: a monotonic clock slewed towards the wall clock."""

    def __init__(
        self, monotonic: Callable[[], float] = time.monotonic, wall: Callable[[], float] = time.time
    ) -> None:
        self._monotonic, self._wall = monotonic, wall
        self._base_monotonic_s = monotonic()
        self._base_ms = wall() * 1000

    def now(self) -> float:
        """The current time in milliseconds since the epoch."""
        return self._base_ms + (self._monotonic() - self._base_monotonic_s) * 1000

    def slew(self) -> float:
        """Correct the clock by at most SLEW of the time since the last call; to be called periodically.

        Returns the offset from the wall clock before the correction, in milliseconds.
        """
        now_s = self._monotonic()
        elapsed_ms = (now_s - self._base_monotonic_s) * 1000
        self._base_ms += elapsed_ms
        self._base_monotonic_s = now_s
        offset_ms = self._wall() * 1000 - self._base_ms
        self._base_ms += max(-SLEW * elapsed_ms, min(SLEW * elapsed_ms, offset_ms))
        return offset_ms
