"""Whether the peer of a TCP connection has closed it, however much of its input is unread."""

from __future__ import annotations

import select
from contextlib import suppress

from gevent import socket

# POLLERR and POLLHUP (a reset, both sides closed) are always reported
_CLOSED = select.POLLRDHUP


def has_closed(sock: socket.socket) -> bool:
    """Ask the kernel without reading; False if it can't tell."""
    poll = select.poll()
    with suppress(OSError):
        poll.register(sock.fileno(), _CLOSED)
        return bool(poll.poll(0))
    return False
