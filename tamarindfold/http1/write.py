"""Serialises requests and responses."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

# headers of a single connection, which must not be forwarded (RFC 9110 section 7.6.1)
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-connection",
        b"content-length",
    )
)

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def request(
    method: str, target: bytes, host: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b""
) -> bytes:
    """A request; with content-length if it has a body or its method usually has one."""
    out = [method.encode(), b" ", target, b" HTTP/1.1\r\nhost: ", host, b"\r\n"]
    for name, value in headers:
        out += (name, b": ", value, b"\r\n")
    if body or method in ("POST", "PUT", "PATCH"):
        out += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    out += (b"\r\n", body)
    return b"".join(out)


def response(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes = b"",
    keep_alive: bool = True,
    no_body: bool = False,
) -> bytes:
    """A response with its content-length; no_body: the body is omitted, as in the response to a HEAD."""
    out = [b"HTTP/1.1 ", str(status).encode(), b" ", _REASONS.get(status, b"Unknown"), b"\r\n"]
    for name, value in headers:
        out += (name, b": ", value, b"\r\n")
    if status >= 200 and status not in (204, 304):
        out += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    else:
        no_body = True
    if not keep_alive:
        out.append(b"connection: close\r\n")
    out += (b"\r\n", b"" if no_body else body)
    return b"".join(out)
