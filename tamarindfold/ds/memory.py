"""One budget for the memory that connections take, and what gives memory back when it is exceeded. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable


class MemoryBudget:
    """The sum of all accounts, in bytes, and its capacity.

    `reclaimers` are tried in turn while there is too little room; each frees what it can spare most easily,
    and returns whether it freed anything.
    """

    def __init__(self, capacity: float = math.inf) -> None:
        self.capacity = capacity
        self.used = self.peak = 0
        self.reclaimers: list[Callable[[], bool]] = []

    def account(self, size: int = 0) -> MemoryAccount:
        """An account of its own for one holder of memory."""
        account = MemoryAccount(self)
        account.resize(size)
        return account

    def make_room(self) -> bool:
        """Reclaim memory until the accounts fit; False if they don't and nothing more can be spared."""
        while self.used > self.capacity:
            if not any(reclaim() for reclaim in self.reclaimers):
                return False
        return True


class MemoryAccount:
    """What one holder takes from the budget."""

    __slots__ = ("_budget", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget, self.size = budget, 0

    def resize(self, size: int) -> None:
        """Set what the holder takes now, in bytes."""
        budget = self._budget
        budget.used += size - self.size
        if budget.used > budget.peak:
            budget.peak = budget.used
        self.size = size
