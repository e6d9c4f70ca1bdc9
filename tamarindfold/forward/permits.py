"""Decides what becomes of each name that a proxy asks about: one decision, one permit, one settlement.

A name goes from deciding to held or refused, and from held to settled or lapsed. Proxies send sub-requests
twice, report twice, too early, too late, to another instance, about what was refused, or never: each of these
has one place here. No I/O, no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from tamarindfold.forward.reports import Report
from tamarindfold.interface import Outcome

P = TypeVar("P")  # a permit
D = TypeVar("D")  # who waits for a decision


class Phase(Enum):
    """How far a name has come."""

    DECIDING = 0
    HELD = 1
    REFUSED = 2  # or given up before there was a decision
    SETTLED = 3
    LAPSED = 4


@dataclass(frozen=True, slots=True)
class Owed:
    """What a request that was not permitted uses, should the proxy let it pass all the same."""

    customer: int
    plan: int
    units: float


@dataclass(slots=True)
class Entry(Generic[P, D]):
    """One name. `until_ms`: when a held permit lapses, or an ended one is forgotten."""

    what: Hashable  # the request's own marks: another request under the same name is told by them
    phase: Phase = Phase.DECIDING
    permit: P | None = None
    decision: D | None = None
    owed: Owed | None = None
    early: Report | None = None
    until_ms: float = 0.0
    repeats: int = 0


# ---- what the asking of a name comes to


class Ask(Enum):
    """What a driver does with a sub-request."""

    NEW = "new"  # decide it
    JOIN = "join"  # the same is being decided: wait for that
    AGAIN = "again"  # it was permitted: the same answer once more, nothing counted
    OTHER = "other"  # the name is another request's, or worn out: decide it under a name of our own
    FULL = "full"  # no further permit can be held


# ---- what a report comes to


class Told(Enum):
    """What was done with a report; the value is what the reporter is told."""

    SETTLED = "settled"
    NOTED = "noted"  # before the decision's answer: settled with it
    REPEATED = "repeated"
    LATE = "late"  # the permit had lapsed; its units stay as they were asked for
    CHARGED = "charged"  # let through without or against our word: counted now
    NOBODYS = "nobody's"  # let through, but whose it was is not known
    UNKNOWN = "unknown"
    ELSEWHERE = "elsewhere"  # another instance permitted it


class Permits(Generic[P, D]):
    """All names of one instance."""

    def __init__(self, index: int, most: int, most_repeats: int, most_ended: int, remember_ms: float) -> None:
        self.index, self.most, self.most_repeats = index, most, most_repeats
        self.most_ended, self.remember_ms = most_ended, remember_ms
        self.names: dict[str, Entry[P, D]] = {}
        self.ended: OrderedDict[str, None] = OrderedDict()  # the longest ended stand first
        self.active = 0  # names deciding or held
        self.counts = {told.value: 0 for told in Told} | {"again": 0, "joined": 0, "renamed": 0, "lapsed": 0}

    # ---- sub-requests

    def ask(self, name: str, what: Hashable, decision: D, now: float) -> tuple[Ask, Entry[P, D] | None]:
        """A sub-request under this name."""
        self.forget(now)
        entry = self.names.get(name)
        if entry is not None and entry.phase is not Phase.REFUSED:
            same = entry.what == what and entry.repeats < self.most_repeats
            if same and entry.phase in (Phase.DECIDING, Phase.HELD):
                entry.repeats += 1
                joins = entry.phase is Phase.DECIDING
                self.counts["joined" if joins else "again"] += 1
                return (Ask.JOIN if joins else Ask.AGAIN), entry
            # a settled name that permitted again and again would be a way past every quota
            self.counts["renamed"] += 1
            return Ask.OTHER, None
        if self.active >= self.most:
            return Ask.FULL, None
        self.ended.pop(name, None)
        made: Entry[P, D] = Entry(what, decision=decision)  # calling Entry[P, D] takes four times as long
        self.names[name] = made
        self.active += 1
        return Ask.NEW, made

    def permit(self, name: str, permit: P, until_ms: float) -> Report | None:
        """The decision: let pass. A report that came before it is given back, to be settled at once."""
        entry = self.names[name]
        entry.phase, entry.permit, entry.decision, entry.until_ms = Phase.HELD, permit, None, until_ms
        early, entry.early = entry.early, None
        return early

    def refuse(self, name: str, owed: Owed | None, now: float) -> Owed | None:
        """The decision: not to pass, or none because the asker left. What a report that came before it shows
        to have passed all the same is given back, to be counted."""
        entry = self.names[name]
        entry.owed = owed
        passed = entry.early is not None and owed is not None
        self._end(name, entry, Phase.SETTLED if passed else Phase.REFUSED, now)
        if passed:
            self.counts[Told.CHARGED.value] += 1
        return owed if passed else None

    def lapse(self, name: str, until_ms: float, now: float) -> P | None:
        """The permit that was to lapse at this time, where it is still held: no success, no fault."""
        entry = self.names.get(name)
        if entry is None or entry.phase is not Phase.HELD or entry.until_ms != until_ms:
            return None  # settled meanwhile; the name may have been given anew
        permit = entry.permit
        self._end(name, entry, Phase.LAPSED, now)
        self.counts["lapsed"] += 1
        return permit

    # ---- reports

    def report(self, report: Report, now: float) -> tuple[Told, P | Owed | None]:
        """What a report comes to, with the permit to settle or the use to count."""
        told, gives = self._report(report, now)
        self.counts[told.value] += 1
        return told, gives

    def _report(self, report: Report, now: float) -> tuple[Told, P | Owed | None]:
        if report.instance is not None and report.instance != self.index:
            return Told.ELSEWHERE, None
        self.forget(now)
        entry = self.names.get(report.request)
        if entry is None:
            return Told.UNKNOWN, None
        match entry.phase:
            case Phase.DECIDING:
                if entry.early is not None:
                    return Told.REPEATED, None
                entry.early = report
                return Told.NOTED, None
            case Phase.HELD:
                permit = entry.permit
                self._end(report.request, entry, Phase.SETTLED, now)
                return Told.SETTLED, permit
            case Phase.REFUSED:
                owed = entry.owed
                entry.phase, entry.owed = Phase.SETTLED, None
                return (Told.CHARGED, owed) if owed is not None else (Told.NOBODYS, None)
            case Phase.LAPSED:
                entry.phase = Phase.SETTLED
                return Told.LATE, None
        return Told.REPEATED, None

    # ---- memory

    def _end(self, name: str, entry: Entry[P, D], phase: Phase, now: float) -> None:
        entry.phase, entry.permit, entry.decision, entry.early = phase, None, None, None
        entry.until_ms = now + self.remember_ms
        self.active -= 1
        self.ended[name] = None
        if len(self.ended) > self.most_ended:
            del self.names[self.ended.popitem(last=False)[0]]

    def forget(self, now: float) -> None:
        """Drop what ended long ago; a report that comes then is unknown."""
        while self.ended and self.names[oldest := next(iter(self.ended))].until_ms <= now:
            del self.ended[oldest], self.names[oldest]


def outcome(report: Report) -> Outcome:
    """What a report says of the server, as the proxy front reads it."""
    if report.status == 0:
        return Outcome.CONNECT_FAILED if report.never_ran else Outcome.RESET
    if report.status >= 500:
        return Outcome.FULL if report.never_ran else Outcome.ERROR
    return Outcome.OK
