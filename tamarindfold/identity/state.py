"""The registry's state: the log folded, each change checked before it takes effect. No I/O."""

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
MOST_CUSTOMERS = 1 << 32


class Refused(ValueError):
    """A change that does not fit what is there: which, and why."""


class RegistryState:
    """Customers, plans and credentials as of `version`."""

    def __init__(self) -> None:
        self.version, self.epoch = 0, 1
        self.plans: list[PlanRow] = []
        self.latest: dict[str, int] = {}  # plan name to the place of its newest version
        self.places: dict[tuple[str, int], int] = {}
        self.customers: dict[str, CustomerRow] = {}
        self.by_number: list[CustomerRow] = []  # customer 1 first
        self.credentials: dict[str, CredentialRow] = {}
        self.by_name: dict[int, str] = {}

    def apply(self, change: AnyChange, at_ms: float) -> tuple[int | None, int | None]:
        """Take in one change made at this time; Refused leaves everything as it was.

        Gives the number of the customer and the name of the credential whose row changed.
        """
        touched: tuple[int | None, int | None] = (None, None)
        match change:
            case DefinePlan():
                self._define(change)
            case AddCustomer():
                touched = self._add(change), None
            case SetNetworks():
                row = self._customer(change.customer)
                row.networks = self._networks(change.networks)
                touched = row.number, None
            case SetPlan():
                touched = self._set_plan(change, at_ms), None
            case Issue():
                touched = None, self._issue(change, at_ms)
            case Retire():
                touched = None, self._retire(change, at_ms)
            case Revoke():
                touched = None, self._revoke(change, at_ms)
            case Move():
                touched = None, self._move(change, at_ms)
            case Adopt():
                if change.epoch <= self.epoch:
                    raise Refused(f"epoch {change.epoch} is not above {self.epoch}")
                self.epoch = change.epoch
        self.version += 1
        return touched

    # ---- plans and customers

    def _define(self, change: DefinePlan) -> None:
        self._named(change.plan, "plan")
        figures = change.figures
        for field in figures.__struct_fields__:
            value = getattr(figures, field)
            if not math.isfinite(value) or value < 0:
                raise Refused(f"plan {change.plan}: {field}: {value!r} is not a number of at least 0")
        version = self.plans[self.latest[change.plan]].version + 1 if change.plan in self.latest else 1
        self.latest[change.plan] = self.places[change.plan, version] = len(self.plans)
        self.plans.append(PlanRow(change.plan, version, figures))

    def _add(self, change: AddCustomer) -> int:
        self._named(change.customer, "customer")
        if change.customer in self.customers:
            raise Refused(f"customer {change.customer} is there already")
        place, networks = self._plan(change.plan, change.plan_version), self._networks(change.networks)
        number = len(self.by_number) + 1
        if number >= MOST_CUSTOMERS:
            raise Refused("no number is left for another customer")
        row = CustomerRow(number, change.customer, place, place, networks=networks)
        self.customers[change.customer] = row
        self.by_number.append(row)
        return number

    def _set_plan(self, change: SetPlan, at_ms: float) -> int:
        row, place = self._customer(change.customer), self._plan(change.plan, change.plan_version)
        self._instant(change.at_ms, at_ms, "set-plan")
        if at_ms < row.change_at_ms < math.inf:
            raise Refused(f"customer {row.name} changes its plan at {row.change_at_ms:.0f} already")
        row.plan, row.next_plan, row.change_at_ms = row.plan_at(at_ms), place, change.at_ms
        return row.number

    # ---- credentials

    def _issue(self, change: Issue, at_ms: float) -> int:
        self._named(change.credential, "credential")
        if change.kind not in ("key", "client"):
            raise Refused(f"credential kind {change.kind!r} is neither key nor client")
        if change.credential in self.credentials:
            raise Refused(f"credential {change.credential} is there already")
        if change.name in self.by_name:
            raise Refused(f"credential {change.credential}: its 64 bits are {self.by_name[change.name]}'s")
        if not 0 <= change.name < 1 << 64 or len(change.digest) != 16:
            raise Refused(f"credential {change.credential}: malformed name or digest")
        if not math.isfinite(change.from_ms):
            raise Refused(f"credential {change.credential}: no time from which it is good")
        owner = self._customer(change.customer).number
        self.credentials[change.credential] = CredentialRow(
            change.name,
            change.credential,
            change.kind,
            change.digest,
            owner,
            owner,
            from_ms=change.from_ms,
            issued_ms=at_ms,
            note=change.note,
        )
        self.by_name[change.name] = change.credential
        return change.name

    def _retire(self, change: Retire, at_ms: float) -> int:
        row = self._living(change.credential, at_ms)
        self._instant(change.ends_ms, at_ms, "retire")
        if change.ends_ms <= row.from_ms:
            raise Refused(f"credential {change.credential} would end before it begins")
        row.ends_ms = change.ends_ms
        return row.name

    def _revoke(self, change: Revoke, at_ms: float) -> int:
        if (row := self.credentials.get(change.credential)) is None:
            raise Refused(f"no credential {change.credential}")
        if row.revoked:
            raise Refused(f"credential {change.credential} is revoked already")
        row.revoked, row.ends_ms = True, min(row.ends_ms, at_ms)
        return row.name

    def _move(self, change: Move, at_ms: float) -> int:
        row, owner = self._living(change.credential, at_ms), self._customer(change.customer).number
        self._instant(change.at_ms, at_ms, "move")
        if at_ms < row.moved_at_ms < math.inf:
            raise Refused(f"credential {change.credential} moves at {row.moved_at_ms:.0f} already")
        if row.customer_at(at_ms) == owner:
            raise Refused(f"credential {change.credential} is {change.customer}'s already")
        row.customer, row.next_customer, row.moved_at_ms = row.customer_at(at_ms), owner, change.at_ms
        return row.name

    # ---- checks

    @staticmethod
    def _named(name: str, what: str) -> None:
        if not _NAME.fullmatch(name):
            raise Refused(f"{what} {name!r}: not 1 to 96 letters, digits or any of ._@:-")

    @staticmethod
    def _instant(at_ms: float, now_ms: float, what: str) -> None:
        if not now_ms <= at_ms < math.inf:
            raise Refused(f"{what}: the instant {at_ms:.0f} is past or no time")

    @staticmethod
    def _networks(networks: tuple[str, ...]) -> tuple[str, ...]:
        try:
            return tuple(str(ip_network(network)) for network in networks)
        except ValueError as error:
            raise Refused(f"network: {error}") from None

    def _customer(self, name: str) -> CustomerRow:
        if (row := self.customers.get(name)) is None:
            raise Refused(f"no customer {name}")
        return row

    def _plan(self, plan: str, version: int) -> int:
        if (place := self.places.get((plan, version))) is None:
            raise Refused(f"no plan {plan}@{version}")
        return place

    def _living(self, credential: str, at_ms: float) -> CredentialRow:
        if (row := self.credentials.get(credential)) is None:
            raise Refused(f"no credential {credential}")
        if row.revoked or row.ends_ms <= at_ms:
            raise Refused(f"credential {credential} is {row.state_at(at_ms)}")
        return row
