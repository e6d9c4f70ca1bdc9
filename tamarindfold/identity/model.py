"""The registry's records and the changes that produce them. Times are milliseconds since the epoch."""

from __future__ import annotations

import math
from dataclasses import dataclass

from msgspec import Struct, field

NEVER = math.inf


class PlanFigures(Struct, frozen=True, forbid_unknown_fields=True):
    """Quota and prices granted by one version of a plan; interface.Plan explains the fields."""

    rate: float
    burst: float
    open_limit: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


# ---- changes: the entries of the registry's log, stored under their class names


class Change(Struct, frozen=True, tag=True, forbid_unknown_fields=True):
    """Base class of all log entries."""


class DefinePlan(Change, frozen=True):
    """Adds a plan, or a new version of an existing one."""

    plan: str
    figures: PlanFigures


class AddCustomer(Change, frozen=True):
    """Adds a customer on a version of a plan. Its clients call from these networks (CIDR)."""

    customer: str
    plan: str
    plan_version: int
    networks: tuple[str, ...] = ()


class SetNetworks(Change, frozen=True):
    """Replaces the networks that a customer's clients call from."""

    customer: str
    networks: tuple[str, ...]


class SetPlan(Change, frozen=True):
    """Puts a customer on a version of a plan from `at_ms` on."""

    customer: str
    plan: str
    plan_version: int
    at_ms: float


class Issue(Change, frozen=True):
    """Issues a credential to a customer.

    credential: its label, unique in the registry. kind: "key" for an API key, "client" for an OAuth client.
    digest: the hash by which a gateway verifies it.
    """

    credential: str
    kind: str
    credential_id: int = field(name="name")  # 64 bits; the index key of the gateways' tables
    digest: bytes
    customer: str
    from_ms: float = 0.0
    note: str = ""


class Retire(Change, frozen=True):
    """Sets the time at which a credential expires; it stays valid until then."""

    credential: str
    ends_ms: float


class Revoke(Change, frozen=True):
    """Invalidates a credential at once, whatever its expiry time."""

    credential: str
    at_ms: float
    reason: str = ""


class Move(Change, frozen=True):
    """Transfers a credential to another customer from `at_ms` on."""

    credential: str
    customer: str
    at_ms: float


class Adopt(Change, frozen=True):
    """Starts a new epoch after the store was restored from a backup.

    From here on gateways follow this store, even those that hold later versions of the previous epoch.
    """

    epoch: int


AnyChange = DefinePlan | AddCustomer | SetNetworks | SetPlan | Issue | Retire | Revoke | Move | Adopt


# ---- records


@dataclass(slots=True)
class PlanRow:
    """A version of a plan. Its index in the list of plans identifies it in all other records."""

    plan: str
    version: int
    figures: PlanFigures


@dataclass(slots=True)
class CustomerRow:
    """A customer, on `plan` until `change_at_ms` and on `next_plan` from then on (indexes of plans)."""

    number: int
    name: str
    plan: int
    next_plan: int
    change_at_ms: float = NEVER
    networks: tuple[str, ...] = ()

    def plan_at(self, now_ms: float) -> int:
        """Return the index of the plan in force."""
        return self.next_plan if now_ms >= self.change_at_ms else self.plan


@dataclass(slots=True)
class CredentialRow:
    """A credential, owned by `customer` until `moved_at_ms` and by `next_customer` from then on (numbers).

    credential: its label, unique in the registry.
    """

    credential_id: int
    credential: str
    kind: str
    digest: bytes
    customer: int
    next_customer: int
    moved_at_ms: float = NEVER
    from_ms: float = 0.0
    ends_ms: float = NEVER
    revoked: bool = False
    issued_ms: float = 0.0
    note: str = ""

    def customer_at(self, now_ms: float) -> int:
        """Return the number of the customer that owns it."""
        return self.next_customer if now_ms >= self.moved_at_ms else self.customer

    def state_at(self, now_ms: float) -> str:
        """Return pending, active, retiring, ended or revoked."""
        if self.revoked:
            return "revoked"
        if now_ms >= self.ends_ms:
            return "ended"
        if now_ms < self.from_ms:
            return "pending"
        return "active" if self.ends_ms == NEVER else "retiring"
