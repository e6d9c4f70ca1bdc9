"""One request and its whole answer on a connection of one's own."""

from __future__ import annotations

from typing import Any

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Headers
from tamarindfold.http1.responses import ResponseReader


def ask(
    sock: Any,
    reader: ResponseReader,
    method: str,
    target: str,
    host: str,
    body: bytes = b"",
    headers: Headers | None = None,
) -> tuple[int, bytes]:
    """Status and body; sock: any socket. OSError where the connection ends, BadResponse for a bad answer."""
    reader.begin()
    sock.sendall(write.request(method, target.encode(), host.encode(), headers or [], body))
    reader.read(sock.recv)
    return reader.status, reader.body
