"""The durable copy of what an instance holds: a snapshot's envelope and those of the deltas after it.

Each stands behind its length, so that a copy cut off by a crash is good up to its last whole envelope.
"""

from __future__ import annotations

import os
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from tamarindfold.ds.durable import replace
from tamarindfold.identity.follower import Follower, Rejected
from tamarindfold.identity.wire import BadUpdate, read

LENGTH_BYTES = 4


def load(path: Path, key: Ed25519PublicKey, follower: Follower) -> str:
    """Bring a follower to what the file holds; what is wrong with the file, empty where nothing is."""
    try:
        data = path.read_bytes()
    except OSError as error:
        return "" if isinstance(error, FileNotFoundError) else str(error)
    at = 0
    while at < len(data):
        length = int.from_bytes(data[at : at + LENGTH_BYTES], "little")
        whole = data[at + LENGTH_BYTES : at + LENGTH_BYTES + length]
        if len(data) < at + LENGTH_BYTES or len(whole) < length:
            return f"cut off at byte {at}"
        try:
            result = follower.take(*read(whole, key))
        except BadUpdate as error:
            return f"byte {at}: {error}"
        if isinstance(result, Rejected):
            return f"byte {at}: {result.reason}"
        at += LENGTH_BYTES + length
    return ""


def save(path: Path, envelope: bytes, whole: bool) -> None:
    """Keep one more envelope; a snapshot begins the file anew, and takes its place at once or not at all."""
    data = len(envelope).to_bytes(LENGTH_BYTES, "little") + envelope
    if whole:
        replace(path, [data])
        return
    with open(path, "ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
