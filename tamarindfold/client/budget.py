"""A limit on retries, so that the retries of many clients cannot sustain an overload."""

from __future__ import annotations


class RetryBudget:
    """Each call earns a fraction of a retry; the number of saved retries is limited."""

    def __init__(self, retries_per_call: float = 0.2, max_saved: float = 10.0) -> None:
        self.retries_per_call, self.max_saved, self.saved = retries_per_call, max_saved, max_saved

    def earn(self) -> None:
        """Credit the start of a call."""
        self.saved = min(self.max_saved, self.saved + self.retries_per_call)

    def spend(self) -> bool:
        """Take one retry from the budget; False if less than one is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
