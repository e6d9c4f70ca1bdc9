"""One connection of clients that ask for small things: its requests in turn, each with its answer."""

from __future__ import annotations

from collections.abc import Callable
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Rejected, Request, RequestReader


def serve(sock: Any, reader: RequestReader, answer: Callable[[Request], bytes]) -> None:
    """Until the connection ends; sock: any socket, which stays the caller's to close."""
    try:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        while data := sock.recv(65536):
            reader.feed(data)
            while reader.ready:
                sock.sendall(answer(reader.ready.popleft()))
    except Rejected as fault:
        sock.sendall(write.response(fault.status, [], fault.detail.encode(), False))
    except OSError:
        pass
