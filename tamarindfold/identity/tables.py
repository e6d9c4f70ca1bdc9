"""What an instance holds: a snapshot in flat columns, and the rows that changed since beside it."""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from dataclasses import dataclass

from tamarindfold.ds.keytable import KeyTable, build, column
from tamarindfold.identity.model import CredentialRow, CustomerRow, PlanRow
from tamarindfold.identity.state import RegistryState

REVOKED = 1


@dataclass(slots=True)  # made for each look-up: a frozen one takes three times as long
class Credential:
    """A credential as an instance needs it."""

    name: int
    digest: bytes
    customer: int
    next_customer: int
    moved_at_ms: float
    from_ms: float
    ends_ms: float
    flags: int


@dataclass(slots=True)
class Customer:
    """A customer as an instance needs it; plans by their places in the list."""

    number: int
    plan: int
    next_plan: int
    change_at_ms: float


@dataclass(frozen=True, slots=True)
class Columns:
    """A snapshot's tables, little-endian: one column a member, rows in step."""

    names: bytes
    index: bytes
    digests: bytes
    customers: bytes
    next_customers: bytes
    moved_at: bytes
    from_ms: bytes
    ends_ms: bytes
    flags: bytes
    customer_plans: bytes
    customer_next: bytes
    customer_change: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Everything at one version."""

    epoch: int
    version: int
    chain: int  # of the log at this version
    plans: tuple[PlanRow, ...]
    columns: Columns


@dataclass(frozen=True, slots=True)
class Delta:
    """The rows that changed between two versions, and the plans that were added."""

    epoch: int
    after: int
    version: int
    chain: int
    plans_before: int
    plans: tuple[PlanRow, ...]
    credentials: tuple[Credential, ...]
    customers: tuple[Customer, ...]


def credential(row: CredentialRow) -> Credential:
    """An instance's view of a credential."""
    return Credential(
        row.name,
        row.digest,
        row.customer,
        row.next_customer,
        row.moved_at_ms,
        row.from_ms,
        row.ends_ms,
        REVOKED if row.revoked else 0,
    )


def customer(row: CustomerRow) -> Customer:
    """An instance's view of a customer."""
    return Customer(row.number, row.plan, row.next_plan, row.change_at_ms)


def _column(code: str, values: Iterable[float]) -> bytes:
    return array(code, values).tobytes()


def snapshot(state: RegistryState, chain: int) -> Snapshot:
    """Everything the state holds."""
    rows, customers = list(state.credentials.values()), state.by_number
    names, index = build(row.name for row in rows)
    columns = Columns(
        names,
        index,
        b"".join(row.digest for row in rows),
        _column("I", (row.customer for row in rows)),
        _column("I", (row.next_customer for row in rows)),
        _column("d", (row.moved_at_ms for row in rows)),
        _column("d", (row.from_ms for row in rows)),
        _column("d", (row.ends_ms for row in rows)),
        bytes(REVOKED if row.revoked else 0 for row in rows),
        _column("I", (row.plan for row in customers)),
        _column("I", (row.next_plan for row in customers)),
        _column("d", (row.change_at_ms for row in customers)),
    )
    return Snapshot(state.epoch, state.version, chain, tuple(state.plans), columns)


class BadTables(ValueError):
    """Tables whose parts don't fit each other."""


class Tables:
    """The snapshot last applied and what came after it; replaced as a whole, never half."""

    def __init__(self, made: Snapshot) -> None:
        """BadTables where columns have other lengths than they should; nothing of such a snapshot is used."""
        self.epoch, self.version, self.chain = made.epoch, made.version, made.chain
        self.plans = list(made.plans)
        c = made.columns
        try:
            self.keys = KeyTable(c.names, c.index)
            self.digests = c.digests
            self.customers, self.next_customers = column(c.customers, "I"), column(c.next_customers, "I")
            self.moved_at, self.from_ms = column(c.moved_at, "d"), column(c.from_ms, "d")
            self.ends_ms, self.flags = column(c.ends_ms, "d"), c.flags
            self.plan, self.next_plan = column(c.customer_plans, "I"), column(c.customer_next, "I")
            self.change_at = column(c.customer_change, "d")
        except ValueError as error:
            raise BadTables(f"columns: {error}") from None
        rows, customers = len(self.keys), len(self.plan)
        same = [
            len(x)
            for x in (
                self.customers,
                self.next_customers,
                self.moved_at,
                self.from_ms,
                self.ends_ms,
                self.flags,
            )
        ]
        if (
            same != [rows] * 6
            or len(self.digests) != 16 * rows
            or not (len(self.next_plan) == len(self.change_at) == customers)
        ):
            raise BadTables("columns of different lengths")
        self.changed: dict[int, Credential] = {}
        self.changed_customers: dict[int, Customer] = {}

    def apply(self, delta: Delta) -> None:
        """Take in a delta that reaches from this version or an earlier one to a later; its rows are whole, so
        that what it repeats does no harm. BadTables leaves everything as it was."""
        new_plans = delta.plans[len(self.plans) - delta.plans_before :]
        if (
            delta.epoch != self.epoch
            or not delta.after <= self.version < delta.version
            or not 0 <= len(self.plans) - delta.plans_before <= len(delta.plans)
        ):
            raise BadTables(
                f"a delta after {delta.epoch}.{delta.after} does not follow on {self.epoch}.{self.version}"
            )
        most = len(self.plans) + len(new_plans)
        if any(max(row.plan, row.next_plan) >= most for row in delta.customers):
            raise BadTables("a customer on a plan that is not there")
        self.plans += new_plans
        self.changed |= {row.name: row for row in delta.credentials}
        self.changed_customers |= {row.number: row for row in delta.customers}
        self.version, self.chain = delta.version, delta.chain

    def credential(self, name: int) -> Credential | None:
        """A credential by its name."""
        if self.changed and (row := self.changed.get(name)) is not None:
            return row
        at = self.keys.find(name)
        if at < 0:
            return None
        return Credential(
            name,
            self.digests[16 * at : 16 * at + 16],
            self.customers[at],
            self.next_customers[at],
            self.moved_at[at],
            self.from_ms[at],
            self.ends_ms[at],
            self.flags[at],
        )

    def customer(self, number: int) -> Customer | None:
        """A customer by its number."""
        if self.changed_customers and (row := self.changed_customers.get(number)) is not None:
            return row
        at = number - 1
        if not 0 <= at < len(self.plan):
            return None
        return Customer(number, self.plan[at], self.next_plan[at], self.change_at[at])

    @property
    def beside(self) -> int:
        """How many rows stand beside the snapshot."""
        return len(self.changed) + len(self.changed_customers)

    @property
    def rows(self) -> int:
        """How many credentials the snapshot holds. Not a length: tables without any are not nothing."""
        return len(self.keys)
