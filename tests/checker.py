"""Checks the actions of one gateway against the rules that must hold for any decision module.

Every request gets one final answer in time; nothing is repeated or refused that must not be; draining and
unknown backends get no attempt; ceilings are kept.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from tamarindfold.interface import (
    Action,
    AttemptEnded,
    BackendState,
    Cancel,
    Effect,
    Event,
    Fail,
    FleetUpdate,
    Group,
    ListKind,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    RequestWithdrawn,
    Send,
    Settings,
)


class RuleViolation(AssertionError):
    """A rule is broken; the text names the request and the rule."""


@dataclass
class Try:
    """A request and its attempts, as seen from outside the gateway; `sends`: time, backend and outcome."""

    event: RequestArrived
    cls: RequestClass
    deadline: float
    sends: list[tuple[float, int, Outcome | None]] = field(default_factory=list)
    closed: bool = False


class Checker:
    """Passes events to one gateway, and raises RuleViolation as soon as an action breaks a rule."""

    def __init__(self, handle: Callable[[float, Event], list[Action]], settings: Settings) -> None:
        self.handle, self.settings = handle, settings
        self.tries: dict[int, Try] = {}
        self.unavailable_since: dict[int, float] = {}  # draining or gone backends
        self.groups: dict[int, tuple[int, int]] = {}  # zone and cell of each known backend
        self.ceilings: dict[int, tuple[float, float]] = {}  # by customer: time and level

    def require(self, holds: bool, message: str) -> None:
        if not holds:
            raise RuleViolation(message)

    def feed(self, now: float, event: Event) -> list[Action]:
        self.observe(now, event)
        actions = self.handle(now, event)
        for action in actions:
            self.check(now, action)
        return actions

    def observe(self, now: float, event: Event) -> None:
        match event:
            case RequestArrived():
                self.tries[event.request] = Try(
                    event, self.settings.classes[event.cls], now + event.time_left_ms
                )
            case RequestWithdrawn():
                self.tries[event.request].closed = True
            case AttemptEnded() if event.request in self.tries:
                t = self.tries[event.request]
                sent, backend, _ = t.sends[event.attempt]
                t.sends[event.attempt] = (sent, backend, event.outcome)
                t.closed |= event.over
            case FleetUpdate() if event.kind is not ListKind.FAILED:
                ready = {e.backend for e in event.entries if e.state is BackendState.READY}
                for e in event.entries:
                    self.groups[e.backend] = (e.zone, e.cell)
                    if e.state is not BackendState.READY:
                        self.unavailable_since.setdefault(e.backend, now)
                if event.kind is not ListKind.CHANGES:
                    for b in self.groups.keys() - ready:
                        self.unavailable_since.setdefault(b, now)
                for b in ready:
                    self.unavailable_since.pop(b, None)

    def group(self, backend: int, cls: RequestClass) -> int:
        zone, cell = self.groups[backend]
        return {Group.ALL: 0, Group.ZONE: zone, Group.CELL: cell}[cls.group]

    def check(self, now: float, action: Action) -> None:
        if not isinstance(action, Send | Refuse | Fail | Cancel):
            return
        t = self.tries[action.request]
        may_have_run = [(sent, b) for sent, b, o in t.sends if o is None or not o.never_ran]
        if isinstance(action, Cancel):
            return
        self.require(not t.closed, f"request {action.request}: {action} after its end")
        if isinstance(action, Send):
            self.check_send(now, action, t, may_have_run)
            return
        self.require(
            now <= t.deadline + self.settings.answer_grace_ms, f"request {action.request}: answered too late"
        )
        if isinstance(action, Refuse) and may_have_run:
            allowed = t.cls.effect is Effect.SAFE or (
                t.cls.effect is Effect.KEYED and t.cls.group is Group.ALL
            )
            self.require(allowed, f"request {action.request}: refused though it may have run")
        t.closed = True

    def check_send(self, now: float, action: Send, t: Try, may_have_run: list[tuple[float, int]]) -> None:
        outstanding = any(o is None for _, _, o in t.sends)
        self.require(
            not outstanding or self.settings.second_copies, f"request {action.request}: two attempts at once"
        )
        self.require(
            len(t.sends) < self.settings.max_attempts, f"request {action.request}: too many attempts"
        )
        self.require(action.backend in self.groups, f"request {action.request}: to an unknown backend")
        since = self.unavailable_since.get(action.backend)
        self.require(
            since is None or now <= since + self.settings.drain_grace_ms,
            f"request {action.request}: to a draining backend",
        )
        if may_have_run and t.cls.effect is Effect.UNSAFE:
            raise RuleViolation(f"request {action.request}: unsafe, sent again though it may have run")
        if may_have_run and t.cls.effect is Effect.KEYED:
            sent, first = may_have_run[0]
            self.require(now < sent + t.cls.window_ms, f"request {action.request}: keyed, past its window")
            self.require(
                self.group(action.backend, t.cls) == self.group(first, t.cls),
                f"request {action.request}: keyed, outside its group",
            )
        if not t.sends:
            self.charge_ceiling(now, t.event)
        t.sends.append((now, action.backend, None))

    def charge_ceiling(self, now: float, event: RequestArrived) -> None:
        """Charge this gateway's part of the customer's ceiling; a restart does not refill it."""
        plan = self.settings.plans[event.plan]
        if not plan.ceiling_rate:
            return
        at, level = self.ceilings.get(event.customer, (now, plan.ceiling_burst / event.width))
        fill = (now - at) / 1000 * plan.ceiling_rate / event.width
        level = min(plan.ceiling_burst / event.width, level + fill) - event.units
        self.require(level >= -1e-6, f"customer {event.customer}: ceiling exceeded by {-level}")
        self.ceilings[event.customer] = now, level

    def finish(self) -> None:
        """Check that every request has a final answer."""
        for number, t in self.tries.items():
            self.require(t.closed, f"request {number}: never answered")
