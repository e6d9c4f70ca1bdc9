"""An instance's saved copy of the registry: the envelope of a snapshot, then those of the deltas after it.

Each envelope is preceded by its length, so that a file truncated by a crash is usable up to its last complete
envelope.
"""

from __future__ import annotations

import os
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from tamarindfold.ds.durable import replace_file
from tamarindfold.identity.follower import Follower, Rejected
from tamarindfold.identity.wire import BadUpdate, decode_update

LENGTH_BYTES = 4


def load(path: Path, key: Ed25519PublicKey, follower: Follower) -> str:
    """Apply the file's updates to a follower up to the first fault.

    Returns a description of the fault; empty where there is none or no file.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return "" if isinstance(error, FileNotFoundError) else str(error)
    at = 0
    while at < len(data):
        length = int.from_bytes(data[at : at + LENGTH_BYTES], "little")
        envelope = data[at + LENGTH_BYTES : at + LENGTH_BYTES + length]
        if len(data) < at + LENGTH_BYTES or len(envelope) < length:
            return f"truncated at byte {at}"
        try:
            result = follower.apply_update(*decode_update(envelope, key))
        except BadUpdate as error:
            return f"byte {at}: {error}"
        if isinstance(result, Rejected):
            return f"byte {at}: {result.reason}"
        at += LENGTH_BYTES + length
    return ""


def save(path: Path, envelope: bytes, is_snapshot: bool) -> None:
    """Replace the file atomically by a snapshot, or append a delta to it and sync it to disk."""
    data = len(envelope).to_bytes(LENGTH_BYTES, "little") + envelope
    if is_snapshot:
        replace_file(path, [data])
        return
    with open(path, "ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
