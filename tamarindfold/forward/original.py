"""Reconstructs the client's request from the headers of a proxy's sub-request. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property

from tamarindfold.http1.requests import Rejected, Request

METHOD = (b"x-forwarded-method", b"x-original-method")
URI = (b"x-forwarded-uri", b"x-original-uri", b"x-original-url")
HOST = (b"x-forwarded-host", b"x-original-host")
MAX_METHOD_LENGTH = 16


@dataclass(frozen=True)
class OriginalRequestHeaders:
    """The headers in which proxies describe the original request: any of the names of each kind.

    prefix: for proxies that send the original method and path as their own, with the path below a prefix, and
    name neither in a header (Envoy's path_prefix).
    """

    method: tuple[bytes, ...] = METHOD
    uri: tuple[bytes, ...] = URI
    host: tuple[bytes, ...] = HOST
    prefix: bytes = b""
    hosts: frozenset[bytes] = frozenset()  # original hosts that are served; empty: all

    @cached_property
    def all_names(self) -> frozenset[bytes]:
        """The names of all kinds."""
        return frozenset((*self.method, *self.uri, *self.host))

    @classmethod
    def from_config(
        cls, method: Sequence[str], uri: Sequence[str], host: Sequence[str], prefix: str, hosts: Sequence[str]
    ) -> OriginalRequestHeaders:
        """From the strings of the configuration, which may have any case."""

        def lower(names: Sequence[str]) -> tuple[bytes, ...]:
            return tuple(name.lower().encode() for name in names)

        return cls(lower(method), lower(uri), lower(host), prefix.encode(), frozenset(lower(hosts)))


def _single_value(present: dict[bytes, bytes], names: tuple[bytes, ...], kind: str) -> bytes | None:
    """The value that the headers of one kind agree on, or None; raises Rejected if two of them differ."""
    found = None
    for name in names:
        if (value := present.get(name)) is not None:
            if found is not None and value != found:
                raise Rejected(400, f"two {kind}s that differ")
            found = value
    return found


def _collect(request: Request, names: OriginalRequestHeaders) -> dict[bytes, bytes]:
    """The headers that describe the original request; raises Rejected if one is repeated."""
    present: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in names.all_names:
            if name in present:
                raise Rejected(400, f"header {name.decode()} is given twice")
            present[name] = value
    return present


def parse_original_request(request: Request, names: OriginalRequestHeaders) -> Request:
    """The request that the client sent to the proxy.

    Raises Rejected(400) if the sub-request does not describe it or contradicts itself, and Rejected(404) if
    its host is not served.
    """
    present = _collect(request, names)
    method = _single_value(present, names.method, "method")
    target = _single_value(present, names.uri, "URI")
    if names.prefix and request.target.startswith(names.prefix + b"/"):
        path = request.target[len(names.prefix) :]
        if target not in (None, path):
            raise Rejected(400, "the path and the headers name two URIs that differ")
        target = path
        method = request.method.encode() if method is None else method
    for value, kind in ((method, "method"), (target, "URI")):
        if value is None:
            raise Rejected(400, f"no {kind} of the original request")
    assert method is not None and target is not None
    if not method.isalpha() or not method.isupper() or len(method) > MAX_METHOD_LENGTH:
        raise Rejected(400, "the original method is none")
    if names.hosts:
        host = _single_value(present, names.host, "host") or request.get(b"host") or b""
        if _without_port(host) not in names.hosts:
            raise Rejected(404, "no such host is served")
    return Request(method.decode(), target, request.headers, b"", request.keep_alive, request.version)


def _without_port(host: bytes) -> bytes:
    """The host in lower case, without its port."""
    name, colon, port = host.lower().rpartition(b":")
    return name if colon and port.isdigit() else host.lower()
