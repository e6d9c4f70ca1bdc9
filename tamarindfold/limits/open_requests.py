"""Limits on a customer's concurrently open requests. No I/O, no clock.

Each open request holds a lease that ends with its answer, its report or its deadline. A plan's limit applies
to all gateways together, and each gateway enforces its part of it. The parts add up to the limit exactly,
except that a part is at least 1: a limit below the number of gateways can be exceeded by the difference.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush

SMOOTHING = 0.9  # weight of the old value in the moving average of lease durations
INITIAL_HOLD_MS = 100.0  # assumed lease duration before any lease has ended
MAX_WAIT_MS = 30_000.0


class CustomerLeases:
    """The open requests of one customer at this gateway."""

    __slots__ = ("ends", "hold_ms", "open", "retry_times")

    def __init__(self) -> None:
        self.open: dict[int, tuple[float, float]] = {}  # by request: start and latest end of its lease
        self.ends: list[tuple[float, int]] = []  # heap of latest ends; may hold entries of ended requests
        self.hold_ms = INITIAL_HOLD_MS  # moving average of lease durations
        self.retry_times: deque[float] = deque()  # announced to refused requests


class OpenRequestLimits:
    """Leases by customer; customers without leases take no memory."""

    def __init__(self, gateways: int, index: int) -> None:
        self.gateways, self.index = gateways, index
        self.customers: dict[int, CustomerLeases] = {}
        self.customer_of: dict[int, int] = {}  # by request
        self.refused = self.expired = 0

    def resize(self, gateways: int, index: int) -> None:
        """Change the number of gateways and this gateway's index; existing leases are unaffected."""
        self.gateways, self.index = gateways, index

    def local_limit(self, limit: int, customer: int, width: int) -> int:
        """This gateway's part of a customer's limit, which is divided among `width` gateways."""
        width = max(1, min(width, self.gateways))
        position = (self.index - customer % self.gateways) % self.gateways
        return max(1, limit // width + (position < limit % width))

    def acquire(
        self, request: int, customer: int, limit: int, width: int, now: float, until_ms: float
    ) -> float | None:
        """Take a lease until release() or until_ms. Returns None, or if refused the milliseconds to wait."""
        leases = self.customers.get(customer)
        if leases is None:
            leases = self.customers[customer] = CustomerLeases()
        self._prune(leases, now)
        local_limit = self.local_limit(limit, customer, width)
        if len(leases.open) >= local_limit:
            self.refused += 1
            return self._wait(leases, local_limit, now)
        leases.open[request] = now, until_ms
        heappush(leases.ends, (until_ms, request))
        self.customer_of[request] = customer
        return None

    def release(self, request: int, now: float) -> None:
        """End a request's lease; no effect if it has none or the lease expired."""
        customer = self.customer_of.pop(request, None)
        if customer is None:
            return
        leases = self.customers[customer]
        since, _ = leases.open.pop(request)
        leases.hold_ms = SMOOTHING * leases.hold_ms + (1 - SMOOTHING) * max(0.0, now - since)
        self._prune(leases, now)
        if not leases.open:
            del self.customers[customer]

    def sweep(self, now: float) -> None:
        """Remove expired leases and customers without leases; to be called periodically."""
        for customer in list(self.customers):
            leases = self.customers[customer]
            self._prune(leases, now)
            if not leases.open:
                del self.customers[customer]

    def _prune(self, leases: CustomerLeases, now: float) -> None:
        """End expired leases.

        Heap entries of ended requests are dropped when they reach the top, and all at once if there are many.
        """
        ends = leases.ends
        while ends and (ends[0][0] <= now or ends[0][1] not in leases.open):
            _, request = heappop(ends)
            if request in leases.open:
                self.expired += 1
                del leases.open[request]
                self.customer_of.pop(request, None)
        if len(ends) > 2 * len(leases.open) + 16:
            leases.ends = sorted((until, request) for request, (_, until) in leases.open.items())

    def _wait(self, leases: CustomerLeases, local_limit: int, now: float) -> float:
        """Milliseconds that a refused request is to wait.

        About `local_limit` leases end per average lease duration; retry times are spaced at that rate.
        """
        while leases.retry_times and leases.retry_times[0] <= now:
            leases.retry_times.popleft()
        step = leases.hold_ms / local_limit
        retry_at = now + min(MAX_WAIT_MS, step * (len(leases.retry_times) + 1))
        leases.retry_times.append(retry_at)
        return retry_at - now
