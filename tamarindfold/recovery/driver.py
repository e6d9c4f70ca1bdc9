"""Writes an instance's snapshots and journals, and reads them when it starts.

A journal entry is written, but not synced, before the decision that it records leaves the process: if the
process is killed, no entry is lost. A power failure may lose the latest entries; new retry times may then
overlap with those in the lost entries.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from pathlib import Path

import gevent

from tamarindfold.choice import Gateway
from tamarindfold.ds.durable import FileReplacement, replace_file
from tamarindfold.interface import CustomerSnapshot, StateRestored
from tamarindfold.recovery import format as snapshot_format
from tamarindfold.recovery.rules import is_worth_saving, merge_state, rejection_reason

SYNC_POLL_MS = 5.0
CUSTOMERS_PER_SLICE = 100


class Recorder:
    """Persists the recovery state of one instance."""

    def __init__(
        self,
        folder: Path,
        instance: int,
        gateway: Gateway,
        max_age_ms: float,
        ahead_ms: float,
        clock: Callable[[], float],
        log: Callable[..., None],
        managed: bool = False,
    ) -> None:
        """managed: the settings are agreed on, so the number of gateways may differ after a restart."""
        self.managed = managed
        self.folder, self.instance, self.gateway = folder, instance, gateway
        self.max_age_ms, self.ahead_ms, self.clock, self.log = max_age_ms, ahead_ms, clock, log
        self.path = folder / f"recovery-{instance}.snap"
        self.generation = 0
        self.journal = -1  # file descriptor; -1: no journal can be written
        self.pending = snapshot_format.JournalEntries()
        self.tracked: dict[int, None] = {}  # customers with state to save
        self.counts = dict.fromkeys(
            ("snapshots", "failed", "entries", "journal_lost", "restored", "bytes"), 0
        )

    # ---- start

    def _configuration_digest(self) -> bytes:
        return snapshot_format.configuration_digest(self.gateway.settings, not self.managed)

    def _journals(self) -> list[tuple[int, Path]]:
        found = []
        for path in self.folder.glob(f"recovery-{self.instance}.*.journal"):
            number = path.name.split(".")[1]
            if number.isdecimal():
                found.append((int(number), path))
        return sorted(found)

    def load(self) -> StateRestored | None:
        """Open a new journal; the state of an earlier incarnation, or None. Never raises for a bad file."""
        now, journals = self.clock(), self._journals()
        restored: StateRestored | None = None
        self.generation = journals[-1][0] if journals else 0
        if self.path.exists():
            try:
                header, rows = snapshot_format.decode_snapshot(self.path.read_bytes())
                reason = rejection_reason(
                    header, now, self._configuration_digest(), self.instance, self.max_age_ms, self.ahead_ms
                )
            except (OSError, snapshot_format.InvalidSnapshot) as error:
                reason = str(error)
            if reason:
                self.log("recovery.snapshot_refused", path=str(self.path), reason=reason)
                self._set_aside([path for _, path in journals])
            else:
                self.generation = max(self.generation, header.generation)
                journal_data = [path.read_bytes() for number, path in journals if number >= header.generation]
                entries, truncated = snapshot_format.decode_journals(journal_data)
                plans = [plan.name for plan in self.gateway.settings.plans]
                restored = merge_state(header, rows, entries, plans, now)
                if self.managed:  # use the current number of gateways; state above the new share is dropped
                    for row in restored.customers:
                        row.width = self.gateway.settings.gateways
                self.tracked = dict.fromkeys(row.customer for row in restored.customers)
                self.counts["restored"] = len(restored.customers)
                self.log(
                    "recovery.restored",
                    customers=len(restored.customers),
                    promised=len(entries.refusals),
                    age_ms=round(now - header.taken_at_ms),
                    last=header.last,
                    journal_torn=truncated,
                )
        self._new_journal()
        if restored is None and self.journal >= 0:
            try:  # a journal can only be read with the snapshot that it follows, so write an empty one
                replace_file(self.path, [self._encode_header(False), snapshot_format.encode_end(0)])
            except OSError as error:
                self.log("recovery.snapshot_failed", reason=str(error))
        return restored

    def _encode_header(self, last: bool) -> bytes:
        settings = self.gateway.settings
        return snapshot_format.encode_header(
            snapshot_format.Header(
                self._configuration_digest(),
                self.instance,
                self.generation,
                self.clock(),
                last,
                tuple(plan.name for plan in settings.plans),
                tuple(self.gateway.unit_ms),
            )
        )

    def _set_aside(self, journals: list[Path]) -> None:
        """Keep a rejected snapshot from being loaded later, then combined with newer journals."""
        try:
            os.replace(self.path, self.path.with_suffix(".refused"))
            for path in journals:
                path.unlink(missing_ok=True)
        except OSError as error:
            self.log("recovery.not_set_aside", path=str(self.path), reason=str(error))

    # ---- journal

    def _new_journal(self) -> None:
        self.generation += 1
        if self.journal >= 0:
            os.close(self.journal)
            self.journal = -1
        try:
            self.journal = os.open(
                self.folder / f"recovery-{self.instance}.{self.generation}.journal",
                os.O_WRONLY | os.O_CREAT | os.O_APPEND,
                0o600,
            )
        except OSError as error:
            self._discard_files(error)

    def _discard_files(self, error: OSError) -> None:
        """Remove all files: a snapshot without its complete journal would return spent units to a ceiling."""
        self.counts["journal_lost"] += 1
        self.log("recovery.journal_lost", reason=str(error))
        if self.journal >= 0:
            os.close(self.journal)
            self.journal = -1
        for path in (self.path, *(path for _, path in self._journals())):
            try:
                path.unlink(missing_ok=True)
            except OSError as unlink_error:
                self.log("recovery.not_removed", path=str(path), reason=str(unlink_error))

    def record_refusal(self, customer: int, plan: int, width: int, back_at_ms: float) -> None:
        """Record the time at which a refused client was told to retry."""
        self.pending.refusals.append((customer, plan, width, back_at_ms))
        self.tracked[customer] = None

    def record_spent_units(self, customer: int, plan: int, width: int, units: float) -> None:
        """Record units spent from a customer's ceiling."""
        self.pending.spent.append((customer, plan, width, units))
        self.tracked[customer] = None

    def flush(self) -> None:
        """Write the recorded entries; called before any of the decisions leaves the process."""
        entries = self.pending
        if not entries.refusals and not entries.spent:
            return
        self.pending = snapshot_format.JournalEntries()
        if self.journal < 0:
            return
        entries.at_ms = self.clock()
        data = snapshot_format.encode_journal(entries)
        self.counts["entries"] += len(entries.refusals) + len(entries.spent)
        try:
            while data:
                data = data[os.write(self.journal, data) :]
        except OSError as error:
            self._discard_files(error)

    # ---- snapshots

    def snapshot(self, last: bool = False) -> Iterator[float | None]:
        """Write a snapshot, one slice per step; the old one is replaced once the new one is complete."""
        settings, gateway = self.gateway.settings, self.gateway
        old_journals = self._journals()
        self._new_journal()
        if self.journal < 0:
            return
        remaining, self.tracked = self.tracked, {}
        replacement, sync = None, None
        try:
            replacement = FileReplacement(self.path)
            replacement.write(self._encode_header(last))
            count = 0
            while remaining:
                rows: list[CustomerSnapshot] = []
                for _ in range(min(CUSTOMERS_PER_SLICE, len(remaining))):
                    customer, _ = remaining.popitem()
                    row = gateway.customer_snapshot(customer)
                    if row is not None and is_worth_saving(row, settings, self.clock()):
                        rows.append(row)
                        self.tracked[customer] = None
                if rows:
                    replacement.write(snapshot_format.encode_customers(rows))
                    count += len(rows)
                yield None
            replacement.write(snapshot_format.encode_end(count))
            # fsync may block for long, so it runs in a thread
            sync = gevent.get_hub().threadpool.spawn(self._sync_and_commit, replacement)
            while not sync.ready():
                yield SYNC_POLL_MS
            sync.get()
        except BaseException as error:
            self.tracked |= remaining
            if sync is not None and not sync.ready():
                sync.wait()  # the thread could otherwise commit the unfinished file of the next snapshot
            elif replacement is not None:
                replacement.discard()
            self.counts["failed"] += 1
            if not isinstance(error, OSError):
                raise
            self.log("recovery.snapshot_failed", reason=str(error))
            return
        self.counts["snapshots"] += 1
        self.counts["bytes"] = replacement.size
        for _, path in old_journals:
            path.unlink(missing_ok=True)

    @staticmethod
    def _sync_and_commit(replacement: FileReplacement) -> None:
        replacement.sync()
        replacement.commit()

    def close(self) -> None:
        """Write the last snapshot; nothing may be recorded after it."""
        self.flush()
        for pause_ms in self.snapshot(last=True):
            gevent.sleep((pause_ms or 0.0) / 1000)
        if self.journal >= 0:
            os.close(self.journal)
            self.journal = -1
