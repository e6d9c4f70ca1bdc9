"""Sends one request on a connection and reads its complete response."""

from __future__ import annotations

from typing import Any

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Headers
from tamarindfold.http1.responses import ResponseReader


def send_request(
    sock: Any,
    reader: ResponseReader,
    method: str,
    target: str,
    host: str,
    body: bytes = b"",
    headers: Headers | None = None,
) -> tuple[int, bytes]:
    """Send a request and return the status and body of its response; sock may be any kind of socket.

    Raises OSError if the connection fails, BadResponse for a malformed or oversized response.
    """
    reader.begin()
    sock.sendall(write.request(method, target.encode(), host.encode(), headers or [], body))
    reader.read(sock.recv)
    return reader.status, reader.body
