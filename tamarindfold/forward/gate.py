"""Decides which sub-requests a pressed front takes up: the worth more, the longer. No I/O, no clock.

The module's own pressure is about servers; this is about the front itself, whose time goes into token checks
and decisions. A proxy waits for each of them with a client behind it, so what can't be decided in time is
refused at once and cheaply, the least worth first.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

LEAST_PART = 0.5  # of the places: what the class worth least may fill
LAG_KEEP = 0.6  # weight of the past in the lag as it falls; a rise is believed at once


class Gate:
    """Places for sub-requests that are being decided, and how late the front's own loop runs."""

    def __init__(self, worths: Sequence[float], most: int, decide_ms: float, seed: int) -> None:
        """worths: by class; most: sub-requests decided at once; decide_ms: the time a decision may take."""
        self.most, self.decide_ms, self.random = most, decide_ms, Random(seed)
        ranks = sorted(set(worths))
        top = len(ranks) - 1
        self.parts = [
            LEAST_PART + (1 - LEAST_PART) * (ranks.index(worth) / top if top else 1.0) for worth in worths
        ]
        self.taken, self.lag_ms = 0, 0.0
        self.turned_away = [0] * len(self.parts)

    def felt(self, lag_ms: float) -> None:
        """How late the loop ran a call that was due: what comes now has waited as long unseen."""
        lag_ms = max(0.0, lag_ms)
        self.lag_ms = lag_ms if lag_ms > self.lag_ms else LAG_KEEP * self.lag_ms + (1 - LAG_KEEP) * lag_ms

    def enter(self, cls: int) -> float | None:
        """Take a place. None: taken, and owed back by `leave`; else milliseconds to stay away."""
        part = self.parts[cls]
        if self.taken < self.most * part and self.lag_ms < self.decide_ms * part:
            self.taken += 1
            return None
        self.turned_away[cls] += 1
        # spread: all that are turned away now must not come back at one moment
        return max(self.decide_ms, 2 * self.lag_ms) * (1 + self.random.random())

    def leave(self) -> None:
        """A sub-request has its decision, or is gone."""
        self.taken -= 1
