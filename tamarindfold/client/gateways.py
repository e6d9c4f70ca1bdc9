"""Selects the gateway for a call: the client's own order of preference, with outlier ejection.

No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Sequence

from tamarindfold.client.jitter import Draw, hash_position, next_pause

EJECT_AFTER = 3  # consecutive failures
EJECT_BASE_MS = 1_000.0
EJECT_MAX_MS = 30_000.0


class _Health:
    __slots__ = ("ejected_until", "failures", "pause_ms", "trial")

    def __init__(self) -> None:
        self.failures, self.ejected_until, self.pause_ms, self.trial = 0, 0.0, 0.0, False


class Gateways:
    """The gateways of one client.

    Calls stay with the first healthy gateway in the client's order, where its connections and its customer's
    bucket are warm. The order is derived from the client's identity, which distributes clients evenly.
    """

    def __init__(self, names: Sequence[str], identity: str, draw: Draw) -> None:
        if not names:
            raise ValueError("at least one gateway is needed")
        self.order = sorted(
            dict.fromkeys(names), key=lambda name: (hash_position(identity, "order " + name), name)
        )
        self.health = {name: _Health() for name in self.order}
        self.draw = draw

    def choose(self, now: float, tried: Sequence[str] = ()) -> str:
        """The gateway for a try.

        In order of preference: a healthy one that this call has not tried, a healthy one that it has tried,
        the one whose ejection ends first.
        """
        healthy = [name for name in self.order if self._available(now, name)]
        untried = [name for name in healthy if name not in tried]
        candidates = (
            untried or healthy or sorted(self.order, key=lambda name: self.health[name].ejected_until)
        )
        chosen = candidates[0]
        health = self.health[chosen]
        if health.failures >= EJECT_AFTER:
            health.trial = True  # only one call at a time probes an ejected gateway
        return chosen

    def _available(self, now: float, name: str) -> bool:
        health = self.health[name]
        return health.failures < EJECT_AFTER or (now >= health.ejected_until and not health.trial)

    def record_answer(self, name: str) -> None:
        """The gateway answered, with any status."""
        health = self.health[name]
        health.failures, health.pause_ms, health.trial = 0, 0.0, False

    def cancel_try(self, name: str) -> None:
        """The try was not sent after all."""
        self.health[name].trial = False

    def record_failure(self, now: float, name: str) -> None:
        """The gateway could not be reached, closed the connection or did not answer in time."""
        health = self.health[name]
        health.failures += 1
        health.trial = False
        if health.failures >= EJECT_AFTER:
            health.pause_ms = next_pause(health.pause_ms, EJECT_BASE_MS, EJECT_MAX_MS, self.draw)
            health.ejected_until = now + health.pause_ms
