"""The instances' reports to the keepers, collected for the leader. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec
from msgspec import Struct, field

EXPIRY_MS = 60_000.0
MAX_REPORTS = 2_000  # the instances that were silent for longest are discarded first


class Report(Struct):
    """The last report of one instance. age_ms: how old it was when it was forwarded to another keeper.

    Field names are sent; `field(name=...)` keeps the sent name.
    """

    incarnation: str = field(name="life")
    name: str
    number: int = 0  # entries that it has applied
    ready_version: int = field(name="ready", default=0)  # the version that it has checked last
    apply_error: str = field(name="cannot", default="")  # why it can't apply ready_version; empty if it can
    intent: str = field(name="wants", default="stay")  # or "join", "leave"
    replaces: str = ""
    zone: int = 0
    lease_remaining_ms: float = field(name="led_ms", default=0.0)  # its own claim; for operators only
    age_ms: float = 0.0


class Reports:
    """The last report of each instance, with the time at which it was made."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[float, Report]] = {}  # by incarnation, longest silent first
        self.unsent: dict[str, None] = {}  # incarnations whose report the leader has not been sent yet
        self.dropped = 0

    def record(self, now: float, report: Report) -> None:
        """Record a report, received directly or forwarded, unless a newer one is known."""
        at = now - report.age_ms
        before = self.known.pop(report.incarnation, None)
        if before is not None and before[0] > at:
            at, report = before
        self.known[report.incarnation] = at, report
        self.unsent[report.incarnation] = None
        if len(self.known) > MAX_REPORTS:
            longest_silent = next(iter(self.known))
            del self.known[longest_silent]
            self.unsent.pop(longest_silent, None)
            self.dropped += 1

    def with_ages(self, now: float, incarnations: Iterable[str]) -> list[Report]:
        """The reports of these incarnations, with their age filled in."""
        return [
            msgspec.structs.replace(report, age_ms=now - at)
            for at, report in (self.known[key] for key in incarnations if key in self.known)
        ]

    def take_unsent(self, now: float) -> bytes:
        """Encode the reports that the leader has not been sent yet, and mark them as sent."""
        unsent = self.with_ages(now, self.unsent)
        self.unsent.clear()
        return msgspec.msgpack.encode(unsent) if unsent else b""

    def expire(self, now: float, in_roster: Collection[str]) -> None:
        """Discard reports of incarnations that are not in the roster and have been silent for EXPIRY_MS."""
        for incarnation in [
            key for key, (at, _) in self.known.items() if key not in in_roster and now - at > EXPIRY_MS
        ]:
            del self.known[incarnation]
            self.unsent.pop(incarnation, None)

    def merge(self, now: float, encoded: bytes) -> None:
        """Record reports that another keeper forwarded. Raises ValueError if they can't be decoded."""
        if encoded:
            try:
                forwarded = msgspec.msgpack.decode(encoded, type=list[Report])
            except msgspec.MsgspecError as error:
                raise ValueError(f"reports: {error}") from None
            for report in forwarded:
                self.record(now, report)

    def silence_ms(self, now: float, incarnation: str) -> float:
        """Milliseconds since the last report of an incarnation; infinite if there is none."""
        at = self.known.get(incarnation)
        return now - at[0] if at is not None else float("inf")

    def latest(self, incarnation: str) -> Report | None:
        """The last report of an incarnation."""
        known = self.known.get(incarnation)
        return known[1] if known is not None else None
