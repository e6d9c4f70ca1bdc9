"""An instance's tables: a snapshot in flat columns, overlaid with the rows that changed since then."""

from __future__ import annotations

from array import array
from collections.abc import Iterable
from dataclasses import dataclass

from tamarindfold.ds.keytable import KeyTable, build_columns, column_view
from tamarindfold.identity.model import CredentialRow, CustomerRow, PlanRow
from tamarindfold.identity.state import RegistryState

REVOKED = 1


# not frozen: one is created for each look-up, and a frozen one takes three times as long
@dataclass(slots=True)
class Credential:
    """The part of a credential's record that instances need."""

    credential_id: int
    digest: bytes
    customer: int
    next_customer: int
    moved_at_ms: float
    from_ms: float
    ends_ms: float
    flags: int


@dataclass(slots=True)
class Customer:
    """The part of a customer's record that instances need; plans are indexes into the list of plans."""

    number: int
    plan: int
    next_plan: int
    change_at_ms: float


@dataclass(frozen=True, slots=True)
class Columns:
    """A snapshot's tables, one little-endian column for each field.

    The columns up to `flags` have one row for each credential, the others one row for each customer. `names`
    holds the credential ids, `index` the hash table from id to row.
    """

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
    """All plans, credentials and customers at one version."""

    epoch: int
    version: int
    chain: int  # prefix of the log's hash chain at this version
    plans: tuple[PlanRow, ...]
    columns: Columns


@dataclass(frozen=True, slots=True)
class Delta:
    """The rows that changed from version `after` to `version`, and the plans that were added."""

    epoch: int
    after: int
    version: int
    chain: int
    plans_before: int
    plans: tuple[PlanRow, ...]
    credentials: tuple[Credential, ...]
    customers: tuple[Customer, ...]


def credential_entry(row: CredentialRow) -> Credential:
    """Return the part of a credential's record that instances need."""
    return Credential(
        row.credential_id,
        row.digest,
        row.customer,
        row.next_customer,
        row.moved_at_ms,
        row.from_ms,
        row.ends_ms,
        REVOKED if row.revoked else 0,
    )


def customer_entry(row: CustomerRow) -> Customer:
    """Return the part of a customer's record that instances need."""
    return Customer(row.number, row.plan, row.next_plan, row.change_at_ms)


def _encode_column(code: str, values: Iterable[float]) -> bytes:
    return array(code, values).tobytes()


def build_snapshot(state: RegistryState, chain: int) -> Snapshot:
    """Build a snapshot of the registry's state."""
    rows, customers = list(state.credentials.values()), state.customers_by_number
    names, index = build_columns(row.credential_id for row in rows)
    columns = Columns(
        names,
        index,
        b"".join(row.digest for row in rows),
        _encode_column("I", (row.customer for row in rows)),
        _encode_column("I", (row.next_customer for row in rows)),
        _encode_column("d", (row.moved_at_ms for row in rows)),
        _encode_column("d", (row.from_ms for row in rows)),
        _encode_column("d", (row.ends_ms for row in rows)),
        bytes(REVOKED if row.revoked else 0 for row in rows),
        _encode_column("I", (row.plan for row in customers)),
        _encode_column("I", (row.next_plan for row in customers)),
        _encode_column("d", (row.change_at_ms for row in customers)),
    )
    return Snapshot(state.epoch, state.version, chain, tuple(state.plans), columns)


class BadTables(ValueError):
    """A snapshot or delta whose parts are inconsistent."""


class Tables:
    """The last snapshot applied and the rows changed since. A new snapshot needs a new object."""

    def __init__(self, snapshot: Snapshot) -> None:
        """BadTables where the columns' lengths are inconsistent."""
        self.epoch, self.version, self.chain = snapshot.epoch, snapshot.version, snapshot.chain
        self.plans = list(snapshot.plans)
        columns = snapshot.columns
        try:
            self.keys = KeyTable(columns.names, columns.index)
            self.digests = columns.digests
            self.customers, self.next_customers = (
                column_view(columns.customers, "I"),
                column_view(columns.next_customers, "I"),
            )
            self.moved_at, self.from_ms = (
                column_view(columns.moved_at, "d"),
                column_view(columns.from_ms, "d"),
            )
            self.ends_ms, self.flags = column_view(columns.ends_ms, "d"), columns.flags
            self.plan, self.next_plan = (
                column_view(columns.customer_plans, "I"),
                column_view(columns.customer_next, "I"),
            )
            self.change_at = column_view(columns.customer_change, "d")
        except ValueError as error:
            raise BadTables(f"columns: {error}") from None
        rows, customers = len(self.keys), len(self.plan)
        lengths = [
            len(values)
            for values in (
                self.customers,
                self.next_customers,
                self.moved_at,
                self.from_ms,
                self.ends_ms,
                self.flags,
            )
        ]
        if (
            lengths != [rows] * 6
            or len(self.digests) != 16 * rows
            or not (len(self.next_plan) == len(self.change_at) == customers)
        ):
            raise BadTables("columns of different lengths")
        self._changed_credentials: dict[int, Credential] = {}
        self._changed_customers: dict[int, Customer] = {}

    def apply(self, delta: Delta) -> None:
        """Apply a delta that starts at this version or earlier and ends at a later one.

        A delta has complete rows, so applying rows again that are held already is harmless. BadTables where
        it does not follow on from this version or is inconsistent; the tables are then unchanged.
        """
        new_plans = delta.plans[len(self.plans) - delta.plans_before :]
        if (
            delta.epoch != self.epoch
            or not delta.after <= self.version < delta.version
            or not 0 <= len(self.plans) - delta.plans_before <= len(delta.plans)
        ):
            raise BadTables(
                f"a delta after {delta.epoch}.{delta.after} does not follow on {self.epoch}.{self.version}"
            )
        plan_count = len(self.plans) + len(new_plans)
        if any(max(row.plan, row.next_plan) >= plan_count for row in delta.customers):
            raise BadTables("a customer on an unknown plan")
        self.plans += new_plans
        self._changed_credentials |= {row.credential_id: row for row in delta.credentials}
        self._changed_customers |= {row.number: row for row in delta.customers}
        self.version, self.chain = delta.version, delta.chain

    def credential(self, credential_id: int) -> Credential | None:
        """Return a credential by its id."""
        if self._changed_credentials and (row := self._changed_credentials.get(credential_id)) is not None:
            return row
        index = self.keys.find(credential_id)
        if index < 0:
            return None
        return Credential(
            credential_id,
            self.digests[16 * index : 16 * index + 16],
            self.customers[index],
            self.next_customers[index],
            self.moved_at[index],
            self.from_ms[index],
            self.ends_ms[index],
            self.flags[index],
        )

    def customer(self, number: int) -> Customer | None:
        """Return a customer by its number."""
        if self._changed_customers and (row := self._changed_customers.get(number)) is not None:
            return row
        index = number - 1
        if not 0 <= index < len(self.plan):
            return None
        return Customer(number, self.plan[index], self.next_plan[index], self.change_at[index])

    @property
    def overlay_rows(self) -> int:
        """The number of rows that changed since the snapshot."""
        return len(self._changed_credentials) + len(self._changed_customers)

    @property
    def rows(self) -> int:
        """The number of credentials in the snapshot. Not `__len__`: empty tables must not be falsy."""
        return len(self.keys)
