"""Kernel receive timestamps: when bytes arrived, independent of when this process read them.

A gateway that is short of CPU reads late. Without these timestamps it would attribute its own delay to the
servers, refuse requests for that reason and cause retries.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from struct import Struct

from gevent import socket

SO_TIMESTAMPNS = 35  # Linux, socket(7); Python 3.11 does not define it
ANCILLARY_BYTES = 64  # buffer for the one ancillary message
_TIMESPEC = Struct("@qq")


def enable_arrival_timestamps(sock: socket.socket) -> None:
    """Make the kernel record when bytes arrive; connections accepted on a listening socket inherit this."""
    with suppress(OSError):  # not supported here: the time of reading is used instead
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive(sock: socket.socket, size: int, clock: Callable[[], float]) -> tuple[bytes, float]:
    """Like recv, with the arrival time of the last byte in the clock's milliseconds."""
    data, ancillary, _, _ = sock.recvmsg(size, ANCILLARY_BYTES)
    now = clock()
    for level, kind, payload in ancillary:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(payload) == _TIMESPEC.size:
            seconds, nanoseconds = _TIMESPEC.unpack(payload)
            age = (time.time() - seconds) * 1000 - nanoseconds / 1e6
            return data, now - max(0.0, age)
    return data, now
