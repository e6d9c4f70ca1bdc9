"""Renders HTTP responses for the outcomes of requests; unsuccessful ones have a problem body (RFC 9457)."""

from __future__ import annotations

from math import ceil

import msgspec

from tamarindfold.http1 import write
from tamarindfold.http1.requests import Headers, Rejected
from tamarindfold.ingress import headers as names
from tamarindfold.ingress.admission import Forbidden, forwardable_headers
from tamarindfold.ingress.exchange import Failed, Final, Refused, Served, TokenExpired
from tamarindfold.interface import Why
from tamarindfold.introspection.bearer import challenge

REALM = "tamarindfold"
VIA = (b"via", b"1.1 tamarindfold")

_REFUSALS = {
    Why.QUOTA: (429, "Quota used up", "The customer's quota has no room for this request now."),
    Why.PRESSURE: (503, "Servers pressed", "The servers could not answer in time now."),
    Why.OPEN: (429, "Too many at once", "Too many of the customer's requests are open now."),
    Why.TRIED: (503, "No server took it", "No server took it: it did not run, or may safely be repeated."),
}


def _problem(
    status: int,
    title: str,
    detail: str,
    outcome: bytes,
    name: bytes,
    keep_alive: bool,
    headers: Headers | None = None,
    no_body: bool = False,
    **members: float,
) -> bytes:
    body = msgspec.json.encode(
        {
            "type": "about:blank",
            "title": title,
            "status": status,
            "detail": detail,
            "outcome": outcome.decode(),
            "request": name.decode(),
        }
        | members
    )
    all_headers = [(b"content-type", b"application/problem+json"), (names.OUTCOME, outcome), *(headers or [])]
    if name:
        all_headers.append((names.REQUEST, name))
    return write.response(status, all_headers, body, keep_alive, no_body)


def refused(
    status: int,
    title: str,
    detail: str,
    retry_after_ms: float,
    name: bytes,
    keep_alive: bool,
    no_body: bool = False,
) -> bytes:
    """A refusal: nothing ran. Retry-After is in whole seconds (RFC 9110 10.2.3), rounded up."""
    wait = max(1, ceil(retry_after_ms))
    headers = [(b"retry-after", b"%d" % ceil(wait / 1000)), (names.RETRY_AFTER_MS, b"%d" % wait)]
    return _problem(
        status, title, detail, b"refused", name, keep_alive, headers, no_body, retry_after_ms=wait
    )


def unauthorized(
    status: int, error: str, detail: str, name: bytes, keep_alive: bool, scope: str = ""
) -> bytes:
    """400, 401 or 403 with the challenge of RFC 6750 section 3."""
    title = {400: "Bad credentials", 401: "Unauthorized", 403: "Forbidden"}[status]
    headers = [(b"www-authenticate", challenge(REALM, error, detail if error else "", scope))]
    return _problem(status, title, detail, b"rejected", name, keep_alive, headers)


def rejected(fault: Rejected, name: bytes = b"", keep_alive: bool = False) -> bytes:
    """A request that is malformed, or asks for a route that does not exist."""
    return _problem(fault.status, "Request not taken", fault.detail, b"rejected", name, keep_alive)


def forbidden(fault: Forbidden, name: bytes, keep_alive: bool) -> bytes:
    """403: the credential is valid but does not permit the request."""
    return unauthorized(
        403, "insufficient_scope" if fault.scope else "", fault.detail, name, keep_alive, fault.scope
    )


def final(answer: Final, name: bytes, keep_alive: bool, no_body: bool = False) -> bytes:
    """The response for the final outcome of a request; empty if nobody waits for one."""
    match answer:
        case Served(status, headers, body):
            kept = [*forwardable_headers(headers), VIA, (names.OUTCOME, b"served"), (names.REQUEST, name)]
            return write.response(status, kept, body, keep_alive, no_body)
        case Refused(retry_after_ms, why):
            code, title, detail = _REFUSALS[why]
            return refused(code, title, detail, retry_after_ms, name, keep_alive, no_body)
        case Failed(late):
            code, title = (504, "No answer in time") if late else (502, "The server failed")
            return _problem(
                code,
                title,
                "Whether the request ran is not known.",
                b"failed",
                name,
                keep_alive,
                None,
                no_body,
            )
        case TokenExpired():
            return unauthorized(401, "invalid_token", "the token has expired", name, keep_alive)
    return b""
