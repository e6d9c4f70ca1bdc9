"""Decides which entry the leader writes next: roster changes, and the steps that bring a version into force.

Safety rests on two things here: all members have applied a step before the next one is written (by their own
reports), and a lost instance is taken to be on the least share only after a waiting time. The waiting time
counts from the moment at which this leader knew that the loss was chosen, so a new leader starts it again.
No I/O, no clock.
"""

from __future__ import annotations

from tamarindfold.agreement import document as documents
from tamarindfold.agreement.log import (
    Body,
    CanaryStarted,
    Dropped,
    InForce,
    Joined,
    JointPhaseStarted,
    Left,
    Lost,
    Newcomer,
    RosterSettled,
    ShareReduced,
)
from tamarindfold.agreement.reports import Report, Reports
from tamarindfold.agreement.state import HeldShare, PendingVersion, State

CLOCK_DRIFT = 0.02  # relative difference allowed between clock rates


class Reconciler:
    """Compares state and reports, whenever the leader has no proposal under way."""

    def __init__(self, reports: Reports) -> None:
        self.reports = reports
        self.loss_known_at: dict[int, float] = {}  # by entry number of a loss: when it was known to be chosen
        self.waiting_since = 0.0  # when reset_waits was called last
        self.forced: set[int] = set()  # versions that an operator forces, whatever instances report
        self.widened: set[int] = set()  # versions that may go on from their canary instances to all

    def reset_waits(self, now: float) -> None:
        """Restart all waiting times: every instance gets a full window in which to report.

        To be called when this keeper becomes the leader, and after its process was suspended, since older
        reports do not show which instances are alive.
        """
        self.waiting_since = now
        self.loss_known_at.clear()

    def next_entry(self, now: float, state: State) -> Body | None:
        """The entry that is due, if any."""
        self.loss_known_at = {h.number: self.loss_known_at.get(h.number, now) for h in state.held.values()}
        if self.forced or self.widened:
            self.forced = {version for version in self.forced if version > state.version}
            self.widened = {version for version in self.widened if version > state.version}
        return self._next_roster_entry(now, state) or self._next_version_entry(now, state)

    def waits_for(self, now: float, state: State) -> str:
        """What holds up the first queued version, for operators; empty if none is queued."""
        if not state.queue:
            return ""
        head = state.queue[0]
        slow = [m.name for m in state.members.values() if not self._is_ready(m.incarnation, head)]
        if slow:
            return "not ready yet: " + ", ".join(sorted(slow))
        if state.phase == "first":
            return "with the first instances: " + ", ".join(head.canaries)
        late = [
            m.name for m in state.members.values() if not self._has_applied(m.incarnation, state.phase_number)
        ]
        if late:
            return "has not taken up the joint step: " + ", ".join(sorted(late))
        if not state.safe_with_held_shares(head.document):
            away = ", ".join(sorted(h.name for h in state.held.values()))
            return f"lowers a sum that instances which are away may act on: {away} (or retire them)"
        return "nothing but its turn"

    # ---- the roster

    def _next_roster_entry(self, now: float, state: State) -> Body | None:
        known = list(self.reports.known.items())
        leaving = tuple(
            incarnation
            for incarnation, (_, report) in known
            if report.intent == "leave" and (incarnation in state.members or incarnation in state.held)
        )
        if leaving:
            return Left(leaving)
        newcomers = self._newcomers(now, state, [report for _, (_, report) in known])
        if newcomers:
            return Joined(newcomers)
        silent_ms = state.terms.window_ms
        if now - self.waiting_since > silent_ms:
            lost = [
                m for m in state.members.values() if self.reports.silence_ms(now, m.incarnation) > silent_ms
            ]
            if lost:
                return Lost(
                    tuple(m.incarnation for m in lost),
                    tuple(self._oldest_known_version(state, m.incarnation) for m in lost),
                )
        if reduced := tuple(key for key, held in state.held.items() if self._is_reduced(now, state, held)):
            return ShareReduced(reduced)
        if state.unsettled_number and self._all_applied(state, state.unsettled_number):
            return RosterSettled(state.number)
        return None

    def _newcomers(self, now: float, state: State, reports: list[Report]) -> tuple[Newcomer, ...]:
        silent_ms = state.terms.window_ms
        newcomers: list[Newcomer] = []
        for report in reports:
            if (
                report.intent == "join"
                and report.incarnation not in state.members
                and state.document is not None
                and self.reports.silence_ms(now, report.incarnation) < silent_ms
            ):
                newcomer = Newcomer(report.name, report.incarnation, report.replaces, report.zone)
                room = state.terms.most_instances - len(state.members) - len(state.held)
                if (
                    not state.join_error(newcomer)
                    and len(newcomers) < max(1, room)
                    and report.name not in [n.name for n in newcomers]
                ):
                    newcomers.append(newcomer)
        return tuple(newcomers)

    def _oldest_known_version(self, state: State, incarnation: str) -> int:
        """The oldest version that an instance may act on, by the number of entries it reported as applied."""
        report = self.reports.latest(incarnation)
        return state.version_at(report.number if report is not None else 0)

    def _is_reduced(self, now: float, state: State, held: HeldShare) -> bool:
        """Whether a lost instance is on the least share by now.

        Its lease ended within a window after the loss, and `unled_ms` later it dropped to the least share.
        """
        wait_ms = (state.terms.window_ms + state.terms.unled_ms) * (1 + CLOCK_DRIFT)
        return held.index >= 0 and now - self.loss_known_at.get(held.number, now) > wait_ms

    def _all_applied(self, state: State, number: int) -> bool:
        return all(self._has_applied(incarnation, number) for incarnation in state.members)

    def _has_applied(self, incarnation: str, number: int) -> bool:
        report = self.reports.latest(incarnation)
        return report is not None and report.number >= number

    # ---- versions

    def _is_ready(self, incarnation: str, head: PendingVersion) -> bool:
        report = self.reports.latest(incarnation)
        return report is not None and report.ready_version >= head.version and not report.apply_error

    def _next_version_entry(self, now: float, state: State) -> Body | None:
        if not state.queue:
            return None
        head, old = state.queue[0], state.document
        if old is None:
            return InForce(head.version)
        forced = head.forced or head.version in self.forced
        if not forced:
            reports = [(m.name, self.reports.latest(m.incarnation)) for m in state.members.values()]
            reasons = tuple(
                f"{name}: {r.apply_error}"
                for name, r in reports
                if r is not None and r.apply_error and r.ready_version == head.version
            )
            if reasons:
                return Dropped(head.version, reasons)
            if not all(self._is_ready(incarnation, head) for incarnation in state.members):
                return None
        if head.canaries and head.version not in self.widened and not forced:
            return None if state.phase == "first" else CanaryStarted(head.version)
        if documents.needs_joint_phase(old, head.document):
            if state.phase != "joint":
                return JointPhaseStarted(head.version)
            if not (self._all_applied(state, state.phase_number) or forced):
                return None
            if not state.safe_with_held_shares(head.document):
                return None
        return InForce(head.version, forced)
