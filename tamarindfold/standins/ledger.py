"""Timestamped record of what a stand-in received and did, which a rehearsal's checks evaluate afterwards."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import msgspec

Entry = dict[str, Any]


class Ledger:
    """Entries in memory or, if a path is given, in a file with one JSON object per line.

    Each entry is written unbuffered, so that none is lost if the process is killed.
    """

    def __init__(self, path: Path | None = None) -> None:
        self.entries: list[Entry] = []
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if path is not None else -1

    def record(self, at_ms: float, what: str, **fields: Any) -> None:
        """Add an entry; its key `t` is the clock's time in milliseconds, `what` its kind."""
        entry = {"t": round(at_ms, 3), "what": what} | fields
        if self._file >= 0:
            os.write(self._file, msgspec.json.encode(entry) + b"\n")
        else:
            self.entries.append(entry)

    def entries_of_kind(self, what: str) -> list[Entry]:
        """The entries of one kind; only for a ledger in memory."""
        return [entry for entry in self.entries if entry["what"] == what]


def read_entries(path: Path) -> list[Entry]:
    """Read the entries of a file; a last line that is incomplete because of a kill is skipped."""
    lines = path.read_bytes().split(b"\n") if path.exists() else []
    entries: list[Entry] = []
    for number, line in enumerate(lines):
        try:
            if line:
                entries.append(msgspec.json.decode(line))
        except msgspec.DecodeError:
            if number < len(lines) - 1:
                raise
    return entries
