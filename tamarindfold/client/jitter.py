"""Jittered delays between tries, and staggered reconnects after many clients lose a gateway at once."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

Draw = Callable[[], float]  # a source of random numbers, uniform in [0, 1)


def next_pause(last_ms: float, base_ms: float, max_ms: float, draw: Draw) -> float:
    """Decorrelated jitter: uniform from base_ms to three times the last pause, at most max_ms."""
    return min(max_ms, base_ms + draw() * (max(base_ms, last_ms * 3) - base_ms))


def hash_position(identity: str, gateway: str) -> float:
    """A stable position in [0, 1) for a client and a gateway, evenly distributed over clients."""
    digest = hashlib.sha256(f"{identity}\n{gateway}".encode()).digest()
    return (int.from_bytes(digest[:8], "big") >> 11) / 2.0**53


class ReconnectSchedule:
    """When a client may reconnect to a gateway whose connection it lost.

    The first reconnect is delayed to the client's own position within `spread_ms`, the same at each restart,
    so that the reconnects of all clients are spread evenly. Each further failure adds a jittered pause.
    """

    def __init__(self, identity: str, spread_ms: float, base_ms: float, max_ms: float, draw: Draw) -> None:
        self.identity, self.spread_ms = identity, spread_ms
        self.base_ms, self.max_ms, self.draw = base_ms, max_ms, draw
        self.reconnect_at: dict[str, float] = {}
        self.pauses: dict[str, float] = {}

    def connection_lost(self, now: float, gateway: str) -> float:
        """Record a lost or refused connection; returns when to reconnect.

        Connections lost before that time count as the same failure.
        """
        if self.reconnect_at.get(gateway, 0.0) > now:
            return self.reconnect_at[gateway]
        if gateway not in self.pauses:
            self.pauses[gateway] = 0.0
            pause_ms = hash_position(self.identity, gateway) * self.spread_ms
        else:
            pause_ms = next_pause(self.pauses[gateway], self.base_ms, self.max_ms, self.draw)
            self.pauses[gateway] = pause_ms
        self.reconnect_at[gateway] = now + pause_ms
        return self.reconnect_at[gateway]

    def connected(self, gateway: str) -> None:
        """The gateway is reachable again."""
        self.reconnect_at.pop(gateway, None)
        self.pauses.pop(gateway, None)

    def not_before(self, gateway: str) -> float:
        """The earliest time to connect; 0: at any time."""
        return self.reconnect_at.get(gateway, 0.0)
