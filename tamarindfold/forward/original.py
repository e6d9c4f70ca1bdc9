"""The request that a proxy asks about, from the headers that it sets. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property

from tamarindfold.http1.requests import Rejected, Request

METHOD = (b"x-forwarded-method", b"x-original-method")
URI = (b"x-forwarded-uri", b"x-original-uri", b"x-original-url")
HOST = (b"x-forwarded-host", b"x-original-host")
MOST_METHOD = 16


@dataclass(frozen=True)
class Names:
    """Where the proxies tell the original request. prefix: for those that send the original method and path
    themselves, below a path of ours, and name neither in a header (Envoy's path_prefix)."""

    method: tuple[bytes, ...] = METHOD
    uri: tuple[bytes, ...] = URI
    host: tuple[bytes, ...] = HOST
    prefix: bytes = b""
    hosts: frozenset[bytes] = frozenset()  # those served; empty: all

    @cached_property
    def every(self) -> frozenset[bytes]:
        """All of these names."""
        return frozenset((*self.method, *self.uri, *self.host))

    @classmethod
    def of(
        cls, method: Sequence[str], uri: Sequence[str], host: Sequence[str], prefix: str, hosts: Sequence[str]
    ) -> Names:
        """From the configuration's words."""

        def low(names: Sequence[str]) -> tuple[bytes, ...]:
            return tuple(name.lower().encode() for name in names)

        return cls(low(method), low(uri), low(host), prefix.encode(), frozenset(low(hosts)))


def _one(told: dict[bytes, bytes], names: tuple[bytes, ...], what: str) -> bytes | None:
    """The one value that these headers give; Rejected where two differ."""
    found = None
    for name in names:
        if (value := told.get(name)) is not None:
            if found is not None and value != found:
                raise Rejected(400, f"two {what}s that differ")
            found = value
    return found


def _told(request: Request, names: Names) -> dict[bytes, bytes]:
    """The headers of interest in one pass; Rejected where one stands twice."""
    told: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in names.every:
            if name in told:
                raise Rejected(400, f"header {name.decode()} is given twice")
            told[name] = value
    return told


def original(request: Request, names: Names) -> Request:
    """What the client asked the proxy; Rejected(400) where the proxy does not say, or says two things."""
    told = _told(request, names)
    method = _one(told, names.method, "method")
    target = _one(told, names.uri, "URI")
    if names.prefix and request.target.startswith(names.prefix + b"/"):
        own = request.target[len(names.prefix) :]
        if target not in (None, own):
            raise Rejected(400, "the path and the headers name two URIs that differ")
        target = own
        method = request.method.encode() if method is None else method
    for value, what in ((method, "method"), (target, "URI")):
        if value is None:
            raise Rejected(400, f"no {what} of the original request")
    assert method is not None and target is not None
    if not method.isalpha() or not method.isupper() or len(method) > MOST_METHOD:
        raise Rejected(400, "the original method is none")
    if names.hosts:
        host = _one(told, names.host, "host") or request.get(b"host") or b""
        if _bare(host) not in names.hosts:
            raise Rejected(404, "no such host is served")
    return Request(method.decode(), target, request.headers, b"", request.keep_alive, request.version)


def _bare(host: bytes) -> bytes:
    """A host without its port, in lower case."""
    name, colon, port = host.lower().rpartition(b":")
    return name if colon and port.isdigit() else host.lower()
