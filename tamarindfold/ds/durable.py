"""Files that a crash leaves whole: framed and checksummed records, and replacement in one step.

A frame is its length and the CRC-32 of its data, each 4 bytes little-endian, then the data. A file of frames
is good up to the last whole one: what a killed process was writing is found by its length or its checksum.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from zlib import crc32

HEAD_BYTES = 8


def frame(data: bytes) -> bytes:
    """Data as a frame."""
    return len(data).to_bytes(4, "little") + crc32(data).to_bytes(4, "little") + data


def frames(data: bytes, most_bytes: int = 1 << 30) -> Iterator[tuple[int, bytes | None]]:
    """(offset, data) of each whole frame in order; at last (offset, None) where what follows is none."""
    at = 0
    while at < len(data):
        length = int.from_bytes(data[at : at + 4], "little")
        body = data[at + HEAD_BYTES : at + HEAD_BYTES + length]
        whole = len(data) >= at + HEAD_BYTES and length <= most_bytes and len(body) == length
        if not whole or crc32(body) != int.from_bytes(data[at + 4 : at + 8], "little"):
            yield at, None
            return
        yield at, body
        at += HEAD_BYTES + length


class Replacement:
    """A file written beside its target, which it replaces at once or not at all."""

    def __init__(self, target: Path) -> None:
        """OSError where nothing can be written there."""
        self.target, self.beside = target, target.with_suffix(target.suffix + ".new")
        self.file = open(self.beside, "wb", buffering=0)  # noqa: SIM115 - closed by done or drop
        self.size = 0

    def write(self, data: bytes) -> None:
        """Some more of it; OSError where the disk is full."""
        view = memoryview(data)
        while view:
            view = view[self.file.write(view) :]
        self.size += len(data)

    def sync(self) -> None:
        """Bring what was written to the disk; may take long, so callers do it off their loop."""
        os.fsync(self.file.fileno())

    def done(self) -> None:
        """Take the target's place."""
        self.file.close()
        os.replace(self.beside, self.target)
        folder = os.open(self.target.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def drop(self) -> None:
        """Give up: the target stays as it was."""
        self.file.close()
        self.beside.unlink(missing_ok=True)


def replace(target: Path, parts: Iterable[bytes]) -> int:
    """Write a whole file at once or not at all; its size. OSError where it can't be."""
    made = Replacement(target)
    try:
        for part in parts:
            made.write(part)
        made.sync()
    except BaseException:
        made.drop()
        raise
    made.done()
    return made.size
