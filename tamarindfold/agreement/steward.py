"""What the leader writes next: places for those who come, ends for those who are gone, versions into force.

Safety needs two things from here: that all members have taken up a step before the next one (they say so
themselves), and the wait until a lost one is on the least share. That wait counts from the moment at which
this leader knew that the loss was chosen, so a new leader waits anew. No I/O, no clock.
"""

from __future__ import annotations

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.log import (
    Begun,
    Body,
    Dropped,
    Floored,
    InForce,
    Joined,
    JointBegan,
    Left,
    Lost,
    Newcomer,
    Settled,
)
from tamarindfold.agreement.reports import Report, Reports
from tamarindfold.agreement.state import Held, Pending, State

DRIFT = 0.02  # clocks may differ by this part of the time


class Steward:
    """Looks at the state and the reports whenever the leader has nothing in hand."""

    def __init__(self, reports: Reports) -> None:
        self.reports = reports
        self.known_at: dict[int, float] = {}  # by entry of a loss: since when it has been known to be chosen
        self.began = 0.0  # when this keeper came to lead
        self.forced: set[int] = set()  # versions that an operator puts in force whatever instances say
        self.widened: set[int] = set()  # versions that go on from the first instances to all

    def lead(self, now: float) -> None:
        """This keeper leads from now on: whoever is alive has the time of a loss to be heard."""
        self.began = now
        self.known_at.clear()

    def next(self, now: float, state: State) -> Body | None:
        """The entry that is due, if there is one."""
        self.known_at = {held.number: self.known_at.get(held.number, now) for held in state.held.values()}
        if self.forced or self.widened:
            self.forced = {version for version in self.forced if version > state.version}
            self.widened = {version for version in self.widened if version > state.version}
        return self._roster(now, state) or self._version(now, state)

    def waits_for(self, now: float, state: State) -> str:
        """Who or what holds up the first version in the queue; empty where nothing is on its way."""
        if not state.queue:
            return ""
        head = state.queue[0]
        slow = [m.name for m in state.members.values() if not self._is_ready(m.life, head)]
        if slow:
            return "not ready yet: " + ", ".join(sorted(slow))
        if state.phase == "first":
            return "with the first instances: " + ", ".join(head.first)
        late = [m.name for m in state.members.values() if not self._has(m.life, state.phase_number)]
        if late:
            return "has not taken up the joint step: " + ", ".join(sorted(late))
        if not state.bearable(head.document):
            away = ", ".join(sorted(h.name for h in state.held.values()))
            return f"lowers a sum that instances which are away may act on: {away} (or retire them)"
        return "nothing but its turn"

    # ---- the roster

    def _roster(self, now: float, state: State) -> Body | None:
        seen = list(self.reports.known.items())
        leaving = tuple(
            life
            for life, (_, report) in seen
            if report.wants == "leave" and (life in state.members or life in state.held)
        )
        if leaving:
            return Left(leaving)
        newcomers = self._newcomers(now, state, [report for _, (_, report) in seen])
        if newcomers:
            return Joined(newcomers)
        silent_ms = state.terms.window_ms
        if now - self.began > silent_ms:
            lost = [m for m in state.members.values() if self.reports.heard_ago(now, m.life) > silent_ms]
            if lost:
                return Lost(tuple(m.life for m in lost), tuple(self._knew(state, m.life) for m in lost))
        if floored := tuple(life for life, held in state.held.items() if self._is_floored(now, state, held)):
            return Floored(floored)
        if state.dirty and self._taken_up(state, state.dirty):
            return Settled(state.number)
        return None

    def _newcomers(self, now: float, state: State, seen: list[Report]) -> tuple[Newcomer, ...]:
        silent_ms = state.terms.window_ms
        found: list[Newcomer] = []
        for report in seen:
            if (
                report.wants == "join"
                and report.life not in state.members
                and state.document is not None
                and self.reports.heard_ago(now, report.life) < silent_ms
            ):
                newcomer = Newcomer(report.name, report.life, report.replaces, report.zone)
                room = state.terms.most_instances - len(state.members) - len(state.held)
                if (
                    not state.hindrance(newcomer)
                    and len(found) < max(1, room)
                    and report.name not in [n.name for n in found]
                ):
                    found.append(newcomer)
        return tuple(found)

    def _knew(self, state: State, life: str) -> int:
        """The oldest version that an instance may act on: it said how much of the log it has taken up."""
        report = self.reports.of(life)
        return state.version_at(report.number if report is not None else 0)

    def _is_floored(self, now: float, state: State, held: Held) -> bool:
        """Whether a lost one is on the least share by now: its lease ended within a window of the loss."""
        wait_ms = (state.terms.window_ms + state.terms.unled_ms) * (1 + DRIFT)
        return held.index >= 0 and now - self.known_at.get(held.number, now) > wait_ms

    def _taken_up(self, state: State, number: int) -> bool:
        return all(self._has(life, number) for life in state.members)

    def _has(self, life: str, number: int) -> bool:
        report = self.reports.of(life)
        return report is not None and report.number >= number

    # ---- versions

    def _is_ready(self, life: str, head: Pending) -> bool:
        report = self.reports.of(life)
        return report is not None and report.ready >= head.version and not report.cannot

    def _version(self, now: float, state: State) -> Body | None:
        if not state.queue:
            return None
        head, old = state.queue[0], state.document
        if old is None:
            return InForce(head.version)
        forced = head.forced or head.version in self.forced
        if not forced:
            reports = [(m.name, self.reports.of(m.life)) for m in state.members.values()]
            reasons = tuple(
                f"{name}: {r.cannot}"
                for name, r in reports
                if r is not None and r.cannot and r.ready == head.version
            )
            if reasons:
                return Dropped(head.version, reasons)
            if not all(self._is_ready(life, head) for life in state.members):
                return None
        if head.first and head.version not in self.widened and not forced:
            return None if state.phase == "first" else Begun(head.version)
        if documents.needs_joint(old, head.document):
            if state.phase != "joint":
                return JointBegan(head.version)
            if not (self._taken_up(state, state.phase_number) or forced):
                return None
            if not state.bearable(head.document):
                return None
        return InForce(head.version, forced)
