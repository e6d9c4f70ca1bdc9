"""Serves the small requests of one connection, one after another."""

from __future__ import annotations

from collections.abc import Callable
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Rejected, Request, RequestReader


def serve(sock: Any, reader: RequestReader, handler: Callable[[Request], bytes]) -> None:
    """Answer requests until the connection ends; sock may be any socket and is closed by the caller."""
    try:
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        while data := sock.recv(65536):
            reader.feed(data)
            while reader.ready:
                sock.sendall(handler(reader.ready.popleft()))
    except Rejected as error:
        sock.sendall(write.response(error.status, [], error.detail.encode(), False))
    except OSError:
        pass
