"""The ids of requests that may run: an id that comes again meanwhile would make its request run twice."""

from __future__ import annotations

MAX_ENDED_IDS = 2_048


class CallIds:
    """Ids of open requests, and of ended ones that may have run and must not run again.

    The latter are kept until their client's deadline; beyond `max_ended` the oldest are forgotten first.
    Times are in milliseconds.
    """

    def __init__(self, max_ended: int = MAX_ENDED_IDS) -> None:
        self.max_ended = max_ended
        self.open: set[bytes] = set()
        self.ended: dict[bytes, float] = {}  # until when, in the order of their ends
        self.forgotten = 0  # before their time, for want of room

    def is_taken(self, call_id: bytes, now_ms: float) -> bool:
        """Whether a request of this id is open or may have run."""
        return call_id in self.open or (call_id in self.ended and self.ended[call_id] > now_ms)

    def add(self, call_id: bytes) -> None:
        """A request of this id begins; it is not taken."""
        self.open.add(call_id)

    def end(self, call_id: bytes, now_ms: float, keep_until_ms: float) -> None:
        """The request has its final answer, or its client has left; keep_until_ms: 0 if it may come again."""
        self.open.discard(call_id)
        if keep_until_ms > now_ms:
            self.ended.pop(call_id, None)
            self.ended[call_id] = keep_until_ms
        if self.ended:
            self._forget(now_ms)

    def _forget(self, now_ms: float) -> None:
        """Drop what is over at the front, and the oldest one if there are too many.

        A longer deadline at the front keeps shorter ones behind it a little longer.
        """
        while self.ended:
            oldest = next(iter(self.ended))
            is_over = self.ended[oldest] <= now_ms
            if not is_over and len(self.ended) <= self.max_ended:
                return
            del self.ended[oldest]
            self.forgotten += not is_over
