"""Changes to the registry's store in a run: customers and keys at first, rotations and plan changes later."""

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
from tamarindfold.rehearsal.scenario import Scenario, ScenarioEvent, customers_with_plans
from tamarindfold.standins.ledger import Ledger

STOP_USING_KEY_MS = 250.0  # before a key expires, its clients stop using it by this much


class RegistryOperator:
    """Commits the changes of a scenario to the store, and knows the keys and the plan of each customer."""

    def __init__(self, scenario: Scenario, out: Path, ledger: Ledger) -> None:
        self.scenario, self.ledger = scenario, ledger
        self.path = out / "state" / "registry.db"
        self.store: Store | None = None
        self.pepper = b""
        self.keys: dict[str, list[tuple[str, str, float]]] = {}  # by customer: credential, key, expiry
        self.plans: dict[str, list[tuple[float, str]]] = {}

    def create_store(self, now_ms: float) -> None:
        """Create the store with all plans and customers, and one key for each customer."""
        assert self.scenario.registry is not None
        files.create_all(self.path)
        self.store = Store(self.path, create=True)
        self.pepper = files.pepper(files.pepper_path(self.path))
        changes: list[AnyChange] = [
            DefinePlan(name, msgspec.convert(limits, PlanFigures))
            for name, limits in self.scenario.registry.plans.items()
        ]
        for customer, plan in customers_with_plans(self.scenario):
            changes += [AddCustomer(customer, plan, 1), self._issue(customer)]
            self.ledger.record(now_ms, "customer", customer=customer)
            self._record_plan(customer, f"{plan}@1", 0.0)
        self.store.commit(changes, now_ms)

    def apply_event(self, event: ScenarioEvent, now_ms: float) -> None:
        """Rotate the keys or set the plans of one group or of all customers."""
        assert self.store is not None
        changes: list[AnyChange] = []
        at_ms = now_ms + event.lead_ms
        name, _, version = event.plan.rpartition("@")
        for customer, _ in customers_with_plans(self.scenario):
            if event.customers and customer.rpartition("-")[0] != event.customers:
                continue
            if event.do == "set_plan":
                changes.append(SetPlan(customer, name, int(version), at_ms))
            else:
                expires_at = now_ms + event.for_ms
                credential, key, _ = self.keys[customer][-1]
                self.keys[customer][-1] = credential, key, expires_at
                changes += [self._issue(customer), Retire(credential, expires_at)]
        self.store.commit(changes, now_ms)
        for change in changes:
            if isinstance(change, SetPlan):
                self._record_plan(change.customer, event.plan, at_ms)

    def current_key(self, customer: str, now_ms: float, random: Random) -> str:
        """A valid key of the customer, chosen at random if there are several."""
        valid = [key for _, key, expires_at in self.keys[customer] if now_ms < expires_at - STOP_USING_KEY_MS]
        return random.choice(valid)

    def plan_at(self, customer: str, now_ms: float) -> str:
        """The customer's plan in force at a time."""
        return [plan for at, plan in self.plans[customer] if at <= now_ms][-1]

    def _record_plan(self, customer: str, plan: str, at_ms: float) -> None:
        self.plans.setdefault(customer, []).append((at_ms, plan))
        self.ledger.record(at_ms, "plan", customer=customer, plan=plan, at=at_ms)

    def _issue(self, customer: str) -> Issue:
        name, key = keys.generate()
        self.keys.setdefault(customer, []).append((keys.label(name), key, float("inf")))
        return Issue(keys.label(name), "key", name, keys.digest(self.pepper, keys.parse(key)[1]), customer)
