"""The registry's book for a day: customers and keys at the start, rotations and plan changes after."""

from __future__ import annotations

from pathlib import Path
from random import Random

import msgspec

from tamarindfold.identity import files, keys
from tamarindfold.identity.model import (
    AddCustomer,
    AnyChange,
    DefinePlan,
    Issue,
    PlanFigures,
    Retire,
    SetPlan,
)
from tamarindfold.identity.store import Store
from tamarindfold.rehearsal.day import Day, Event, customer_names
from tamarindfold.standins.ledger import Ledger

EARLY_MS = 250.0  # clients lay an old key down this long before it ends


class Book:
    """What the operators of the day do with the store, and which keys its clients hold."""

    def __init__(self, day: Day, out: Path, ledger: Ledger) -> None:
        self.day, self.ledger = day, ledger
        self.path = out / "state" / "registry.db"
        self.store: Store | None = None
        self.pepper = b""
        self.held: dict[str, list[tuple[str, str, float]]] = {}  # customer: credential, key, ends
        self.plans: dict[str, list[tuple[float, str]]] = {}

    def fill(self, now_ms: float) -> None:
        """Make the store with all plans, customers and a key each."""
        assert self.day.registry is not None
        files.create_all(self.path)
        self.store = Store(self.path, create=True)
        self.pepper = files.pepper(files.pepper_path(self.path))
        changes: list[AnyChange] = [
            DefinePlan(name, msgspec.convert(figures, PlanFigures))
            for name, figures in self.day.registry.plans.items()
        ]
        for customer, plan in customer_names(self.day):
            changes += [AddCustomer(customer, plan, 1), self._issue(customer)]
            self.ledger.record(now_ms, "customer", customer=customer)
            self._plan(customer, f"{plan}@1", 0.0)
        self.store.commit(changes, now_ms)

    def happen(self, event: Event, now_ms: float) -> None:
        """Rotate keys or set plans, of one group or of all."""
        assert self.store is not None
        changes: list[AnyChange] = []
        at_ms = now_ms + event.lead_ms
        name, _, version = event.plan.rpartition("@")
        for customer, _ in customer_names(self.day):
            if event.customers and customer.rpartition("-")[0] != event.customers:
                continue
            if event.do == "set_plan":
                changes.append(SetPlan(customer, name, int(version), at_ms))
            else:
                ends = now_ms + event.for_ms
                credential, text, _ = self.held[customer][-1]
                self.held[customer][-1] = credential, text, ends
                changes += [self._issue(customer), Retire(credential, ends)]
        self.store.commit(changes, now_ms)
        for change in changes:
            if isinstance(change, SetPlan):
                self._plan(change.customer, event.plan, at_ms)

    def key(self, customer: str, now_ms: float, random: Random) -> str:
        """A key that the customer's stores use now: while two are good, either."""
        good = [text for _, text, ends in self.held[customer] if now_ms < ends - EARLY_MS]
        return random.choice(good)

    def plan_at(self, customer: str, now_ms: float) -> str:
        """The plan in force."""
        return [plan for at, plan in self.plans[customer] if at <= now_ms][-1]

    def _plan(self, customer: str, plan: str, at_ms: float) -> None:
        self.plans.setdefault(customer, []).append((at_ms, plan))
        self.ledger.record(at_ms, "plan", customer=customer, plan=plan, at=at_ms)

    def _issue(self, customer: str) -> Issue:
        name, text = keys.generate()
        self.held.setdefault(customer, []).append((keys.label(name), text, float("inf")))
        return Issue(keys.label(name), "key", name, keys.digest(self.pepper, keys.parse(text)[1]), customer)
