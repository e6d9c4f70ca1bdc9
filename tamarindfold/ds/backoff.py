"""How long to wait before the next try to reach what was lost."""

from __future__ import annotations


class Backoff:
    """At once after a first failure, then twice as long each time, up to a bound; times in seconds."""

    def __init__(self, least_s: float, most_s: float) -> None:
        self.least_s, self.most_s = least_s, max(least_s, most_s)
        self.next_s = 0.0

    def failed(self) -> float:
        """The pause after one more failure."""
        pause, self.next_s = self.next_s, min(self.most_s, max(self.least_s, self.next_s * 2))
        return pause

    def well(self) -> None:
        """It was reached: the next failure is a first one."""
        self.next_s = 0.0
