"""Times drawn apart: pauses between tries, and reconnects after many clients lost their gateway at once."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

Draw = Callable[[], float]  # uniform from 0 to 1, 1 not among them


def next_pause(last_ms: float, base_ms: float, most_ms: float, draw: Draw) -> float:
    """Decorrelated jitter: from base to three times the last pause, most_ms at the most."""
    return min(most_ms, base_ms + draw() * (max(base_ms, last_ms * 3) - base_ms))


def place(identity: str, gateway: str) -> float:
    """Where in a spread a client stands for a gateway: from 0 to 1, always the same, evenly over clients."""
    digest = hashlib.sha256(f"{identity}\n{gateway}".encode()).digest()
    return (int.from_bytes(digest[:8], "big") >> 11) / 2.0**53


class Reconnects:
    """When a client may connect again to a gateway that it lost.

    The first time waits for the client's own place in the spread, the same after each restart, so that all
    clients together come back evenly; each further failure adds a jittered pause.
    """

    def __init__(self, identity: str, spread_ms: float, base_ms: float, most_ms: float, draw: Draw) -> None:
        self.identity, self.spread_ms = identity, spread_ms
        self.base_ms, self.most_ms, self.draw = base_ms, most_ms, draw
        self.at: dict[str, float] = {}
        self.pauses: dict[str, float] = {}

    def lost(self, now: float, gateway: str) -> float:
        """A connection was lost or refused; when to come back. Several lost at once count once."""
        if self.at.get(gateway, 0.0) > now:
            return self.at[gateway]
        if gateway not in self.pauses:
            self.pauses[gateway] = 0.0
            pause = place(self.identity, gateway) * self.spread_ms
        else:
            pause = next_pause(self.pauses[gateway], self.base_ms, self.most_ms, self.draw)
            self.pauses[gateway] = pause
        self.at[gateway] = now + pause
        return self.at[gateway]

    def connected(self, gateway: str) -> None:
        """It is back."""
        self.at.pop(gateway, None)
        self.pauses.pop(gateway, None)

    def may_at(self, gateway: str) -> float:
        """From when on a connection may be tried; 0: at any time."""
        return self.at.get(gateway, 0.0)
