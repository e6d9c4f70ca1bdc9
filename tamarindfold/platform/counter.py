"""The command of the platform's counter: ADDGET, with one reply per call."""

from __future__ import annotations

from tamarindfold.counter.pipeline import command
from tamarindfold.interface import Count

MAX_TTL_MS = 60_000
MAX_AMOUNT = 1e9


class AddGet:
    """ADDGET NAME AMOUNT TTL: adds the amount and replies with the total; TTL is in milliseconds."""

    replies_per_call = 1

    def call(self, count: Count) -> bytes:
        amount = max(-MAX_AMOUNT, min(MAX_AMOUNT, float(count.amount)))
        ttl_ms = max(1, min(MAX_TTL_MS, round(count.ttl_ms)))
        return command(b"ADDGET", b"%x" % count.name, b"%.9f" % amount, b"%d" % ttl_ms)

    def nothing_added(self, error: Exception) -> bool:
        return str(error).partition(" ")[0] in ("BUSY", "ERR")
