"""The registry's append-only log in SQLite. Entries are validated before the commit and form a hash chain.

Each commit is one transaction, in WAL mode with full synchronisation: after a crash at any moment the log
ends with the last commit that was acknowledged, or with the complete commit that was in progress.
"""

from __future__ import annotations

import hashlib
import sqlite3
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import msgspec

from tamarindfold.identity.history import History
from tamarindfold.identity.model import AnyChange
from tamarindfold.identity.state import InvalidChange

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
APPLICATION_ID = 1952869169  # "tfk1", which identifies the file as a registry's store
BUSY_TIMEOUT_S = 10.0


class StoreError(Exception):
    """A store that can't be used; the message names the file and the reason."""


def _next_chain(previous: bytes, version: int, at_ms: float, body: bytes) -> bytes:
    return hashlib.blake2b(previous + f"{version}:{at_ms!r}:".encode() + body, digest_size=16).digest()


def _chain_prefix(chain: bytes) -> int:
    """Return the part of the chain that followers keep, to detect a store with a diverged history."""
    return int.from_bytes(chain[:8], "big")


class Store:
    """The log and the state it results in. Writers take turns: one at a time, the others wait."""

    def __init__(
        self, path: Path, create: bool = False, on_step: Callable[[str], None] = lambda _: None
    ) -> None:
        """StoreError where the file can't be used.

        on_step is called at each step of a commit; tests kill the process there.
        """
        self.path, self.on_step = path, on_step
        if not create and not path.exists():
            raise StoreError(f"{path}: no such store")
        try:
            self.db = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None)
            (found,) = self.db.execute("PRAGMA application_id").fetchone()
            (tables,) = self.db.execute("SELECT count(*) FROM sqlite_master").fetchone()
            if found != APPLICATION_ID and (tables or not create):
                raise StoreError(f"{path}: not the store of a registry")
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            if found != APPLICATION_ID:
                self.db.executescript(SCHEMA)
            self.history, self.last_chain = History(), b""
            self.refresh()
        except sqlite3.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        """Close the file."""
        self.db.close()

    def refresh(self) -> bool:
        """Apply what other processes committed; return whether there was anything.

        StoreError where the log is broken.
        """
        before = self.history.state.version
        try:
            for version, at_ms, body, chain in self.db.execute(
                "SELECT version, at_ms, body, chain FROM log WHERE version > ? ORDER BY version", (before,)
            ):
                expected = _next_chain(self.last_chain, version, at_ms, body)
                if version != self.history.state.version + 1 or chain != expected:
                    raise StoreError(f"{self.path}: the log is broken at version {version}")
                self.history.extend(msgspec.msgpack.decode(body, type=AnyChange), at_ms, _chain_prefix(chain))
                self.last_chain = chain
        except (sqlite3.Error, msgspec.MsgspecError, InvalidChange) as error:
            raise StoreError(f"{self.path}: {error}") from None
        return self.history.state.version > before

    def commit(self, changes: Sequence[AnyChange], at_ms: float) -> int:
        """Append all changes, or none; return the new version. InvalidChange where one conflicts."""
        return self.commit_entries([(change, at_ms) for change in changes])

    def commit_entries(self, entries: Sequence[tuple[AnyChange, float]]) -> int:
        """Append all changes, or none, each with the time at which it was made; return the new version."""
        on_step = self.on_step
        on_step("before")
        self.db.execute("BEGIN IMMEDIATE")
        try:
            on_step("begun")
            self.refresh()
            version, chain = self.history.state.version, self.last_chain
            state_modified = False
            try:
                for change, at_ms in entries:
                    state_modified = True
                    version += 1
                    body = msgspec.msgpack.encode(change)
                    chain = _next_chain(chain, version, at_ms, body)
                    self.history.extend(change, at_ms, _chain_prefix(chain))
                    self.db.execute("INSERT INTO log VALUES (?, ?, ?, ?)", (version, at_ms, body, chain))
                    on_step("inserted")
                self.db.execute("COMMIT")
                on_step("committed")
            except BaseException:
                if state_modified:  # the state in memory may be ahead of the log: rebuild it
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
        """Yield version, time and change of each entry."""
        for version, at_ms, body in self.db.execute("SELECT version, at_ms, body FROM log ORDER BY version"):
            yield version, at_ms, msgspec.msgpack.decode(body, type=AnyChange)

    # ---- use, for the audit

    def add_uses(self, uses: Sequence[tuple[str, str, float, float, int]]) -> None:
        """Add uses that instances report: credential, network, first and last time, number of requests."""
        with self.db:
            self.db.executemany(
                "INSERT INTO use VALUES (?, ?, ?, ?, ?) ON CONFLICT (credential, network) DO UPDATE SET "
                "first_ms = min(first_ms, excluded.first_ms), last_ms = max(last_ms, excluded.last_ms), "
                "requests = requests + excluded.requests",
                uses,
            )

    def uses(self) -> list[tuple[str, str, float, float, int]]:
        """Return all uses that were recorded."""
        return list(self.db.execute("SELECT * FROM use ORDER BY credential, network"))
