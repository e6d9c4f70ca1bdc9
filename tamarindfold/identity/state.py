"""The registry's state, built by replaying the log; each change is validated before it applies. No I/O."""

from __future__ import annotations

import math
import re
from ipaddress import ip_network

from tamarindfold.identity.model import (
    AddCustomer,
    Adopt,
    AnyChange,
    CredentialRow,
    CustomerRow,
    DefinePlan,
    Issue,
    Move,
    PlanRow,
    Retire,
    Revoke,
    SetNetworks,
    SetPlan,
)

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@:-]{0,95}")
MAX_CUSTOMERS = 1 << 32


class InvalidChange(ValueError):
    """A change that is malformed or conflicts with the current state."""


class RegistryState:
    """Customers, plans and credentials at `version`, the number of log entries applied."""

    def __init__(self) -> None:
        self.version, self.epoch = 0, 1
        self.plans: list[PlanRow] = []
        self.newest_versions: dict[str, int] = {}  # plan name: index of its newest version
        self.plan_indexes: dict[tuple[str, int], int] = {}  # plan name and version: index
        self.customers: dict[str, CustomerRow] = {}
        self.customers_by_number: list[CustomerRow] = []  # customer 1 has index 0
        self.credentials: dict[str, CredentialRow] = {}  # by label
        self.credential_labels: dict[int, str] = {}  # credential id: label

    def apply(self, change: AnyChange, at_ms: float) -> tuple[int | None, int | None]:
        """Apply a change made at this time; InvalidChange leaves the state unmodified.

        Returns the number of the customer or the id of the credential whose row changed.
        """
        changed_row: tuple[int | None, int | None] = (None, None)
        match change:
            case DefinePlan():
                self._define_plan(change)
            case AddCustomer():
                changed_row = self._add_customer(change), None
            case SetNetworks():
                row = self._find_customer(change.customer)
                row.networks = self._parse_networks(change.networks)
                changed_row = row.number, None
            case SetPlan():
                changed_row = self._set_plan(change, at_ms), None
            case Issue():
                changed_row = None, self._issue(change, at_ms)
            case Retire():
                changed_row = None, self._retire(change, at_ms)
            case Revoke():
                changed_row = None, self._revoke(change, at_ms)
            case Move():
                changed_row = None, self._move(change, at_ms)
            case Adopt():
                if change.epoch <= self.epoch:
                    raise InvalidChange(f"epoch {change.epoch} is not above {self.epoch}")
                self.epoch = change.epoch
        self.version += 1
        return changed_row

    # ---- plans and customers

    def _define_plan(self, change: DefinePlan) -> None:
        self._check_name(change.plan, "plan")
        figures = change.figures
        for name in figures.__struct_fields__:
            value = getattr(figures, name)
            if not math.isfinite(value) or value < 0:
                raise InvalidChange(f"plan {change.plan}: {name}: {value!r} is not a non-negative number")
        version = (
            self.plans[self.newest_versions[change.plan]].version + 1
            if change.plan in self.newest_versions
            else 1
        )
        self.newest_versions[change.plan] = self.plan_indexes[change.plan, version] = len(self.plans)
        self.plans.append(PlanRow(change.plan, version, figures))

    def _add_customer(self, change: AddCustomer) -> int:
        self._check_name(change.customer, "customer")
        if change.customer in self.customers:
            raise InvalidChange(f"customer {change.customer} exists already")
        plan, networks = (
            self._plan_index(change.plan, change.plan_version),
            self._parse_networks(change.networks),
        )
        number = len(self.customers_by_number) + 1
        if number >= MAX_CUSTOMERS:
            raise InvalidChange("the maximum number of customers is reached")
        row = CustomerRow(number, change.customer, plan, plan, networks=networks)
        self.customers[change.customer] = row
        self.customers_by_number.append(row)
        return number

    def _set_plan(self, change: SetPlan, at_ms: float) -> int:
        row, plan = self._find_customer(change.customer), self._plan_index(change.plan, change.plan_version)
        self._check_time(change.at_ms, at_ms, "set-plan")
        if at_ms < row.change_at_ms < math.inf:
            raise InvalidChange(f"customer {row.name} already has a plan change at {row.change_at_ms:.0f}")
        row.plan, row.next_plan, row.change_at_ms = row.plan_at(at_ms), plan, change.at_ms
        return row.number

    # ---- credentials

    def _issue(self, change: Issue, at_ms: float) -> int:
        self._check_name(change.credential, "credential")
        if change.kind not in ("key", "client"):
            raise InvalidChange(f"credential kind {change.kind!r} is neither key nor client")
        if change.credential in self.credentials:
            raise InvalidChange(f"credential {change.credential} exists already")
        if change.credential_id in self.credential_labels:
            raise InvalidChange(
                f"credential {change.credential}: "
                f"its id belongs to {self.credential_labels[change.credential_id]}"
            )
        if not 0 <= change.credential_id < 1 << 64 or len(change.digest) != 16:
            raise InvalidChange(f"credential {change.credential}: malformed id or digest")
        if not math.isfinite(change.from_ms):
            raise InvalidChange(f"credential {change.credential}: its start time is not finite")
        owner = self._find_customer(change.customer).number
        self.credentials[change.credential] = CredentialRow(
            change.credential_id,
            change.credential,
            change.kind,
            change.digest,
            owner,
            owner,
            from_ms=change.from_ms,
            issued_ms=at_ms,
            note=change.note,
        )
        self.credential_labels[change.credential_id] = change.credential
        return change.credential_id

    def _retire(self, change: Retire, at_ms: float) -> int:
        row = self._find_unexpired(change.credential, at_ms)
        self._check_time(change.ends_ms, at_ms, "retire")
        if change.ends_ms <= row.from_ms:
            raise InvalidChange(f"credential {change.credential} would end before it is valid")
        row.ends_ms = change.ends_ms
        return row.credential_id

    def _revoke(self, change: Revoke, at_ms: float) -> int:
        if (row := self.credentials.get(change.credential)) is None:
            raise InvalidChange(f"no credential {change.credential}")
        if row.revoked:
            raise InvalidChange(f"credential {change.credential} is revoked already")
        row.revoked, row.ends_ms = True, min(row.ends_ms, at_ms)
        return row.credential_id

    def _move(self, change: Move, at_ms: float) -> int:
        row, owner = (
            self._find_unexpired(change.credential, at_ms),
            self._find_customer(change.customer).number,
        )
        self._check_time(change.at_ms, at_ms, "move")
        if at_ms < row.moved_at_ms < math.inf:
            raise InvalidChange(
                f"credential {change.credential} already has a transfer at {row.moved_at_ms:.0f}"
            )
        if row.customer_at(at_ms) == owner:
            raise InvalidChange(f"credential {change.credential} belongs to {change.customer} already")
        row.customer, row.next_customer, row.moved_at_ms = row.customer_at(at_ms), owner, change.at_ms
        return row.credential_id

    # ---- checks

    @staticmethod
    def _check_name(name: str, what: str) -> None:
        if not _NAME.fullmatch(name):
            raise InvalidChange(f"{what} {name!r}: not 1 to 96 letters, digits or any of ._@:-")

    @staticmethod
    def _check_time(at_ms: float, now_ms: float, what: str) -> None:
        if not now_ms <= at_ms < math.inf:
            raise InvalidChange(f"{what}: the time {at_ms:.0f} is in the past or not finite")

    @staticmethod
    def _parse_networks(networks: tuple[str, ...]) -> tuple[str, ...]:
        try:
            return tuple(str(ip_network(network)) for network in networks)
        except ValueError as error:
            raise InvalidChange(f"network: {error}") from None

    def _find_customer(self, name: str) -> CustomerRow:
        if (row := self.customers.get(name)) is None:
            raise InvalidChange(f"no customer {name}")
        return row

    def _plan_index(self, plan: str, version: int) -> int:
        if (index := self.plan_indexes.get((plan, version))) is None:
            raise InvalidChange(f"no plan {plan}@{version}")
        return index

    def _find_unexpired(self, credential: str, at_ms: float) -> CredentialRow:
        if (row := self.credentials.get(credential)) is None:
            raise InvalidChange(f"no credential {credential}")
        if row.revoked or row.ends_ms <= at_ms:
            raise InvalidChange(f"credential {credential} is {row.state_at(at_ms)}")
        return row
