"""Crash-safe files: length-prefixed, checksummed frames, and atomic replacement of a whole file.

A frame is the length and the CRC-32 of its data, each 4 bytes little-endian, followed by the data. A file of
frames is valid up to its last complete frame: a frame that was being written when the process was killed is
detected by its length or its checksum.
"""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from zlib import crc32

FRAME_HEADER_BYTES = 8


def encode_frame(data: bytes) -> bytes:
    """Wrap data in a frame."""
    return len(data).to_bytes(4, "little") + crc32(data).to_bytes(4, "little") + data


def decode_frames(data: bytes, max_bytes: int = 1 << 30) -> Iterator[tuple[int, bytes | None]]:
    """Yield (offset, data) of each valid frame in order, then (offset, None) if invalid bytes follow."""
    offset = 0
    while offset < len(data):
        length = int.from_bytes(data[offset : offset + 4], "little")
        body = data[offset + FRAME_HEADER_BYTES : offset + FRAME_HEADER_BYTES + length]
        complete = len(data) >= offset + FRAME_HEADER_BYTES and length <= max_bytes and len(body) == length
        if not complete or crc32(body) != int.from_bytes(data[offset + 4 : offset + 8], "little"):
            yield offset, None
            return
        yield offset, body
        offset += FRAME_HEADER_BYTES + length


class FileReplacement:
    """A temporary file beside its target, which replaces the target atomically on commit."""

    def __init__(self, target: Path) -> None:
        """OSError if the temporary file cannot be created."""
        self.target, self.temporary = target, target.with_suffix(target.suffix + ".new")
        self.file = open(self.temporary, "wb", buffering=0)  # noqa: SIM115 - closed by commit or discard
        self.size = 0

    def write(self, data: bytes) -> None:
        """Append data; OSError if it cannot be written, for example on a full disk."""
        view = memoryview(data)
        while view:
            view = view[self.file.write(view) :]
        self.size += len(data)

    def sync(self) -> None:
        """Flush the data to disk. This may take long; event-loop callers run it in another thread."""
        os.fsync(self.file.fileno())

    def commit(self) -> None:
        """Replace the target and sync the directory."""
        self.file.close()
        os.replace(self.temporary, self.target)
        directory = os.open(self.target.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def discard(self) -> None:
        """Remove the temporary file; the target is left unchanged."""
        self.file.close()
        self.temporary.unlink(missing_ok=True)


def replace_file(target: Path, parts: Iterable[bytes]) -> int:
    """Replace a file atomically and return its size; OSError if that fails and the target is unchanged."""
    replacement = FileReplacement(target)
    try:
        for part in parts:
            replacement.write(part)
        replacement.sync()
    except BaseException:
        replacement.discard()
        raise
    replacement.commit()
    return replacement.size
