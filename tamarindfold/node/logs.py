"""Log of an ingress on the platform: one JSON object per line on standard error."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import msgspec


def logger(name: str) -> Callable[..., None]:
    """A function that logs an event with its fields; structlog would cost start-up time and memory."""
    encode = msgspec.json.Encoder(enc_hook=str).encode

    def log(event: str, **fields: object) -> None:
        line = encode({"t": round(time.time(), 3), "node": name, "event": event} | fields)
        sys.stderr.buffer.write(line + b"\n")
        sys.stderr.buffer.flush()

    return log
