"""How the platform's counter is called: ADDGET, one reply a call."""

from __future__ import annotations

from tamarindfold.counter.pipeline import command
from tamarindfold.interface import Count

MOST_LIFE_MS, MOST_AMOUNT = 60_000, 1e9


class AddGet:
    """ADDGET NAME AMOUNT LIFE."""

    replies = 1

    def call(self, count: Count) -> bytes:
        amount = max(-MOST_AMOUNT, min(MOST_AMOUNT, float(count.amount)))
        life = max(1, min(MOST_LIFE_MS, round(count.ttl_ms)))
        return command(b"ADDGET", b"%x" % count.name, b"%.9f" % amount, b"%d" % life)

    def nothing_added(self, error: Exception) -> bool:
        return str(error).partition(" ")[0] in ("BUSY", "ERR")
