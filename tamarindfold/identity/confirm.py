"""Decides when to query the registry about credentials that this instance does not know. No I/O, no clock.

A client may use a new key before this instance has received it. An unknown credential is therefore refused
only after the registry has answered a query that was sent after the request arrived. One query serves all
requests that wait, and at most one is in flight, however many unknown credentials arrive.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendQuery:
    """Action: query the registry now."""


@dataclass(frozen=True, slots=True)
class ReleaseWaiters:
    """Action: resume the requests that wait for this round; succeeded: the registry answered."""

    round: int
    succeeded: bool


class Confirmations:
    """Numbered rounds of queries; a request waits for the first round whose query starts after it arrived."""

    def __init__(self) -> None:
        self.round = 0  # the one in flight, or else the last
        self.in_flight = False
        self.next_round_needed = False  # a request waits for the round after the one in flight

    def join_round(self) -> tuple[int, list[SendQuery]]:
        """Return the round that a request has to wait for, and the actions to take now."""
        if self.in_flight:
            self.next_round_needed = True
            return self.round + 1, []
        self.round += 1
        self.in_flight = True
        return self.round, [SendQuery()]

    def answered(self, succeeded: bool) -> list[ReleaseWaiters | SendQuery]:
        """Record that the query in flight was answered or failed; return the actions to take."""
        actions: list[ReleaseWaiters | SendQuery] = [ReleaseWaiters(self.round, succeeded)]
        self.in_flight = False
        if self.next_round_needed:
            self.next_round_needed, self.in_flight = False, True
            self.round += 1
            actions.append(SendQuery())
        return actions
