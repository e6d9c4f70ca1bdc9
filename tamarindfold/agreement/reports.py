"""What instances say of themselves to the keepers, gathered for the one that leads. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Collection, Iterable

import msgspec
from msgspec import Struct

FORGET_MS = 60_000.0
MOST_REPORTS = 2_000  # instances that are remembered; the longest unheard go first


class Report(Struct):
    """What one instance said last. age_ms: how long ago, where it was handed on."""

    life: str
    name: str
    number: int = 0  # what it has taken up of the log
    ready: int = 0  # the version that it could apply
    cannot: str = ""  # why it could not apply that
    wants: str = "stay"  # or join, leave
    replaces: str = ""
    zone: int = 0
    led_ms: float = 0.0  # how long its lease still ran, by its own word: for a person only
    age_ms: float = 0.0


class Reports:
    """The last report of each instance, with the time at which it was heard."""

    def __init__(self) -> None:
        self.known: dict[str, tuple[float, Report]] = {}
        self.fresh: dict[str, None] = {}  # not handed on yet
        self.dropped = 0

    def take(self, now: float, report: Report) -> None:
        """A report, by whatever way it came; an older one that comes late changes nothing."""
        at = now - report.age_ms
        before = self.known.pop(report.life, None)
        if before is not None and before[0] > at:
            at, report = before
        self.known[report.life] = at, report
        self.fresh[report.life] = None
        if len(self.known) > MOST_REPORTS:
            gone = next(iter(self.known))
            del self.known[gone]
            self.fresh.pop(gone, None)
            self.dropped += 1

    def aged(self, now: float, lives: Iterable[str]) -> list[Report]:
        """The reports of these, each with its age."""
        return [
            msgspec.structs.replace(report, age_ms=now - at)
            for at, report in (self.known[life] for life in lives if life in self.known)
        ]

    def news(self, now: float) -> bytes:
        """What the leader has not been told yet."""
        fresh = self.aged(now, self.fresh)
        self.fresh.clear()
        return msgspec.msgpack.encode(fresh) if fresh else b""

    def forget(self, now: float, places: Collection[str]) -> None:
        """Let go of who has no place and has not been heard for long."""
        for life in [
            life for life, (at, _) in self.known.items() if life not in places and now - at > FORGET_MS
        ]:
            del self.known[life]
            self.fresh.pop(life, None)

    def hand_over(self, now: float, news: bytes) -> None:
        """What another keeper was told; ValueError where it can't be read."""
        if news:
            try:
                handed = msgspec.msgpack.decode(news, type=list[Report])
            except msgspec.MsgspecError as error:
                raise ValueError(f"reports: {error}") from None
            for report in handed:
                self.take(now, report)

    def heard_ago(self, now: float, life: str) -> float:
        """Milliseconds since an instance was heard; infinite where it never was."""
        at = self.known.get(life)
        return now - at[0] if at is not None else float("inf")

    def of(self, life: str) -> Report | None:
        """The last report of an instance."""
        known = self.known.get(life)
        return known[1] if known is not None else None
