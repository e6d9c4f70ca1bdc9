"""Exponential backoff for reconnects and retries."""

from __future__ import annotations


class Backoff:
    """No delay after the first failure; then the delay doubles with each failure, up to a bound."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self.min_s, self.max_s = min_s, max(min_s, max_s)
        self.pending_s = 0.0

    def next_delay_s(self) -> float:
        """Record a failure and return the delay before the next attempt."""
        delay, self.pending_s = self.pending_s, min(self.max_s, max(self.min_s, self.pending_s * 2))
        return delay

    def reset(self) -> None:
        """Record a success: the next failure is treated as the first one."""
        self.pending_s = 0.0
