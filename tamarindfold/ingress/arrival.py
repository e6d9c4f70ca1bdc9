"""When bytes came, by the kernel's word: a process that is busy, or held back, reads them late.

Without it a gateway short of CPU would take its own delay for slow servers, refuse, and be asked again.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import suppress
from struct import Struct

from gevent import socket

SO_TIMESTAMPNS = 35  # Linux, socket(7); Python 3.11 does not name it
ROOM = 64  # bytes for the one ancillary message
_TIMESPEC = Struct("@qq")


def stamp(sock: socket.socket) -> None:
    """Have the kernel note when bytes come; connections accepted on a listener do as it does."""
    with suppress(OSError):  # not known here: arrival is when they are read
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def receive(sock: socket.socket, size: int, clock: Callable[[], float]) -> tuple[bytes, float]:
    """What recv gives, and when the last byte of it came, in the clock's milliseconds."""
    data, notes, _, _ = sock.recvmsg(size, ROOM)
    now = clock()
    for level, kind, note in notes:
        if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(note) == _TIMESPEC.size:
            seconds, nanoseconds = _TIMESPEC.unpack(note)
            age = (time.time() - seconds) * 1000 - nanoseconds / 1e6
            return data, now - max(0.0, age)
    return data, now
