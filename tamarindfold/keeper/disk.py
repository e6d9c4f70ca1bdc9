"""A keeper's durable storage: one append-only file of frames, each holding one Save record.

A record is synced to disk before the keeper sends any message that relies on it.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from tamarindfold.agreement.consensus import DurableState, Save
from tamarindfold.agreement.log import Entry
from tamarindfold.agreement.state import State, decode, encode
from tamarindfold.ds.durable import decode_frames, encode_frame, replace_file

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Save)


class DiskWriteError(OSError):
    """A record could not be made durable: no message that relies on it may be sent."""


class LogFile:
    """The log file of one keeper, opened for appending by `load`."""

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Create the folder if necessary; OSError if that fails.

        `max_bytes` is the size beyond which the next write compacts the file into one snapshot.
        """
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.max_bytes = folder / "keeper.log", max_bytes
        self.descriptor = -1
        self.size = 0
        self.saves = self.compactions = 0

    def load(self) -> tuple[DurableState, int]:
        """Read the file, truncate it after its last valid record, and open it for appending.

        Returns the recovered state and the number of bytes that were cut off.
        """
        data = self.path.read_bytes() if self.path.exists() else b""
        disk, valid_bytes = DurableState(entries=[]), 0
        state: State | None = None
        entries: list[Entry] = []
        for offset, body in decode_frames(data):
            valid_bytes = offset
            if body is None:
                break
            try:
                save = _decoder.decode(body)
                if save.state:
                    state, entries = decode(save.state), []
            except (ValueError, msgspec.MsgspecError):
                break
            entries += save.chosen
            disk.promised, disk.vote = save.promised, save.vote
            valid_bytes = offset + len(encode_frame(body))
        disk.state, disk.entries = state, entries
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        os.ftruncate(self.descriptor, valid_bytes)
        self.size = valid_bytes
        return disk, len(data) - valid_bytes

    def write(self, save: Save, state: State) -> None:
        """Append a record and sync it; DiskWriteError on failure.

        `state` is the result of all chosen entries, including those of `save`. It is written as a snapshot if
        the file has grown beyond `max_bytes`.
        """
        try:
            if self.size > self.max_bytes:
                self._compact(save, state)
            else:
                data = encode_frame(_encoder.encode(save))
                view = memoryview(data)
                while view:
                    view = view[os.write(self.descriptor, view) :]
                os.fdatasync(self.descriptor)
                self.size += len(data)
        except OSError as error:
            raise DiskWriteError(error.errno, error.strerror) from error
        self.saves += 1

    def _compact(self, save: Save, state: State) -> None:
        """Atomically replace the file by a new one that holds a single snapshot record."""
        snapshot = Save(save.promised, save.vote, (), encode(state))
        self.size = replace_file(self.path, [encode_frame(_encoder.encode(snapshot))])
        os.close(self.descriptor)
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_APPEND)
        self.compactions += 1

    def close(self) -> None:
        """Close the file; does nothing if it is not open."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
