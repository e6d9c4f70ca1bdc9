"""Records which rows changed in which version, and builds the update a follower needs. No I/O."""

from __future__ import annotations

from tamarindfold.identity.model import AnyChange
from tamarindfold.identity.state import RegistryState
from tamarindfold.identity.tables import Delta, Snapshot, build_snapshot, credential_entry, customer_entry
from tamarindfold.identity.wire import Body, Unchanged

# A delta with more rows than both limits is replaced by a snapshot.
MAX_DELTA_FRACTION = 0.05  # of all credentials
MAX_DELTA_ROWS = 1_000


class History:
    """The registry's state, with the rows that each version changed."""

    def __init__(self) -> None:
        self.state = RegistryState()
        self.changed_rows: list[tuple[int | None, int | None]] = []  # customer number, credential id
        self.plan_counts: list[int] = []  # number of plans after each version
        self.chains: list[int] = []  # prefix of the log's hash chain after each version
        self.epoch_start_version = 0  # no delta reaches back over a change of epoch
        self._snapshot: Snapshot | None = None

    def extend(self, change: AnyChange, at_ms: float, chain: int) -> None:
        """Apply the next entry of the log; InvalidChange where it conflicts with the state."""
        epoch = self.state.epoch
        self.changed_rows.append(self.state.apply(change, at_ms))
        self.plan_counts.append(len(self.state.plans))
        self.chains.append(chain)
        if self.state.epoch != epoch:
            self.epoch_start_version = self.state.version

    def _chain(self, version: int) -> int:
        return self.chains[version - 1] if version else 0

    def since(self, epoch: int, after: int, chain: int, want_snapshot: bool) -> Body:
        """Return what brings a follower up to date that holds version `after`; -1: it holds nothing.

        A follower whose version is newer than this log or whose chain differs has a diverged history: this
        store was restored from an old backup. It is notified of that and sent no data, since only an operator
        can decide that the restored store is authoritative (Adopt).
        """
        state = self.state
        if epoch > state.epoch or (
            epoch == state.epoch and after >= 0 and (after > state.version or self._chain(after) != chain)
        ):
            return Unchanged(state.epoch, state.version, True)
        if after < 0 or want_snapshot or epoch < state.epoch or after < self.epoch_start_version:
            return self.snapshot()
        if after == state.version:
            return Unchanged(state.epoch, state.version)
        changed = self.changed_rows[after:]
        credential_ids = dict.fromkeys(
            credential_id for _, credential_id in changed if credential_id is not None
        )
        numbers = dict.fromkeys(number for number, _ in changed if number is not None)
        if len(credential_ids) + len(numbers) > max(
            MAX_DELTA_ROWS, MAX_DELTA_FRACTION * len(state.credentials)
        ):
            return self.snapshot()  # a snapshot also resets the follower's overlay of changed rows
        plans_before = self.plan_counts[after - 1] if after else 0
        return Delta(
            state.epoch,
            after,
            state.version,
            self._chain(state.version),
            plans_before,
            tuple(state.plans[plans_before:]),
            tuple(
                credential_entry(state.credentials[state.credential_labels[credential_id]])
                for credential_id in credential_ids
            ),
            tuple(customer_entry(state.customers_by_number[number - 1]) for number in numbers),
        )

    def snapshot(self) -> Snapshot:
        """Return the snapshot of the current version; it is built once and cached."""
        if self._snapshot is None or (self._snapshot.epoch, self._snapshot.version) != (
            self.state.epoch,
            self.state.version,
        ):
            self._snapshot = build_snapshot(self.state, self._chain(self.state.version))
        return self._snapshot
