"""Decides which of the registry's updates an instance applies, and what to request next. No I/O, no clock.

A delta is applied only where it follows on from the version held; otherwise a new snapshot is requested.
Within an epoch, updates to an older version are rejected: the registry was restored from an old backup, and
the data held are newer. Only a higher epoch, which an operator sets, may lead back to an older version.
"""

from __future__ import annotations

from dataclasses import dataclass

from tamarindfold.identity.tables import BadTables, Delta, Snapshot, Tables
from tamarindfold.identity.wire import Body, Unchanged

# A new snapshot is requested once the overlay of changed rows is larger than both limits.
MAX_OVERLAY_FRACTION = 0.1  # of the snapshot's credentials
MAX_OVERLAY_ROWS = 10_000


@dataclass(frozen=True, slots=True)
class UpdateRequest:
    """A request for the changes after a version; after -1: the follower holds nothing.

    chain: the hash chain's prefix at that version. want_snapshot: request a snapshot even where a delta
    would do.
    """

    epoch: int
    after: int
    chain: int = 0
    want_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class Applied:
    """The update was applied; it came as a snapshot or as a delta."""

    version: int
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class UpToDate:
    """The update holds nothing new and confirms that the data held were current when it was made."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The update was not applied; rolled_back: the registry is behind the data held or has diverged."""

    reason: str
    rolled_back: bool = False


Result = Applied | UpToDate | Rejected


class Follower:
    """Holds one instance's tables and keeps them up to date."""

    def __init__(self) -> None:
        self.tables: Tables | None = None
        self.last_update_made_ms = 0.0  # registry's time of the last update that was not rejected
        self.want_snapshot = False

    def next_request(self) -> UpdateRequest:
        """Return what to request from the registry next."""
        tables = self.tables
        return (
            UpdateRequest(0, -1)
            if tables is None
            else UpdateRequest(tables.epoch, tables.version, tables.chain, self.want_snapshot)
        )

    def stale_ms(self, now_ms: float) -> float:
        """Return the time since the data held were last known to be current."""
        return max(0.0, now_ms - self.last_update_made_ms)

    def apply_update(self, body: Body, made_at_ms: float) -> Result:
        """Apply an update whose signature has been verified."""
        match body:
            case Snapshot():
                result = self._apply_snapshot(body)
            case Delta():
                result = self._apply_delta(body)
            case Unchanged():
                result = self._handle_unchanged(body)
        if not isinstance(result, Rejected):
            self.last_update_made_ms = max(self.last_update_made_ms, made_at_ms)
        return result

    def _is_older(self, epoch: int, version: int) -> bool:
        tables = self.tables
        return tables is not None and (epoch, version) < (tables.epoch, tables.version)

    def _apply_snapshot(self, body: Snapshot) -> Result:
        if self._is_older(body.epoch, body.version):
            self.want_snapshot = False
            return Rejected(f"snapshot {body.epoch}.{body.version} is older than the data held", True)
        try:
            self.tables = Tables(body)  # validated as a whole before it replaces the old tables
        except BadTables as error:
            self.want_snapshot = True
            return Rejected(str(error))
        self.want_snapshot = False
        return Applied(body.version, True)

    def _apply_delta(self, body: Delta) -> Result:
        if self.tables is None:
            self.want_snapshot = True
            return Rejected("a delta was received before any snapshot")
        if body.epoch == self.tables.epoch and body.version <= self.tables.version:
            return UpToDate()  # a response on the other connection was faster
        try:
            self.tables.apply(body)
        except BadTables as error:
            self.want_snapshot = True
            return Rejected(str(error))
        if self.tables.overlay_rows > max(MAX_OVERLAY_ROWS, MAX_OVERLAY_FRACTION * self.tables.rows):
            self.want_snapshot = True
        return Applied(body.version, False)

    def _handle_unchanged(self, body: Unchanged) -> Result:
        tables = self.tables
        if body.diverged:
            return Rejected(
                f"the registry's history at {body.epoch}.{body.version} diverges from the data held", True
            )
        if tables is None or (body.epoch, body.version) > (tables.epoch, tables.version):
            self.want_snapshot = True
            return Rejected("the registry reported no change but is ahead of the data held")
        if (body.epoch, body.version) < (tables.epoch, tables.version):
            return Rejected(f"the registry is at {body.epoch}.{body.version}, behind the data held", True)
        return UpToDate()
