"""The registry's log in SQLite: append-only, each entry checked before its commit and chained to the last.

One transaction a commit, in WAL mode with full synchronisation: after a crash at any moment the log ends with
the last commit that was told, or with the one in hand, whole.
"""

from __future__ import annotations

import hashlib
import sqlite3
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import msgspec

from tamarindfold.identity.history import History
from tamarindfold.identity.model import AnyChange
from tamarindfold.identity.state import Refused

SCHEMA = """
BEGIN IMMEDIATE;
CREATE TABLE IF NOT EXISTS log (
    version INTEGER PRIMARY KEY, at_ms REAL NOT NULL, body BLOB NOT NULL, chain BLOB NOT NULL) STRICT;
CREATE TABLE IF NOT EXISTS use (
    credential TEXT NOT NULL, network TEXT NOT NULL, first_ms REAL NOT NULL, last_ms REAL NOT NULL,
    requests INTEGER NOT NULL, PRIMARY KEY (credential, network)) STRICT;
CREATE TRIGGER IF NOT EXISTS log_stays BEFORE UPDATE ON log BEGIN SELECT RAISE(ABORT, 'append-only'); END;
CREATE TRIGGER IF NOT EXISTS log_keeps BEFORE DELETE ON log BEGIN SELECT RAISE(ABORT, 'append-only'); END;
PRAGMA application_id = 1952869169;
COMMIT;
"""
APPLICATION = 1952869169  # "tfk1": marks the file as ours
BUSY_S = 10.0


class StoreError(Exception):
    """A store that can't be used: the file and the reason."""


def _chain(before: bytes, version: int, at_ms: float, body: bytes) -> bytes:
    return hashlib.blake2b(before + f"{version}:{at_ms!r}:".encode() + body, digest_size=16).digest()


def _mark(chain: bytes) -> int:
    """What followers keep of the chain: by it they see whether a store's past is the one they know."""
    return int.from_bytes(chain[:8], "big")


class Store:
    """The log, and the state it folds to. One writer at a time; others wait."""

    def __init__(
        self, path: Path, create: bool = False, step: Callable[[str], None] = lambda _: None
    ) -> None:
        """step is called at each point of a commit: a test ends the process there."""
        self.path, self.step = path, step
        if not create and not path.exists():
            raise StoreError(f"{path}: no such store")
        try:
            self.db = sqlite3.connect(path, timeout=BUSY_S, isolation_level=None)
            (found,) = self.db.execute("PRAGMA application_id").fetchone()
            (tables,) = self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()
            if found != APPLICATION and (tables or not create):
                raise StoreError(f"{path}: not a registry's store")
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            if found != APPLICATION:
                self.db.executescript(SCHEMA)
            self.history, self.last_chain = History(), b""
            self.refresh()
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        self.db.close()

    def refresh(self) -> bool:
        """Take in what others committed; whether there was any. StoreError where the log is broken."""
        before = self.history.state.version
        try:
            for version, at_ms, body, chain in self.db.execute(
                "SELECT version, at_ms, body, chain FROM log WHERE version > ? ORDER BY version", (before,)
            ):
                expected = _chain(self.last_chain, version, at_ms, body)
                if version != self.history.state.version + 1 or chain != expected:
                    raise StoreError(f"{self.path}: the log is broken at version {version}")
                self.history.extend(msgspec.msgpack.decode(body, type=AnyChange), at_ms, _mark(chain))
                self.last_chain = chain
        except (sqlite3.Error, msgspec.MsgspecError, Refused) as error:
            raise StoreError(f"{self.path}: {error}") from None
        return self.history.state.version > before

    def commit(self, changes: Sequence[AnyChange], at_ms: float) -> int:
        """Append changes, all or none; the new version. Refused where one does not fit."""
        return self.commit_log([(change, at_ms) for change in changes])

    def commit_log(self, entries: Sequence[tuple[AnyChange, float]]) -> int:
        """Append changes that were made at these times, all or none."""
        step = self.step
        step("before")
        self.db.execute("BEGIN IMMEDIATE")
        try:
            step("begun")
            self.refresh()
            version, chain = self.history.state.version, self.last_chain
            trial = False
            try:
                for change, at_ms in entries:
                    trial = True
                    version += 1
                    body = msgspec.msgpack.encode(change)
                    chain = _chain(chain, version, at_ms, body)
                    self.history.extend(change, at_ms, _mark(chain))
                    self.db.execute("INSERT INTO log VALUES (?, ?, ?, ?)", (version, at_ms, body, chain))
                    step("inserted")
                self.db.execute("COMMIT")
                step("committed")
            except BaseException:
                if trial:  # the state in memory ran ahead of the log: fold it anew
                    self.history, self.last_chain = History(), b""
                raise
            self.last_chain = chain
            return version
        except BaseException:
            if self.db.in_transaction:
                self.db.execute("ROLLBACK")
            self.refresh()
            raise

    def log(self) -> Iterator[tuple[int, float, AnyChange]]:
        """All entries: version, when, what."""
        for version, at_ms, body in self.db.execute("SELECT version, at_ms, body FROM log ORDER BY version"):
            yield version, at_ms, msgspec.msgpack.decode(body, type=AnyChange)

    # ---- use, for the audit

    def note_use(self, uses: Sequence[tuple[str, str, float, float, int]]) -> None:
        """Add what instances saw: credential, network, first, last, requests."""
        with self.db:
            self.db.executemany(
                "INSERT INTO use VALUES (?, ?, ?, ?, ?) ON CONFLICT (credential, network) DO UPDATE SET "
                "first_ms = min(first_ms, excluded.first_ms), last_ms = max(last_ms, excluded.last_ms), "
                "requests = requests + excluded.requests",
                uses,
            )

    def uses(self) -> list[tuple[str, str, float, float, int]]:
        """All that was noted."""
        return list(self.db.execute("SELECT * FROM use ORDER BY credential, network"))
