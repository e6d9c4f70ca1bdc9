"""Decides what an instance does with what the registry sends. No I/O, no clock.

A delta is applied only where it follows on the version held; anything else means a fresh snapshot, never a
guess. Versions that go back within an epoch are refused: the registry was restored from an old backup, and
what is held is newer. Only a higher epoch, which an operator sets, is followed backward.
"""

from __future__ import annotations

from dataclasses import dataclass

from tamarindfold.identity.tables import BadTables, Delta, Snapshot, Tables
from tamarindfold.identity.wire import Body, Unchanged

BESIDE_PART = 0.1  # of the snapshot's rows: with more changed rows beside it, a fresh one is asked for
BESIDE_LEAST = 10_000


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask for what came after this version, -1: nothing is held; whole: for a snapshot all the same."""

    epoch: int
    after: int
    chain: int = 0
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Applied:
    """Something new is in force: to be saved where `whole`."""

    version: int
    whole: bool


@dataclass(frozen=True, slots=True)
class Current:
    """Nothing new; what is held was good when this was made."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """What came is not used, and why."""

    reason: str
    went_back: bool = False


Result = Applied | Current | Rejected


class Follower:
    """Holds the tables of one instance."""

    def __init__(self) -> None:
        self.tables: Tables | None = None
        self.heard_ms = 0.0  # when the registry made the last word that was taken
        self.want_snapshot = False

    def ask(self) -> Ask:
        """What to ask the registry for next."""
        held = self.tables
        return Ask(0, -1) if held is None else Ask(held.epoch, held.version, held.chain, self.want_snapshot)

    def stale_ms(self, now_ms: float) -> float:
        """How old what is held may be."""
        return max(0.0, now_ms - self.heard_ms)

    def take(self, body: Body, made_at_ms: float) -> Result:
        """An update that was checked for its signature."""
        match body:
            case Snapshot():
                result = self._snapshot(body)
            case Delta():
                result = self._delta(body)
            case Unchanged():
                result = self._unchanged(body)
        if not isinstance(result, Rejected):
            self.heard_ms = max(self.heard_ms, made_at_ms)
        return result

    def _older(self, epoch: int, version: int) -> bool:
        held = self.tables
        return held is not None and (epoch, version) < (held.epoch, held.version)

    def _snapshot(self, body: Snapshot) -> Result:
        if self._older(body.epoch, body.version):
            self.want_snapshot = False
            return Rejected(f"snapshot {body.epoch}.{body.version} is older than what is held", True)
        try:
            self.tables = Tables(body)  # made whole before it takes the place of the old one
        except BadTables as error:
            self.want_snapshot = True
            return Rejected(str(error))
        self.want_snapshot = False
        return Applied(body.version, True)

    def _delta(self, body: Delta) -> Result:
        if self.tables is None:
            self.want_snapshot = True
            return Rejected("a delta, and nothing is held that it could follow on")
        if body.epoch == self.tables.epoch and body.version <= self.tables.version:
            return Current()  # crossed with an answer on the other connection
        try:
            self.tables.apply(body)
        except BadTables as error:
            self.want_snapshot = True
            return Rejected(str(error))
        if self.tables.beside > max(BESIDE_LEAST, BESIDE_PART * self.tables.rows):
            self.want_snapshot = True
        return Applied(body.version, False)

    def _unchanged(self, body: Unchanged) -> Result:
        held = self.tables
        if body.other_past:
            return Rejected(
                f"the registry at {body.epoch}.{body.version} has another past than what is held", True
            )
        if held is None or (body.epoch, body.version) > (held.epoch, held.version):
            self.want_snapshot = True
            return Rejected("the registry is further on than what is held")
        if (body.epoch, body.version) < (held.epoch, held.version):
            return Rejected(f"the registry is at {body.epoch}.{body.version}, behind what is held", True)
        return Current()
