"""Load shedding for sub-requests of proxies: under load, classes of lower worth are refused first.

It protects the forward-auth front itself, whose time goes into token checks and decisions; the decision
module separately limits the load on servers. A client waits behind each sub-request, so one that cannot be
decided in time is refused at once and cheaply. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

LOWEST_CLASS_SHARE = 0.5  # of the limits: what the class of the lowest worth may use
LAG_SMOOTHING = 0.6  # weight of the previous value while the lag falls; a rise takes effect at once


class Gate:
    """Admits sub-requests by the number being decided and by the lag of the event loop."""

    def __init__(self, worths: Sequence[float], max_deciding: int, decide_ms: float, seed: int) -> None:
        """worths: by class; max_deciding: concurrent sub-requests; decide_ms: time limit of a decision."""
        self.max_deciding, self.decide_ms, self.random = max_deciding, decide_ms, Random(seed)
        ranks = sorted(set(worths))
        top_rank = len(ranks) - 1
        self.class_shares = [
            LOWEST_CLASS_SHARE
            + (1 - LOWEST_CLASS_SHARE) * (ranks.index(worth) / top_rank if top_rank else 1.0)
            for worth in worths
        ]
        self.deciding, self.lag_ms = 0, 0.0
        self.refused = [0] * len(self.class_shares)  # by class

    def record_lag(self, lag_ms: float) -> None:
        """Record how late the event loop ran a scheduled call.

        A sub-request that arrives now has already waited about as long before it was read.
        """
        lag_ms = max(0.0, lag_ms)
        self.lag_ms = (
            lag_ms if lag_ms > self.lag_ms else LAG_SMOOTHING * self.lag_ms + (1 - LAG_SMOOTHING) * lag_ms
        )

    def enter(self, cls: int) -> float | None:
        """Admit a sub-request of this class: None, and `leave` must follow; else the retry delay in ms."""
        share = self.class_shares[cls]
        if self.deciding < self.max_deciding * share and self.lag_ms < self.decide_ms * share:
            self.deciding += 1
            return None
        self.refused[cls] += 1
        # jitter, so that clients refused together do not return together
        return max(self.decide_ms, 2 * self.lag_ms) * (1 + self.random.random())

    def leave(self) -> None:
        """An admitted sub-request has been decided or abandoned."""
        self.deciding -= 1
