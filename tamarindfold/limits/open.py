"""Decides how many requests of a customer may be open at once: leases that end with the answer, the report or
the deadline. No I/O, no clock.

A plan's limit holds over all gateways. Each keeps to its part, split exactly by the gateway's place among the
customer's; a part is never below one, so a limit below the number of gateways is passed by the difference at
the most.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush

KEEP = 0.9  # weight of the past in the mean time that a lease is held
FIRST_HOLD_MS = 100.0  # believed before any lease has ended
MOST_WAIT_MS = 30_000.0


class Holder:
    """One customer's open requests here."""

    __slots__ = ("ends", "hold_ms", "open", "told")

    def __init__(self) -> None:
        self.open: dict[int, tuple[float, float]] = {}  # request: taken at, ends at the latest
        self.ends: list[tuple[float, int]] = []  # heap of the latter; entries of ended requests lie dead
        self.hold_ms = FIRST_HOLD_MS
        self.told: deque[float] = deque()  # when those that were refused are to come back


class OpenLimits:
    """Leases by customer; a customer without any is not held."""

    def __init__(self, gateways: int, index: int) -> None:
        self.gateways, self.index = gateways, index
        self.holders: dict[int, Holder] = {}
        self.owners: dict[int, int] = {}  # request: customer
        self.refused = self.expired = 0

    def resize(self, gateways: int, index: int) -> None:
        """Another place among other gateways: leases that were given last their time."""
        self.gateways, self.index = gateways, index

    def part(self, limit: int, customer: int, width: int) -> int:
        """This gateway's part of a customer's limit; the parts of its gateways add up to the limit."""
        width = max(1, min(width, self.gateways))
        place = (self.index - customer % self.gateways) % self.gateways
        return max(1, limit // width + (place < limit % width))

    def take(
        self, request: int, customer: int, limit: int, width: int, now: float, until_ms: float
    ) -> float | None:
        """Hold a lease until it is ended or its time is up. None: held; else milliseconds to stay away."""
        holder = self.holders.get(customer)
        if holder is None:
            holder = self.holders[customer] = Holder()
        self._prune(holder, now)
        part = self.part(limit, customer, width)
        if len(holder.open) >= part:
            self.refused += 1
            return self._wait(holder, part, now)
        holder.open[request] = now, until_ms
        heappush(holder.ends, (until_ms, request))
        self.owners[request] = customer
        return None

    def end(self, request: int, now: float) -> None:
        """The request is over; nothing where it held no lease, or where that had run out."""
        customer = self.owners.pop(request, None)
        if customer is None:
            return
        holder = self.holders[customer]
        since, _ = holder.open.pop(request)
        holder.hold_ms = KEEP * holder.hold_ms + (1 - KEEP) * max(0.0, now - since)
        self._prune(holder, now)
        if not holder.open:
            del self.holders[customer]

    def sweep(self, now: float) -> None:
        """Let go of all that has run out; called now and then, so that idle customers are forgotten."""
        for customer in list(self.holders):
            holder = self.holders[customer]
            self._prune(holder, now)
            if not holder.open:
                del self.holders[customer]

    def _prune(self, holder: Holder, now: float) -> None:
        """End what has passed its time, and drop dead heap entries from the top and, when many, from all."""
        ends = holder.ends
        while ends and (ends[0][0] <= now or ends[0][1] not in holder.open):
            _, request = heappop(ends)
            if request in holder.open:
                self.expired += 1
                del holder.open[request]
                self.owners.pop(request, None)
        if len(ends) > 2 * len(holder.open) + 16:
            holder.ends = sorted((until, request) for request, (_, until) in holder.open.items())

    def _wait(self, holder: Holder, part: int, now: float) -> float:
        """In a mean time as many leases end as there are places: those refused come back in turn."""
        while holder.told and holder.told[0] <= now:
            holder.told.popleft()
        step = holder.hold_ms / part
        back_at = now + min(MOST_WAIT_MS, step * (len(holder.told) + 1))
        holder.told.append(back_at)
        return back_at - now
