"""A keeper's folder: one file of frames, each a Save, synced before anything that relies on it is said."""

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


class DiskFailed(OSError):
    """What was to be on disk is not: nothing that relies on it may be said."""


class LogFile:
    """The file, open for what is added."""

    def __init__(self, folder: Path, most_bytes: int) -> None:
        """OSError where the folder can't be used."""
        folder.mkdir(parents=True, exist_ok=True)
        self.path, self.most_bytes = folder / "keeper.log", most_bytes
        self.descriptor = -1
        self.size = 0
        self.saves = self.replaced = 0

    def load(self) -> tuple[DurableState, int]:
        """What is there, and how many bytes at its end are no whole frame; those are cut off."""
        data = self.path.read_bytes() if self.path.exists() else b""
        disk, good = DurableState(entries=[]), 0
        state: State | None = None
        entries: list[Entry] = []
        for offset, body in decode_frames(data):
            good = offset
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
            good = offset + len(encode_frame(body))
        disk.state, disk.entries = state, entries
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        os.ftruncate(self.descriptor, good)
        self.size = good
        return disk, len(data) - good

    def write(self, save: Save, state: State) -> None:
        """Bring it to the disk; state: all that is chosen by now. DiskFailed where that can't be done."""
        try:
            if self.size > self.most_bytes:
                self._begin_anew(save, state)
            else:
                data = encode_frame(_encoder.encode(save))
                view = memoryview(data)
                while view:
                    view = view[os.write(self.descriptor, view) :]
                os.fdatasync(self.descriptor)
                self.size += len(data)
        except OSError as error:
            raise DiskFailed(error.errno, error.strerror) from error
        self.saves += 1

    def _begin_anew(self, save: Save, state: State) -> None:
        whole = Save(save.promised, save.vote, (), encode(state))
        self.size = replace_file(self.path, [encode_frame(_encoder.encode(whole))])
        os.close(self.descriptor)
        self.descriptor = os.open(self.path, os.O_RDWR | os.O_APPEND)
        self.replaced += 1

    def close(self) -> None:
        """Let go of the file."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
