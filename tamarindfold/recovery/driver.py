"""Writes an instance's snapshots and journals, and reads them at its start.

A journal entry is written, not synced, before what it tells leaves the process: a killed process loses none
of it. A machine that loses power may lose the last of it; appointments may then overlap for as long as that.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from pathlib import Path

import gevent

from tamarindfold.choice import Gateway
from tamarindfold.ds.durable import Replacement, replace
from tamarindfold.interface import CustomerSnapshot, StateRestored
from tamarindfold.recovery import format as files
from tamarindfold.recovery.rules import keeps, refusal, restore

SYNC_LOOK_MS = 5.0  # how often the disk is looked at
ROWS = 100  # customers in a slice of a snapshot


class Recorder:
    """One instance's memory on disk."""

    def __init__(
        self,
        folder: Path,
        instance: int,
        gateway: Gateway,
        max_age_ms: float,
        ahead_ms: float,
        clock: Callable[[], float],
        log: Callable[..., None],
        agreed: bool = False,
    ) -> None:
        """agreed: how many gateways there are is not this instance's own, and may differ after a restart."""
        self.agreed = agreed
        self.folder, self.instance, self.gateway = folder, instance, gateway
        self.max_age_ms, self.ahead_ms, self.clock, self.log = max_age_ms, ahead_ms, clock, log
        self.path = folder / f"recovery-{instance}.snap"
        self.generation = 0
        self.journal = -1  # file descriptor; -1: nothing can be promised to last
        self.batch = files.Entries()
        self.tracked: dict[int, None] = {}  # customers with something to remember
        self.counts = dict.fromkeys(
            ("snapshots", "failed", "entries", "journal_lost", "restored", "bytes"), 0
        )

    # ---- at the start

    def _configuration(self) -> bytes:
        return files.configuration(self.gateway.settings, not self.agreed)

    def _journals(self) -> list[tuple[int, Path]]:
        found = []
        for path in self.folder.glob(f"recovery-{self.instance}.*.journal"):
            number = path.name.split(".")[1]
            if number.isdecimal():
                found.append((int(number), path))
        return sorted(found)

    def load(self) -> StateRestored | None:
        """What an earlier life left, if it can be used; then a new journal. Never raises for a bad file."""
        now, journals = self.clock(), self._journals()
        restored: StateRestored | None = None
        self.generation = journals[-1][0] if journals else 0
        if self.path.exists():
            try:
                header, rows = files.read(self.path.read_bytes())
                why = refusal(
                    header, now, self._configuration(), self.instance, self.max_age_ms, self.ahead_ms
                )
            except (OSError, files.BadSnapshot) as error:
                why = str(error)
            if why:
                self.log("recovery.snapshot_refused", path=str(self.path), reason=why)
                self._set_aside([path for _, path in journals])
            else:
                self.generation = max(self.generation, header.generation)
                later = [path.read_bytes() for number, path in journals if number >= header.generation]
                entries, torn = files.read_journals(later)
                plans = [plan.name for plan in self.gateway.settings.plans]
                restored = restore(header, rows, entries, plans, now)
                if self.agreed:  # as many as there are now; what is held beyond that part is let go
                    for row in restored.customers:
                        row.width = self.gateway.settings.gateways
                self.tracked = dict.fromkeys(row.customer for row in restored.customers)
                self.counts["restored"] = len(restored.customers)
                self.log(
                    "recovery.restored",
                    customers=len(restored.customers),
                    promised=len(entries.promised),
                    age_ms=round(now - header.taken_at_ms),
                    last=header.last,
                    journal_torn=torn,
                )
        self._new_journal()
        if restored is None and self.journal >= 0:
            try:  # a journal is worth nothing without the snapshot that it goes on from, be that empty
                replace(self.path, [self._header(False), files.end(0)])
            except OSError as error:
                self.log("recovery.snapshot_failed", reason=str(error))
        return restored

    def _header(self, last: bool) -> bytes:
        settings = self.gateway.settings
        return files.header(
            files.Header(
                self._configuration(),
                self.instance,
                self.generation,
                self.clock(),
                last,
                tuple(plan.name for plan in settings.plans),
                tuple(self.gateway.unit_ms),
            )
        )

    def _set_aside(self, journals: list[Path]) -> None:
        """What was refused once must not come back later with newer journals on top."""
        try:
            os.replace(self.path, self.path.with_suffix(".refused"))
            for path in journals:
                path.unlink(missing_ok=True)
        except OSError as error:
            self.log("recovery.not_set_aside", path=str(self.path), reason=str(error))

    # ---- the journal

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
            self._journal_lost(error)

    def _journal_lost(self, error: OSError) -> None:
        """A snapshot without all that came after it would give a spent ceiling back: better none."""
        self.counts["journal_lost"] += 1
        self.log("recovery.journal_lost", reason=str(error))
        if self.journal >= 0:
            os.close(self.journal)
            self.journal = -1
        for path in (self.path, *(path for _, path in self._journals())):
            try:
                path.unlink(missing_ok=True)
            except OSError as second:
                self.log("recovery.not_removed", path=str(path), reason=str(second))

    def refused(self, customer: int, plan: int, width: int, back_at_ms: float) -> None:
        """A client was told when to come back."""
        self.batch.promised.append((customer, plan, width, back_at_ms))
        self.tracked[customer] = None

    def spent(self, customer: int, plan: int, width: int, units: float) -> None:
        """A ceiling was drawn from."""
        self.batch.spent.append((customer, plan, width, units))
        self.tracked[customer] = None

    def flush(self) -> None:
        """Write what was noted; called before any of it leaves the process."""
        batch = self.batch
        if not batch.promised and not batch.spent:
            return
        self.batch = files.Entries()
        if self.journal < 0:
            return
        batch.at_ms = self.clock()
        data = files.journal(batch)
        self.counts["entries"] += len(batch.promised) + len(batch.spent)
        try:
            while data:
                data = data[os.write(self.journal, data) :]
        except OSError as error:
            self._journal_lost(error)

    # ---- snapshots

    def snapshot(self, last: bool = False) -> Iterator[float | None]:
        """Write a snapshot, a slice for each step; the old one stands until this is whole."""
        settings, gateway = self.gateway.settings, self.gateway
        old_journals = self._journals()
        self._new_journal()
        if self.journal < 0:
            return
        walking, self.tracked = self.tracked, {}
        made, syncing = None, None
        try:
            made = Replacement(self.path)
            made.write(self._header(last))
            count = 0
            while walking:
                rows: list[CustomerSnapshot] = []
                for _ in range(min(ROWS, len(walking))):
                    number, _ = walking.popitem()
                    row = gateway.customer_snapshot(number)
                    if row is not None and keeps(row, settings, self.clock()):
                        rows.append(row)
                        self.tracked[number] = None
                if rows:
                    made.write(files.customers(rows))
                    count += len(rows)
                yield None
            made.write(files.end(count))
            syncing = gevent.get_hub().threadpool.spawn(self._put, made)  # the disk may take its time
            while not syncing.ready():
                yield SYNC_LOOK_MS
            syncing.get()
        except BaseException as error:
            self.tracked |= walking
            if syncing is not None and not syncing.ready():
                syncing.wait()  # else it could put the file of the next snapshot in place, half written
            elif made is not None:
                made.drop()
            self.counts["failed"] += 1
            if not isinstance(error, OSError):
                raise
            self.log("recovery.snapshot_failed", reason=str(error))
            return
        self.counts["snapshots"] += 1
        self.counts["bytes"] = made.size
        for _, path in old_journals:
            path.unlink(missing_ok=True)

    @staticmethod
    def _put(made: Replacement) -> None:
        made.sync()
        made.done()

    def close(self) -> None:
        """The last snapshot: nothing is promised after it."""
        self.flush()
        for pause_ms in self.snapshot(last=True):
            gevent.sleep((pause_ms or 0.0) / 1000)
        if self.journal >= 0:
            os.close(self.journal)
            self.journal = -1
