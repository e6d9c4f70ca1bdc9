"""The life cycle of request names in forward authentication: one decision, permit and settlement each.

A name goes from deciding to held or refused, and from held to settled or lapsed. Proxies may repeat a
sub-request, and they may report a request twice, early, late, never, to another instance, or although it was
refused: each of these cases is handled in one place here. No I/O, no clock.
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
D = TypeVar("D")  # a pending decision that repeated sub-requests wait for


class Phase(Enum):
    """The state of a name."""

    DECIDING = 0
    HELD = 1  # permitted; the report is outstanding
    REFUSED = 2  # or abandoned by the asker before there was a decision
    SETTLED = 3
    LAPSED = 4  # no report came in time


@dataclass(frozen=True, slots=True)
class UnpermittedUse:
    """The use to charge if the proxy lets a request pass without a permit."""

    customer: int
    plan: int
    units: float


@dataclass(slots=True)
class Entry(Generic[P, D]):
    """One name. until_ms: when the entry of a name that has ended is removed, or a held permit lapses."""

    identity: Hashable  # what identifies the request: the name may be reused for a different one
    phase: Phase = Phase.DECIDING
    permit: P | None = None
    decision: D | None = None
    unpermitted_use: UnpermittedUse | None = None
    early_report: Report | None = None
    until_ms: float = 0.0
    repeats: int = 0


# ---- results of sub-requests


class SubRequestStep(Enum):
    """What the caller does with a sub-request."""

    NEW = "new"  # make a decision
    JOIN = "join"  # a decision for the same request is pending: wait for it
    REPLAY = "again"  # already permitted: send the same answer again, count nothing
    RENAME = "other"  # the name belongs to another request or has ended: use a generated name
    LIMIT_REACHED = "full"  # no further permit can be held


# ---- results of reports


class ReportResult(Enum):
    """The result of a report. The value is sent to the reporter."""

    SETTLED = "settled"
    NOTED = "noted"  # the decision is still pending: settled together with it
    REPEATED = "repeated"
    LATE = "late"  # the permit has lapsed; the units stay as requested
    CHARGED = "charged"  # the request passed without a permit: its use is counted now
    UNATTRIBUTED = "nobody's"  # the request passed without a permit, and its customer is not known
    UNKNOWN = "unknown"
    OTHER_INSTANCE = "elsewhere"  # the permit is from another instance


class Permits(Generic[P, D]):
    """All names of one instance."""

    def __init__(
        self, instance: int, max_permits: int, max_repeats: int, max_ended: int, remember_ms: float
    ) -> None:
        """max_permits: names deciding or held; max_repeats: repeated sub-requests answered per name;
        max_ended, remember_ms: how many ended names are remembered, and for how long."""
        self.instance, self.max_permits, self.max_repeats = instance, max_permits, max_repeats
        self.max_ended, self.remember_ms = max_ended, remember_ms
        self.entries: dict[str, Entry[P, D]] = {}
        self.ended: OrderedDict[str, None] = OrderedDict()  # names that have ended, oldest first
        self.active = 0  # names deciding or held
        self.counts = {result.value: 0 for result in ReportResult} | {
            "again": 0,
            "joined": 0,
            "renamed": 0,
            "lapsed": 0,
        }

    # ---- sub-requests

    def begin(
        self, name: str, identity: Hashable, decision: D, now: float
    ) -> tuple[SubRequestStep, Entry[P, D] | None]:
        """Process a sub-request with this name. `identity` distinguishes requests that share a name."""
        self.expire(now)
        entry = self.entries.get(name)
        if entry is not None and entry.phase is not Phase.REFUSED:
            repeatable = entry.identity == identity and entry.repeats < self.max_repeats
            if repeatable and entry.phase in (Phase.DECIDING, Phase.HELD):
                entry.repeats += 1
                joins = entry.phase is Phase.DECIDING
                self.counts["joined" if joins else "again"] += 1
                return (SubRequestStep.JOIN if joins else SubRequestStep.REPLAY), entry
            # permitting a settled name again, any number of times, would bypass every quota
            self.counts["renamed"] += 1
            return SubRequestStep.RENAME, None
        if self.active >= self.max_permits:
            return SubRequestStep.LIMIT_REACHED, None
        self.ended.pop(name, None)
        created: Entry[P, D] = Entry(identity, decision=decision)  # calling Entry[P, D] is four times slower
        self.entries[name] = created
        self.active += 1
        return SubRequestStep.NEW, created

    def grant(self, name: str, permit: P, until_ms: float) -> Report | None:
        """The request is permitted. Returns a report that came before the decision, to be applied at once."""
        entry = self.entries[name]
        entry.phase, entry.permit, entry.decision, entry.until_ms = Phase.HELD, permit, None, until_ms
        early_report, entry.early_report = entry.early_report, None
        return early_report

    def refuse(self, name: str, unpermitted_use: UnpermittedUse | None, now: float) -> UnpermittedUse | None:
        """The request is refused, or its asker left before the decision.

        Returns the use if an earlier report shows that the proxy let the request pass, to be counted.
        """
        entry = self.entries[name]
        entry.unpermitted_use = unpermitted_use
        passed = entry.early_report is not None and unpermitted_use is not None
        self._end(name, entry, Phase.SETTLED if passed else Phase.REFUSED, now)
        if passed:
            self.counts[ReportResult.CHARGED.value] += 1
        return unpermitted_use if passed else None

    def lapse(self, name: str, until_ms: float, now: float) -> P | None:
        """End the permit due to lapse at until_ms and return it, if it is still held.

        A lapse counts neither as a success nor as a failure of the server.
        """
        entry = self.entries.get(name)
        if entry is None or entry.phase is not Phase.HELD or entry.until_ms != until_ms:
            return None  # already settled; the name may have been used again
        permit = entry.permit
        self._end(name, entry, Phase.LAPSED, now)
        self.counts["lapsed"] += 1
        return permit

    # ---- reports

    def report(self, report: Report, now: float) -> tuple[ReportResult, P | UnpermittedUse | None]:
        """Process a report. Returns its result, with the permit to settle or the use to charge."""
        result, found = self._report(report, now)
        self.counts[result.value] += 1
        return result, found

    def _report(self, report: Report, now: float) -> tuple[ReportResult, P | UnpermittedUse | None]:
        if report.instance is not None and report.instance != self.instance:
            return ReportResult.OTHER_INSTANCE, None
        self.expire(now)
        entry = self.entries.get(report.request)
        if entry is None:
            return ReportResult.UNKNOWN, None
        match entry.phase:
            case Phase.DECIDING:
                if entry.early_report is not None:
                    return ReportResult.REPEATED, None
                entry.early_report = report
                return ReportResult.NOTED, None
            case Phase.HELD:
                permit = entry.permit
                self._end(report.request, entry, Phase.SETTLED, now)
                return ReportResult.SETTLED, permit
            case Phase.REFUSED:
                use = entry.unpermitted_use
                entry.phase, entry.unpermitted_use = Phase.SETTLED, None
                return (ReportResult.CHARGED, use) if use is not None else (ReportResult.UNATTRIBUTED, None)
            case Phase.LAPSED:
                entry.phase = Phase.SETTLED
                return ReportResult.LATE, None
        return ReportResult.REPEATED, None

    # ---- ended names

    def _end(self, name: str, entry: Entry[P, D], phase: Phase, now: float) -> None:
        entry.phase, entry.permit, entry.decision, entry.early_report = phase, None, None, None
        entry.until_ms = now + self.remember_ms
        self.active -= 1
        self.ended[name] = None
        if len(self.ended) > self.max_ended:
            del self.entries[self.ended.popitem(last=False)[0]]

    def expire(self, now: float) -> None:
        """Remove names that ended more than remember_ms ago; later reports of them are unknown."""
        while self.ended and self.entries[oldest := next(iter(self.ended))].until_ms <= now:
            del self.ended[oldest], self.entries[oldest]


def attempt_outcome(report: Report) -> Outcome:
    """The outcome of an attempt as reported, by the same rules as in the proxy front."""
    if report.status == 0:
        return Outcome.CONNECT_FAILED if report.never_ran else Outcome.RESET
    if report.status >= 500:
        return Outcome.FULL if report.never_ran else Outcome.ERROR
    return Outcome.OK
